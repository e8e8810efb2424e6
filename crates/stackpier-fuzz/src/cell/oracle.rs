// SPDX-License-Identifier: Apache-2.0
//! Checks of what happens on the workers and of the states that owners report.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use stackpier_cell::{End, Start, TaskName};
use stackpier_core::key;
use stackpier_standin::fleet::Worker;
use stackpier_state::job::{Spec, State};

use super::simulation::START_UNIX_MS;

/// Violation describes an invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was detected, in milliseconds.
    pub at_ms: u64,
    /// What was detected.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms: {}", self.at_ms, self.what)
    }
}

/// AckedEnd records how the end of a run was acknowledged.
#[derive(Clone, Copy, Debug)]
struct AckedEnd {
    /// When it was acknowledged, in milliseconds.
    at_ms: u64,
    /// The fence of the owner that acknowledged it.
    fence: u64,
    /// Whether the worker's lease expired between the end and its acknowledgement.
    expired: bool,
}

impl AckedEnd {
    /// forbids_start reports whether an owner with a fence may not start the task again because
    /// of this end. The client accounts' rule ignores an end that was acknowledged after the
    /// lease expired. This check is stricter: it ignores such an end only for owners with lower
    /// fences, as they can't know of it.
    fn forbids_start(self, fence: u64) -> bool {
        !self.expired || fence >= self.fence
    }
}

/// MIN_CRASHES is how many workers a task must have crashed before its job may be reported as
/// failed for that reason.
const MIN_CRASHES: usize = 2;
/// CONCLUSIVE_CRASHES is how many crashed workers prove that the task is the cause.
const CONCLUSIVE_CRASHES: u32 = 3;
/// EXCESS_STARTS is the number of starts by the newest owner after [`CONCLUSIVE_CRASHES`] that is
/// a violation.
const EXCESS_STARTS: u32 = 3;

/// DETECTION_MS is how long an owner must stay the owner after a crash to count it: a call
/// without an answer times out after 700 ms, and the save takes some more time.
const DETECTION_MS: u64 = 1_000;

/// CANCEL_MS is how long after its acknowledgement a cancellation has to be in force.
const CANCEL_MS: u64 = 3_000;
/// DRAIN_MS is how long after a worker's entry shows that it drains it may still get starts.
const DRAIN_MS: u64 = 2_000;

/// LATE_COPY_MS is how long after the end of a task, or of its job, copies of it may still
/// start, because their start orders were already sent.
const LATE_COPY_MS: u64 = 1_000;
/// LATE_ORDER_MS is how long after it was sent an order is carried out late: its call has timed
/// out. Client accounts' bounds in time do not hold for it.
const LATE_ORDER_MS: u64 = 700;

/// Crashes counts the worker crashes that one task caused.
#[derive(Clone, Debug, Default)]
struct Crashes {
    /// The time of each crash.
    times: Vec<u64>,
    /// Starts by the newest owner after [`CONCLUSIVE_CRASHES`] counted crashes.
    starts_after: u32,
}

