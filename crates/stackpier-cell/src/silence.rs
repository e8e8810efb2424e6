// SPDX-License-Identifier: Apache-2.0
//! When the runs of a silent worker count as ended.
//!
//! They do once the lease of the worker has expired and a final renewal, sent shortly before that,
//! got no answer. Without the final renewal, one lost call would make a worker seem silent that
//! is reachable, and tasks that it lists as done would be started again elsewhere.

use stackpier_core::Millis;

use crate::{
    Cell,
    arena::WorkerKey,
    worker::{Presence, Worker},
};

/// ANSWER_MS is how long a reachable worker may take to answer.
const ANSWER_MS: u64 = 200;

impl Cell {
    /// check_silence sends a silent worker the final renewal shortly before its lease expires, even
    /// while an earlier renewal may still be answered.
    pub(crate) fn check_silence(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let worker = self.worker(key);
        let is_near = |end: Millis| now.plus(ANSWER_MS) >= end;
        let due = worker.final_renewal.is_none() && self.silence_end(worker).is_some_and(is_near);
        if due && self.send_renewal(key, 0) {
            self.worker_mut(key).final_renewal = Some(now);
        }
    }

    /// may_presume_ended reports whether the runs of a silent worker count as ended.
    pub(crate) fn may_presume_ended(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let over = self.silence_end(worker).is_some_and(|end| now >= end);
        let unanswered = |sent: Millis| now >= sent.plus(ANSWER_MS);
        over && worker.final_renewal.is_some_and(unanswered)
    }

    /// may_report_inherited reports whether a silent worker may still report runs or ends of a
    /// predecessor.
    pub(crate) fn may_report_inherited(&self, worker: &Worker) -> bool {
        let uncontacted = worker.presence == Presence::New && worker.is_inherited();
        uncontacted && worker.silent_since.is_some() && !self.may_presume_ended(worker)
    }

    /// silence_end returns when the last lease of a silent worker expires.
    fn silence_end(&self, worker: &Worker) -> Option<Millis> {
        worker.silent_since?;
        self.leases_end(worker)
    }

    /// leases_end returns when the last lease of a worker expires, unless it is renewed until then.
    pub(crate) fn leases_end(&self, worker: &Worker) -> Option<Millis> {
        match worker.presence {
            Presence::Contacted => worker.lease_end(),
            Presence::New if worker.is_inherited() => {
                let until = worker.leased_until;
                Some(until.unwrap_or(self.ownership.inherited_until))
            }
            Presence::New | Presence::Gone => None,
        }
    }
}
