// SPDX-License-Identifier: Apache-2.0
//! What must never be seen on the workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use stackpier_cell::{Start, TaskName};
use stackpier_core::key;
use stackpier_standin::fleet::Worker;
use stackpier_state::job::{Spec, State};

/// Broken is a promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When it was seen, in milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms: {}", self.at_ms, self.what)
    }
}

/// Noted is how the end of a run came to be noted.
#[derive(Clone, Copy, Debug)]
struct Noted {
    /// When it was, in milliseconds.
    at_ms: u64,
    /// The fence of the owner that noted it.
    fence: u64,
    /// Whether the worker's lease lapsed between the end and the note.
    lapsed: bool,
}

impl Noted {
    /// bars tells whether the end counts for an owner with a fence that starts the
    /// task again.
    /// The users' rule does not count an end that is noted after the lease
    /// lapsed. Here that holds for earlier owners only, who can't know of it.
    fn bars(self, fence: u64) -> bool {
        !self.lapsed || fence >= self.fence
    }
}

/// LEAST_CRASHES is how many workers a task must have brought down before its job may be
/// shown as failed for that.
const LEAST_CRASHES: usize = 2;
/// SHOWN_CRASHES is how many show it for certain.
const SHOWN_CRASHES: u32 = 3;
/// MORE_STARTS is how many starts later owners may not make after that.
const MORE_STARTS: u32 = 3;

/// SEEN_MS is how long after a crash its owner must live to count it: a call without an
/// answer is given up after 700 ms, and a save takes some more.
const SEEN_MS: u64 = 1_000;

/// LATE_COPY_MS is how long after the end of a task, or of its job, copies of it may still
/// start: they were on their way.
const LATE_COPY_MS: u64 = 1_000;

/// Crashes are those of one task.
#[derive(Clone, Debug, Default)]
struct Crashes {
    /// When each was.
    times: Vec<u64>,
    /// Starts by the newest owner after enough of them.
    starts_after: u32,
}

/// Oracle remembers what ended and was noted.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The jobs, as handed in.
    pub specs: BTreeMap<key::Job, Spec>,
    /// Failed runs after which a job has failed.
    pub attempts: usize,
    done: BTreeMap<TaskName, Noted>,
    /// Tasks that ended well on workers that died before that was noted.
    ended: BTreeSet<TaskName>,
    failed: BTreeMap<TaskName, BTreeMap<u32, Noted>>,
    /// Failed runs on workers that died before that was noted.
    failed_unnoted: BTreeSet<(TaskName, u32)>,
    /// Jobs that a client account was shown in a final state, and when first.
    ended_jobs: BTreeMap<key::Job, (State, u64)>,
    /// Ends of runs that were done, and not noted yet, when their task was started again.
    started_again: BTreeSet<(TaskName, u32)>,
    /// How often each task has brought down a worker.
    crashes: BTreeMap<TaskName, Crashes>,
    /// Workers that crashed under each task by no task's doing. Users accept that a task
    /// is given up for these, as nobody can tell them from its own.
    crashed_by_itself: BTreeMap<TaskName, u32>,
    /// When each owner took over.
    takeovers: Vec<u64>,
    /// Whether crashes count that their owner did not live to see.
    pub strict: bool,
    /// What was seen first.
    pub broken: Option<Broken>,
}

impl Oracle {
    /// new starts with nothing seen; `attempts` failed runs fail a job.
    pub fn new(attempts: usize) -> Oracle {
        Oracle {
            attempts,
            ..Oracle::default()
        }
    }

    fn breaks(&mut self, at_ms: u64, what: String) {
        self.broken.get_or_insert(Broken { at_ms, what });
    }

    /// note takes in the ends that an owner with a fence told a worker to
    /// forget.
    pub fn note(&mut self, at_ms: u64, worker: &mut Worker, fence: u64) {
        for end in worker.acked.drain(..) {
            let lapsed = end.number <= worker.last_end_at_expiry;
            let noted = Noted {
                at_ms,
                fence,
                lapsed,
            };
            match end.cause {
                stackpier_cell::EndCause::Done => {
                    if !lapsed && self.started_again.contains(&(end.task, end.run)) {
                        let what = format!("{} started again before its end was noted", end.task);
                        self.breaks(at_ms, what);
                    }
                    let earlier = self.done.entry(end.task).or_insert(noted);
                    if earlier.lapsed && !lapsed {
                        *earlier = noted;
                    }
                }
                stackpier_cell::EndCause::Failed => {
                    let runs = self.failed.entry(end.task).or_default();
                    runs.insert(end.run, noted);
                }
                _ => {}
            }
        }
    }

