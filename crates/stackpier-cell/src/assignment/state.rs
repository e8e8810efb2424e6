// SPDX-License-Identifier: Apache-2.0
//! The assignments of one job, as the store may have them.

use super::Record;

/// Assigned is the assignments of a job.
#[derive(Debug, Default)]
pub(crate) struct Assigned {
    /// The starts that the store allows, whichever of the earlier writes took effect.
    saved: Record,
    /// What the write in flight contains.
    sent: Option<Record>,
    /// Whether an earlier write may have taken effect, so that the store may have other assignments.
    unsure: bool,
    /// What predecessors wrote, with the standby worker among the entries.
    pub inherited: Record,
}

impl Assigned {
    /// new returns the assignments of a job that predecessors wrote.
    pub(super) fn new(record: Record) -> Assigned {
        Assigned {
            saved: record.clone(),
            inherited: record.spread(),
            ..Assigned::default()
        }
    }

    /// allows reports whether a task may start on a worker, whichever of the writes takes effect.
    pub(super) fn allows(&self, worker: &str, task: u32) -> bool {
        let mut records = self.sent.iter().chain([&self.saved]);
        records.all(|record| record.allows(worker, task))
    }

    /// standby returns the standby worker that was written last.
    pub(super) fn standby(&self) -> Option<&str> {
        self.sent.as_ref().unwrap_or(&self.saved).standby.as_deref()
    }

    /// is_changed reports whether the store may lack a record.
    pub(super) fn is_changed(&self, record: &Record) -> bool {
        self.unsure || self.saved != *record
    }

    /// begin records that a write is in flight.
    pub(super) fn begin(&mut self, record: Record) {
        self.sent = Some(record);
    }

    /// end records the outcome of the write in flight. One without an answer may have taken effect.
    pub(super) fn end(&mut self, done: bool) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        self.unsure = !done;
        self.saved = match done {
            true => sent,
            false => self.saved.common(&sent),
        };
    }
}
