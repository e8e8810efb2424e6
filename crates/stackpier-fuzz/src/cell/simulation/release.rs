// SPDX-License-Identifier: Apache-2.0
//! Planned takeovers: an owner releases the cell, and another one takes it over some time later.

use stackpier_cell::{Cell, release::Release};

use super::{DATA_CENTRES, Message, Simulation};

/// VACANT_MS bounds the time until another owner takes a released cell over.
const VACANT_MS: (u64, u64) = (5, 2_500);

impl Simulation {
    /// release_cell has the newest owner release the cell, if it acts and reaches the store.
    pub(super) fn release_cell(&mut self) {
        let index = self.owners.len() - 1;
        let owner = &self.owners[index];
        let acts = owner.view.installed && !owner.ended && self.now_ms >= owner.frozen_until;
        let owns = owner.fence == self.store.fence;
        if !acts || !owns || !self.reaches_store(index) {
            return;
        }
        self.count("release");
        self.oracle.record_owner_end(self.now_ms);
        let Release {
            record,
            roster,
            downtimes,
            suspensions,
        } = self.owners[index].cell.release_cell();
        if record.workers.iter().any(|entry| entry.tasks.is_none()) {
            self.count("release beside a worker that may run any task");
        }
        if let Some(roster) = roster {
            self.store.roster = roster;
        }
        self.save_downtimes(downtimes);
        self.store.suspensions = suspensions;
        self.store.suspended_at = self.now_ms;
        self.store.release = Some(record);
        self.store.released_at = self.now_ms;
        self.end_owner(index);
        let vacant_ms = self.draw_extra_range(VACANT_MS.0, VACANT_MS.1);
        let data_centre = self.draw_extra_range(0, DATA_CENTRES as u64 - 1) as usize;
        self.send(vacant_ms, Message::TakeOver(data_centre));
    }

    /// is_released_by reports whether the owner with a fence has released the cell.
    pub(super) fn is_released_by(&self, fence: u64) -> bool {
        let release = self.store.release.as_ref();
        release.is_some_and(|record| record.fence == fence)
    }

    /// restore_release passes the record of a release to the successor of the owner that saved it.
    pub(super) fn restore_release(&mut self, cell: &mut Cell) {
        let Some(record) = self.store.release.clone() else {
            return;
        };
        if record.fence + 1 == cell.fence() {
            self.count("takeover after a release");
            cell.restore_release(&record, self.now_ms - self.store.released_at);
        }
    }
}
