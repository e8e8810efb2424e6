// SPDX-License-Identifier: Apache-2.0
//! Limits for the work of placement: within one call of `Cell::step`, so that the owner keeps
//! answering heartbeats and reports, and over time, so that it keeps up on a small VM.

use std::cell::Cell as Counter;

use stackpier_core::Millis;

/// MAX_PER_CALL is how many ratings one call may do, for guaranteed and for best-effort tasks
/// each. A step is tried whole, so a call may do more. A call takes up to 2.8 ms on 2,000
/// workers, and 182 ms without a limit.
const MAX_PER_CALL: i64 = 6_000;
/// MAX_SAVED_MS is the time for which unused ratings are saved up.
const MAX_SAVED_MS: i64 = 100;

/// TRY_RATINGS is how many ratings take as long as trying a step, apart from those that it needs.
const TRY_RATINGS: usize = 30;

/// Budget counts ratings: one for each worker that is rated for a step, and one for each
/// serving task that is considered there. A step that is tried counts as [`TRY_RATINGS`].
#[derive(Debug)]
pub(crate) struct Budget {
    /// Ratings that are granted per millisecond.
    per_ms: i64,
    /// Ratings that may be done now.
    saved: Counter<i64>,
    /// Ratings left in this call.
    left_in_call: Counter<i64>,
    /// All ratings so far.
    done: Counter<u64>,
    granted_at: Millis,
}

impl Budget {
    /// new returns a budget with as many ratings as can be saved up.
    pub(crate) fn new(per_ms: u32, now: Millis) -> Budget {
        let per_ms = i64::from(per_ms);
        Budget {
            per_ms,
            saved: Counter::new(per_ms * MAX_SAVED_MS),
            left_in_call: Counter::new(MAX_PER_CALL),
            done: Counter::new(0),
            granted_at: now,
        }
    }

    /// begin_call begins a call and grants the ratings for the time since the previous one.
    pub(crate) fn begin_call(&mut self, now: Millis) {
        let passed = i64::try_from(now.since(self.granted_at)).unwrap_or(MAX_SAVED_MS);
        self.granted_at = now;
        let saved = self.saved.get() + passed.min(MAX_SAVED_MS) * self.per_ms;
        self.saved.set(saved.min(self.per_ms * MAX_SAVED_MS));
        self.left_in_call.set(MAX_PER_CALL);
    }

    /// spend deducts ratings that were done.
    pub(crate) fn spend(&self, ratings: usize) {
        self.deduct(ratings);
        self.done.set(self.done.get() + ratings as u64);
    }

    fn deduct(&self, ratings: usize) {
        let ratings = ratings as i64;
        self.saved.set(self.saved.get() - ratings);
        self.left_in_call.set(self.left_in_call.get() - ratings);
    }

    /// spend_try deducts what trying a step takes, whether or not any worker is rated for it.
    pub(crate) fn spend_try(&self) {
        self.deduct(TRY_RATINGS);
    }

    /// is_spent reports whether further ratings have to wait.
    pub(crate) fn is_spent(&self) -> bool {
        self.left_in_call.get() <= 0 || self.is_overdrawn()
    }

    /// is_overdrawn reports whether they have to wait for longer than until the next call.
    pub(crate) fn is_overdrawn(&self) -> bool {
        self.saved.get() <= 0
    }

    /// done returns how many ratings were done so far.
    pub(crate) fn done(&self) -> u64 {
        self.done.get()
    }
}
