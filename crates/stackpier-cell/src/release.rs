// SPDX-License-Identifier: Apache-2.0
//! What an owner that releases the cell tells its successor, by a record in the store: which tasks
//! may run on each worker, until when, and for how long owners before it may still act.
//!
//! An owner that has released the cell starts and leases nothing any more, so the record remains
//! true. A successor that can't reach a worker, because it left meanwhile, waits for it only with
//! the tasks that the record names there. A task that is named nowhere starts at once.
//!
//! The record applies to the direct successor alone. An owner that is replaced in turn tells its
//! successor what still applies of it, so that a wait does not begin anew with each owner.

use serde::{Deserialize, Serialize};

use crate::{
    Cell, RosterEntry,
    arena::WorkerKey,
    downtime,
    suspension::{self, Entry, MAX_NAMED_TASKS, Suspension},
    worker::Worker,
};

/// Record is what the store keeps of a release.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fencing token of the owner that released the cell.
    pub fence: u64,
    /// How long owners before it may still act, in milliseconds from when the record was saved.
    pub acting_ms: u64,
    /// The workers of the roster.
    pub workers: Vec<Entry>,
}

impl Record {
    /// after returns the record as it is some time later, in milliseconds.
    pub fn after(&self, ms: u64) -> Record {
        let later = |entry: &Entry| Entry {
            remaining_ms: entry.remaining_ms.saturating_sub(ms),
            ..entry.clone()
        };
        Record {
            fence: self.fence,
            acting_ms: self.acting_ms.saturating_sub(ms),
            workers: self.workers.iter().map(later).collect(),
        }
    }
}

/// Release is what an owner saves when it releases the cell.
#[derive(Clone, Debug)]
pub struct Release {
    /// What it tells its successor.
    pub record: Record,
    /// The workers that may run something, unless they are not all known.
    pub roster: Option<Vec<RosterEntry>>,
    /// The downtimes of long-running tasks.
    pub downtimes: downtime::Record,
    /// The suspended workers.
    pub suspensions: suspension::Record,
}

impl Cell {
    /// release_cell returns what an owner saves that handles no further events.
    pub fn release_cell(&self) -> Release {
        let roster = self.roster();
        let mut named = 0;
        let mut entry = |key: &WorkerKey| {
            let worker = self.worker(*key);
            let tasks = self.unseen_tasks(*key);
            named += tasks.as_ref().map_or(0, Vec::len);
            Entry {
                worker: worker.info.id.clone(),
                remaining_ms: self.leased_ms(worker),
                tasks: tasks.filter(|_| named <= MAX_NAMED_TASKS),
            }
        };
        // Those that are most likely gone before the successor reaches them come first.
        let (leaving, others): (Vec<WorkerKey>, Vec<WorkerKey>) = roster
            .iter()
            .partition(|key| may_leave_soon(self.worker(**key)));
        let workers = leaving.iter().chain(&others).map(&mut entry).collect();
        let known = self.knows_roster();
        Release {
            record: Record {
                fence: self.fence,
                acting_ms: self.ownership.acting_until.since(self.now.mono),
                workers,
            },
            roster: known.then(|| roster.iter().map(|key| self.roster_entry(*key)).collect()),
            downtimes: self.released_downtimes(),
            suspensions: self.suspension_record(),
        }
    }

    /// restore_release applies the record of a predecessor that has been in the store for `age_ms`
    /// at least. The roster and the suspensions must have been added before, and jobs and listed
    /// workers must not.
    pub fn restore_release(&mut self, record: &Record, age_ms: u64) {
        if record.fence + 1 != self.fence {
            let text = format!(
                "the record of a release is ignored: the owner with fence {} saved it, not the \
                 direct predecessor",
                record.fence
            );
            self.log("takeover", None, text);
            return;
        }
        self.bound_acting(record.acting_ms.saturating_sub(age_ms));
        for entry in &record.workers {
            self.restore_entry(entry, age_ms);
        }
        let tasks = record.workers.iter().flat_map(|entry| &entry.tasks);
        let text = format!(
            "the predecessor released the cell at least {age_ms} ms ago: {} tasks may run on {} \
             workers, and any task on {}",
            tasks.clone().map(Vec::len).sum::<usize>(),
            tasks.clone().count(),
            record.workers.len() - tasks.count()
        );
        self.log("takeover", None, text);
    }

    /// apply_runs applies the record of a predecessor that was replaced while it acted, and has given
    /// up the cell since. Only what it tells of workers that have not answered this owner is of use.
    pub(crate) fn apply_runs(&mut self, record: &Record) {
        if record.fence + 1 != self.fence {
            return;
        }
        self.bound_acting(record.acting_ms);
        let mut count = 0;
        for entry in &record.workers {
            let key = self.worker_keys.get(&entry.worker).copied();
            let unanswered = |key: &WorkerKey| {
                let worker = self.worker(*key);
                worker.is_inherited() && worker.clock.is_none()
            };
            if let Some(key) = key.filter(unanswered) {
                self.bound_entry(key, entry);
                count += 1;
            }
        }
        let text = format!(
            "the predecessor has given up the cell: what may run on {count} workers that have not \
             answered is known"
        );
        self.log("takeover", None, text);
    }

    /// bound_entry applies what a predecessor tells of a worker. It never makes tasks wait longer.
    fn bound_entry(&mut self, key: WorkerKey, entry: &Entry) {
        if entry.tasks.is_none() {
            return;
        }
        let inherited_until = self.ownership.inherited_until;
        let before = self.worker(key).leased_until.unwrap_or(inherited_until);
        self.restore_entry(entry, 0);
        let worker = self.worker_mut(key);
        worker.leased_until = worker.leased_until.map(|until| until.min(before));
        self.saver.suspensions_changed |= worker.suspension == Suspension::Active;
        self.placement_due = true;
    }
}

/// may_leave_soon reports whether a worker has announced its end, left the list, or does not
/// answer.
fn may_leave_soon(worker: &Worker) -> bool {
    worker.info.draining || worker.unlisted_since.is_some() || worker.silent_since.is_some()
}
