// SPDX-License-Identifier: Apache-2.0
//! The life cycle of a job: accepted with its steps and tasks, released step by step, and
//! ended.

use std::rc::Rc;

use stackpier_core::{Millis, key};
use stackpier_state::job::{Progress, Record, Spec, State};

use crate::{
    Cell, TaskName,
    arena::{JobKey, RoundKey, RunKey, StepKey, TaskKey},
    job::Job,
    round::Rounds,
};

/// EXPIRY_OBJECTIVES is how many objectives after its acceptance a job expires. By the client
/// accounts' rules, a job that misses its objective earns a seventh of its value until then.
const EXPIRY_OBJECTIVES: u64 = 3;

impl Cell {
    /// accept adds a job that is in the store, with the progress that a predecessor saved. A
    /// job that is already known is left unchanged, but for a payload that was not known yet. A job
    /// that was submitted under the id of a forgotten one replaces it.
    pub(crate) fn accept(
        &mut self,
        id: key::Job,
        record: &Record,
        progress: Option<&Progress>,
        cancelled: bool,
    ) {
        if record.fence > self.fence {
            // The job was accepted under a successor, which starts its tasks. Another watch
            // on the store reports a new owner, and it may be seconds late.
            self.depose();
            return;
        }
        let over = |progress: &Progress| progress.state.is_final();
        let known = self.job_keys.get(&id).copied();
        let replaced = known.filter(|key| self.is_replaced(*key, record));
        if let Some(key) = known.filter(|_| replaced.is_none()) {
            if self.job(key).payload.is_empty() {
                self.job_mut(key).payload = Rc::from(record.spec.payload.as_str());
            }
            return;
        }
        let remnant = self.forgotten.get(id).filter(|_| known.is_none());
        if remnant.is_some_and(|remnant| !remnant.is_replaced(record)) {
            return;
        }
        if record.is_trimmed() && !progress.is_some_and(over) {
            return;
        }
        // A later configuration may lack the queue, and this owner may never have seen it.
        let queue = &record.queue;
        if !record.is_trimmed() && !self.queues.contains_key(&queue.name) {
            self.queues.insert(queue.name.clone(), queue.clone());
        }
        let key = self.add_job(id, record);
        if let Some(replaced) = replaced {
            self.continue_runs(replaced, key);
        }
        if let Some(remnant) = remnant {
            self.raise_first_run(key, remnant.next_run);
        }
        if let Some(progress) = progress {
            self.restore(key, progress);
        }
        if !self.job(key).state.is_final() {
            self.begin_job(key);
        }
        if self.cancelled.remove(&id) || cancelled {
            self.cancel(id);
        }
        self.placement_due = true;
    }

    /// is_replaced reports whether a record is that of a job which was submitted after the known job
    /// with its id had been forgotten. The record of the known job may still be read late.
    fn is_replaced(&self, known: JobKey, record: &Record) -> bool {
        let known = self.job(known);
        known.forgotten && !record.is_trimmed() && record.accepted_ms > known.ended_unix_ms
    }

    /// continue_runs numbers the runs of a job above those of an earlier job with the same id: workers
    /// refuse the numbers of runs that have ended.
    fn continue_runs(&mut self, earlier: JobKey, job: JobKey) {
        let next_runs = self.tasks_of(earlier).map(|task| self.task(task).next_run);
        let next_run = next_runs.max().unwrap_or(0).max(self.job(earlier).next_run);
        self.supersede_runs(earlier);
        self.raise_first_run(job, next_run);
    }

    /// raise_first_run has the numbers of a job's runs begin at `first_run` or above.
    fn raise_first_run(&mut self, job: JobKey, first_run: u32) {
        let job = self.job_mut(job);
        job.first_run = job.first_run.max(first_run);
    }

    /// supersede_runs records that the names of a job's tasks are now those of another job's.
    fn supersede_runs(&mut self, job: JobKey) {
        for run in self.runs_of(job) {
            if let Some(run) = self.runs.get_mut(run) {
                run.superseded = true;
            }
        }
    }

    /// runs_of returns the runs of a job.
    fn runs_of(&self, job: JobKey) -> Vec<RunKey> {
        let tasks = self.tasks_of(job);
        tasks
            .flat_map(|task| self.task(task).runs.iter().copied())
            .collect()
    }

