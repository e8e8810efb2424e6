// SPDX-License-Identifier: Apache-2.0
//! Whether the own daemon reaches the platform's store, by the time of the
//! store's last answer.

use stackpier_core::Millis;

/// Change is a change of whether the store is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The store has given no answer for this many milliseconds.
    Lost(u64),
    /// The store answers again, this many milliseconds after its last answer.
    Regained(u64),
}

/// Reach decides whether the store is reached. It is observed at regularly.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    silence_ms: u64,
    answered: Millis,
    /// The time from which a silence is counted.
    since: Millis,
    observed: Millis,
    lost: bool,
}

impl Reach {
    /// new starts with a store that is reached.
    pub fn new(now: Millis, silence_ms: u64) -> Reach {
        Reach {
            silence_ms,
            answered: now,
            since: now,
            observed: now,
            lost: false,
        }
    }

    /// lost reports whether the store gives no answers.
    pub fn lost(&self) -> bool {
        self.lost
    }

    /// observe takes the time of the store's last answer and returns what that
    /// changed.
    pub fn observe(&mut self, now: Millis, answered: Millis) -> Option<Change> {
        let before = self.answered;
        self.answered = before.max(answered);
        // A daemon that stood still made no calls meanwhile.
        if now.since(self.observed) >= self.silence_ms {
            self.since = now;
        }
        self.observed = now;
        self.since = self.since.max(self.answered);
        let lost = now.since(self.since) >= self.silence_ms;
        match (self.lost, lost) {
            (false, true) => {
                self.lost = true;
                Some(Change::Lost(now.since(self.answered)))
            }
            (true, false) if self.answered > before => {
                self.lost = false;
                Some(Change::Regained(self.answered.since(before)))
            }
            _ => None,
        }
    }
}
