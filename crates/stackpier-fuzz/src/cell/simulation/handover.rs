// SPDX-License-Identifier: Apache-2.0
//! Handover: a replaced owner sends its successor what it could not save, at once if it is polled,
//! else later.

use stackpier_cell::{Event, Unsaved, release::Record};

use super::{Message, Simulation};

/// ANSWER_MS bounds the time until a polled predecessor has answered.
const ANSWER_MS: (u64, u64) = (1, 60);
/// ANSWER_TIMEOUT_MS is the time after which a poll without an answer has failed.
const ANSWER_TIMEOUT_MS: u64 = 350;
/// UNPOLLED_MS bounds the time until a replaced owner sends its handover without being polled.
const UNPOLLED_MS: (u64, u64) = (50, 12_000);

impl Simulation {
    /// poll_predecessor has a new owner poll its predecessor.
    pub(super) fn poll_predecessor(&mut self, newest: usize) {
        let Some(predecessor) = newest.checked_sub(1) else {
            return;
        };
        if self.faults.handovers == 0 {
            return;
        }
        self.owners[newest].cell.await_handover();
        let awake = self.now_ms >= self.owners[predecessor].frozen_until;
        let isolated =
            [predecessor, newest].map(|index| self.is_isolated(self.owners[index].data_centre));
        let answers = awake && isolated == [false, false] && self.draw_handover_arrival();
        let unsaved = if answers {
            self.count("asked");
            self.end_owner(predecessor);
            self.owners[predecessor].cell.unsaved()
        } else {
            Vec::new()
        };
        let delay = match answers {
            true => self.draw_extra_range(ANSWER_MS.0, ANSWER_MS.1),
            false => ANSWER_TIMEOUT_MS,
        };
        let event = Event::PredecessorAnswered(unsaved);
        self.send(delay, Message::Event(newest, Box::new(event)));
    }

    /// end_owner records that an owner has learnt of its successor, and sends its handover.
    pub(super) fn end_owner(&mut self, index: usize) {
        if std::mem::replace(&mut self.owners[index].ended, true) || !self.draw_handover_arrival() {
            return;
        }
        let unsaved = self.owners[index].cell.unsaved();
        let delay = self.draw_extra_range(UNPOLLED_MS.0, UNPOLLED_MS.1);
        if !unsaved.is_empty() {
            self.count("handed over");
        }
        self.send(delay, Message::HandOver(unsaved));
        let record = self.owners[index].cell.release_cell().record;
        let record = record.after(delay);
        self.send(delay, Message::HandOverRuns(Box::new(record)));
    }

    /// deliver_runs passes what a predecessor has left on workers to the newest owner.
    pub(super) fn deliver_runs(&mut self, record: Record) {
        let newest = self.owners.len() - 1;
        if record.fence + 1 == self.owners[newest].fence {
            self.count("runs handed over");
        }
        self.deliver(newest, Event::RunsHandedOver(record));
    }

    /// deliver_handover passes what a predecessor could not save to the newest owner.
    pub(super) fn deliver_handover(&mut self, unsaved: Vec<Unsaved>) {
        let newest = self.owners.len() - 1;
        self.deliver(newest, Event::HandedOver(unsaved));
    }

    /// draw_handover_arrival draws whether a handover arrives.
    fn draw_handover_arrival(&mut self) -> bool {
        let share = self.faults.handovers;
        share > 0 && self.draw_extra_range(0, 999) < u64::from(share)
    }
}
