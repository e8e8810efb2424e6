// SPDX-License-Identifier: Apache-2.0
//! Faults: their rates, and how each begins and ends.

use rand::RngExt;
use stackpier_cell::{Event, Info, Start};

use super::{DATA_CENTRES, Message, Simulation, WORKERS};

/// HEARTBEAT_MS is the time between two writes of a worker's entry in the list.
const HEARTBEAT_MS: u64 = 1_500;
/// DRAIN_MS bounds the time from a worker's announcement that it drains to its exit.
const DRAIN_MS: (u64, u64) = (2_500, 8_000);
/// REPLACEMENT_MS is the time until a worker that has drained is replaced by another one.
const REPLACEMENT_MS: u64 = 1_000;
/// RESTART_MS bounds the time until a crashed worker restarts with the same id.
const RESTART_MS: (u64, u64) = (30, 6_000);
/// LISTING_DELAY_MS bounds the time until the entry of a restarted worker appears in the list.
const LISTING_DELAY_MS: (u64, u64) = (0, 1_500);
/// ENTRY_EXPIRY_MS is the time from the last write of an entry to its expiry.
const ENTRY_EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;

/// Faults holds the probability of each kind of fault, in thousandths. It is drawn for each
/// occurrence of what the field counts, such as each call or each job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls and saves that never arrive.
    pub lost: u32,
    /// Calls and saves whose answer is lost.
    pub unanswered: u32,
    /// Orders that are executed seconds later, when the call has timed out.
    pub late: u32,
    /// Workers that become unreachable for a while, drawn each second.
    pub cuts: u32,
    /// Workers that crash and come back as a new incarnation, drawn each second.
    pub crashes: u32,
    /// Seconds in which another owner takes over.
    pub takeovers: u32,
    /// Seconds in which the newest owner freezes for a while.
    pub freezes: u32,
    /// Workers that hang, or fail all runs, until the next second; drawn each second.
    pub grey: u32,
    /// Seconds in which the store becomes unavailable for a while.
    pub outages: u32,
    /// Seconds in which a series of cuts begins: another data centre is isolated,
    /// and the owner's data centre before that one is reachable again.
    pub series: u32,
    /// Jobs that are cancelled.
    pub cancels: u32,
    /// Tasks of which every run fails.
    pub poison: u32,
    /// Tasks that crash every worker that starts them.
    pub crashing: u32,
    /// Steps whose tasks may run as speculative copies.
    pub copies: u32,
    /// Workers that announce that they drain and exit some seconds later, drawn each second.
    pub drains: u32,
    /// Saves that are split into several transactions, each of which may fail by itself.
    pub splits: u32,
    /// New jobs that a replaced owner learns of through its watch of the store.
    pub stale_watches: u32,
    /// Incarnations of workers that list their ends in random order.
    pub unordered: u32,
    /// Incarnations of workers that list only a few ends in each report.
    pub short_lists: u32,
    /// Incarnations of workers that list each end one report late.
    pub late_ends: u32,
    /// Crashes after which a worker restarts with the same id. If this rate is not zero, workers
    /// report when they were started.
    pub restarts: u32,
    /// Messages that arrive, of those in which a replaced owner sends its successor what it could
    /// not save.
    pub handovers: u32,
    /// Messages that arrive, of those in which an owner asks earlier ones whether they have stopped
    /// acting. If this rate is zero, owners do not ask.
    pub queries: u32,
    /// Seconds in which operators cordon or uncordon a data centre. If this rate is zero, owners
    /// do not wait for the operators' entries.
    pub cordons: u32,
    /// Watches of the jobs in the store that are answered seconds later, and new owners that take
    /// seconds to read the cell. If this rate is zero, owners know all changes at once.
    pub late_watches: u32,
    /// Seconds in which the newest owner releases the cell, and another one takes over later.
    pub releases: u32,
    /// Tasks that the record of downtimes names which a new owner reads, whatever they do.
    pub downtimes: u32,
    /// Jobs of long-running tasks, which are cancelled once no more faults begin.
    pub long_running: u32,
    /// Jobs that repeat.
    pub repeated: u32,
    /// Jobs that the owner has removed, and under whose id another one is submitted.
    pub resubmitted: u32,
}

impl Faults {
    /// all returns faults of most kinds at a rate. Workers list their ends by number, restart
    /// under new ids, and owners hand nothing over and ask nothing: draws for these faults would change all later
    /// draws of the second random stream.
    pub fn all(rate: u32) -> Faults {
        Faults {
            lost: rate,
            unanswered: rate,
            late: rate / 2,
            cuts: rate * 2,
            crashes: rate,
            takeovers: rate * 2,
            freezes: rate * 2,
            grey: rate,
            outages: rate * 2,
            series: rate * 2,
            cancels: 50,
            poison: 5,
            crashing: 3,
            copies: 200,
            drains: rate,
            splits: 300,
            stale_watches: 300,
            unordered: 0,
            short_lists: 0,
            late_ends: 0,
            restarts: 0,
            handovers: 0,
            queries: 0,
            cordons: 0,
            late_watches: 0,
            releases: 0,
            downtimes: 0,
            long_running: 0,
            repeated: 0,
            resubmitted: 0,
        }
    }
}

