// SPDX-License-Identifier: Apache-2.0
//! What a successor is told of tasks that may crash workers: the crashes that were found, and
//! the starts of which nothing is known yet.
//!
//! An owner may end before it finds the worker silent that its start has brought down. So
//! the start of a suspect is saved as if its worker had crashed, until the run is proved; a
//! successor sees which of these workers live on.
//!
//! The first crash of a task is missed in that way, as its start was like any other. All that
//! is left of it is a worker that the successor does not hear and a task that it finds nowhere,
//! like all that had to wait. None of these is suspected, but their next starts are recorded.

use stackpier_core::Incarnation;
use stackpier_state::job;

use super::PROVED_MS;
use crate::{
    Cell, Mechanism,
    arena::{RunKey, TaskKey},
    run::Run,
    worker::{Presence, Worker},
};

impl Cell {
    /// record_start has the store keep a start that may crash its worker, before it is sent.
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

    /// may_have_crashed tells whether a task that is started is suspected, or may have crashed
    /// a worker under an earlier owner.
    fn may_have_crashed(&self, task: TaskKey) -> bool {
        let suspected = self.task(task).suspect.is_some();
        self.is_enabled(Mechanism::Suspects) && (suspected || self.may_have_crashed_unseen(task))
    }

    /// may_have_crashed_unseen tells whether a task may have crashed a worker without its owner
    /// having lived to see that: no run of it has ended under this one.
    fn may_have_crashed_unseen(&self, task: TaskKey) -> bool {
        let inherited = self.job_of(task).inherited;
        inherited && self.task(task).ended.is_none() && self.misses_workers()
    }

    /// misses_workers tells whether an earlier owner may have started something on a worker
    /// that this one has not heard.
    fn misses_workers(&self) -> bool {
        let unheard = |worker: &Worker| worker.presence == Presence::Gone && worker.clock.is_none();
        let missing = |worker: &Worker| worker.is_inherited() || unheard(worker);
        self.workers.iter().any(missing)
    }

    /// saved_suspect returns what the store is to keep against a task.
    pub(crate) fn saved_suspect(&self, key: TaskKey, place: u32) -> Option<job::Suspect> {
        let suspect = self.task(key).suspect.as_deref();
        let recorded = self.recorded_lives(key);
        if suspect.is_none() && recorded.is_empty() {
            return None;
        }
        let suspect = suspect.cloned().unwrap_or_default();
        let mut saved = job::Suspect {
            task: place,
            lives: suspect.lives,
            span_ms: suspect.span_ms,
            alone: suspect.alone,
            unclear: suspect.unclear,
        };
        if !recorded.is_empty() {
            saved.lives.retain(|life| !recorded.contains(life));
            saved.lives.extend(recorded);
            // How long the crash took, and what else can have caused it, is not known.
            saved.span_ms = PROVED_MS;
            saved.alone = false;
            saved.unclear = true;
        }
        Some(saved)
    }

    /// recorded_lives returns the lives of workers that a recorded start of a task may yet
    /// crash. Of one that is silent it is known already which of its runs are suspected.
    fn recorded_lives(&self, key: TaskKey) -> Vec<Incarnation> {
        let runs = self.task(key).runs.iter();
        let runs = runs.filter_map(|run| self.runs.get(*run));
        let recorded = runs.filter(|run: &&Run| run.is_recorded());
        let workers = recorded.map(|run| self.worker(run.worker));
        let heard = workers.filter(|worker| worker.silent_since.is_none());
        heard.map(Worker::incarnation).collect()
    }
}
