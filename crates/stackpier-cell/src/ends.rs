// SPDX-License-Identifier: Apache-2.0
//! Handling of ended runs, and the effects on their tasks and jobs.

use stackpier_core::Millis;
use stackpier_state::job::State;

use crate::{
    Cell, End, EndCause, TaskName,
    arena::{JobKey, TaskKey, WorkerKey},
    downtime::Cause,
    received::Skipped,
    run::Run,
    worker::Worker,
};

/// LAST_FAILURES marks tasks that are close to failing their job: one that may fail only this many
/// more times, or fewer, is at first started only on workers that recently finished a run.
pub(crate) const LAST_FAILURES: u16 = 1;

impl Cell {
    /// apply_ends records the new ends in a report that was requested at `sent`.
    pub(crate) fn apply_ends(&mut self, worker: WorkerKey, sent: Millis, ends: Vec<End>) {
        self.log_order(worker, &ends);
        let now = self.now.mono;
        let mut has_new = false;
        for end in ends {
            if self.worker_mut(worker).received.insert(end.number) {
                has_new = true;
                self.apply_end(worker, &end);
                self.record_unstored(worker, end.task);
            }
        }
        let after = self.saver.next();
        let wait_ms = self.gap_wait_ms(self.worker(worker));
        let entry = self.worker_mut(worker);
        let before = entry.received.last_contiguous();
        let skipped = entry.received.advance_past_gap(sent, now, wait_ms);
        let advanced = entry.received.last_contiguous() > before;
        if has_new {
            entry.ack_after_save = after;
        }
        if (has_new || advanced) && !self.saver.unacked.contains(&worker) {
            self.saver.unacked.push(worker);
        }
        if let Some(skipped) = skipped {
            self.log_skipped(worker, skipped);
        }
    }

    /// record_unstored records that the store may lack the end of a run of a task.
    fn record_unstored(&mut self, worker: WorkerKey, name: TaskName) {
        let task = self.find(name);
        let long_running = |task| self.step_spec(self.task(task).step).long_running;
        if task.is_some_and(|task| !long_running(task)) {
            self.worker_mut(worker).unstored.push(name);
        }
    }

    /// log_skipped logs ends that count as received though no report listed them.
    fn log_skipped(&mut self, worker: WorkerKey, skipped: Skipped) {
        let Skipped { first, last } = skipped;
        let id = &self.worker(worker).info.id;
        let text = format!("worker {id} lists ends above {last}, but none from {first} to {last}");
        self.log("report", None, text);
    }

    /// gap_wait_ms returns how long the owner waits for ends missing below others: as long as
    /// for a run that is no longer reported. Numbers below the first that an inherited worker
    /// lists were most likely acknowledged by the predecessor. One more report without them is
    /// then enough: during a longer wait the worker's runs would be checked less often.
    fn gap_wait_ms(&self, worker: &Worker) -> u64 {
        if worker.is_inherited() && worker.received.last_contiguous() == 0 {
            0
        } else {
            self.options.stop_ms
        }
    }

    /// log_order logs a list of ends that is not in the order of their numbers.
    fn log_order(&mut self, worker: WorkerKey, ends: &[End]) {
        let inverted = |pair: &[End]| (pair[0].number > pair[1].number).then_some(pair[1].number);
        let lower = ends.windows(2).find_map(inverted);
        if let Some(number) = lower {
            let worker = self.worker(worker);
            let text = format!(
                "worker {} lists end {number} after one with a higher number, {} ends in total; ends up to {} are known",
                worker.info.id,
                ends.len(),
                worker.received.last_contiguous()
            );
            self.log("report", None, text);
        }
    }

