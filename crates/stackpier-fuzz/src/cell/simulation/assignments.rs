// SPDX-License-Identifier: Apache-2.0
//! Writes of assignments to the store: lost, without an answer, or done late.

use stackpier_cell::{Cell, Event, assignment::Write};
use stackpier_core::key;

use super::{CALL_TIMEOUT_MS, Message, Simulation};

/// WRITE_MS bounds the time that a write takes to the store.
const WRITE_MS: (u64, u64) = (1, 60);
/// LATE_MS bounds the time after which a late write is done, if the record has not changed since.
const LATE_MS: (u64, u64) = (700, 6_000);

/// Assign is a write of assignments on its way to the store.
#[derive(Clone, Debug)]
pub(super) struct Assign {
    /// The fence of its owner.
    fence: u64,
    write: Write,
    /// How often the records of its jobs had been written.
    revisions: Vec<u64>,
    /// Whether its owner gets the answer.
    answered: bool,
}

impl Simulation {
    /// send_assignments sends a write to the store. Some of its records get lost or are written late,
    /// and some answers get lost: the owner learns in each case that it got no answer.
    pub(super) fn send_assignments(&mut self, index: usize, write: Write) {
        let away = !self.reaches_store(index);
        let faulty = self.now_ms < self.faults_until;
        let rates = (self.faults.lost, self.faults.unanswered, self.faults.late);
        let lost = away || faulty && self.draw_long_running(rates.0);
        let late = faulty && self.draw_long_running(rates.2);
        let answered = !(lost || late || faulty && self.draw_long_running(rates.1));
        let revision = |job: &key::Job| {
            let revisions = &self.store.assignment_revisions;
            revisions.get(job).copied().unwrap_or(0)
        };
        let mut assign = Assign {
            fence: self.owners[index].fence,
            revisions: write.jobs.iter().map(|(job, _)| revision(job)).collect(),
            write,
            answered,
        };
        if lost {
            // Each record may be in a transaction of its own.
            let jobs = assign.write.jobs.len() as u64;
            let kept = match away {
                true => 0,
                false => self.draw_long_running_range(0, jobs),
            };
            assign.write.jobs.truncate(kept as usize);
        }
        let (low, high) = if late { LATE_MS } else { WRITE_MS };
        let after_ms = self.draw_long_running_range(low, high);
        self.send(after_ms, Message::Assign(index, Box::new(assign)));
        if !answered {
            let failed = Event::Assigned(false);
            self.send(CALL_TIMEOUT_MS, Message::Event(index, Box::new(failed)));
        }
    }

    /// assign does a write, unless another daemon owns the cell by now. A record that was written
    /// meanwhile stays, except that a write with an answer is repeated until it is done.
    pub(super) fn assign(&mut self, index: usize, assign: Assign) {
        let fence = assign.fence;
        if fence != self.store.fence || self.is_released_by(fence) {
            return;
        }
        let written = assign.write.jobs.into_iter().zip(assign.revisions);
        for ((job, record), revision) in written {
            let current = self.store.assignment_revisions.entry(job).or_default();
            if assign.answered || *current == revision {
                *current += 1;
                self.store.assignments.insert(job, record);
            }
        }
        if assign.answered {
            self.owners[index].confirmed_ms = self.now_ms;
            self.deliver(index, Event::Assigned(true));
        }
    }

    /// restore_assignments passes the assignments to a new owner. All owners assign their starts.
    pub(super) fn restore_assignments(&mut self, cell: &mut Cell) {
        let assigned = self.store.assignments.values();
        if assigned
            .into_iter()
            .any(|record| !record.entries.is_empty())
        {
            self.count("takeover with assignments");
        }
        cell.restore_assignments(self.store.assignments.clone());
    }
}
