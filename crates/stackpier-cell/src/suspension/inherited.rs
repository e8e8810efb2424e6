// SPDX-License-Identifier: Apache-2.0
//! The suspensions that a predecessor saved: which tasks of earlier jobs wait for which workers.

use std::collections::HashMap;

use stackpier_core::Millis;

use super::{Entry, Record, Suspension};
use crate::{
    Cell, TaskName,
    arena::{TaskKey, WorkerKey},
    worker::{Presence, Worker},
};

/// Inherited holds the tasks that the predecessor named, with the workers that may run them.
#[derive(Debug, Default)]
pub(super) struct Inherited {
    named: HashMap<TaskName, Vec<WorkerKey>>,
}

impl Inherited {
    fn add(&mut self, task: TaskName, worker: WorkerKey) {
        self.named.entry(task).or_default().push(worker);
    }

    fn remove(&mut self, task: &TaskName, worker: WorkerKey) {
        if let Some(workers) = self.named.get_mut(task) {
            workers.retain(|other| *other != worker);
        }
    }

    /// add_incarnation records that what may run on a worker may also run on its next incarnation.
    pub(super) fn add_incarnation(&mut self, earlier: WorkerKey, later: WorkerKey) {
        for workers in self.named.values_mut() {
            if workers.contains(&earlier) {
                workers.push(later);
            }
        }
    }
}

impl Cell {
    /// restore_suspensions adds the suspensions in a record that has been in the store for `age_ms`
    /// at least. The roster must have been added before, and jobs and listed workers must not.
    pub fn restore_suspensions(&mut self, record: &Record, age_ms: u64) {
        if record.entries.is_empty() {
            return;
        }
        let (workers, fence) = (record.entries.len(), record.fence);
        if fence + 1 != self.fence {
            let text = format!(
                "the record of {workers} suspended workers is ignored: the owner with fence {fence} \
                 saved it, not the direct predecessor"
            );
            self.log("takeover", None, text);
            return;
        }
        for entry in &record.entries {
            self.restore_suspension(entry, age_ms);
        }
        let text = format!(
            "{workers} workers were suspended at least {age_ms} ms ago; only {} tasks wait for them",
            self.suspensions.inherited.named.len()
        );
        self.log("takeover", None, text);
    }

    fn restore_suspension(&mut self, entry: &Entry, age_ms: u64) {
        if let Some(key) = self.restore_entry(entry, age_ms) {
            self.worker_mut(key).suspension = Suspension::Active;
            self.saver.suspensions_changed = true;
        }
    }

    /// restore_entry records which tasks predecessors may have left on a worker of the roster, and
    /// until when. It replaces what an earlier record tells. It returns the worker, if it is known.
    pub(crate) fn restore_entry(&mut self, entry: &Entry, age_ms: u64) -> Option<WorkerKey> {
        let key = self.worker_keys.get(&entry.worker).copied()?;
        let left_ms = entry.remaining_ms.saturating_sub(age_ms);
        let leased_until = self.now.mono.plus(left_ms);
        let worker = self.worker_mut(key);
        worker.leased_until = Some(leased_until);
        let before = std::mem::replace(&mut worker.inherited_tasks, entry.tasks.clone());
        for task in before.iter().flatten() {
            self.suspensions.inherited.remove(task, key);
        }
        for task in entry.tasks.iter().flatten() {
            self.suspensions.inherited.add(*task, key);
        }
        Some(key)
    }

    /// is_named reports whether a task may have run on a worker that a predecessor suspended.
    pub(crate) fn is_named(&self, task: TaskKey) -> bool {
        !self.possible_workers(task).is_empty()
    }

    /// has_named_tasks reports whether there are such tasks.
    pub(crate) fn has_named_tasks(&self) -> bool {
        !self.suspensions.inherited.named.is_empty()
    }

    /// awaits_suspended reports whether a task may still run, or have ended unseen, on a worker that
    /// a predecessor suspended.
    pub(crate) fn awaits_suspended(&self, task: TaskKey) -> bool {
        let mut workers = self.possible_workers(task).iter();
        workers.any(|key| {
            let worker = self.worker(*key);
            worker.is_inherited() && !self.has_outlived(worker)
        })
    }

    /// absent_since_release_ms returns for how long a task is not known to have run that a predecessor
    /// left on a worker which does not answer: since its lease was last renewed.
    pub(crate) fn absent_since_release_ms(&self, task: TaskKey) -> Option<u64> {
        let renewed_ago = |key: &WorkerKey| {
            let worker = self.worker(*key);
            let is_silent =
                worker.silent_since.is_some() || worker.suspension == Suspension::Active;
            let until = worker
                .leased_until
                .filter(|_| is_silent && worker.is_inherited())?;
            Some(self.now.mono.plus(self.longest_lease_ms()).since(until))
        };
        let workers = self.possible_workers(task).iter();
        workers.filter_map(renewed_ago).min()
    }

    /// possible_workers returns the suspended workers on which a predecessor may have left a task.
    pub(crate) fn possible_workers(&self, task: TaskKey) -> &[WorkerKey] {
        if !self.has_named_tasks() {
            return &[];
        }
        let workers = self.suspensions.inherited.named.get(&self.name(task));
        workers.map_or(&[], Vec::as_slice)
    }

    /// has_outlived reports whether all leases of earlier owners on a suspended worker that still
    /// does not answer have expired, and no successor had acted by then.
    pub(crate) fn has_outlived(&self, worker: &Worker) -> bool {
        let expired = |until: Millis| self.is_confirmed_after(until);
        let is_silent = worker.presence == Presence::Gone || self.may_presume_ended(worker);
        worker.leased_until.is_some_and(expired) && is_silent
    }

    /// prune_named drops the named tasks all of whose workers have reported.
    pub(crate) fn prune_named(&mut self) {
        let mut named = std::mem::take(&mut self.suspensions.inherited.named);
        let is_unreported = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.is_inherited() || worker.is_lost_uncontacted()
        };
        named.retain(|_, workers| workers.iter().any(is_unreported));
        self.suspensions.inherited.named = named;
    }
}
