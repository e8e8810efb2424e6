// SPDX-License-Identifier: Apache-2.0
//! The standing of a worker: after failed runs it gets no starts for a while,
//! then one at a time until a run does its work.

use stackpier_core::Millis;

/// BLOCK_MS are the times without starts after one, two, and more failed runs
/// on end, in milliseconds. One failure in fifty is a task's own, so the first
/// pause is only as long as it takes to see whether others fail too.
const BLOCK_MS: [u64; 3] = [300, 2_500, 5_000];
/// STALL_BLOCK_MS is the time without starts after a run stood still.
const STALL_BLOCK_MS: u64 = 3_000;
/// REFUSED_BLOCK_MS is the time without starts after the worker refused one.
const REFUSED_BLOCK_MS: u64 = 400;

/// Health is the standing of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Failed runs since the last one that did its work.
    failed: u32,
    blocked_until: Millis,
    /// Whether only one start at a time is allowed.
    probing: bool,
    /// When a run last did its work.
    worked: Option<Millis>,
}

impl Health {
    /// record_success notes a run that did its work.
    pub(crate) fn record_success(&mut self, now: Millis) {
        *self = Health {
            worked: Some(now),
            ..Health::default()
        };
    }

    /// record_failure notes a run that failed.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.failed += 1;
        let step = (self.failed as usize - 1).min(BLOCK_MS.len() - 1);
        self.block(now, BLOCK_MS[step]);
        self.probing = self.failed > 1;
    }

    /// record_stall notes a run that stood still.
    pub(crate) fn record_stall(&mut self, now: Millis) {
        self.block(now, STALL_BLOCK_MS);
        self.probing = true;
    }

    /// record_refusal notes a start that the worker refused.
    pub(crate) fn record_refusal(&mut self, now: Millis) {
        self.block(now, REFUSED_BLOCK_MS);
    }

    fn block(&mut self, now: Millis, ms: u64) {
        self.blocked_until = self.blocked_until.max(now.plus(ms));
    }

    /// allows_start tells whether a start is allowed. `unproved` counts the runs that
    /// were started and have not shown progress yet.
    pub(crate) fn allows_start(&self, now: Millis, unproved: impl Fn() -> usize) -> bool {
        now >= self.blocked_until && (!self.probing || unproved() == 0)
    }

    /// has_recent_success tells whether a run did its work there and none failed since.
    pub(crate) fn has_recent_success(&self) -> bool {
        self.worked.is_some() && self.failed == 0
    }

    /// has_recent_faults tells whether runs failed or stood still there lately.
    pub(crate) fn has_recent_faults(&self) -> bool {
        self.failed > 0 || self.probing
    }
}
