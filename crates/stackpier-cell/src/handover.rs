// SPDX-License-Identifier: Apache-2.0
//! Progress that a predecessor knows of and the store lacks, and the cancellations that it took.
//!
//! An owner keeps recording ends while the store is unavailable. If a worker leaves or crashes in
//! that time, its list of ends is lost, and only that owner can tell its successor which tasks are
//! done. The end of a run remains valid whoever owns the cell, so the successor applies this
//! progress at any time and in any order.
//!
//! An owner that does not know yet that it was replaced may take a cancellation which the successor
//! has not seen in the store: it listed the jobs before.

use stackpier_core::key;
use stackpier_state::job::{Checkpoint, Failures, Progress, State};

use crate::{
    Cell, Unsaved,
    arena::{JobKey, TaskKey},
};

impl Cell {
    /// unsaved returns the progress that the store is not known to have. Jobs that were cancelled
    /// before this owner knew them are among it.
    pub fn unsaved(&self) -> Vec<Unsaved> {
        let unsaved = |key: JobKey| Unsaved {
            job: self.job(key).id,
            progress: self.progress(key),
        };
        let mut all: Vec<Unsaved> = self.saver.unsaved().into_iter().map(unsaved).collect();
        let mut cancelled: Vec<key::Job> = self.cancelled.iter().copied().collect();
        cancelled.sort_unstable();
        all.extend(cancelled.into_iter().map(|job| Unsaved {
            job,
            progress: Progress {
                state: State::Cancelled,
                ..Progress::default()
            },
        }));
        all
    }

    /// await_handover makes inherited tasks wait until the predecessor has been asked for progress
    /// that it could not save.
    pub fn await_handover(&mut self) {
        self.ownership.awaits_handover = true;
    }

    /// handle_predecessor_answer applies the answer of the predecessor and lets inherited tasks
    /// start.
    pub(crate) fn handle_predecessor_answer(&mut self, unsaved: &[Unsaved]) {
        self.ownership.awaits_handover = false;
        self.placement_due = true;
        self.apply_handover(unsaved);
    }

    /// apply_handover applies progress that a predecessor could not save, and the cancellations
    /// among it.
    pub(crate) fn apply_handover(&mut self, unsaved: &[Unsaved]) {
        let (mut done, mut cancelled) = (0, 0);
        for Unsaved { job, progress } in unsaved {
            let known = self.job_keys.get(job).copied();
            if let Some(key) = known.filter(|key| !self.job(*key).state.is_final()) {
                done += self.merge_progress(key, progress);
            }
            if progress.state == State::Cancelled {
                cancelled += 1;
                self.cancel(*job);
            }
        }
        if !unsaved.is_empty() {
            let text = format!(
                "a predecessor had unsaved progress of {} jobs, which shows {done} more \
                 tasks as done and {cancelled} jobs as cancelled",
                unsaved.len()
            );
            self.log("takeover", None, text);
        }
    }

    /// merge_progress adds the progress that a predecessor had of a job, and returns how many
    /// tasks it shows to be done that were not known to be.
    fn merge_progress(&mut self, key: JobKey, progress: &Progress) -> usize {
        let newly_done: Vec<TaskKey> = (0..self.job(key).tasks)
            .filter(|index| progress.is_done(*index))
            .filter_map(|index| self.open_task(key, index))
            .collect();
        self.mark_dirty(key);
        for task in &newly_done {
            self.complete_task(*task);
        }
        for checkpoint in &progress.checkpoints {
            self.merge_checkpoint(key, checkpoint);
        }
        for suspect in &progress.suspects {
            if let Some(task) = self.open_task(key, suspect.task)
                && self.task(task).suspect.is_none()
            {
                self.restore_suspect(task, suspect);
            }
        }
        for failures in &progress.failures {
            self.merge_failures(key, failures);
        }
        if let Some(task) = newly_done.first() {
            self.end_completed_job(*task);
        }
        newly_done.len()
    }

    /// open_task returns the task at an index of a job, unless the task is done or the job has
    /// ended.
    pub(crate) fn open_task(&mut self, key: JobKey, index: u32) -> Option<TaskKey> {
        let job = self.job(key);
        let round = index / job.spec.width().max(1);
        if job.state.is_final() || job.rounds.done().contains(round) {
            return None;
        }
        let task = self.load_index(key, index)?;
        (!self.task(task).done).then_some(task)
    }

    /// merge_checkpoint applies a checkpoint of the predecessor, unless a run of the task has
    /// begun since.
    fn merge_checkpoint(&mut self, key: JobKey, checkpoint: &Checkpoint) {
        let first_run = self.first_run();
        if let Some(task) = self.open_task(key, checkpoint.task)
            && self.task(task).runs.is_empty()
            && self.task(task).next_run == first_run
        {
            self.task_mut(task).checkpoint = Some(checkpoint.text.clone());
        }
    }

    fn merge_failures(&mut self, key: JobKey, failures: &Failures) {
        let Some(task) = self.open_task(key, failures.task) else {
            return;
        };
        let now = self.now.mono;
        let entry = self.task_mut(task);
        for run in &failures.runs {
            if !entry.failed_runs.contains(run) {
                entry.failed_runs.push(*run);
                entry.failed_at = now;
            }
        }
        self.fail_exhausted_job(task);
    }
}
