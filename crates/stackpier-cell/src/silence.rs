// SPDX-License-Identifier: Apache-2.0
//! When the silence of a worker counts as the end of what runs there.
//!
//! That is once its lease is over, and only if a question sent about then got no answer. An
//! earlier question may have been lost while the worker has been in reach since, and it may
//! know that tasks are done which would start again elsewhere.

use stackpier_core::Millis;

use crate::{
    Cell,
    arena::WorkerKey,
    worker::{Life, Worker},
};

/// ANSWER_MS is how long a worker that can be reached may take to answer.
const ANSWER_MS: u64 = 200;

impl Cell {
    /// check_silence asks a silent worker whose lease is about to end, also while an earlier
    /// question may yet be answered.
    pub(crate) fn check_silence(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let Some(end) = self.silence_end(worker) else {
            return;
        };
        if self.now.mono.plus(ANSWER_MS) >= end && !is_asked_for(worker, end) {
            self.send_hold(key, 0);
        }
    }

    /// is_given_up tells whether the silence of a worker counts as the end of what runs there.
    pub(crate) fn is_given_up(&self, worker: &Worker) -> bool {
        let now = self.now.mono;
        let may_answer = worker.holding && now < worker.asked.plus(ANSWER_MS);
        let over = |end| now >= end && is_asked_for(worker, end);
        !may_answer && self.silence_end(worker).is_some_and(over)
    }

    /// may_tell_of_earlier tells whether a silent worker may yet answer what an earlier owner
    /// has there.
    pub(crate) fn may_tell_of_earlier(&self, worker: &Worker) -> bool {
        let unmet = worker.life == Life::New && worker.is_inherited();
        unmet && worker.silent_since.is_some() && !self.is_given_up(worker)
    }

    /// silence_end returns when the last lease on a silent worker is over.
    fn silence_end(&self, worker: &Worker) -> Option<Millis> {
        worker.silent_since?;
        match worker.life {
            Life::Met => worker.lease_end(),
            Life::New if worker.is_inherited() => Some(self.tenure.inherited_until),
            Life::New | Life::Over => None,
        }
    }
}

/// is_asked_for tells whether a worker was last asked so late that the answer counts for a time.
fn is_asked_for(worker: &Worker, time: Millis) -> bool {
    worker.asked.plus(ANSWER_MS) >= time
}
