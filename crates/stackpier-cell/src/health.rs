// SPDX-License-Identifier: Apache-2.0
//! The health of a worker. After failed runs it gets no starts for a while, then one at a time
//! until a run succeeds.

use stackpier_core::Millis;

/// BLOCK_MS holds how long a worker gets no starts after one, two, and more consecutive failed
/// runs, in milliseconds. One failure in fifty is caused by the task itself, so the first block is
/// only as long as it takes to see whether other runs fail too.
const BLOCK_MS: [u64; 3] = [300, 2_500, 5_000];
/// STALL_BLOCK_MS is how long a worker gets no starts after a run has stalled.
const STALL_BLOCK_MS: u64 = 3_000;
/// REFUSED_BLOCK_MS is how long a worker gets no starts after it refused one.
const REFUSED_BLOCK_MS: u64 = 400;

/// Health records the recent failures of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Failed runs since the last successful one.
    failures: u32,
    blocked_until: Millis,
    /// Whether only one start at a time is allowed.
    probing: bool,
    /// When a run last succeeded.
    succeeded_at: Option<Millis>,
}

impl Health {
    /// record_success records a run that did its work.
    pub(crate) fn record_success(&mut self, now: Millis) {
        *self = Health {
            succeeded_at: Some(now),
            ..Health::default()
        };
    }

    /// record_failure records a run that failed.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        let step = (self.failures as usize - 1).min(BLOCK_MS.len() - 1);
        self.block(now, BLOCK_MS[step]);
        self.probing = self.failures > 1;
    }

    /// record_stall records a run that made no progress.
    pub(crate) fn record_stall(&mut self, now: Millis) {
        self.block(now, STALL_BLOCK_MS);
        self.probing = true;
    }

    /// record_refusal records a start that the worker refused.
    pub(crate) fn record_refusal(&mut self, now: Millis) {
        self.block(now, REFUSED_BLOCK_MS);
    }

    fn block(&mut self, now: Millis, ms: u64) {
        self.blocked_until = self.blocked_until.max(now.plus(ms));
    }

    /// allows_start reports whether a start is allowed. `unproven` counts the runs that were
    /// started and have shown no progress yet.
    pub(crate) fn allows_start(&self, now: Millis, unproven: impl Fn() -> usize) -> bool {
        now >= self.blocked_until && (!self.probing || unproven() == 0)
    }

    /// is_blocked_at reports whether no start is allowed at a time, by what is known now.
    pub(crate) fn is_blocked_at(&self, at: Millis) -> bool {
        at < self.blocked_until
    }

    /// has_recent_success reports whether a run has succeeded on the worker and none has failed
    /// since.
    pub(crate) fn has_recent_success(&self) -> bool {
        self.succeeded_at.is_some() && self.failures == 0
    }

    /// has_recent_faults reports whether runs have recently failed or stalled on the worker.
    pub(crate) fn has_recent_faults(&self) -> bool {
        self.failures > 0 || self.probing
    }
}