/// Oracle records ends, acknowledgements, crashes and reported states, and checks starts and
/// reports against them.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The jobs as submitted.
    pub specs: BTreeMap<key::Job, Spec>,
    /// The number of failed runs of a task that fails its job.
    pub attempts: usize,
    done: BTreeMap<TaskName, AckedEnd>,
    /// Completed tasks whose worker crashed before the end was acknowledged.
    unacked_done: BTreeSet<TaskName>,
    failed: BTreeMap<TaskName, BTreeMap<u32, AckedEnd>>,
    /// Failed runs whose worker crashed before the end was acknowledged.
    unacked_failed: BTreeSet<(TaskName, u32)>,
    /// The first final state of each job that was reported to a client account, and when.
    reported_jobs: BTreeMap<key::Job, (State, u64)>,
    /// Completed runs whose end was not yet acknowledged when their task started again.
    restarted: BTreeSet<(TaskName, u32)>,
    /// The worker crashes that each task caused.
    crashes: BTreeMap<TaskName, Crashes>,
    /// The number of workers that crashed while they ran each task, but not because of a task.
    /// Client accounts accept that a task is given up after such crashes, as nobody can tell
    /// them apart from crashes that it caused.
    unrelated_crashes: BTreeMap<TaskName, u32>,
    /// The time of each takeover and of each release of the cell.
    owner_ends: Vec<u64>,
    /// When the cancellation of each job was acknowledged.
    cancelled: BTreeMap<key::Job, u64>,
    /// The highest number of a run of each job.
    last_runs: BTreeMap<key::Job, u32>,
    /// The same of jobs that were removed, and under whose ids others are submitted.
    forgotten: BTreeMap<key::Job, u32>,
    /// Whether crashes count even if their owner was replaced before it could detect them.
    pub strict: bool,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl Oracle {
    /// new returns an oracle without records; `attempts` failed runs of a task fail its job.
    pub fn new(attempts: usize) -> Oracle {
        Oracle {
            attempts,
            ..Oracle::default()
        }
    }

    pub(super) fn report_violation(&mut self, at_ms: u64, what: String) {
        self.violation.get_or_insert(Violation { at_ms, what });
    }

    /// record_acked records the ends that an owner with a fence acknowledged to a worker. It
    /// detects a completed task that was started again before its end was acknowledged.
    pub fn record_acked(&mut self, at_ms: u64, worker: &mut Worker, fence: u64) {
        for end in worker.acked.drain(..) {
            if self.is_of_forgotten(&end) {
                continue;
            }
            let expired = end.number <= worker.last_end_at_expiry;
            let acked = AckedEnd {
                at_ms,
                fence,
                expired,
            };
            match end.cause {
                stackpier_cell::EndCause::Done => {
                    if !expired && self.restarted.contains(&(end.task, end.run)) {
                        let what =
                            format!("{} started again before its end was acknowledged", end.task);
                        self.report_violation(at_ms, what);
                    }
                    let earlier = self.done.entry(end.task).or_insert(acked);
                    if earlier.expired && !expired {
                        *earlier = acked;
                    }
                }
                stackpier_cell::EndCause::Failed => {
                    let runs = self.failed.entry(end.task).or_default();
                    runs.insert(end.run, acked);
                }
                _ => {}
            }
        }
    }

    /// record_lost_ends records the unacknowledged ends of a worker that crashes.
    pub fn record_lost_ends(&mut self, worker: &Worker) {
        let ends = worker.ends.iter();
        let done = ends.filter(|end| {
            end.cause == stackpier_cell::EndCause::Done && !self.is_of_forgotten(end)
        });
        let done: Vec<TaskName> = done.map(|end| end.task).collect();
        self.unacked_done.extend(done);
        let failed = worker.ends.iter();
        let failed = failed.filter(|end| end.cause == stackpier_cell::EndCause::Failed);
        let failed = failed.map(|end| (end.task, end.run));
        self.unacked_failed.extend(failed);
    }

    /// record_crash_under_runs records the runs of a worker whose crash no task caused.
    pub fn record_crash_under_runs(&mut self, worker: &Worker) {
        for run in &worker.runs {
            *self.unrelated_crashes.entry(run.task).or_default() += 1;
        }
    }

    /// forget drops what was recorded of a removed job: another one is submitted under its id.
    pub fn forget(&mut self, job: key::Job) {
        self.done.retain(|task, _| task.job != job);
        self.unacked_done.retain(|task| task.job != job);
        self.failed.retain(|task, _| task.job != job);
        self.unacked_failed.retain(|(task, _)| task.job != job);
        self.restarted.retain(|(task, _)| task.job != job);
        self.crashes.retain(|task, _| task.job != job);
        self.unrelated_crashes.retain(|task, _| task.job != job);
        self.reported_jobs.remove(&job);
        self.cancelled.remove(&job);
        let last_run = self.last_runs.get(&job).copied().unwrap_or(0);
        self.forgotten.insert(job, last_run);
    }

    /// is_of_forgotten reports whether an end is that of a run of a removed job, under whose id another
    /// one was submitted.
    fn is_of_forgotten(&self, end: &End) -> bool {
        let last_run = self.forgotten.get(&end.task.job);
        last_run.is_some_and(|last_run| end.run <= *last_run)
    }

    /// is_forgotten reports whether an earlier job with the same id was removed.
    pub fn is_forgotten(&self, job: key::Job) -> bool {
        self.forgotten.contains_key(&job)
    }

    /// record_owner_end records the time at which an owner was replaced or released the cell.
    pub fn record_owner_end(&mut self, at_ms: u64) {
        self.owner_ends.push(at_ms);
    }

    /// record_crash_by_task records a start that crashes its worker, and detects too many such
    /// starts of one task. `newest` tells whether the newest owner ordered it.
    pub fn record_crash_by_task(&mut self, at_ms: u64, task: TaskName, newest: bool) {
        let mut crashes = self.crashes.remove(&task).unwrap_or_default();
        let counted = crashes.times.iter().filter(|at| self.is_counted(**at));
        if counted.count() >= CONCLUSIVE_CRASHES as usize && newest {
            crashes.starts_after += 1;
        }
        crashes.times.push(at_ms);
        if crashes.starts_after >= EXCESS_STARTS {
            let count = crashes.times.len();
            self.report_violation(
                at_ms,
                format!("{task} has crashed {count} workers and starts again"),
            );
        }
        self.crashes.insert(task, crashes);
    }

    /// is_counted reports whether a crash counts: all do if the oracle is strict, else those
    /// whose owner owned the cell for [`DETECTION_MS`] more.
    fn is_counted(&self, crash_ms: u64) -> bool {
        let unseen = |at_ms: &u64| (crash_ms..crash_ms + DETECTION_MS).contains(at_ms);
        self.strict || !self.owner_ends.iter().any(unseen)
    }

    /// check_start checks a run that has just started on `workers[worker_index]`, by an order that
    /// was sent at `sent_ms`.
    pub fn check_start(
        &mut self,
        at_ms: u64,
        sent_ms: u64,
        start: &Start,
        worker_index: usize,
        workers: &[Worker],
    ) {
        let task = start.order.task;
        let last_run = self.last_runs.entry(task.job).or_default();
        *last_run = start.order.run.max(*last_run);
        if self.may_have_copies(task) {
            // When a late order was sent, the task must not have ended.
            let until_ms = match at_ms - sent_ms > LATE_ORDER_MS {
                true => sent_ms,
                false => at_ms.saturating_sub(LATE_COPY_MS),
            };
            self.check_ended(until_ms, at_ms, start);
        } else {
            self.check_ended(at_ms, at_ms, start);
            self.check_single_run(at_ms, task, workers);
        }
        self.check_due(at_ms, task);
        self.check_step_order(at_ms, task, workers);
        self.check_max_per_worker(at_ms, task, &workers[worker_index]);
    }

    fn may_have_copies(&self, task: TaskName) -> bool {
        let spec = self.specs.get(&task.job);
        spec.is_some_and(|spec| spec.steps[usize::from(task.step)].speculative)
    }

    fn is_long_running(&self, task: TaskName) -> bool {
        let spec = self.specs.get(&task.job);
        spec.is_some_and(|spec| spec.steps[usize::from(task.step)].long_running)
    }

    /// record_cancelled records that the cancellation of a job was acknowledged.
    pub fn record_cancelled(&mut self, at_ms: u64, job: key::Job) {
        self.cancelled.entry(job).or_insert(at_ms);
    }

    /// cancelled_since returns how long ago the cancellation of a job was acknowledged.
    pub fn cancelled_since(&self, at_ms: u64, job: key::Job) -> Option<u64> {
        self.cancelled.get(&job).map(|acked_ms| at_ms - acked_ms)
    }

    /// check_unasked detects the start of a task whose job was cancelled too long ago. `watched`
    /// tells whether the owner has had an answer to a watch since it took over.
    pub fn check_unasked(&mut self, at_ms: u64, task: TaskName, age_ms: u64, watched: bool) {
        if age_ms > CANCEL_MS {
            let owner = match watched {
                true => "an owner that watches the jobs",
                false => "a new owner that has only listed the jobs",
            };
            let what = format!(
                "{owner} starts {task} {age_ms} ms after the cancellation was acknowledged"
            );
            self.report_violation(at_ms, what);
        }
    }

    /// check_draining detects a start on a worker whose entry has shown for too long that it drains.
    pub fn check_draining(&mut self, at_ms: u64, task: TaskName, age_ms: u64) {
        if age_ms > DRAIN_MS {
            let what = format!("{task} starts on a worker that has been draining for {age_ms} ms");
            self.report_violation(at_ms, what);
        }
    }

    /// check_ended detects the start of a task that by `until_ms` had completed, had failed as
    /// often as its queue allows, or belonged to a job that was reported as completed.
    fn check_ended(&mut self, until_ms: u64, at_ms: u64, start: &Start) {
        let task = start.order.task;
        let forbids =
            |acked: &AckedEnd| acked.at_ms <= until_ms && acked.forbids_start(start.order.fence);
        if self.done.get(&task).is_some_and(forbids) {
            self.report_violation(at_ms, format!("{task} starts after its acknowledged end"));
        }
        let failed = self
            .failed
            .get(&task)
            .into_iter()
            .flat_map(BTreeMap::values);
        let is_limited = !self.is_long_running(task);
        if is_limited && failed.filter(|acked| forbids(acked)).count() >= self.attempts {
            let what = format!("{task} starts after {} failed runs", self.attempts);
            self.report_violation(at_ms, what);
        }
        let ended = self.reported_jobs.get(&task.job).copied();
        if let Some((State::Completed, reported_ms)) =
            ended.filter(|(_, reported)| *reported <= until_ms)
        {
            self.report_violation(
                at_ms,
                format!(
                    "{task} starts though its job was reported as completed at {reported_ms} ms"
                ),
            );
        }
    }

    /// check_single_run detects a second run of a task that starts. It also remembers the completed
    /// runs of the task whose end is not acknowledged yet.
    fn check_single_run(&mut self, at_ms: u64, task: TaskName, workers: &[Worker]) {
        let runs = workers.iter().flat_map(|worker| &worker.runs);
        if runs.filter(|run| run.task == task).count() > 1 {
            self.report_violation(at_ms, format!("{task} runs twice at once"));
        }
        let ends = workers.iter().flat_map(|worker| &worker.ends);
        let done = ends
            .filter(|end| end.task == task && end.cause == stackpier_cell::EndCause::Done)
            .filter(|end| !self.is_of_forgotten(end));
        let done: Vec<_> = done.map(|end| (end.task, end.run)).collect();
        self.restarted.extend(done);
    }

    /// check_due detects the start of a round before its time.
    fn check_due(&mut self, at_ms: u64, task: TaskName) {
        let spec = self.specs.get(&task.job);
        let due_ms = spec.and_then(|spec| spec.due_ms(task.round)).unwrap_or(0);
        let early_ms = due_ms.saturating_sub(START_UNIX_MS + at_ms);
        if early_ms > 0 {
            self.report_violation(
                at_ms,
                format!("{task} starts {early_ms} ms before its time"),
            );
        }
    }

    fn check_step_order(&mut self, at_ms: u64, task: TaskName, workers: &[Worker]) {
        let Some(spec) = self.specs.get(&task.job) else {
            self.report_violation(at_ms, format!("{task} starts, but nobody submitted it"));
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
                let mut listed = listed.filter(|end| {
                    end.cause == stackpier_cell::EndCause::Done && !self.is_of_forgotten(end)
                });
                self.done.contains_key(name)
                    || self.unacked_done.contains(name)
                    || listed.any(|end| end.task == *name)
            };
            if let Some(missing) = (0..count).map(name).find(|name| !ended(name)) {
                self.report_violation(at_ms, format!("{task} starts before {missing} is done"));
                return;
            }
        }
    }

    fn check_max_per_worker(&mut self, at_ms: u64, task: TaskName, worker: &Worker) {
        let spec = &self.specs[&task.job];
        let Some(max) = spec.steps[usize::from(task.step)].most_per_worker else {
            return;
        };
        let is_same_step = |other: TaskName| {
            (other.job, other.round, other.step) == (task.job, task.round, task.step)
        };
        let here = worker
            .runs
            .iter()
            .filter(|run| is_same_step(run.task))
            .count();
        if here > max as usize {
            self.report_violation(
                at_ms,
                format!("{task} is one of {here} on a worker that may run {max}"),
            );
        }
    }

    /// check_reported checks a final state that an owner reports to a client account.
    pub fn check_reported(&mut self, at_ms: u64, job: key::Job, state: State, workers: &[Worker]) {
        if !state.is_final() {
            return;
        }
        if let Some((earlier, reported_ms)) = self.reported_jobs.get(&job).copied() {
            if earlier != state {
                let what =
                    format!("job reported as {earlier:?} at {reported_ms} ms and as {state:?}");
                self.report_violation(at_ms, what);
            }
            return;
        }
        self.reported_jobs.insert(job, (state, at_ms));
        match state {
            State::Completed => self.check_completed(at_ms, job, workers),
            State::Failed => self.check_failed(at_ms, job, workers),
            _ => {}
        }
    }

    /// check_failed requires a reason for a failed job: a task that failed as often as its queue
    /// allows, or that crashed workers.
    fn check_failed(&mut self, at_ms: u64, job: key::Job, workers: &[Worker]) {
        let crashed = |(task, crashes): (&TaskName, &Crashes)| {
            task.job == job && crashes.times.len() >= MIN_CRASHES
        };
        let crashed_unrelated =
            |(task, count): (&TaskName, &u32)| task.job == job && *count >= CONCLUSIVE_CRASHES;
        if self.crashes.iter().any(crashed) || self.unrelated_crashes.iter().any(crashed_unrelated)
        {
            return;
        }
        let mut runs = self.unacked_failed.clone();
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
            self.report_violation(
                at_ms,
                format!("job {job:?} is reported as failed without a cause"),
            );
        }
    }

    fn check_completed(&mut self, at_ms: u64, job: key::Job, workers: &[Worker]) {
        let spec = &self.specs[&job];
        let listed: BTreeSet<TaskName> = workers
            .iter()
            .flat_map(|worker| &worker.ends)
            .filter(|end| end.cause == stackpier_cell::EndCause::Done && !self.is_of_forgotten(end))
            .map(|end| end.task)
            .collect();
        let mut missing = None;
        for name in names(job, spec) {
            let known = |set: &BTreeSet<TaskName>| set.contains(&name);
            if !self.done.contains_key(&name) && !known(&self.unacked_done) && !known(&listed) {
                missing = Some(name);
            }
        }
        if let Some(name) = missing {
            self.report_violation(
                at_ms,
                format!("job reported as completed, but {name} is not done"),
            );
        }
    }
}

/// names returns the names of all tasks of a job.
fn names(job: key::Job, spec: &Spec) -> impl Iterator<Item = TaskName> + '_ {
    let steps = move |round| {
        let steps = spec.steps.iter().enumerate();
        steps.flat_map(move |(step, shape)| {
            (0..shape.count).map(move |index| TaskName {
                job,
                round,
                step: step as u16,
                index,
            })
        })
    };
    (0..spec.rounds()).flat_map(steps)
}
