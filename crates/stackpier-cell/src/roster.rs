// SPDX-License-Identifier: Apache-2.0
//! Workers that join, leave, or are given up, and their place in the roster.

use stackpier_core::{Millis, Size, Unix};

use crate::{
    Cell, RosterEntry,
    arena::WorkerKey,
    health::Health,
    received::Received,
    suspension::Suspension,
    worker::{Info, Inheritance, Presence, Worker},
};

/// UNLISTED_POLL_MS is within which time workers are polled that have left the list. All may leave it
/// at once, when the store returns.
const UNLISTED_POLL_MS: u64 = 800;

impl Cell {
    /// add_roster adds a worker that a predecessor may have used.
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

    /// set_roster_unknown records that the workers which predecessors used are not known, so that
    /// tasks wait until everything leased by those owners has expired.
    pub fn set_roster_unknown(&mut self) {
        self.ownership.roster_unknown = true;
    }

    /// apply_entry adds or updates a worker from its current entry in the list.
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
            // The worker was given up while it was unreachable, and its entry is back.
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
        self.update_cordon(key);
        let worker = self.worker_mut(key);
        // A worker that had left may come back. It must be in the roster before it gets starts.
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
        self.placement_due = true;
    }

    /// add_worker adds a new worker and asks it for a report.
    fn add_worker(&mut self, info: Info) -> WorkerKey {
        self.add_incarnation(info.started_at, info)
    }

    /// add_incarnation adds an incarnation of a worker and asks it for a report. `info` may be the
    /// entry of an earlier incarnation.
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
            leased_until: None,
            inherited_tasks: None,
            suspension: Suspension::default(),
            presumed_ended: None,
            runs: Vec::new(),
            unanswered: Vec::new(),
            allocated: Size::default(),
            long_running_milli: 0,
            long_running_use_milli: None,
            other_milli: 0,
            clock: None,
            first_report_at: None,
            deadline_ms: 0,
            renewing: false,
            renewal_sent: Millis(0),
            final_renewal: None,
            renew_after: Millis(0),
            silent_since: None,
            refused: false,
            received: Received::default(),
            unstored: Vec::new(),
            acked: 0,
            report_requested_at: Millis(0),
            ack_confirmed: 0,
            acking: 0,
            ack_after_save: 0,
            health: Health::default(),
            isolation: None,
            full_until: Millis(0),
            relaxed_start_at: None,
            cordoned: false,
            data_centre_cordoned: false,
            evacuated: false,
            dedicated: None,
            reservation: None,
            best_effort_from: Millis(0),
            paused_since: None,
            predictions: Vec::new(),
            draining_since: info.draining.then_some(self.now.mono),
            info,
        };
        let text = format!(
            "worker {} at {} was added",
            worker.incarnation(),
            worker.info.address
        );
        self.worker_keys.insert(worker.info.id.clone(), key);
        self.workers.push(worker);
        self.update_cordon(key);
        self.log("worker", None, text);
        self.renew_now(key);
        key
    }

    /// mark_unlisted records that a worker is no longer in the list.
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
        // An idle worker is rarely polled. If this one has ended, it is to be found silent soon.
        let due = now.plus(u64::from(key.0) % UNLISTED_POLL_MS);
        worker.renew_after = worker.renew_after.min(due);
        let text = format!(
            "worker {} left the list, answers {}, draining {}, {} runs there",
            worker.info.id,
            worker.silent_since.is_none(),
            worker.info.draining,
            worker.runs.len()
        );
        self.log("worker", None, text);
    }

    /// mark_unreadable records that the entry of a worker can't be read, so that neither its author
    /// nor the worker it describes is known. A worker that was known before keeps its runs.
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

    /// check_workers sends the renewals that are due and ends expired leases.
    pub(crate) fn check_workers(&mut self) {
        let now = self.now.mono;
        self.requeue_all_presumed_ended();
        for key in self.collect_live_workers() {
            self.check_silence(key);
            if self.may_presume_ended(self.worker(key)) {
                self.expire_lease(key);
            }
            self.give_up_unreachable(key);
            self.deregister(key);
            let worker = self.worker(key);
            if !worker.renewing && now >= worker.renew_after {
                self.renew_now(key);
            }
        }
        self.poll_uncontacted();
        self.suspend_silent();
    }

    /// expire_lease ends all runs on a worker whose lease must have expired by the worker's own
    /// clock.
    fn expire_lease(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let Some(end) = worker.lease_end() else {
            return;
        };
        if worker.runs.is_empty() || worker.presumed_ended.is_some() {
            return;
        }
        let text = format!(
            "lease of worker {} has expired by this owner's clock, with {} runs, last renewal \
             sent {} ms ago",
            worker.info.id,
            worker.runs.len(),
            self.now.mono.since(worker.renewal_sent)
        );
        self.log("worker", None, text);
        self.presume_ended(key, end);
    }

    /// give_up_unreachable gives up a worker that left the list and does not answer, once nothing
    /// can run there any more, so that a successor does not wait for it.
    fn give_up_unreachable(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let worker = self.worker(key);
        let gone = worker.unlisted_since.is_some() && worker.silent_since.is_some();
        let unused = worker.presence == Presence::New && !worker.is_inherited();
        let over =
            unused && now >= self.ownership.inherited_until || self.may_presume_ended(worker);
        let settled = worker.runs.is_empty() && self.has_stored_ends(worker);
        if gone && settled && over {
            self.give_up_worker(
                key,
                "it left the list, does not answer, and its lease has expired",
            );
        }
    }

    /// deregister removes a worker that has left from the roster. Otherwise a successor would wait
    /// for its answer, and for longer than its lease if it never comes.
    fn deregister(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.presence == Presence::Contacted && worker.rostered && self.has_left(worker) {
            self.worker_mut(key).rostered = false;
            self.saver.roster_changed = true;
        }
    }

    /// has_left reports whether a worker gets no more starts, runs nothing, and lists no end that
    /// the store lacks. The roster and the job progress with the last ends may be saved in several
    /// transactions. If only the roster were saved, a successor would not wait for the worker and
    /// would start tasks again that have ended there.
    pub(crate) fn has_left(&self, worker: &Worker) -> bool {
        let gone = |since: Millis| self.now.mono.since(since) >= self.options.unlisted_ms;
        let leaves = worker.info.draining || worker.unlisted_since.is_some_and(gone);
        let listed_all = !worker.is_inherited() && !worker.has_unacked_ends();
        leaves && worker.runs.is_empty() && listed_all
    }

    /// end_incarnation records that the process of a worker is gone, and all its runs with it.
    pub(crate) fn end_incarnation(&mut self, key: WorkerKey, why: &str) {
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Gone {
            return;
        }
        // A worker that was taken down on purpose has not crashed.
        if worker.silent_since.is_none() && !worker.cordoned {
            self.suspect_runs(key);
        }
        self.give_up_worker(key, why);
        self.presume_ended(key, self.now.mono);
    }

    /// give_up_worker records that nothing more is expected from a worker.
    fn give_up_worker(&mut self, key: WorkerKey, why: &str) {
        self.release_reservation(key);
        let worker = self.worker_mut(key);
        worker.presence = Presence::Gone;
        worker.presumed_ended = None;
        // If the worker comes back, it must be in the roster before it gets starts.
        worker.rostered = false;
        let text = format!(
            "worker {} has ended: {why}; {} runs ended with it",
            worker.incarnation(),
            worker.runs.len()
        );
        self.log("worker", None, text);
        self.withdraw_suspension(key);
        self.saver.roster_changed = true;
        self.placement_due = true;
    }

    /// incarnations returns all incarnations of workers, including those that have ended.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.workers.len() as u32).map(WorkerKey)
    }

    /// live_workers returns the workers that are not known to have ended.
    pub(crate) fn live_workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        let alive = |key: &WorkerKey| self.worker(*key).presence != Presence::Gone;
        self.incarnations().filter(alive)
    }

    /// collect_live_workers returns the live workers as a list, for loops that change them.
    pub(crate) fn collect_live_workers(&self) -> Vec<WorkerKey> {
        self.live_workers().collect()
    }
}
