// SPDX-License-Identifier: Apache-2.0
//! Writes of assignments to the store, one at a time.

use std::collections::{HashMap, HashSet};

use stackpier_core::{Millis, key};

use super::{Record, Write};
use crate::{Cell, Effect, arena::JobKey};

/// LAZY_MS is how long a change waits for others that no start waits for: it only spares a successor
/// a wait for a worker that does not answer.
const LAZY_MS: u64 = 200;

/// Completeness tells whether all runs that may exist are assigned in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Completeness {
    /// Runs of earlier owners may not be.
    #[default]
    Incomplete,
    /// This owner knows all runs and writes their assignments.
    Writing,
    /// All are in the store, which is to be told so.
    Written,
    /// A successor relies on them.
    Complete,
}

/// Writer tracks the assignments that must be written and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct Writer {
    /// What predecessors wrote, for jobs that are not known yet.
    inherited: HashMap<key::Job, Record>,
    /// Whether these are all runs that may exist.
    knows_inherited: bool,
    /// Jobs whose assignments can't be read.
    ignored: HashSet<key::Job>,
    completeness: Completeness,
    changed: Vec<JobKey>,
    /// Since when there are changes.
    changed_at: Option<Millis>,
    /// Whether a start waits for a change.
    hurried: bool,
    in_flight: Option<InFlight>,
    /// The earliest time of the next write.
    not_before: Millis,
    /// Whether the last write got no answer.
    failed: bool,
}

/// InFlight is a write that the store has not answered yet.
#[derive(Debug)]
struct InFlight {
    jobs: Vec<JobKey>,
    complete: bool,
    sent_at: Millis,
}

impl Writer {
    /// restore adds what predecessors wrote.
    pub(super) fn restore(&mut self, records: HashMap<key::Job, Record>) {
        self.inherited = records;
        self.knows_inherited = true;
        self.completeness = Completeness::Complete;
    }

    /// ignore records that the assignments of a job can't be read.
    pub(super) fn ignore(&mut self, job: key::Job) {
        self.ignored.insert(job);
    }

    pub(super) fn ignores(&self, job: key::Job) -> bool {
        self.ignored.contains(&job)
    }

    pub(super) fn take_inherited(&mut self, job: key::Job) -> Option<Record> {
        self.inherited.remove(&job)
    }

    pub(super) fn are_inherited(&self) -> bool {
        self.knows_inherited
    }

    pub(super) fn has_failed(&self) -> bool {
        self.failed
    }

    pub(super) fn mark(&mut self, job: JobKey) {
        if !self.changed.contains(&job) {
            self.changed.push(job);
        }
    }

    /// is_sending reports whether a write in flight is about a job.
    pub(crate) fn is_sending(&self, job: JobKey) -> bool {
        let sent = self.in_flight.as_ref();
        sent.is_some_and(|sent| sent.jobs.contains(&job))
    }

    /// drop_changed drops the changes of some jobs that are over.
    pub(crate) fn drop_changed(&mut self, jobs: &[JobKey]) {
        self.changed.retain(|key| !jobs.contains(key));
    }

    /// hurry has the changes written at once.
    pub(super) fn hurry(&mut self) {
        self.hurried = true;
    }
}

impl Cell {
    /// write_assignments writes the assignments that changed, unless a write is in flight.
    pub(crate) fn write_assignments(&mut self) {
        let now = self.now.mono;
        let writer = &mut self.assignments;
        if !writer.changed.is_empty() {
            writer.changed_at.get_or_insert(now);
        }
        let waited = |at: Millis| now.since(at) >= LAZY_MS;
        let is_due = writer.hurried || writer.changed_at.is_some_and(waited);
        let is_busy = writer.in_flight.is_some() || now < writer.not_before;
        let complete = writer.completeness == Completeness::Written;
        if is_busy || !is_due && !complete {
            return;
        }
        let changed = std::mem::take(&mut self.assignments.changed);
        self.assignments.changed_at = None;
        self.assignments.hurried = false;
        let mut write = Write {
            complete,
            ..Write::default()
        };
        let mut jobs = Vec::new();
        for key in changed {
            if let Some(record) = self.begin_write(key) {
                write.jobs.push((self.job(key).id, record));
                jobs.push(key);
            }
        }
        if write.jobs.is_empty() && !complete {
            self.assignments.failed = false;
            self.check_completeness();
            return;
        }
        self.assignments.in_flight = Some(InFlight {
            jobs,
            complete,
            sent_at: now,
        });
        self.effects.push(Effect::Assign(write));
    }

    /// begin_write returns the record of a job to write, if the store may lack it.
    fn begin_write(&mut self, key: JobKey) -> Option<Record> {
        let job = self.job(key);
        if job.state.is_final() || job.assigned.is_none() {
            return None;
        }
        let record = self.record_of(key);
        let assigned = self.job_mut(key).assigned.as_mut()?;
        if !assigned.is_changed(&record) {
            return None;
        }
        assigned.begin(record.clone());
        Some(record)
    }

    /// handle_assign_answer applies the store's answer to a write, or the lack of one.
    pub(crate) fn handle_assign_answer(&mut self, done: bool) {
        let now = self.now.mono;
        let Some(sent) = self.assignments.in_flight.take() else {
            return;
        };
        for key in &sent.jobs {
            if let Some(assigned) = self.job_mut(*key).assigned.as_mut() {
                assigned.end(done);
            }
        }
        self.assignments.failed = !done;
        if done {
            self.assignments.not_before = now.plus(self.options.save_gap_ms);
            if sent.complete {
                self.assignments.completeness = Completeness::Complete;
            }
            self.record_confirmation(sent.sent_at);
            self.check_completeness();
        } else {
            self.assignments.not_before = now.plus(self.options.save_retry_ms);
            sent.jobs.iter().for_each(|key| self.assignments.mark(*key));
            self.assignments.hurry();
        }
        self.send_deferred();
    }

    /// check_completeness begins to write all assignments once this owner knows all runs that may
    /// exist, and notes when they have been written.
    pub(crate) fn check_completeness(&mut self) {
        let writer = &self.assignments;
        let is_idle = writer.changed.is_empty() && writer.in_flight.is_none();
        match writer.completeness {
            Completeness::Incomplete if self.knows_all_runs() => {
                let jobs = self.jobs.iter().map(|(key, _)| JobKey(key));
                jobs.for_each(|key| self.assignments.mark(key));
                self.assignments.completeness = Completeness::Writing;
            }
            Completeness::Writing if is_idle => {
                self.assignments.completeness = Completeness::Written;
            }
            _ => {}
        }
    }

    /// knows_all_runs reports whether no worker may have a run of an earlier owner that this owner
    /// does not know.
    fn knows_all_runs(&self) -> bool {
        let mut workers = self.workers.iter();
        self.knows_roster()
            && !self.ownership.awaits_handover
            && workers.all(|worker| !worker.is_inherited() || self.have_leases_ended(worker))
    }
}
