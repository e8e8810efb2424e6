// SPDX-License-Identifier: Apache-2.0
//! What an owner that was replaced tells its successor: at once if it is asked, else later.

use stackpier_cell::{Event, Unsaved};

use super::{Message, World};

/// ANSWER_MS bounds the time until an earlier owner has answered.
const ANSWER_MS: (u64, u64) = (1, 60);
/// ASK_MS is when a question to it is given up.
const ASK_MS: u64 = 350;
/// LATER_MS bounds the time until an owner tells its successor unasked.
const LATER_MS: (u64, u64) = (50, 12_000);

impl World {
    /// ask_earlier has the newest owner ask the one before it.
    pub(super) fn ask_earlier(&mut self) {
        let later = self.owners.len() - 1;
        let Some(earlier) = later.checked_sub(1) else {
            return;
        };
        if self.faults.handovers == 0 {
            return;
        }
        self.owners[later].cell.await_handover();
        let awake = self.now_ms >= self.owners[earlier].frozen_until;
        let apart = [earlier, later].map(|place| self.is_apart(self.owners[place].data_centre));
        let answers = awake && apart == [false, false] && self.hands_over();
        let unsaved = if answers {
            self.count("asked");
            self.end_owner(earlier);
            self.owners[earlier].cell.unsaved()
        } else {
            Vec::new()
        };
        let delay = match answers {
            true => self.extra_between(ANSWER_MS.0, ANSWER_MS.1),
            false => ASK_MS,
        };
        let event = Event::PredecessorAnswered(unsaved);
        self.send(delay, Message::Event(later, Box::new(event)));
    }

    /// end_owner notes that an owner has learnt of its successor.
    pub(super) fn end_owner(&mut self, place: usize) {
        if std::mem::replace(&mut self.owners[place].over, true) || !self.hands_over() {
            return;
        }
        let unsaved = self.owners[place].cell.unsaved();
        let delay = self.extra_between(LATER_MS.0, LATER_MS.1);
        if !unsaved.is_empty() {
            self.count("handed over");
        }
        self.send(delay, Message::HandOver(unsaved));
    }

    /// hand_over gives the owner of now what an earlier one could not save.
    pub(super) fn hand_over(&mut self, unsaved: Vec<Unsaved>) {
        let newest = self.owners.len() - 1;
        self.feed(newest, Event::HandedOver(unsaved));
    }

    /// hands_over draws whether what an owner tells its successor arrives.
    fn hands_over(&mut self) -> bool {
        let share = self.faults.handovers;
        share > 0 && self.extra_between(0, 999) < u64::from(share)
    }
}