    /// add_job adds a job. Its rounds are loaded when they are due.
    fn add_job(&mut self, id: key::Job, record: &Record) -> JobKey {
        let mut spec = record.spec.clone();
        // The job's own copy is dropped when it has ended.
        let payload = Rc::from(std::mem::take(&mut spec.payload));
        let spec = Rc::new(spec);
        self.short_task_memory.record(&spec);
        let chain = longest_chains(&spec).into_iter().max().unwrap_or(0);
        let work = spec.work();
        let long_running = spec.steps.iter().any(|step| step.long_running);
        let has_share = !long_running && spec.schedule.is_none();
        let size_class = match has_share {
            true => self.shares.ledger(&record.queue.name).classify(work),
            false => 0,
        };
        let job = Job {
            id,
            queue: record.queue.name.clone(),
            payload,
            assigned: None,
            state: State::Pending,
            stored: State::Pending,
            rounds: Rounds::default(),
            tasks: spec.width() * spec.rounds(),
            left: spec.width() * spec.rounds(),
            first_run: self.first_run(),
            next_run: 0,
            inherited: record.fence < self.fence,
            ended_here: false,
            objective: self.objective(record, chain, 1),
            expires_at: self.objective(record, chain, EXPIRY_OBJECTIVES),
            dirty: false,
            ended_unix_ms: 0,
            ended_at: None,
            forgotten: false,
            expiry_logged: false,
            work,
            size_class,
            has_share,
            outcome_known: false,
            goes_first: false,
            spec,
        };
        let key = JobKey(self.jobs.insert(job));
        self.job_keys.insert(id, key);
        self.init_assignments(key);
        key
    }

    /// begin_job releases the only round of a job, or those of a repeated job as they fall due.
    fn begin_job(&mut self, key: JobKey) {
        if self.job(key).spec.schedule.is_some() {
            self.schedule_next(key, 0);
            self.release_if_due(key);
            return;
        }
        let round = self.load_round(key, 0);
        self.release_round(round);
    }

    /// objective returns the time by which a job should be done, by the owner's clock. `times`
    /// multiplies the time allowed after the job's acceptance.
    fn objective(&self, record: &Record, chain_ms: u64, times: u64) -> Millis {
        let queue = self.queues.get(&record.queue.name);
        let (stretch, target_ms) = queue.map_or((1.0, 0), |queue| (queue.stretch, queue.target_ms));
        let allowed = (chain_ms as f64 * stretch) as u64 + target_ms;
        let age = self.now.unix.0.saturating_sub(record.accepted_ms);
        Millis((self.now.mono.0 + allowed * times).saturating_sub(age))
    }

    /// restore applies the progress of a job that a predecessor saved.
    fn restore(&mut self, key: JobKey, progress: &Progress) {
        let now = self.now.mono;
        let job = self.job_mut(key);
        job.state = progress.state;
        job.stored = progress.state;
        job.ended_unix_ms = progress.ended_ms;
        if job.state.is_final() {
            job.ended_at = Some(now);
        }
        self.restore_done(key, progress);
        for failures in &progress.failures {
            if let Some(task) = self.open_task(key, failures.task) {
                self.task_mut(task).failed_runs = failures.runs.clone();
            }
        }
        for checkpoint in &progress.checkpoints {
            if let Some(task) = self.open_task(key, checkpoint.task) {
                self.task_mut(task).checkpoint = Some(checkpoint.text.clone());
            }
        }
        for suspect in &progress.suspects {
            if let Some(task) = self.open_task(key, suspect.task) {
                self.restore_suspect(task, suspect);
            }
        }
    }

    /// restore_done marks the tasks as done that are done by the progress of a job. Rounds that are done
    /// are not loaded.
    fn restore_done(&mut self, key: JobKey, progress: &Progress) {
        let (width, rounds) = (self.job(key).spec.width(), self.job(key).spec.rounds());
        for number in 0..rounds {
            let first = number * width;
            if first >= progress.done_limit() {
                return;
            }
            let done = (first..first + width).filter(|index| progress.is_done(*index));
            if done.clone().count() as u32 == width {
                let job = self.job_mut(key);
                job.rounds.set_done(number);
                job.left -= width;
                continue;
            }
            for index in done {
                if let Some(task) = self.open_task(key, index) {
                    self.mark_done(task);
                }
            }
        }
    }

    /// release makes the tasks of a step ready, if its round is due.
    pub(crate) fn release(&mut self, key: StepKey) {
        if !self.round(key.round).released {
            return;
        }
        let now = self.now.mono;
        self.step_mut(key).idle_since = now;
        self.step_mut(key).ready_since = now;
        for task in self.tasks_of_step(key) {
            self.make_ready(task);
        }
    }

    /// make_ready adds a task to its step's list of tasks to place, unless the task is done,
    /// has a run, its round is not due, or its job is over.
    pub(crate) fn make_ready(&mut self, key: TaskKey) {
        let task = self.task(key);
        let step = task.step;
        let may_start = self.round(key.round).released && !self.job_of(key).state.is_final();
        if task.done || task.ready || !task.runs.is_empty() || !may_start {
            return;
        }
        let now = self.now.mono;
        let task = self.task_mut(key);
        task.ready = true;
        task.ready_since = now;
        task.startable_at = None;
        let best_effort = self.step_spec(step).best_effort;
        let entry = self.step_mut(step);
        entry.ready.push(key);
        if !entry.queued {
            entry.queued = true;
            self.enqueue(step, best_effort);
        }
        self.placement_due = true;
    }