impl Simulation {
    /// begin_faults draws the faults that begin in this second.
    pub(super) fn begin_faults(&mut self) {
        for index in 0..WORKERS {
            self.begin_worker_faults(index);
        }
        if self.draw_fault(self.faults.takeovers) {
            let data_centre = self.draw_range(0, DATA_CENTRES as u64 - 1) as usize;
            if !self.is_isolated(data_centre) {
                self.take_over(data_centre);
            }
        }
        if self.draw_extra_fault(self.faults.releases) {
            self.release_cell();
        }
        if self.draw_fault(self.faults.series) {
            self.begin_cut_series();
        }
        if self.draw_fault(self.faults.freezes) {
            self.count("freeze");
            let until = self.now_ms + self.draw_range(500, 9_000);
            if let Some(owner) = self.owners.last_mut() {
                owner.frozen_until = until;
            }
        }
        if self.draw_fault(self.faults.outages) {
            self.count("outage");
            self.store.unavailable_until = self.now_ms + self.draw_range(500, 8_000);
        }
        self.change_cordons();
        self.send(1_000, Message::Second);
    }

    /// begin_worker_faults draws the faults of one worker that begin in this second.
    fn begin_worker_faults(&mut self, index: usize) {
        if self.draw_fault(self.faults.cuts) {
            self.count("cut");
            self.cut_until[index] = self.now_ms + self.draw_range(200, 9_000);
        }
        if self.draw_fault(self.faults.crashes) {
            let back_ms = self.draw_range(500, 6_000);
            self.workers[index].advance(self.now_ms);
            if !self.down[index] {
                self.oracle.record_crash_under_runs(&self.workers[index]);
            }
            self.crash(index, back_ms);
        }
        self.begin_drain(index);
        let grey = self.draw_fault(self.faults.grey);
        let hangs = self.random.random_bool(0.5);
        let worker = &mut self.workers[index];
        worker.advance(self.now_ms);
        worker.hangs = grey && hangs;
        worker.fails_all = grey && !hangs;
    }

    /// begin_drain draws whether a worker announces that it drains.
    fn begin_drain(&mut self, index: usize) {
        let drains = self.draw_extra_fault(self.faults.drains);
        if !drains || self.down[index] || self.workers[index].info.draining {
            return;
        }
        self.count("drain");
        let leaves_ms = self.draw_extra_range(DRAIN_MS.0, DRAIN_MS.1);
        let info = &mut self.workers[index].info;
        info.draining = true;
        info.remaining_ms = Some(leaves_ms);
        let info = info.clone();
        self.send(leaves_ms, Message::Leave(index, info.id.clone()));
        self.drains_since[index] = self.now_ms;
        if self.follows_drains() {
            return;
        }
        let owner = self.owners.len() - 1;
        self.deliver(owner, Event::Listed(info));
    }

    /// end_drained ends the process of a drained worker, if it is still the same incarnation.
    pub(super) fn end_drained(&mut self, index: usize, incarnation: &str) {
        if self.workers[index].info.id == incarnation {
            self.crash(index, REPLACEMENT_MS);
        }
    }

    /// crash ends a worker's process with all its runs, unless it is already down.
    pub(super) fn crash(&mut self, index: usize, back_ms: u64) {
        if self.down[index] {
            return;
        }
        self.count("crash");
        self.down[index] = true;
        self.workers[index].advance(self.now_ms);
        self.oracle.record_lost_ends(&self.workers[index]);
        self.workers[index].runs.clear();
        self.workers[index].ends.clear();
        if self.draw_extra_fault(self.faults.restarts) {
            let back_ms = self.draw_extra_range(RESTART_MS.0, RESTART_MS.1);
            self.send(back_ms, Message::Restart(index));
        } else {
            self.send(back_ms, Message::Replace(index));
        }
        let id = self.workers[index].info.id.clone();
        let expires_ms = self.draw_range(ENTRY_EXPIRY_MS - HEARTBEAT_MS, ENTRY_EXPIRY_MS);
        self.send(expires_ms, Message::Unlist(id));
    }

    /// unlist removes a worker's entry, unless a later incarnation keeps it alive.
    pub(super) fn unlist(&mut self, id: String) {
        let is_kept = |index: usize| !self.down[index] && self.workers[index].info.id == id;
        if (0..WORKERS).any(is_kept) {
            return;
        }
        let owner = self.owners.len() - 1;
        self.deliver(owner, Event::Unlisted(id));
    }

    /// crash_after_start crashes a worker soon after it accepted the start of a task that crashes
    /// workers.
    pub(super) fn crash_after_start(&mut self, index: usize, start: &Start) {
        self.count("crash by a task");
        let newest = start.order.fence == self.store.fence;
        self.oracle
            .record_crash_by_task(self.now_ms, start.order.task, newest);
        let after_ms = self.draw_range(1, 20);
        let back_ms = self.draw_range(2_000, 5_000);
        self.send(after_ms, Message::Crash(index, back_ms));
    }

    /// restart starts the next incarnation of a worker with the same id. Its entry appears in the
    /// list some time later.
    pub(super) fn restart(&mut self, index: usize) {
        self.count("restart");
        let id = self.workers[index].info.id.clone();
        self.workers[index] = self.new_worker(index, id);
        self.down[index] = false;
        let listed_ms = self.draw_extra_range(LISTING_DELAY_MS.0, LISTING_DELAY_MS.1);
        let info = self.workers[index].info.clone();
        self.send(listed_ms, Message::List(Box::new(info)));
    }

    /// list reports a worker's entry to the newest owner.
    pub(super) fn list(&mut self, info: Info) {
        let owner = self.owners.len() - 1;
        self.deliver(owner, Event::Listed(info));
    }

    /// replace starts the next incarnation of a worker with another id.
    pub(super) fn replace(&mut self, index: usize) {
        let id = self.next_id(index);
        self.workers[index] = self.new_worker(index, id);
        self.down[index] = false;
        let info = self.workers[index].info.clone();
        let owner = self.owners.len() - 1;
        self.deliver(owner, Event::Listed(info));
    }
}
