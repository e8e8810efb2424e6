// SPDX-License-Identifier: Apache-2.0
//! Saving what a successor needs to know about tasks that may crash workers: the crashes that were
//! found, and the starts whose outcome is still open.
//!
//! An owner may end before it finds that the worker of a start has fallen silent. The start of a
//! suspect is therefore saved as if its worker had crashed, until the run is cleared. A successor
//! sees which of these workers are still alive.
//!
//! This misses the first crash of a task, because its start was not yet isolated or saved. The
//! successor then sees only a worker that does not answer and a task that runs nowhere, which looks
//! the same as a task that was still waiting. Such a task does not become a
//! suspect, but its next start is recorded.

use stackpier_core::Incarnation;
use stackpier_state::job;

use super::CLEAR_AFTER_MS;
use crate::{
    Cell, Mechanism,
    arena::{RunKey, TaskKey},
    run::Run,
    worker::Worker,
};

impl Cell {
    /// record_start has the store record a start that may crash its worker, before the start is
    /// sent.
    pub(crate) fn record_start(&mut self, key: RunKey, task: TaskKey) {
        if !self.may_have_crashed(task) {
            return;
        }
        let save = self.saver.save_to_await();
        if let Some(run) = self.runs.get_mut(key) {
            run.recorded = true;
            run.after_save = save;
        }
        self.mark_dirty(self.step_of(self.task(task).step).job);
    }

    /// may_have_crashed reports whether a task is a suspect, or may have crashed a worker under a
    /// predecessor.
    fn may_have_crashed(&self, task: TaskKey) -> bool {
        let suspected = self.task(task).suspect.is_some();
        self.is_enabled(Mechanism::Suspects) && (suspected || self.may_have_crashed_unseen(task))
    }

    /// may_have_crashed_unseen reports whether a task may have crashed a worker under a predecessor
    /// that ended before it noticed: no run of the task has ended under this owner, and this owner
    /// has not received reports from all workers.
    fn may_have_crashed_unseen(&self, task: TaskKey) -> bool {
        let inherited = self.job_of(task).inherited;
        let unseen = match self.knows_assignments(task) {
            true => self.may_have_run_on_lost(task),
            false => self.misses_workers() || self.is_named(task),
        };
        let downtime = self.task(task).downtime;
        inherited && downtime.is_none_or(|downtime| downtime.inherited) && unseen
    }

    /// misses_workers reports whether a predecessor may have started any task on a worker that
    /// this owner has not received a report from.
    fn misses_workers(&self) -> bool {
        let missing = |worker: &Worker| {
            let unreported = worker.is_inherited() || worker.is_lost_uncontacted();
            unreported && worker.inherited_tasks.is_none()
        };
        self.workers.iter().any(missing)
    }

    /// saved_suspect returns the evidence against a task in the form in which the store keeps it.
    pub(crate) fn saved_suspect(&self, key: TaskKey, index: u32) -> Option<job::Suspect> {
        let suspect = self.task(key).suspect.as_deref();
        let recorded = self.recorded_incarnations(key);
        if suspect.is_none() && recorded.is_empty() {
            return None;
        }
        let suspect = suspect.cloned().unwrap_or_default();
        let mut saved = job::Suspect {
            task: index,
            incarnations: suspect.incarnations,
            span_ms: suspect.span_ms,
            alone: suspect.alone,
            unconfirmed: suspect.unconfirmed,
        };
        if !recorded.is_empty() {
            saved
                .incarnations
                .retain(|incarnation| !recorded.contains(incarnation));
            saved.incarnations.extend(recorded);
            // It is not known how long the crash took, nor what else can have caused it.
            saved.span_ms = CLEAR_AFTER_MS;
            saved.alone = false;
            saved.unconfirmed = true;
        }
        Some(saved)
    }

    /// recorded_incarnations returns the incarnations of workers that a recorded start of a task
    /// may still crash. Silent workers are left out: for them it has already been decided which
    /// runs are suspected.
    fn recorded_incarnations(&self, key: TaskKey) -> Vec<Incarnation> {
        let runs = self.task(key).runs.iter();
        let runs = runs.filter_map(|run| self.runs.get(*run));
        let recorded = runs.filter(|run: &&Run| run.is_recorded());
        let workers = recorded.map(|run| self.worker(run.worker));
        let responsive = workers.filter(|worker| worker.silent_since.is_none());
        responsive.map(Worker::incarnation).collect()
    }
}
