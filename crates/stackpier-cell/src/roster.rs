// SPDX-License-Identifier: Apache-2.0
//! The roster: workers that come, leave, and are given up.

use stackpier_core::{Millis, Size, Unix};

use crate::{
    Cell, RosterEntry,
    arena::WorkerKey,
    health::Health,
    received::Received,
    worker::{Info, Inheritance, Presence, Worker},
};

impl Cell {
    /// add_roster takes in the workers that an earlier owner may have used.
    pub fn add_roster(&mut self, entry: &RosterEntry) {
        if self.worker_keys.contains_key(&entry.id) {
            return;
        }
        let info = Info {
            id: entry.id.clone(),
            started_at: None,
            service: String::new(),
            address: entry.address.clone(),
            data_centre: String::new(),
            capacity: Size::default(),
            labels: Vec::new(),
            rack: String::new(),
            host: String::new(),
            draining: false,
            remaining_ms: None,
        };
        let key = self.add_worker(info);
        let now = self.now.mono;
        let worker = self.worker_mut(key);
        worker.inheritance = Inheritance::Unreported;
        worker.rostered = true;
        worker.unlisted_since = Some(now);
        self.renew_now(key);
    }

    /// set_roster_unknown notes that the workers which earlier owners used can't be told: what they
    /// leased is waited for.
    pub fn set_roster_unknown(&mut self) {
        self.ownership.roster_unknown = true;
    }

    /// apply_entry takes in a worker as the list shows it now.
    pub(crate) fn apply_entry(&mut self, info: Info) {
        let Some(key) = self.worker_keys.get(&info.id).copied() else {
            self.add_worker(info);
            return;
        };
        let (service, rack) = (
            self.services.intern(&info.service),
            self.racks.intern(&info.rack),
        );
        let now = self.now.mono;
        if self.announce(key, &info) {
            return;
        }
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Gone {
            // It was given up while it could not be reached, and shows again.
            worker.presence = Presence::New;
            worker.clock = None;
            worker.renew_after = now;
        }
        let newly_draining = info.draining && !worker.info.draining;
        worker.started_at = worker.started_at.or(info.started_at);
        worker.info = info;
        worker.service = service;
        worker.rack = rack;
        worker.unlisted_since = None;
        worker.unreadable = false;
        // One that had left may come back: it is in the roster before it gets starts.
        let stays =
            worker.presence == Presence::Contacted && !worker.rostered && !worker.info.draining;
        self.saver.roster_changed |= stays;
        let worker = self.worker_mut(key);
        if newly_draining {
            worker.draining_since = Some(now);
            let text = format!("worker {} is draining", worker.info.id);
            self.log("worker", None, text);
            self.check_drains();
        }
        self.place_wanted = true;
    }

    /// add_worker adds a worker that was not known and asks it for a report.
    fn add_worker(&mut self, info: Info) -> WorkerKey {
        self.add_incarnation(info.started_at, info)
    }

    /// add_incarnation adds a life of a worker, started at a time, and asks it for a report. What is
    /// known of the worker may be the entry of an earlier life.
    pub(crate) fn add_incarnation(&mut self, started_at: Option<Unix>, info: Info) -> WorkerKey {
        let key = WorkerKey(self.workers.len() as u32);
        let worker = Worker {
            service: self.services.intern(&info.service),
            rack: self.racks.intern(&info.rack),
            presence: Presence::New,
            started_at,
            announced: None,
            unlisted_since: None,
            unreadable: false,
            rostered: false,
            inheritance: Inheritance::None,
            presumed_ended: None,
            runs: Vec::new(),
            unanswered: Vec::new(),
            allocated: Size::default(),
            long_running_milli: 0,
            other_milli: 0,
            clock: None,
            deadline_ms: 0,
            renewing: false,
            renewal_sent: Millis(0),
            final_renewal: None,
            renew_after: Millis(0),
            silent_since: None,
            received: Received::default(),
            acked: 0,
            reported: Millis(0),
            ack_confirmed: 0,
            acking: 0,
            ack_after_save: 0,
            health: Health::default(),
            isolation: None,
            full_until: Millis(0),
            relaxed_start_at: None,
            cordoned: false,
            evacuated: false,
            dedicated: None,
            reservation: None,
            predictions: Vec::new(),
            draining_since: info.draining.then_some(self.now.mono),
            info,
        };
        let text = format!(
            "worker {} at {} is known",
            worker.incarnation(),
            worker.info.address
        );
        self.worker_keys.insert(worker.info.id.clone(), key);
        self.workers.push(worker);
        self.log("worker", None, text);
        self.renew_now(key);
        key
    }

    /// mark_unlisted notes that a worker left the list.
    pub(crate) fn mark_unlisted(&mut self, id: &str) {
        let Some(key) = self.worker_keys.get(id).copied() else {
            return;
        };
        let now = self.now.mono;
        let worker = self.worker_mut(key);
        if worker.unlisted_since.is_some() || worker.presence == Presence::Gone {
            return;
        }
        worker.unlisted_since = Some(now);
        let text = format!(
            "worker {} left the list, answers {}, draining {}, {} runs there",
            worker.info.id,
            worker.silent_since.is_none(),
            worker.info.draining,
            worker.runs.len()
        );
        self.log("worker", None, text);
    }

