// SPDX-License-Identifier: Apache-2.0
//! Lag: how late the owner handles its ticks, for lack of processor time.
//!
//! Reports of workers and answers to starts come as fast as an owner handles them. On a slow VM they
//! would take all of its processor, and every answer would wait behind hundreds of others: the store's
//! confirmations of the ownership among them, which are worthless once they are too old. So an owner
//! that lags asks for fewer reports and has fewer starts in flight.

use stackpier_core::Millis;

/// TICK_MS is the time between two ticks of an owner that keeps up.
const TICK_MS: u64 = 50;
/// MAX_LAG_MS bounds what one late tick counts as: the VM may have been frozen.
const MAX_LAG_MS: u64 = 1_000;
/// SMOOTHING is the weight of the earlier ticks against that of the last one.
const SMOOTHING: u64 = 3;
/// WAIT_FACTOR is by how much longer renewals wait at a worker, for each millisecond of lag.
const WAIT_FACTOR: u64 = 5;
/// MAX_WAIT_MS is the longest such wait: reports must show in time that a serving task is over its
/// target.
const MAX_WAIT_MS: u64 = 1_000;
/// HALVING_MS is the lag that halves the number of starts in flight.
const HALVING_MS: u64 = 100;

/// Lag is the smoothed lateness of ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lag {
    ticked_at: Option<Millis>,
    lag_ms: u64,
}

impl Lag {
    /// record_tick records that a tick is handled now.
    pub(crate) fn record_tick(&mut self, now: Millis) {
        let last = self.ticked_at.replace(now).unwrap_or(now);
        let late_ms = now.since(last.plus(TICK_MS)).min(MAX_LAG_MS);
        self.lag_ms = (self.lag_ms * SMOOTHING + late_ms) / (SMOOTHING + 1);
    }

    /// lengthen_wait returns how long a renewal waits at a worker that would wait for `wait_ms`
    /// otherwise.
    pub(crate) fn lengthen_wait(self, wait_ms: u64) -> u64 {
        let lengthened_ms = wait_ms + self.lag_ms * WAIT_FACTOR;
        lengthened_ms.min(MAX_WAIT_MS.max(wait_ms))
    }

    /// reduce returns how much may be in flight of what may be without lag.
    pub(crate) fn reduce(self, limit: u64) -> u64 {
        let reduced = u128::from(limit) * u128::from(HALVING_MS);
        let reduced = reduced / u128::from(HALVING_MS + self.lag_ms);
        u64::try_from(reduced).unwrap_or(u64::MAX).max(1)
    }
}