    /// mark_running records that a task of a job has started.
    pub(crate) fn mark_running(&mut self, task: TaskKey) {
        let job = self.step_of(self.task(task).step).job;
        if self.job(job).state == State::Pending {
            self.job_mut(job).state = State::Running;
        }
    }

    /// mark_done marks a task as done, and releases the steps that waited for it. It reports
    /// whether the task was not done before.
    pub(crate) fn mark_done(&mut self, key: TaskKey) -> bool {
        if self.task(key).done {
            return false;
        }
        // The task may be waiting to be placed: a copy has done its work, or restoring a
        // predecessor's progress released its step before the task itself was marked as done.
        self.unqueue(key);
        let task = self.task_mut(key);
        task.done = true;
        task.checkpoint = None;
        let step = task.step;
        let entry = self.step_mut(step);
        entry.left -= 1;
        let (job, step_done) = (entry.job, entry.left == 0);
        self.job_mut(job).left -= 1;
        let round = self.round_mut(key.round);
        round.left -= 1;
        let (number, round_done) = (round.number, round.left == 0);
        if round_done {
            self.job_mut(job).rounds.set_done(number);
            self.end_round(key.round);
        } else if step_done {
            self.release_dependents(step);
        }
        true
    }

    /// release_dependents releases the steps that waited only for the step `done`.
    fn release_dependents(&mut self, done: StepKey) {
        let job = self.job(self.round(done.round).job);
        let (spec, state) = (Rc::clone(&job.spec), job.state);
        for (later, step_spec) in spec.steps.iter().enumerate() {
            let waits = step_spec
                .after
                .iter()
                .filter(|step| **step == done.number)
                .count() as u32;
            if waits == 0 {
                continue;
            }
            let key = StepKey {
                round: done.round,
                number: later as u16,
            };
            let entry = self.step_mut(key);
            entry.blocked_by -= waits;
            if entry.blocked_by == 0 && entry.left > 0 && !state.is_final() {
                self.release(key);
            }
        }
    }

    /// end_job puts a job into a final state and stops its remaining runs.
    pub(crate) fn end_job(&mut self, key: JobKey, state: State) {
        let (mono, unix) = (self.now.mono, self.now.unix.0);
        self.record_end(key, state);
        let job = self.job_mut(key);
        job.state = state;
        job.ended_here = true;
        job.ended_at = Some(mono);
        job.ended_unix_ms = unix;
        self.unschedule(key);
        let tasks: Vec<TaskKey> = self.tasks_of(key).collect();
        for task in tasks {
            self.task_mut(task).ready = false;
        }
        for run in self.runs_of(key) {
            self.stop(run);
        }
        let rounds: Vec<RoundKey> = self.job(key).rounds.keys().collect();
        rounds.into_iter().for_each(|round| self.end_round(round));
        self.mark_dirty(key);
        self.queue_trim(key);
    }

    /// cancel ends a job that is not over yet. A cancellation may arrive before its job,
    /// because messages of two daemons may arrive in any order. It is then kept until the store,
    /// which holds both, shows the job.
    pub(crate) fn cancel(&mut self, id: key::Job) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            if self.forgotten.get(id).is_none() {
                self.cancelled.insert(id);
            }
            return;
        };
        if !self.job(key).state.is_final() {
            let runs = self.describe_runs(key);
            self.end_job(key, State::Cancelled);
            let text = format!("job cancelled by its client account, {runs}");
            self.log("job", Some(first_task(id)), text);
        }
    }

    /// describe_runs returns how many runs a job has and when the latest of them started. A start
    /// shortly before the owner learns of a cancellation shows that it learnt of it late.
    fn describe_runs(&self, key: JobKey) -> String {
        let runs = self.runs_of(key).into_iter();
        let since: Vec<Millis> = runs
            .filter_map(|run| Some(self.runs.get(run)?.since))
            .collect();
        match since.iter().max() {
            None => "nothing runs".to_owned(),
            Some(latest) => format!(
                "{} runs, the latest since {} ms",
                since.len(),
                self.now.mono.since(*latest)
            ),
        }
    }
}

/// first_task names a job's first task, for log lines about the whole job.
pub(crate) fn first_task(job: key::Job) -> TaskName {
    TaskName {
        job,
        round: 0,
        step: 0,
        index: 0,
    }
}

/// longest_chains returns, for each step, the longest chain of work that starts with it, in
/// milliseconds.
pub(crate) fn longest_chains(spec: &Spec) -> Vec<u64> {
    let mut chains = vec![0; spec.steps.len()];
    for number in (0..spec.steps.len()).rev() {
        let follows = |later: &usize| spec.steps[*later].after.contains(&(number as u16));
        let longest = (number + 1..spec.steps.len())
            .filter(follows)
            .map(|later| chains[later])
            .max();
        chains[number] = u64::from(spec.steps[number].estimate_ms) + longest.unwrap_or(0);
    }
    chains
}