    fn apply_end(&mut self, worker: WorkerKey, end: &End) {
        let Some(task) = self.find_reported(end.task, end.run) else {
            let text = "end of a run of an unknown or earlier job".to_owned();
            self.log("end", Some(end.task), text);
            return;
        };
        let entry = self.task_mut(task);
        entry.next_run = entry.next_run.max(end.run + 1);
        if let Some(run) = self.find_run(task, worker, end.run) {
            let run = self.drop_run(run, Cause::Listed(end.cause));
            self.task_mut(task).end_witnessed = run.as_ref().is_some_and(|run| run.witnessed);
            if let Some(run) = run.filter(|_| end.cause == EndCause::Done) {
                self.record_duration(&run);
            }
        } else {
            self.record_unseen_end(task, end.cause);
        }
        match end.cause {
            EndCause::Done => self.record_done(task, worker, end.run),
            EndCause::Failed => self.record_failed(task, worker, end.run),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
                self.log_early_end(task, worker, end);
                self.record_early_end(task, end)
            }
        }
    }

    /// record_duration records how long a run took that has done its task's work.
    fn record_duration(&mut self, run: &Run) {
        let spec = self.step_spec(run.step);
        let (estimate_ms, best_effort) = (u64::from(spec.estimate_ms), spec.best_effort);
        // A run that resumed from a checkpoint has done only a part of the work.
        let whole = run.number == self.first_run();
        if let Some(confirmed) = run.confirmed
            && !run.long_running
            && whole
        {
            let service = self.worker(run.worker).service;
            let ran_ms = self.now.mono.since(confirmed);
            self.durations
                .record(service, best_effort, estimate_ms, ran_ms);
        }
    }

    fn record_done(&mut self, task: TaskKey, worker: WorkerKey, run: u32) {
        let now = self.now.mono;
        self.worker_mut(worker).health.record_success(now);
        let step = self.task(task).step;
        if self.step_spec(step).long_running {
            // A long-running task is started again, whatever the cause of its end.
            self.make_ready(task);
            return;
        }
        self.log_repeat(task, worker, run);
        for member in self.members(task) {
            self.complete_task(member);
        }
        self.mark_dirty(self.step_of(step).job);
        self.end_completed_job(task);
    }

    /// end_completed_job ends the job of a finished task if no other task is left.
    pub(crate) fn end_completed_job(&mut self, task: TaskKey) {
        let job = self.step_of(self.task(task).step).job;
        if self.job(job).left == 0 && !self.job(job).state.is_final() {
            self.end_job(job, State::Completed);
            let name = self.name(task);
            let text = format!("job completed {}", self.describe_lateness(job));
            self.log("job", Some(name), text);
        }
    }

    /// log_repeat logs a task that two runs have done, except for members of a gang and tasks that
    /// may have copies, where this is expected.
    fn log_repeat(&mut self, task: TaskKey, worker: WorkerKey, run: u32) {
        let spec = self.step_spec(self.task(task).step);
        let allowed = spec.gang || spec.speculative;
        let first = *self.task_mut(task).done_by.get_or_insert(run);
        if allowed || first == run {
            return;
        }
        let id = &self.worker(worker).info.id;
        let text = format!("run {run} on worker {id} repeated work that run {first} had done");
        let name = self.name(task);
        self.log("repeat", Some(name), text);
    }

    /// members returns the tasks that a run of a task counts for: all tasks of its step if that
    /// is a gang, else the task alone.
    pub(crate) fn members(&self, task: TaskKey) -> impl Iterator<Item = TaskKey> + use<> {
        let step = self.task(task).step;
        let entry = self.step_of(step);
        let positions = if self.step_spec(step).gang {
            entry.first_task..entry.first_task + entry.count
        } else {
            task.position..task.position + 1
        };
        let round = task.round;
        positions.map(move |position| TaskKey { round, position })
    }

    /// complete_task marks a task as done and stops its remaining runs.
    pub(crate) fn complete_task(&mut self, task: TaskKey) {
        if self.mark_done(task) {
            for copy in self.task(task).runs.clone() {
                self.stop(copy);
            }
        }
    }

    fn record_failed(&mut self, task: TaskKey, worker: WorkerKey, run: u32) {
        let now = self.now.mono;
        self.worker_mut(worker).health.record_failure(now);
        self.record_failure_on(task, worker);
        let entry = self.task_mut(task);
        let step = entry.step;
        if entry.failed_runs.contains(&run) {
            self.make_ready(task);
            return;
        }
        entry.failed_runs.push(run);
        entry.failed_at = now;
        let failures = entry.failed_runs.len();
        let text = format!(
            "failed run {run} on worker {}, failure {failures}",
            self.worker(worker).info.id
        );
        let name = self.name(task);
        self.log("end", Some(name), text);
        let job = self.step_of(step).job;
        if self.step_spec(step).long_running {
            self.make_ready(task);
            return;
        }
        self.mark_dirty(job);
        if !self.fail_exhausted_job(task) {
            self.make_ready(task);
        }
    }

    /// fail_exhausted_job ends the job of a task that has failed as often as its queue allows,
    /// and reports whether it did.
    pub(crate) fn fail_exhausted_job(&mut self, task: TaskKey) -> bool {
        let step = self.task(task).step;
        let job = self.step_of(step).job;
        let failures = self.task(task).failed_runs.len();
        let exhausted =
            failures >= usize::from(self.attempts(job)) && !self.step_spec(step).long_running;
        if !exhausted || self.task(task).done || self.job(job).state.is_final() {
            return false;
        }
        self.end_job(job, State::Failed);
        let name = self.name(task);
        let text = format!("job failed after {failures} failed runs of this task");
        self.log("job", Some(name), text);
        true
    }

    /// attempts returns how many failed runs of a task fail its job.
    pub(crate) fn attempts(&self, job: JobKey) -> u16 {
        let queue = self.queues.get(&self.job(job).queue);
        queue.map_or(u16::MAX, |queue| queue.attempts.max(1))
    }

    /// log_early_end logs that a run of a long-running task ended before its work was done. Client
    /// accounts count such a task as lost if it does not run again in time.
    fn log_early_end(&mut self, task: TaskKey, worker: WorkerKey, end: &End) {
        if !self.step_spec(self.task(task).step).long_running {
            return;
        }
        let id = &self.worker(worker).info.id;
        let text = format!(
            "run {} on worker {id} ended early: {:?}",
            end.run, end.cause
        );
        self.log("end", Some(end.task), text);
    }

    fn record_early_end(&mut self, task: TaskKey, end: &End) {
        if !end.checkpoint.is_empty() && !self.task(task).done {
            self.keep_checkpoint(task, &end.checkpoint);
        }
        self.make_ready(task);
    }

    /// unqueue removes a task from its step's list of tasks to place.
    pub(crate) fn unqueue(&mut self, task: TaskKey) {
        if !self.task(task).ready {
            return;
        }
        self.task_mut(task).ready = false;
        let step = self.task(task).step;
        self.step_mut(step).ready.retain(|other| *other != task);
    }
}
