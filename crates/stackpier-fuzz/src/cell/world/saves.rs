// SPDX-License-Identifier: Apache-2.0
//! Saves on their way to the store: whole, in parts, lost, or without an answer.

use stackpier_cell::{Event, Save};

use super::{LIMIT_MS, Message, World};

/// PART is how many jobs go in one transaction of a save that goes in several.
const PART: usize = 2;
/// PART_MS is the longest that one takes: the store is slow then.
const PART_MS: u64 = 300;
/// LOST_PARTS is how many of them, in a thousand, are not done.
const LOST_PARTS: u32 = 200;

impl World {
    /// send_save sends a save on its way, or loses it, or has it go in parts.
    pub(super) fn send_save(&mut self, place: usize, save: Save, delay_ms: u64) {
        let (lost, away) = (self.chance(self.faults.lost), !self.has_store(place));
        if lost || away {
            self.fail_save(place);
        } else if self.extra_chance(self.faults.splits) {
            self.split(place, &save);
        } else {
            let unanswered = self.chance(self.faults.unanswered);
            self.send(delay_ms, Message::Save(place, Box::new(save), unanswered));
        }
    }

    /// fail_save tells an owner, in time, that a save got no answer.
    fn fail_save(&mut self, place: usize) {
        let failed = Event::Saved(false);
        self.send(LIMIT_MS, Message::Event(place, Box::new(failed)));
    }

    /// save does a save at once and answers it, or not.
    pub(super) fn save(&mut self, place: usize, save: Save, unanswered: bool) {
        if !self.keep(place, save) {
            return;
        }
        let delay = if unanswered {
            LIMIT_MS
        } else {
            self.between(1, 5)
        };
        let event = Event::Saved(!unanswered);
        self.send(delay, Message::Event(place, Box::new(event)));
    }

    /// keep does a transaction, unless another daemon owns the cell, which its owner
    /// learns then.
    pub(super) fn keep(&mut self, place: usize, save: Save) -> bool {
        if self.owners[place].fence != self.store.fence {
            self.end_owner(place);
            return false;
        }
        self.owners[place].confirmed_ms = self.now_ms;
        for (job, progress) in save.jobs {
            self.store.progress.insert(job, progress);
        }
        if let Some(roster) = save.roster {
            self.store.roster = roster;
        }
        true
    }

    /// split sends a save in several transactions at once, the roster in the first: some
    /// are done, some late, and some not at all. Its owner learns last whether all were.
    fn split(&mut self, place: usize, save: &Save) {
        self.count("save in several transactions");
        let mut done = true;
        let mut slowest_ms = 0;
        let mut parts: Vec<Save> = vec![Save {
            jobs: Vec::new(),
            ..save.clone()
        }];
        parts.extend(save.jobs.chunks(PART).map(|jobs| Save {
            jobs: jobs.to_vec(),
            ..Save::default()
        }));
        for part in parts {
            if self.extra_chance(LOST_PARTS) {
                done = false;
                continue;
            }
            let delay_ms = self.extra_between(1, PART_MS);
            slowest_ms = slowest_ms.max(delay_ms);
            self.send(delay_ms, Message::Part(place, Box::new(part)));
        }
        if done {
            let answered_ms = slowest_ms + 1;
            self.send(answered_ms, Message::Parts(place, self.owners[place].fence));
        } else {
            self.fail_save(place);
        }
    }
}
