// SPDX-License-Identifier: Apache-2.0
//! Takeovers: a daemon becomes the owner, reads the cell, and installs it.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_cell::{Cell, Event};
use stackpier_core::{Millis, key};

use super::{Message, Owner, Simulation, TICK_MS, WORKERS, following::View, queue};

impl Simulation {
    /// take_over makes a daemon in a data centre the owner, which then reads the store.
    /// Earlier owners continue until they learn of it.
    pub(super) fn take_over(&mut self, data_centre: usize) {
        self.count("takeover");
        self.oracle.record_owner_end(self.now_ms);
        self.store.fence += 1;
        let fence = self.store.fence;
        let index = self.owners.len();
        self.owners.push(Owner {
            cell: self.new_cell(fence),
            fence,
            data_centre,
            confirmed_ms: self.now_ms,
            last_contact: BTreeMap::new(),
            frozen_until: 0,
            began_ms: self.now_ms,
            stopped: BTreeSet::new(),
            ended: false,
            cordons: None,
            view: View::new(self.now_ms),
        });
        if self.follows_store() {
            self.load(index);
        } else {
            let jobs: Vec<key::Job> = self.store.jobs.keys().copied().collect();
            let cancelled: Vec<key::Job> = self.store.cancelled.keys().copied().collect();
            self.install(index, &jobs, &cancelled);
        }
    }

    fn new_cell(&self, fence: u64) -> Cell {
        // Owners before the predecessor were replaced earlier, so their authority ends earlier.
        let acting_ms = match fence {
            1 => 0,
            _ => self.options.authority_ms,
        };
        Cell::new(self.options, fence, self.now(), acting_ms)
    }

    /// restore_suspensions passes the suspended workers to a new owner. Like a daemon that sees every
    /// revision at once, it knows when they were saved.
    fn restore_suspensions(&mut self, cell: &mut Cell) {
        let record = &self.store.suspensions;
        let is_used = record.fence + 1 == cell.fence() && !record.entries.is_empty();
        let age_ms = self.now_ms - self.store.suspended_at;
        cell.restore_suspensions(record, age_ms);
        if is_used {
            self.count("takeover with suspended workers");
        }
    }

    /// install lets an owner act that has read the cell with these jobs, some of them cancelled.
    pub(super) fn install(&mut self, index: usize, jobs: &[key::Job], cancelled: &[key::Job]) {
        let owner = &self.owners[index];
        let confirmed = Millis(owner.confirmed_ms + 1);
        let mut cell = self.new_cell(owner.fence);
        cell.set_confirmed(confirmed);
        let roster = self.store.roster.iter();
        roster.for_each(|entry| cell.add_roster(entry));
        self.restore_suspensions(&mut cell);
        self.restore_release(&mut cell);
        self.restore_downtimes(&mut cell, jobs);
        self.restore_assignments(&mut cell);
        self.owners[index].cell = cell;
        self.owners[index].view.installed = true;
        self.delay_cordons(index);
        self.poll_predecessor(index);
        self.deliver(index, Event::Queues(vec![queue()]));
        for job in jobs.iter().copied() {
            let Some(record) = self.store.jobs.get(&job) else {
                // The predecessor has removed it since it was listed.
                continue;
            };
            let event = Event::Accepted {
                job,
                record: Box::new(record.clone()),
                progress: self.store.progress.get(&job).cloned().map(Box::new),
                cancelled: cancelled.contains(&job),
            };
            self.deliver(index, event);
        }
        for worker in 0..WORKERS {
            if !self.down[worker] {
                let info = self.workers[worker].info.clone();
                self.deliver(index, Event::Listed(info));
            }
        }
        self.send(TICK_MS, Message::Tick(index));
        if self.faults.queries > 0 {
            self.query_earlier_owners(index);
        }
    }
}
