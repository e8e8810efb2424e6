// SPDX-License-Identifier: Apache-2.0
//! Holds: renewing a worker's lease, and asking for its report.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Held, Hold, Queue,
    arena::WorkerKey,
    run::Run,
    worker::{Clock, Life, Worker},
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
    /// hold_now sends a hold that does not wait, unless one is on its way.
    pub(crate) fn hold_now(&mut self, key: WorkerKey) {
        self.hold(key, 0);
    }

    /// hold_soon sends a hold that waits for an end, unless one is on its way.
    pub(crate) fn hold_soon(&mut self, key: WorkerKey) {
        let runs = self.worker(key).runs.iter();
        let mut wait_ms = self.options.hold_wait_ms;
        if self.worker(key).isolation.is_some() {
            wait_ms = wait_ms.min(ISOLATED_MS);
        }
        for run in runs.filter_map(|run| self.runs.get(*run)) {
            if run.is_unclear() {
                wait_ms = wait_ms.min(UNCLEAR_MS);
            } else if run.serving {
                wait_ms = wait_ms.min(self.options.sample_ms);
            }
        }
        self.hold(key, wait_ms);
    }

    fn hold(&mut self, key: WorkerKey, wait_ms: u64) {
        if !self.worker(key).holding {
            self.send_hold(key, wait_ms);
        }
    }

    /// send_hold sends a hold, also if one is on its way, and tells whether it was sent.
    pub(crate) fn send_hold(&mut self, key: WorkerKey, wait_ms: u64) -> bool {
        let (now, lease_ms) = (self.now.mono, self.options.lease_ms);
        let (fence, authority) = (self.fence, self.has_authority());
        let foreign = self.is_foreign(self.worker(key));
        // Beside a hold that is on its way it tells nothing: an answer does not show which of
        // the two has arrived.
        let telling = match self.worker(key).holding {
            true => 0,
            false => self.forgettable(key),
        };
        let worker = self.worker_mut(key);
        if worker.life == Life::Over || foreign || !authority {
            return false;
        }
        let listed = worker.has_unnoted_ends() || worker.noted > telling.max(worker.forgotten);
        worker.holding = true;
        worker.hold_sent = now;
        worker.telling = telling;
        // A hold without an answer may arrive late. One to a silent worker
        // renews nothing, or its lease would never be known to be over.
        let deadline_ms = match worker.silent_since {
            None => worker.lease(now, lease_ms),
            Some(_) => None,
        };
        let hold = Hold {
            worker: key,
            data_centre: worker.info.data_centre.clone(),
            address: worker.info.address.clone(),
            life: worker.info.id.clone(),
            fence,
            deadline_ms,
            noted: telling,
            // Ends that it is not told to forget are listed again at once.
            wait_ms: if listed { 0 } else { wait_ms },
        };
        self.effects.push(Effect::Hold(hold));
        self.note_forgotten(key, telling);
        true
    }

    /// note_forgotten tells up to which end a worker may forget, if the store has not answered
    /// lately: it must have the ends by then.
    fn note_forgotten(&mut self, key: WorkerKey, number: u64) {
        let silent_ms = self.store_silent_ms();
        if number == 0 || silent_ms < STORE_SILENT_MS {
            return;
        }
        let id = &self.worker(key).info.id;
        let text = format!(
            "worker {id} may forget ends up to {number}, {silent_ms} ms after the last word of the store; {}",
            self.saver.describe()
        );
        self.note("report", None, text);
    }

    /// forgettable returns the number of the last end that a worker is told to forget, zero
    /// for none. It is told so once: another life that has taken its place would forget ends
    /// of its own, which nobody has seen. That life can have some only of starts that this one
    /// is not known to have taken. So while there are such starts, it must just have answered.
    fn forgettable(&self, key: WorkerKey) -> u64 {
        let worker = self.worker(key);
        let now = self.now.mono;
        let is_recent = |clock: Clock| now.since(clock.at) < SHORTEST_MS;
        let taken = |run: &Run| run.shown || run.confirmed.is_some_and(|at| at < worker.reported);
        let mut runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let is_certain = worker.clock.is_some_and(is_recent) || runs.all(taken);
        if worker.noted > worker.forgotten && worker.is_heard() && is_certain {
            worker.noted
        } else {
            0
        }
    }

    /// is_foreign tells whether a worker that this owner has not met is of no service that
    /// runs tasks: whoever is at its address is not called.
    fn is_foreign(&self, worker: &Worker) -> bool {
        let serves = |queue: &Queue| queue.service == worker.info.service;
        worker.life == Life::New && !worker.is_inherited() && !self.queues.values().any(serves)
    }

    pub(crate) fn held(&mut self, key: WorkerKey, sent: Millis, outcome: Held) {
        let is_latest = sent >= self.worker(key).hold_sent;
        if is_latest {
            self.worker_mut(key).holding = false;
        }
        match outcome {
            // A later hold was answered first.
            Held::Report(_) if sent < self.worker(key).reported => {}
            Held::Report(report) => self.take_report(key, sent, report),
            Held::Fenced => self.depose(),
            Held::OtherLife => self.end_life(key, "its address answers for another life"),
            Held::Silent if is_latest && self.is_latest(key) => self.miss(key),
            Held::Silent => {}
        }
    }

    fn miss(&mut self, key: WorkerKey) {
        let (now, retry) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        worker.hold_after = now.plus(retry);
        if worker.silent_since.is_none() {
            worker.silent_since = Some(now);
            let text = format!("worker {} does not answer", worker.info.id);
            self.note("worker", None, text);
            self.suspect_runs(key);
        }
    }

    /// next_hold sends the next hold on a worker that runs something, or sets
    /// when it comes.
    pub(crate) fn next_hold(&mut self, key: WorkerKey) {
        let (now, retry_ms) = (self.now.mono, self.options.retry_ms);
        let worker = self.worker_mut(key);
        if worker.has_unnoted_ends() {
            // The save that is on its way sends the next hold.
            worker.hold_after = now.plus(retry_ms);
            return;
        }
        if worker.noted > worker.forgotten {
            self.hold_now(key);
            return;
        }
        if worker.runs.is_empty() {
            worker.hold_after = now.plus(IDLE_MS);
            return;
        }
        self.hold_soon(key);
    }
}
