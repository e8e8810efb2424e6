// SPDX-License-Identifier: Apache-2.0
//! Holds that wait at their worker for an end to list.

use stackpier_cell::{Event, Renewal, Renewed};
use stackpier_core::Millis;

use super::Owner;

/// Waiting is a hold that is not answered.
pub struct Waiting {
    hold: Renewal,
    sent: Millis,
    due_ms: u64,
}

impl Owner {
    pub(super) fn wait(&mut self, hold: &Renewal) {
        self.waiting.push(Waiting {
            hold: hold.clone(),
            sent: Millis(self.now_ms),
            due_ms: self.now_ms + hold.wait_ms,
        });
    }

    /// answer_waiting answers the holds that have waited long enough, or have an end to list.
    pub(super) fn answer_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let place = self.place(&waiting.hold.address);
            let cut = self.cut[place];
            let worker = &mut self.workers[place];
            worker.advance(self.now_ms);
            let noted = waiting.hold.acked;
            let has_news = worker.ends.iter().any(|end| end.number > noted);
            if self.now_ms < waiting.due_ms && !has_news {
                self.waiting.push(waiting);
                continue;
            }
            let outcome = match cut {
                true => Renewed::Silent,
                false => worker.hold(self.now_ms, &waiting.hold),
            };
            let event = Event::Renewed {
                worker: waiting.hold.worker,
                sent: waiting.sent,
                outcome,
            };
            self.answer(1, event);
        }
    }
}
