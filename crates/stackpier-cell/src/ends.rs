// SPDX-License-Identifier: Apache-2.0
//! Runs that ended, and what follows for their tasks and jobs.

use stackpier_core::Millis;
use stackpier_state::job::State;

use crate::{
    Cell, End, EndCause,
    arena::{JobKey, TaskKey, WorkerKey},
    received::Skipped,
    worker::Worker,
};

/// LAST_FAILURES is how many failures a job's task may have left to spend
/// before it is started only on workers that lately did work.
pub(crate) const LAST_FAILURES: u16 = 1;

impl Cell {
    /// apply_ends takes in the ends that are new, of a report that was asked for at `sent`.
    pub(crate) fn apply_ends(&mut self, worker: WorkerKey, sent: Millis, ends: Vec<End>) {
        self.log_order(worker, &ends);
        let now = self.now.mono;
        let mut news = false;
        for end in ends {
            if self.worker_mut(worker).received.insert(end.number) {
                news = true;
                self.apply_end(worker, &end);
            }
        }
        let after = self.saver.next();
        let wait_ms = self.gap_ms(self.worker(worker));
        let entry = self.worker_mut(worker);
        let before = entry.received.last_contiguous();
        let skipped = entry.received.advance_past_gap(sent, now, wait_ms);
        let more = entry.received.last_contiguous() > before;
        if news {
            entry.ack_after_save = after;
        }
        if (news || more) && !self.saver.unacked.contains(&worker) {
            self.saver.unacked.push(worker);
        }
        if let Some(skipped) = skipped {
            self.log_skipped(worker, skipped);
        }
    }

    /// log_skipped tells of ends that count as taken in though no report listed them.
    fn log_skipped(&mut self, worker: WorkerKey, skipped: Skipped) {
        let Skipped { first, last } = skipped;
        let id = &self.worker(worker).info.id;
        let text = format!("worker {id} lists ends above {last}, but none from {first} to {last}");
        self.log("report", None, text);
    }

    /// gap_ms returns for how long ends are waited for that are missing below others: as long
    /// as for a run that is not shown. Numbers below the first that an earlier owner's worker
    /// lists have most likely been noted: one more report without them has to do, or its work
    /// would be looked at less often for as long.
    fn gap_ms(&self, worker: &Worker) -> u64 {
        if worker.is_inherited() && worker.received.last_contiguous() == 0 {
            0
        } else {
            self.options.stop_ms
        }
    }

    /// log_order tells of a list that is not in the order of its numbers.
    fn log_order(&mut self, worker: WorkerKey, ends: &[End]) {
        let falls = |pair: &[End]| (pair[0].number > pair[1].number).then_some(pair[1].number);
        let fallen = ends.windows(2).find_map(falls);
        if let Some(number) = fallen {
            let worker = self.worker(worker);
            let text = format!(
                "worker {} lists end {number} behind a later one, {} ends in all; {} are known",
                worker.info.id,
                ends.len(),
                worker.received.last_contiguous()
            );
            self.log("report", None, text);
        }
    }

    fn apply_end(&mut self, worker: WorkerKey, end: &End) {
        let Some(task) = self.find(end.task) else {
            let text = "end of a run whose job is not known".to_owned();
            self.log("end", Some(end.task), text);
            return;
        };
        let entry = self.task_mut(task);
        entry.next_run = entry.next_run.max(end.run + 1);
        if let Some(run) = self.run_on(task, worker, end.run) {
            self.drop_run(run);
        }
        match end.cause {
            EndCause::Done => self.end_done(task, worker, end.run),
            EndCause::Failed => self.end_failed(task, worker, end.run),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
                self.end_early(task, end)
            }
        }
    }

    fn end_done(&mut self, task: TaskKey, worker: WorkerKey, run: u32) {
        let now = self.now.mono;
        self.worker_mut(worker).health.record_success(now);
        let step = self.task(task).step;
        if self.step_spec(step).long_running {
            // A task that lasts is started again however it ends.
            self.make_ready(task);
            return;
        }
        self.log_repeat(task, worker, run);
        for member in self.members(task) {
            self.finish(member);
        }
        self.mark_dirty(self.step_of(step).job);
        self.complete_job(task);
    }

    /// complete_job ends the job of a task that is done if it was the last one.
    pub(crate) fn complete_job(&mut self, task: TaskKey) {
        let job = self.step_of(self.task(task).step).job;
        if self.job(job).left == 0 && !self.job(job).state.is_final() {
            self.end_job(job, State::Completed);
            let name = self.name(task);
            let text = format!("job completed {}", self.describe_lateness(job));
            self.log("job", Some(name), text);
        }
    }

    /// log_repeat tells of a task that two runs have done. Members of a gang all end so, and
    /// copies may.
    fn log_repeat(&mut self, task: TaskKey, worker: WorkerKey, run: u32) {
        let shape = self.step_spec(self.task(task).step);
        let allowed = shape.gang || shape.speculative;
        let first = *self.task_mut(task).done_by.get_or_insert(run);
        if allowed || first == run {
            return;
        }
        let life = &self.worker(worker).info.id;
        let text = format!("run {run} on worker {life} did work that run {first} had done");
        let name = self.name(task);
        self.log("repeat", Some(name), text);
    }

    /// members returns the tasks that a run of a task stands for: all of its
    /// step if that is a gang, else the task alone.
    pub(crate) fn members(&self, task: TaskKey) -> impl Iterator<Item = TaskKey> + use<> {
        let step = self.task(task).step;
        let entry = self.step_of(step);
        let members = if self.step_spec(step).gang {
            entry.first_task.0..entry.first_task.0 + entry.count
        } else {
            task.0..task.0 + 1
        };
        members.map(TaskKey)
    }

    /// finish notes that a task is done and stops copies of it.
    pub(crate) fn finish(&mut self, task: TaskKey) {
        if self.finish_task(task) {
            for copy in self.task(task).runs.clone() {
                self.stop(copy);
            }
        }
    }

    fn end_failed(&mut self, task: TaskKey, worker: WorkerKey, run: u32) {
        let now = self.now.mono;
        self.worker_mut(worker).health.record_failure(now);
        self.fail_on(task, worker);
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
        if !self.fail_job(task) {
            self.make_ready(task);
        }
    }

    /// fail_job ends the job of a task that has failed as often as its queue allows, and tells
    /// whether it did.
    pub(crate) fn fail_job(&mut self, task: TaskKey) -> bool {
        let step = self.task(task).step;
        let job = self.step_of(step).job;
        let failures = self.task(task).failed_runs.len();
        let spent =
            failures >= usize::from(self.attempts(job)) && !self.step_spec(step).long_running;
        if !spent || self.task(task).done || self.job(job).state.is_final() {
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

    fn end_early(&mut self, task: TaskKey, end: &End) {
        if !end.checkpoint.is_empty() && !self.task(task).done {
            self.keep_checkpoint(task, &end.checkpoint);
        }
        self.make_ready(task);
    }

    /// unqueue takes a task out of its step's list of tasks to place.
    pub(crate) fn unqueue(&mut self, task: TaskKey) {
        if !self.task(task).ready {
            return;
        }
        self.task_mut(task).ready = false;
        let step = self.task(task).step;
        self.step_mut(step).ready.retain(|other| *other != task);
    }
}
