// SPDX-License-Identifier: Apache-2.0
//! When the silence of a worker counts as the end of what runs there.
//!
//! That is once its lease is over and a final hold, sent shortly before, got no answer. An
//! earlier hold may have been lost while the worker has been in reach since, and it may know
//! that tasks are done which would start again elsewhere.

use stackpier_core::Millis;

use crate::{
    Cell,
    arena::WorkerKey,
    worker::{Presence, Worker},
};

/// ANSWER_MS is how long a worker that can be reached may take to answer.
const ANSWER_MS: u64 = 200;

impl Cell {
    /// check_silence sends a silent worker the final hold before its lease is over, also while
    /// an earlier one may yet be answered.
    pub(crate) fn check_silence(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let worker = self.worker(key);
        let is_near = |end: Millis| now.plus(ANSWER_MS) >= end;
        let due = worker.final_renewal.is_none() && self.silence_end(worker).is_some_and(is_near);
        if due && self.send_renewal(key, 0) {
            self.worker_mut(key).final_renewal = Some(now);
        }
    }

    /// is_given_up tells whether the silence of a worker counts as the end of what runs there.
    pub(crate) fn is_given_up(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let over = self.silence_end(worker).is_some_and(|end| now >= end);
        let unanswered = |sent: Millis| now >= sent.plus(ANSWER_MS);
        over && worker.final_renewal.is_some_and(unanswered)
    }

    /// may_tell_of_earlier tells whether a silent worker may yet answer what an earlier owner
    /// has there.
    pub(crate) fn may_tell_of_earlier(&self, worker: &Worker) -> bool {
        let uncontacted = worker.presence == Presence::New && worker.is_inherited();
        uncontacted && worker.silent_since.is_some() && !self.is_given_up(worker)
    }

    /// silence_end returns when the last lease on a silent worker is over.
    fn silence_end(&self, worker: &Worker) -> Option<Millis> {
        worker.silent_since?;
        match worker.presence {
            Presence::Contacted => worker.lease_end(),
            Presence::New if worker.is_inherited() => Some(self.ownership.inherited_until),
            Presence::New | Presence::Gone => None,
        }
    }
}
