// SPDX-License-Identifier: Apache-2.0
//! Workers that crash and start again.

use stackpier_cell::Event;
use stackpier_core::Unix;
use stackpier_standin::fleet::Worker;

use super::{Owner, UNIX};

/// UNLISTED_MS is the time from a worker's crash until its entry leaves the list.
const UNLISTED_MS: u64 = 4_500;
/// REPLACEMENT_MS is the time from a worker's crash until its next incarnation runs, with another id at
/// the same address.
const REPLACEMENT_MS: u64 = 3_000;

/// Restart is the scheduled restart of a crashed worker.
pub struct Restart {
    at_ms: u64,
    place: usize,
}

impl Owner {
    /// crash ends a worker's process: nothing answers until its next incarnation runs. The
    /// entry leaves the list, unless the next incarnation has the same id.
    pub fn crash(&mut self, place: usize) {
        self.cut[place] = true;
        if self.restart_ms.is_none() {
            let id = self.workers[place].info.id.clone();
            self.answer(UNLISTED_MS, Event::Unlisted(id));
        }
        self.restarts.push(Restart {
            at_ms: self.now_ms + self.restart_ms.unwrap_or(REPLACEMENT_MS),
            place,
        });
    }

    /// restart_crashed starts the crashed workers whose restart is due.
    pub(super) fn restart_crashed(&mut self) {
        let now_ms = self.now_ms;
        let due = |restart: &Restart| restart.at_ms <= now_ms;
        let (due, later): (Vec<_>, Vec<_>) = self.restarts.drain(..).partition(due);
        self.restarts = later;
        for restart in due {
            let mut info = self.workers[restart.place].info.clone();
            match self.restart_ms {
                Some(_) => info.started_at = Some(Unix(UNIX + now_ms)),
                None => info.id = format!("{}-at-{now_ms}", info.host),
            }
            self.workers[restart.place] = Worker::new(info.clone(), 9_000, now_ms);
            self.cut[restart.place] = false;
            self.feed(Event::Listed(info));
        }
    }
}
