// SPDX-License-Identifier: Apache-2.0
//! Holds: renewing a worker's lease, and asking for its report.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Queue, Renewal, Renewed,
    arena::WorkerKey,
    run::Run,
    worker::{Clock, Presence, Worker},
};

/// IDLE_MS is the pause between two holds on a worker that runs nothing. It
/// only has to keep the reading of its clock fresh.
const IDLE_MS: u64 = 5_000;
/// UNCLEAR_MS is how long a hold waits while a start there got no answer: reports tell
/// whether the run is there, and its task waits for two of them.
const UNCLEAR_MS: u64 = 50;
/// ISOLATED_MS is how long a hold waits while a task that may crash the worker was started
/// there: reports clear it, and other starts wait for that.
const ISOLATED_MS: u64 = 100;

/// SHORTEST_MS is how long a run takes at least that begins, does its work and ends, in a
/// worker that has started again just before.
const SHORTEST_MS: u64 = 100;

/// STORE_SILENT_MS is how long the store must have been silent for the log to tell what workers
/// may forget. A busy owner hears it several times a second.
const STORE_SILENT_MS: u64 = 700;

impl Cell {
    /// renew_now sends a hold that does not wait, unless one is on its way.
    pub(crate) fn renew_now(&mut self, key: WorkerKey) {
        self.renew(key, 0);
    }

    /// renew_with_wait sends a hold that waits for an end, unless one is on its way.
    pub(crate) fn renew_with_wait(&mut self, key: WorkerKey) {
        let runs = self.worker(key).runs.iter();
        let mut wait_ms = self.options.renewal_wait_ms;
        if self.worker(key).isolation.is_some() {
            wait_ms = wait_ms.min(ISOLATED_MS);
        }
        for run in runs.filter_map(|run| self.runs.get(*run)) {
            if run.is_unconfirmed() {
                wait_ms = wait_ms.min(UNCLEAR_MS);
            } else if run.serving {
                wait_ms = wait_ms.min(self.options.serving_renewal_wait_ms);
            }
        }
        self.renew(key, wait_ms);
    }

    fn renew(&mut self, key: WorkerKey, wait_ms: u64) {
        if !self.worker(key).renewing {
            self.send_renewal(key, wait_ms);
        }
    }

    /// send_renewal sends a hold, also if one is on its way, and tells whether it was sent.
    pub(crate) fn send_renewal(&mut self, key: WorkerKey, wait_ms: u64) -> bool {
        let (now, lease_ms) = (self.now.mono, self.options.lease_ms);
        let (fence, authority) = (self.fence, self.has_authority());
        let foreign = self.is_foreign(self.worker(key));
        // Beside a hold that is on its way it tells nothing: an answer does not show which of
        // the two has arrived.
        let acking = match self.worker(key).renewing {
            true => 0,
            false => self.forgettable(key),
        };
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Gone || foreign || !authority {
            return false;
        }
        let listed = worker.has_unacked_ends() || worker.acked > acking.max(worker.ack_confirmed);
        worker.renewing = true;
        worker.renewal_sent = now;
        worker.acking = acking;
        // A hold without an answer may arrive late. One to a silent worker
        // renews nothing, or its lease would never be known to be over.
        let deadline_ms = match worker.silent_since {
            None => worker.lease(now, lease_ms),
            Some(_) => None,
        };
        let renewal = Renewal {
            worker: key,
            data_centre: worker.info.data_centre.clone(),
            address: worker.info.address.clone(),
            worker_id: worker.info.id.clone(),
            fence,
            deadline_ms,
            acked: acking,
            // Ends that it is not told to forget are listed again at once.
            wait_ms: if listed { 0 } else { wait_ms },
        };
        self.effects.push(Effect::Renew(renewal));
        self.log_ack(key, acking);
        true
    }

    /// log_ack tells up to which end a worker may forget, if the store has not answered
    /// lately: it must have the ends by then.
    fn log_ack(&mut self, key: WorkerKey, number: u64) {
        let silent_ms = self.store_silent_ms();
        if number == 0 || silent_ms < STORE_SILENT_MS {
            return;
        }
        let id = &self.worker(key).info.id;
        let text = format!(
            "worker {id} may forget ends up to {number}, {silent_ms} ms after the last word of the store; {}",
            self.saver.describe()
        );
        self.log("report", None, text);
    }

    /// forgettable returns the number of the last end that a worker is told to forget, zero
    /// for none. It is told so once: another life that has taken its place would forget ends
    /// of its own, which nobody has seen. That life can have some only of starts that this one
    /// is not known to have taken. So while there are such starts, it must just have answered.
    fn forgettable(&self, key: WorkerKey) -> u64 {
        let worker = self.worker(key);
        let now = self.now.mono;
        let is_recent = |clock: Clock| now.since(clock.at) < SHORTEST_MS;
        let taken =
            |run: &Run| run.reported || run.confirmed.is_some_and(|at| at < worker.reported);
        let mut runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let is_certain = worker.clock.is_some_and(is_recent) || runs.all(taken);
        if worker.acked > worker.ack_confirmed && worker.is_responsive() && is_certain {
            worker.acked
        } else {
            0
        }
    }

    /// is_foreign tells whether a worker that this owner has not met is of no service that
    /// runs tasks: whoever is at its address is not called.
    fn is_foreign(&self, worker: &Worker) -> bool {
        let serves = |queue: &Queue| queue.service == worker.info.service;
        worker.presence == Presence::New
            && !worker.is_inherited()
            && !self.queues.values().any(serves)
    }

    pub(crate) fn handle_renewal_answer(&mut self, key: WorkerKey, sent: Millis, outcome: Renewed) {
        let is_latest = sent >= self.worker(key).renewal_sent;
        if is_latest {
            self.worker_mut(key).renewing = false;
        }
        match outcome {
            // A later hold was answered first.
            Renewed::Report(_) if sent < self.worker(key).reported => {}
            Renewed::Report(report) => self.apply_report(key, sent, report),
            Renewed::Fenced => self.depose(),
            Renewed::OtherLife => self.end_incarnation(key, "its address answers for another life"),
            Renewed::Silent if is_latest && self.is_latest(key) => self.miss(key),
            Renewed::Silent => {}
        }
    }

    fn miss(&mut self, key: WorkerKey) {
        let (now, retry) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        worker.renew_after = now.plus(retry);
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            let text = format!("worker {} does not answer", worker.info.id);
            self.log("worker", None, text);
            self.suspect_runs(key);
        }
    }

    /// schedule_renewal sends the next hold on a worker that runs something, or sets
    /// when it comes.
    pub(crate) fn schedule_renewal(&mut self, key: WorkerKey) {
        let (now, retry_ms) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        if worker.has_unacked_ends() {
            // The save that is on its way sends the next hold.
            worker.renew_after = now.plus(retry_ms);
            return;
        }
        if worker.acked > worker.ack_confirmed {
            self.renew_now(key);
            return;
        }
        if worker.runs.is_empty() {
            worker.renew_after = now.plus(IDLE_MS);
            return;
        }
        self.renew_with_wait(key);
    }
}
