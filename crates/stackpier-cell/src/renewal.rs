// SPDX-License-Identifier: Apache-2.0
//! Lease renewals: each renews the lease of a worker and asks for its report.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Queue, Renewal, Renewed,
    arena::WorkerKey,
    run::Run,
    worker::{Clock, Presence, Worker},
};

/// IDLE_MS is the time between renewals for a worker that runs nothing. They only have to keep the
/// reading of its clock recent.
const IDLE_MS: u64 = 5_000;
/// UNCONFIRMED_MS is how long a renewal may wait for an end while a start on the worker has got no
/// answer. Reports show whether the run is there, and its task waits for two of them.
const UNCONFIRMED_MS: u64 = 50;
/// ISOLATED_MS is how long a renewal may wait for an end while a task that may crash the worker has
/// just been started there. Reports clear the task, and other starts wait for that.
const ISOLATED_MS: u64 = 100;

/// SHORTEST_RUN_MS is the shortest time in which a worker that has just restarted can begin, carry
/// out and end a run.
const SHORTEST_RUN_MS: u64 = 100;

/// STORE_SILENT_MS is the time without an answer of the store after which acknowledgements of ends
/// to workers are logged. A busy owner gets an answer several times a second.
const STORE_SILENT_MS: u64 = 700;

/// REFUSED_MS is the time within which a renewal fails whose connection is refused or closed. One that
/// gets no answer is given up much later.
const REFUSED_MS: u64 = 150;

impl Cell {
    /// renew_now sends a renewal that the worker answers at once, unless one is in flight.
    pub(crate) fn renew_now(&mut self, key: WorkerKey) {
        self.renew(key, 0);
    }

    /// renew_with_wait sends a renewal that the worker may answer only when a run ends (a long
    /// poll), unless one is in flight.
    pub(crate) fn renew_with_wait(&mut self, key: WorkerKey) {
        let lag = self.lag;
        let runs = self.worker(key).runs.iter();
        let mut wait_ms = lag.lengthen_wait(self.options.renewal_wait_ms);
        if self.worker(key).isolation.is_some() {
            wait_ms = wait_ms.min(ISOLATED_MS);
        }
        for run in runs.filter_map(|run| self.runs.get(*run)) {
            if run.is_unconfirmed() {
                wait_ms = wait_ms.min(UNCONFIRMED_MS);
            } else if run.serving {
                wait_ms = wait_ms.min(lag.lengthen_wait(self.options.serving_renewal_wait_ms));
            }
        }
        self.renew(key, wait_ms);
    }

    fn renew(&mut self, key: WorkerKey, wait_ms: u64) {
        if !self.worker(key).renewing {
            self.send_renewal(key, wait_ms);
        }
    }

    /// send_renewal sends a renewal even if one is in flight, and reports whether it was sent.
    pub(crate) fn send_renewal(&mut self, key: WorkerKey, wait_ms: u64) -> bool {
        let (now, lease_ms) = (self.now.mono, self.options.lease_ms);
        let (fence, authority) = (self.fence, self.has_authority());
        let foreign = self.is_foreign(self.worker(key));
        // While another renewal is in flight, this one acknowledges nothing: an answer does not
        // show which of the two has arrived.
        let acking = match self.worker(key).renewing {
            true => 0,
            false => self.next_ack(key),
        };
        let worker = self.worker_mut(key);
        if worker.presence == Presence::Gone || foreign || !authority {
            return false;
        }
        let listed = worker.has_unacked_ends() || worker.acked > acking.max(worker.ack_confirmed);
        worker.renewing = true;
        worker.renewal_sent = now;
        worker.acking = acking;
        // A renewal without an answer may still arrive late. One to a silent worker extends no
        // lease; otherwise the end of its lease could never be known.
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
            // The worker lists again at once every end that is not acknowledged here.
            wait_ms: if listed { 0 } else { wait_ms },
        };
        self.effects.push(Effect::Renew(renewal));
        self.log_ack(key, acking);
        true
    }

    /// log_ack logs up to which number a worker may forget its ends, if the store has not answered
    /// for [`STORE_SILENT_MS`]: these ends must have been saved before.
    fn log_ack(&mut self, key: WorkerKey, number: u64) {
        let silent_ms = self.store_silent_ms();
        if number == 0 || silent_ms < STORE_SILENT_MS {
            return;
        }
        let id = &self.worker(key).info.id;
        let text = format!(
            "worker {id} may forget ends up to {number}, {silent_ms} ms after the last \
             confirmation by the store; {}",
            self.saver.describe()
        );
        self.log("report", None, text);
    }

    /// next_ack returns the number up to which a worker may forget its ends, or zero. Each number
    /// is sent only once, because another incarnation that has replaced the worker would forget
    /// ends of its own that no owner has received. That incarnation can have ends only of starts
    /// that the known incarnation is not known to have accepted. So while there are such starts, a
    /// number is sent only if the worker has just answered.
    fn next_ack(&self, key: WorkerKey) -> u64 {
        let worker = self.worker(key);
        let now = self.now.mono;
        let is_recent = |clock: Clock| now.since(clock.at) < SHORTEST_RUN_MS;
        let accepted_start = |run: &Run| {
            run.reported
                || run
                    .confirmed
                    .is_some_and(|at| at < worker.report_requested_at)
        };
        let mut runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let is_certain = worker.clock.is_some_and(is_recent) || runs.all(accepted_start);
        if worker.acked > worker.ack_confirmed && worker.is_responsive() && is_certain {
            worker.acked
        } else {
            0
        }
    }

    /// is_foreign reports whether a worker that has not been contacted belongs to no service that
    /// runs tasks. Such a worker is not called.
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
        // Such a worker may be polled again before each renewal times out.
        let never_answered = self.worker(key).clock.is_none();
        match outcome {
            // A later renewal was answered first.
            Renewed::Report(_) if sent < self.worker(key).report_requested_at => {}
            Renewed::Report(report) => self.apply_report(key, sent, report),
            Renewed::Fenced => self.depose(),
            Renewed::OtherLife => {
                self.end_incarnation(key, "its address answers for another incarnation")
            }
            Renewed::Silent if self.is_latest(key) && (is_latest || never_answered) => {
                self.record_no_answer(key, sent)
            }
            Renewed::Silent => {}
        }
    }

    fn record_no_answer(&mut self, key: WorkerKey, sent: Millis) {
        let (now, retry) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        worker.renew_after = now.plus(retry);
        worker.refused = now.since(sent) < REFUSED_MS;
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            let text = format!("worker {} does not answer", worker.info.id);
            self.log("worker", None, text);
            self.record_downtime();
            self.suspect_runs(key);
        }
    }

    /// schedule_renewal sends the next renewal to a worker that runs something, or sets when it is
    /// due.
    pub(crate) fn schedule_renewal(&mut self, key: WorkerKey) {
        let (now, retry_ms) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        if worker.has_unacked_ends() {
            // When the save in flight is done, it sends the next renewal.
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
