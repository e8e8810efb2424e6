// SPDX-License-Identifier: Apache-2.0
//! Suspended workers: silent ones to which no owner starts or leases anything, by a record in the
//! store.
//!
//! An owner suspends a worker once it has been silent for a while. The record names the tasks that
//! may run there and bounds the lease. Before the owner starts or leases anything there again, it
//! has to withdraw the suspension: to save a record without the worker. So a successor that reads
//! the record knows what may run on a worker that it can't reach, whether or not earlier owners
//! still act. Only the named tasks wait for that worker, and only until the lease has expired.
//!
//! A suspension binds the owner that saved it, up to the takeover by the next one. A successor
//! continues the suspensions that it has read under its own fence, and relies only on a record that
//! its direct predecessor saved: an owner between them may be of a version that knows no
//! suspensions.
//!
//! The lease on a suspended worker can't be renewed before the suspension is withdrawn. So workers
//! are only suspended while the store answers and saves are fast.

mod inherited;

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{
    Cell, TaskName,
    arena::WorkerKey,
    worker::{Presence, Worker},
};

use self::inherited::Inherited;

/// SILENT_MS is the time since its last answer after which a silent worker is suspended. One whose
/// answers get lost at times usually answers within it.
const SILENT_MS: u64 = 1_000;
/// UNREACHED_MS is the time since a worker was found silent after which it is suspended if it refuses
/// connections: one whose connection broke has answered on another one by then.
const UNREACHED_MS: u64 = 250;
/// MAX_SAVE_MS is how long the last save may have taken when workers are suspended.
const MAX_SAVE_MS: u64 = 800;
/// INTERVAL_MS is the time between two checks for workers to suspend, which then share a save.
const INTERVAL_MS: u64 = 50;
/// MAX_NAMED_TASKS is how many tasks a record names. It takes up to 100 kB then, which a link of 2
/// Mbit/s carries within the timeout of a save. Workers beyond that are not suspended, and in a
/// release any task may run there.
pub(crate) const MAX_NAMED_TASKS: usize = 6_000;

/// Record is the list of suspended workers as the store keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fencing token of the owner that saved it.
    pub fence: u64,
    /// The suspended workers.
    pub entries: Vec<Entry>,
}

/// Entry is a suspended worker in the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The worker's id.
    pub worker: String,
    /// The longest time until everything leased there has expired, in milliseconds from when the
    /// record was saved.
    pub remaining_ms: u64,
    /// The tasks that may run there, or may have ended there without the store knowing. If not
    /// set, any task may.
    pub tasks: Option<Vec<TaskName>>,
}

/// Suspension tells whether an owner may start and lease anything on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Suspension {
    /// It may: no record in the store names the worker.
    #[default]
    None,
    /// It may not: the record names the worker, or is about to.
    Active,
    /// It may not yet: a record without the worker is still to be saved.
    Withdrawn,
}

/// Suspensions holds what concerns no single worker.
#[derive(Debug, Default)]
pub(crate) struct Suspensions {
    /// What the predecessor saved.
    inherited: Inherited,
    /// When this owner last looked for workers to suspend.
    checked_at: Millis,
}

impl Cell {
    /// suspend_silent suspends the workers that have been silent for long enough.
    pub(crate) fn suspend_silent(&mut self) {
        let now = self.now.mono;
        let is_due = now.since(self.suspensions.checked_at) >= INTERVAL_MS;
        if !is_due || !self.is_confirmed_lately() || self.saver.is_slow(MAX_SAVE_MS) {
            return;
        }
        self.suspensions.checked_at = now;
        let due = |key: &WorkerKey| self.may_suspend(self.worker(*key));
        let due: Vec<WorkerKey> = self.live_workers().filter(due).collect();
        if due.is_empty() {
            return;
        }
        let mut named = self.count_named();
        for key in due {
            named += self.unseen_tasks(key).map_or(0, |tasks| tasks.len());
            if named > MAX_NAMED_TASKS {
                return;
            }
            self.suspend(key);
        }
    }

    /// may_suspend reports whether a worker is to be suspended. What may run there must be known:
    /// the store must have all ends that it listed, and none may be missing below them. Of a worker
    /// that has not answered this owner, the bound on its leases is known.
    fn may_suspend(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let answered = worker.clock.map_or(self.ownership.began, |clock| clock.at);
        let is_unreached = |since: Millis| worker.refused && now.since(since) >= UNREACHED_MS;
        let is_due = now.since(answered) >= SILENT_MS;
        let is_known = match worker.presence {
            Presence::Contacted => {
                !worker.is_inherited() && !worker.received.has_gap() && self.has_stored_ends(worker)
            }
            Presence::New => worker.is_inherited(),
            Presence::Gone => false,
        };
        worker.suspension == Suspension::None
            && worker.rostered
            && worker
                .silent_since
                .is_some_and(|since| is_due || is_unreached(since))
            && is_known
    }