    /// mark_unreadable notes that a worker's entry can't be read: who wrote it, and of what
    /// worker, is not known. One that was known before keeps what it runs.
    pub(crate) fn mark_unreadable(&mut self, id: &str) {
        let Some(key) = self.worker_keys.get(id).copied() else {
            return;
        };
        if self.worker(key).unreadable {
            return;
        }
        self.worker_mut(key).unreadable = true;
        self.mark_unlisted(id);
    }

    /// check_workers sends holds that are due, and ends leases.
    pub(crate) fn check_workers(&mut self) {
        let now = self.now.mono;
        self.settle_all();
        for key in self.collect_live_workers() {
            self.check_silence(key);
            if self.is_given_up(self.worker(key)) {
                self.expire_lease(key);
            }
            self.retire(key);
            self.deregister(key);
            let worker = self.worker(key);
            if !worker.renewing && now >= worker.renew_after {
                self.renew_now(key);
            }
        }
        self.poll_uncontacted();
    }

    /// expire_lease ends all runs on a worker whose lease is over by its own clock.
    fn expire_lease(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let Some(end) = worker.lease_end() else {
            return;
        };
        if worker.runs.is_empty() || worker.presumed_ended.is_some() {
            return;
        }
        let text = format!(
            "lease of worker {} is over as counted here, with {} runs, last asked {} ms ago",
            worker.info.id,
            worker.runs.len(),
            self.now.mono.since(worker.renewal_sent)
        );
        self.log("worker", None, text);
        self.presume_ended(key, end);
    }

    /// retire gives a worker up that left the list and does not answer, once
    /// nothing can run there any more. A later owner need not wait for it.
    fn retire(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let worker = self.worker(key);
        let gone = worker.unlisted_since.is_some() && worker.silent_since.is_some();
        let unused = worker.presence == Presence::New && !worker.is_inherited();
        let over = unused && now >= self.ownership.inherited_until || self.is_given_up(worker);
        let settled = worker.runs.is_empty() && self.has_stored_ends(worker);
        if gone && settled && over {
            self.give_up_worker(
                key,
                "it left the list, does not answer, and its lease is over",
            );
        }
    }

    /// deregister takes a worker that has left off the roster: a later owner would
    /// wait for it to answer, and for longer than its lease if it never does.
    fn deregister(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.presence == Presence::Contacted && worker.rostered && self.has_left(worker) {
            self.worker_mut(key).rostered = false;
            self.saver.roster_changed = true;
        }
    }

    /// has_left tells whether a worker gets no starts any more, runs nothing, and lists no
    /// end that the store does not have. The roster and the progress with its last ends may
    /// go in several transactions: with only the first one done, a later owner would not
    /// wait for the worker and start again what has ended there.
    pub(crate) fn has_left(&self, worker: &Worker) -> bool {
        let gone = |since: Millis| self.now.mono.since(since) >= self.options.unlisted_ms;
        let leaves = worker.info.draining || worker.unlisted_since.is_some_and(gone);
        let listed_all = !worker.is_inherited() && !worker.has_unacked_ends();
        leaves && worker.runs.is_empty() && listed_all
    }

    /// end_incarnation notes that a worker's process is gone, and everything with it.
    pub(crate) fn end_incarnation(&mut self, key: WorkerKey, why: &str) {
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Gone {
            return;
        }
        // One that was taken down on purpose has not crashed.
        if worker.silent_since.is_none() && !worker.cordoned {
            self.suspect_runs(key);
        }
        self.give_up_worker(key, why);
        self.presume_ended(key, self.now.mono);
    }

    /// give_up_worker notes that nothing is expected of a worker any more.
    fn give_up_worker(&mut self, key: WorkerKey, why: &str) {
        let worker = self.worker_mut(key);
        worker.presence = Presence::Gone;
        worker.presumed_ended = None;
        // If it shows again, it is in the roster before it gets starts.
        worker.rostered = false;
        let text = format!(
            "worker {} is over: {why}; {} runs ended with it",
            worker.incarnation(),
            worker.runs.len()
        );
        self.log("worker", None, text);
        self.saver.roster_changed = true;
        self.place_wanted = true;
    }

    /// incarnations returns all lives of workers, also those that are over.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.workers.len() as u32).map(WorkerKey)
    }

    /// live_workers returns the workers that are not known to be over.
    pub(crate) fn live_workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        let alive = |key: &WorkerKey| self.worker(*key).presence != Presence::Gone;
        self.incarnations().filter(alive)
    }

    /// collect_live_workers returns the same as a list, for loops that change workers.
    pub(crate) fn collect_live_workers(&self) -> Vec<WorkerKey> {
        self.live_workers().collect()
    }
}
