// SPDX-License-Identifier: Apache-2.0
//! How much work placing may do: in one call of the decisions, so that the owner goes on
//! answering heartbeats and reports, and over time, so that it keeps up on a small VM. On
//! 490 workers with a thousand tasks waiting, an owner without the bounds fell seconds
//! behind: a day's worth was 0.50 to 0.65 there, 0.76 to 0.78 with them and the order of
//! late jobs, in 35 and 8 plays.

use std::cell::Cell as Counter;

use stackpier_core::Millis;

/// SLICE is how many ratings one call may do, for tasks of each sort. A step is looked at
/// whole, so a call may do more: 2.8 ms at most on 2,000 workers, measured with the load
/// tool's `steps`, and 182 ms without a bound.
const SLICE: i64 = 6_000;
/// SAVED_MS is for how long ratings that were not done are saved up.
const SAVED_MS: i64 = 100;

/// Budget counts ratings: one for each worker that is looked at for a step, and one for
/// each serving task that is looked at there.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Ratings that may be done in a millisecond.
    per_ms: i64,
    /// Ratings that may be done now.
    saved: Counter<i64>,
    /// Ratings left in this call.
    slice: Counter<i64>,
    /// All ratings so far.
    done: Counter<u64>,
    renewed: Millis,
}

impl Budget {
    /// new starts with the ratings of a short while saved up.
    pub(crate) fn new(per_ms: u32, now: Millis) -> Budget {
        let per_ms = i64::from(per_ms);
        Budget {
            per_ms,
            saved: Counter::new(per_ms * SAVED_MS),
            slice: Counter::new(SLICE),
            done: Counter::new(0),
            renewed: now,
        }
    }

    /// renew begins a call.
    pub(crate) fn renew(&mut self, now: Millis) {
        let passed = i64::try_from(now.since(self.renewed)).unwrap_or(SAVED_MS);
        self.renewed = now;
        let saved = self.saved.get() + passed.min(SAVED_MS) * self.per_ms;
        self.saved.set(saved.min(self.per_ms * SAVED_MS));
        self.slice.set(SLICE);
    }

    /// spend counts ratings.
    pub(crate) fn spend(&self, ratings: usize) {
        let ratings = ratings as i64;
        self.saved.set(self.saved.get() - ratings);
        self.slice.set(self.slice.get() - ratings);
        self.done.set(self.done.get() + ratings.unsigned_abs());
    }

    /// is_spent tells whether the rest has to wait.
    pub(crate) fn is_spent(&self) -> bool {
        self.slice.get() <= 0 || self.saved.get() <= 0
    }

    /// done returns how many ratings were done so far.
    pub(crate) fn done(&self) -> u64 {
        self.done.get()
    }
}
