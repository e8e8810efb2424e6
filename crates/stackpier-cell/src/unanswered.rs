// SPDX-License-Identifier: Apache-2.0
//! Starts that got no answer and may still be carried out seconds later.
//!
//! The worker is ordered to stop such a run and refuses it from then on. An incarnation that begins
//! after that does not know about the stop and would accept the start, because orders name a worker
//! only by its id.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Order, Stop, TaskName,
    arena::{RunKey, WorkerKey},
};

/// MAX_LATE_MS is how long a start may still be carried out after the owner stopped waiting for its
/// answer. Workers do so up to twelve seconds late.
const MAX_LATE_MS: u64 = 15_000;

/// Unanswered is a start that got no answer.
#[derive(Debug)]
pub(crate) struct Unanswered {
    run: RunKey,
    order: Order,
    until: Millis,
}

impl Unanswered {
    /// is_possible reports whether the start may still be carried out.
    pub(crate) fn is_possible(&self, now: Millis) -> bool {
        now < self.until
    }

    /// task returns the task to start.
    pub(crate) fn task(&self) -> TaskName {
        self.order.task
    }
}

impl Cell {
    /// record_unanswered records a start that got no answer.
    pub(crate) fn record_unanswered(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (worker, now) = (run.worker, self.now.mono);
        let unanswered = Unanswered {
            run: key,
            order: self.order_for(key),
            until: now.plus(MAX_LATE_MS),
        };
        let kept = &mut self.worker_mut(worker).unanswered;
        kept.retain(|unanswered| now < unanswered.until);
        kept.push(unanswered);
    }

    /// block_unanswered makes a new incarnation refuse the starts that got no answer from the
    /// earlier one and whose runs have ended by now. The new incarnation has not received the
    /// orders to stop them.
    pub(crate) fn block_unanswered(&mut self, earlier: WorkerKey, later: WorkerKey) {
        let now = self.now.mono;
        let mut unanswered = std::mem::take(&mut self.worker_mut(earlier).unanswered);
        unanswered.retain(|unanswered| now < unanswered.until);
        if self.has_authority() {
            let over = unanswered
                .iter()
                .filter(|start| self.runs.get(start.run).is_none());
            let stop = |start: &Unanswered| {
                let order = start.order.clone();
                Effect::Stop(Stop { order })
            };
            self.effects.extend(over.map(stop));
        }
        self.worker_mut(later).unanswered = unanswered;
    }
}