    /// lose takes in what a worker listed when it died.
    pub fn lose(&mut self, worker: &Worker) {
        let ends = worker.ends.iter();
        let done = ends.filter(|end| end.cause == stackpier_cell::EndCause::Done);
        self.ended.extend(done.map(|end| end.task));
        let failed = worker.ends.iter();
        let failed = failed.filter(|end| end.cause == stackpier_cell::EndCause::Failed);
        let failed = failed.map(|end| (end.task, end.run));
        self.failed_unnoted.extend(failed);
    }

    /// crashed_under takes in the runs of a worker that crashed by no task's doing.
    pub fn crashed_under(&mut self, worker: &Worker) {
        for run in &worker.runs {
            *self.crashed_by_itself.entry(run.task).or_default() += 1;
        }
    }

    /// took_over notes that a daemon became the owner.
    pub fn took_over(&mut self, at_ms: u64) {
        self.takeovers.push(at_ms);
    }

    /// brought_down takes in a start that brings its worker down; `newest` tells whether
    /// the newest owner ordered it.
    pub fn brought_down(&mut self, at_ms: u64, task: TaskName, newest: bool) {
        let mut crashes = self.crashes.remove(&task).unwrap_or_default();
        let counted = crashes.times.iter().filter(|at| self.is_counted(**at));
        if counted.count() >= SHOWN_CRASHES as usize && newest {
            crashes.starts_after += 1;
        }
        crashes.times.push(at_ms);
        if crashes.starts_after >= MORE_STARTS {
            let count = crashes.times.len();
            self.breaks(
                at_ms,
                format!("{task} has brought down {count} workers and starts again"),
            );
        }
        self.crashes.insert(task, crashes);
    }

    /// is_counted tells whether a crash counts: all do if the oracle is strict, else those
    /// whose owner lived to see them.
    fn is_counted(&self, crash_ms: u64) -> bool {
        let unseen = |at_ms: &u64| (crash_ms..crash_ms + SEEN_MS).contains(at_ms);
        self.strict || !self.takeovers.iter().any(unseen)
    }

    /// started checks a run that has just begun on the worker at `place`.
    pub fn started(&mut self, at_ms: u64, start: &Start, place: usize, workers: &[Worker]) {
        let task = start.order.task;
        if self.may_have_copies(task) {
            self.check_ended(at_ms.saturating_sub(LATE_COPY_MS), at_ms, start);
        } else {
            self.check_ended(at_ms, at_ms, start);
            self.check_alone(at_ms, task, workers);
        }
        self.check_order(at_ms, task, workers);
        self.check_spread(at_ms, task, &workers[place]);
    }

    fn may_have_copies(&self, task: TaskName) -> bool {
        let spec = self.specs.get(&task.job);
        spec.is_some_and(|spec| spec.steps[usize::from(task.step)].speculative)
    }

    /// check_ended looks whether a task that starts, or its job, had ended by a time.
    fn check_ended(&mut self, by_ms: u64, at_ms: u64, start: &Start) {
        let task = start.order.task;
        let bars = |noted: &Noted| noted.at_ms <= by_ms && noted.bars(start.order.fence);
        if self.done.get(&task).is_some_and(bars) {
            self.breaks(at_ms, format!("{task} starts after its noted end"));
        }
        let failed = self
            .failed
            .get(&task)
            .into_iter()
            .flat_map(BTreeMap::values);
        if failed.filter(|noted| bars(noted)).count() >= self.attempts {
            let what = format!("{task} starts after {} failed runs", self.attempts);
            self.breaks(at_ms, what);
        }
        let ended = self.ended_jobs.get(&task.job).copied();
        if let Some((State::Completed, shown_ms)) = ended.filter(|(_, shown)| *shown <= by_ms) {
            self.breaks(
                at_ms,
                format!("{task} starts though its job was shown as completed at {shown_ms} ms"),
            );
        }
    }

    /// check_alone looks whether a task that starts runs elsewhere, and keeps in mind which
    /// of its runs have ended well and are not noted.
    fn check_alone(&mut self, at_ms: u64, task: TaskName, workers: &[Worker]) {
        let runs = workers.iter().flat_map(|worker| &worker.runs);
        if runs.filter(|run| run.task == task).count() > 1 {
            self.breaks(at_ms, format!("{task} runs twice at once"));
        }
        let ends = workers.iter().flat_map(|worker| &worker.ends);
        let done =
            ends.filter(|end| end.task == task && end.cause == stackpier_cell::EndCause::Done);
        self.started_again
            .extend(done.map(|end| (end.task, end.run)));
    }

