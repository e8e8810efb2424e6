// SPDX-License-Identifier: Apache-2.0
//! Saves to the store: in one or several transactions, lost, or without an answer.

use stackpier_cell::{Event, Save};

use super::{CALL_TIMEOUT_MS, Message, Simulation};

/// JOBS_PER_PART is how many jobs one transaction of a split save contains.
const JOBS_PER_PART: usize = 2;
/// MAX_PART_MS is the longest time that one transaction of a split save takes, on a slow store.
const MAX_PART_MS: u64 = 300;
/// LOST_PARTS is how many of a thousand such transactions are lost.
const LOST_PARTS: u32 = 200;

impl Simulation {
    /// send_save sends a save whole or in parts, or loses it.
    pub(super) fn send_save(&mut self, index: usize, save: Save, delay_ms: u64) {
        let (lost, away) = (
            self.draw_fault(self.faults.lost),
            !self.reaches_store(index),
        );
        if lost || away {
            self.fail_save(index);
        } else if self.draw_extra_fault(self.faults.splits) {
            self.send_in_parts(index, &save);
        } else {
            let unanswered = self.draw_fault(self.faults.unanswered);
            self.send(delay_ms, Message::Save(index, Box::new(save), unanswered));
        }
    }

    /// fail_save reports to an owner, after the timeout, that a save got no answer.
    fn fail_save(&mut self, index: usize) {
        let failed = Event::Saved(false);
        self.send(CALL_TIMEOUT_MS, Message::Event(index, Box::new(failed)));
    }

    /// save commits a save in one transaction, and answers it unless the answer is lost.
    pub(super) fn save(&mut self, index: usize, save: Save, unanswered: bool) {
        if !self.commit(index, save) {
            return;
        }
        let delay = if unanswered {
            CALL_TIMEOUT_MS
        } else {
            self.draw_range(1, 5)
        };
        let event = Event::Saved(!unanswered);
        self.send(delay, Message::Event(index, Box::new(event)));
    }

    /// commit executes a transaction. If another daemon owns the cell by now, the transaction is
    /// refused, and its sender learns that it was replaced.
    pub(super) fn commit(&mut self, index: usize, save: Save) -> bool {
        let fence = self.owners[index].fence;
        if fence != self.store.fence || self.is_released_by(fence) {
            self.end_owner(index);
            return false;
        }
        self.owners[index].confirmed_ms = self.now_ms;
        for (job, progress) in save.jobs {
            self.store.progress.insert(job, progress);
        }
        save.forgotten.iter().for_each(|job| self.remove_job(*job));
        if let Some(roster) = save.roster {
            self.store.roster = roster;
        }
        if let Some(record) = save.suspensions {
            if !record.entries.is_empty() {
                self.count("suspension");
            }
            self.store.suspensions = record;
            self.store.suspended_at = self.now_ms;
        }
        if let Some(record) = save.downtimes {
            self.save_downtimes(record);
        }
        true
    }

    /// send_in_parts sends a save as several transactions at once, the roster in the first. Some
    /// are delayed and some are lost. The owner learns last whether all were committed.
    fn send_in_parts(&mut self, index: usize, save: &Save) {
        self.count("save in several transactions");
        let mut done = true;
        let mut slowest_ms = 0;
        let mut parts: Vec<Save> = vec![Save {
            jobs: Vec::new(),
            ..save.clone()
        }];
        parts.extend(save.jobs.chunks(JOBS_PER_PART).map(|jobs| Save {
            jobs: jobs.to_vec(),
            ..Save::default()
        }));
        for part in parts {
            if self.draw_extra_fault(LOST_PARTS) {
                done = false;
                continue;
            }
            let delay_ms = self.draw_extra_range(1, MAX_PART_MS);
            slowest_ms = slowest_ms.max(delay_ms);
            self.send(delay_ms, Message::SavePart(index, Box::new(part)));
        }
        if done {
            let answered_ms = slowest_ms + 1;
            self.send(
                answered_ms,
                Message::SavePartsDone(index, self.owners[index].fence),
            );
        } else {
            self.fail_save(index);
        }
    }
}
