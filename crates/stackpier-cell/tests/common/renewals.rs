// SPDX-License-Identifier: Apache-2.0
//! Lease renewals that wait at their worker until a run ends.

use stackpier_cell::{Event, Renewal, Renewed};
use stackpier_core::Millis;

use super::Owner;

/// WaitingRenewal is a lease renewal that is not answered yet.
pub struct WaitingRenewal {
    renewal: Renewal,
    sent: Millis,
    due_ms: u64,
}

impl Owner {
    /// delay_renewal keeps a renewal until its wait is over or a run ends.
    pub(super) fn delay_renewal(&mut self, renewal: &Renewal) {
        self.waiting.push(WaitingRenewal {
            renewal: renewal.clone(),
            sent: Millis(self.now_ms),
            due_ms: self.now_ms + renewal.wait_ms,
        });
    }

    /// answer_waiting_renewals answers the renewals whose wait is over or whose worker has an end
    /// to list.
    pub(super) fn answer_waiting_renewals(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let place = self.place(&waiting.renewal.address);
            let cut = self.cut[place];
            let worker = &mut self.workers[place];
            worker.advance(self.now_ms);
            let acked = waiting.renewal.acked;
            let has_news = worker.ends.iter().any(|end| end.number > acked);
            if self.now_ms < waiting.due_ms && !has_news {
                self.waiting.push(waiting);
                continue;
            }
            let outcome = match cut {
                true => Renewed::Silent,
                false => worker.renew(self.now_ms, &waiting.renewal),
            };
            let event = Event::Renewed {
                worker: waiting.renewal.worker,
                sent: waiting.sent,
                outcome,
            };
            self.answer(1, event);
        }
    }
}