    fn check_order(&mut self, at_ms: u64, task: TaskName, workers: &[Worker]) {
        let Some(spec) = self.specs.get(&task.job) else {
            self.breaks(at_ms, format!("{task} starts, but nobody handed it in"));
            return;
        };
        let after = spec.steps[usize::from(task.step)].after.clone();
        for step in after {
            let count = spec.steps[usize::from(step)].count;
            let name = |index| TaskName {
                step,
                index,
                ..task
            };
            let ended = |name: &TaskName| {
                let listed = workers.iter().flat_map(|worker| &worker.ends);
                let mut listed = listed.filter(|end| end.cause == stackpier_cell::EndCause::Done);
                self.done.contains_key(name)
                    || self.ended.contains(name)
                    || listed.any(|end| end.task == *name)
            };
            if let Some(missing) = (0..count).map(name).find(|name| !ended(name)) {
                self.breaks(at_ms, format!("{task} starts before {missing} is done"));
                return;
            }
        }
    }

    fn check_spread(&mut self, at_ms: u64, task: TaskName, worker: &Worker) {
        let spec = &self.specs[&task.job];
        let Some(most) = spec.steps[usize::from(task.step)].most_per_worker else {
            return;
        };
        let alike = |other: TaskName| {
            (other.job, other.round, other.step) == (task.job, task.round, task.step)
        };
        let here = worker.runs.iter().filter(|run| alike(run.task)).count();
        if here > most as usize {
            self.breaks(
                at_ms,
                format!("{task} is one of {here} on a worker that may have {most}"),
            );
        }
    }

    /// shown checks a final state that a client account was shown.
    pub fn shown(&mut self, at_ms: u64, job: key::Job, state: State, workers: &[Worker]) {
        if !state.is_final() {
            return;
        }
        if let Some((earlier, shown_ms)) = self.ended_jobs.get(&job).copied() {
            if earlier != state {
                let what = format!("job shown as {earlier:?} at {shown_ms} ms and as {state:?}");
                self.breaks(at_ms, what);
            }
            return;
        }
        self.ended_jobs.insert(job, (state, at_ms));
        match state {
            State::Completed => self.check_completed(at_ms, job, workers),
            State::Failed => self.check_failed(at_ms, job, workers),
            _ => {}
        }
    }

    /// check_failed looks for a reason: a task that failed as often as allowed, or that
    /// brought workers down.
    fn check_failed(&mut self, at_ms: u64, job: key::Job, workers: &[Worker]) {
        let crashed = |(task, crashes): (&TaskName, &Crashes)| {
            task.job == job && crashes.times.len() >= LEAST_CRASHES
        };
        let crashed_by_itself =
            |(task, count): (&TaskName, &u32)| task.job == job && *count >= SHOWN_CRASHES;
        if self.crashes.iter().any(crashed) || self.crashed_by_itself.iter().any(crashed_by_itself)
        {
            return;
        }
        let mut runs = self.failed_unnoted.clone();
        for (task, failed) in &self.failed {
            runs.extend(failed.keys().map(|run| (*task, *run)));
        }
        let listed = workers.iter().flat_map(|worker| &worker.ends);
        let listed = listed.filter(|end| end.cause == stackpier_cell::EndCause::Failed);
        runs.extend(listed.map(|end| (end.task, end.run)));
        let mut counts: BTreeMap<TaskName, usize> = BTreeMap::new();
        for (task, _) in runs.into_iter().filter(|(task, _)| task.job == job) {
            *counts.entry(task).or_default() += 1;
        }
        if !counts.values().any(|count| *count >= self.attempts) {
            self.breaks(
                at_ms,
                format!("job {job:?} is shown as failed without a cause"),
            );
        }
    }

    fn check_completed(&mut self, at_ms: u64, job: key::Job, workers: &[Worker]) {
        let spec = &self.specs[&job];
        let listed: BTreeSet<TaskName> = workers
            .iter()
            .flat_map(|worker| &worker.ends)
            .filter(|end| end.cause == stackpier_cell::EndCause::Done)
            .map(|end| end.task)
            .collect();
        let mut missing = None;
        for (step, shape) in spec.steps.iter().enumerate() {
            for index in 0..shape.count {
                let name = TaskName {
                    job,
                    round: 0,
                    step: step as u16,
                    index,
                };
                let known = |set: &BTreeSet<TaskName>| set.contains(&name);
                if !self.done.contains_key(&name) && !known(&self.ended) && !known(&listed) {
                    missing = Some(name);
                }
            }
        }
        if let Some(name) = missing {
            self.breaks(
                at_ms,
                format!("job shown as completed, but {name} is not done"),
            );
        }
    }
}