    fn suspend(&mut self, key: WorkerKey) {
        let left_ms = self.leased_ms(self.worker(key));
        let tasks = match self.unseen_tasks(key) {
            Some(tasks) => format!("{} tasks", tasks.len()),
            None => "any task".to_owned(),
        };
        let worker = self.worker_mut(key);
        worker.suspension = Suspension::Active;
        let text = format!(
            "worker {} is suspended: it is silent, and {tasks} may run there for {left_ms} ms more",
            worker.info.id
        );
        self.saver.suspensions_changed = true;
        self.log("worker", None, text);
    }

    /// withdraw_suspension begins to withdraw the suspension of a worker, if it is suspended.
    pub(crate) fn withdraw_suspension(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        if worker.suspension == Suspension::Active {
            worker.suspension = Suspension::Withdrawn;
            self.saver.suspensions_changed = true;
        }
    }

    /// end_suspension ends a suspension once the store has a record without it.
    pub(crate) fn end_suspension(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        if worker.suspension != Suspension::Withdrawn {
            return;
        }
        worker.suspension = Suspension::None;
        if worker.presence == Presence::Contacted {
            self.placement_due = true;
            self.send_renewal(key, 0);
        }
    }

    /// move_suspension moves a suspension, and what predecessors may have left on a worker, to its
    /// next incarnation: records name workers by their ids. Late orders may reach that incarnation,
    /// but only for named tasks.
    pub(crate) fn move_suspension(&mut self, earlier: WorkerKey, later: WorkerKey) {
        let worker = self.worker_mut(earlier);
        let suspension = std::mem::take(&mut worker.suspension);
        if suspension == Suspension::None && worker.inherited_tasks.is_none() {
            return;
        }
        let (leased_until, tasks) = (worker.leased_until, worker.inherited_tasks.clone());
        let worker = self.worker_mut(later);
        worker.suspension = suspension;
        worker.leased_until = leased_until;
        worker.inherited_tasks = tasks;
        self.suspensions.inherited.add_incarnation(earlier, later);
    }

    /// suspended returns the workers that a record saved now names.
    fn suspended(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        let active = |key: &WorkerKey| self.worker(*key).suspension == Suspension::Active;
        self.live_workers().filter(active)
    }

    /// withdrawn returns the workers whose suspension ends once a record is saved.
    pub(crate) fn withdrawn(&self) -> Vec<WorkerKey> {
        let withdrawn = |key: &WorkerKey| self.worker(*key).suspension == Suspension::Withdrawn;
        self.incarnations().filter(withdrawn).collect()
    }

    /// suspension_record returns the record to save.
    pub(crate) fn suspension_record(&self) -> Record {
        let entry = |key: WorkerKey| Entry {
            worker: self.worker(key).info.id.clone(),
            remaining_ms: self.leased_ms(self.worker(key)),
            tasks: self.unseen_tasks(key),
        };
        Record {
            fence: self.fence,
            entries: self.suspended().map(entry).collect(),
        }
    }

    /// leased_ms returns the longest time until everything leased on a silent worker has expired. A
    /// new incarnation may have got orders that were meant for the earlier one.
    pub(crate) fn leased_ms(&self, worker: &Worker) -> u64 {
        let longest_ms = self.longest_lease_ms();
        let end = self.leases_end(worker);
        end.map_or(longest_ms, |end| end.since(self.now.mono))
    }

    /// unseen_tasks returns the tasks that may run on a worker, or may have ended there without the
    /// store knowing. It returns nothing if any task may.
    pub(crate) fn unseen_tasks(&self, key: WorkerKey) -> Option<Vec<TaskName>> {
        let worker = self.worker(key);
        let mut tasks = match worker.is_inherited() {
            true => worker.inherited_tasks.clone()?,
            false => Vec::new(),
        };
        let runs = worker.runs.iter().filter_map(|run| self.runs.get(*run));
        tasks.extend(runs.map(|run| run.name));
        tasks.extend(worker.unanswered.iter().map(|start| start.task()));
        tasks.extend(&worker.unstored);
        tasks.sort_unstable();
        tasks.dedup();
        Some(tasks)
    }

    /// count_named returns how many tasks a record saved now names.
    fn count_named(&self) -> usize {
        let tasks = |key: WorkerKey| self.unseen_tasks(key).map_or(0, |tasks| tasks.len());
        self.suspended().map(tasks).sum()
    }
}
