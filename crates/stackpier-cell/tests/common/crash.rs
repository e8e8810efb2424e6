// SPDX-License-Identifier: Apache-2.0
//! Workers that crash and come back.

use stackpier_cell::Event;
use stackpier_core::Unix;
use stackpier_standin::fleet::Worker;

use super::{Owner, UNIX};

/// UNLISTED_MS is how long after its crash a worker's entry is gone.
const UNLISTED_MS: u64 = 4_500;
/// BACK_MS is how long after its crash a worker is back, with another id at the same
/// address.
const BACK_MS: u64 = 3_000;

/// Revival is a worker that comes back after a crash.
pub struct Revival {
    at_ms: u64,
    place: usize,
}

impl Owner {
    /// crash ends a worker's process: nothing answers until another life is back. The entry
    /// lapses, unless that life has the same id.
    pub fn crash(&mut self, place: usize) {
        self.cut[place] = true;
        if self.restart_ms.is_none() {
            let id = self.workers[place].info.id.clone();
            self.answer(UNLISTED_MS, Event::Unlisted(id));
        }
        self.revivals.push(Revival {
            at_ms: self.now_ms + self.restart_ms.unwrap_or(BACK_MS),
            place,
        });
    }

    pub(super) fn revive(&mut self) {
        let now_ms = self.now_ms;
        let due = |revival: &Revival| revival.at_ms <= now_ms;
        let (due, later): (Vec<_>, Vec<_>) = self.revivals.drain(..).partition(due);
        self.revivals = later;
        for revival in due {
            let mut info = self.workers[revival.place].info.clone();
            match self.restart_ms {
                Some(_) => info.started_at = Some(Unix(UNIX + now_ms)),
                None => info.id = format!("{}-at-{now_ms}", info.host),
            }
            self.workers[revival.place] = Worker::new(info.clone(), 9_000, now_ms);
            self.cut[revival.place] = false;
            self.feed(Event::Listed(info));
        }
    }
}
