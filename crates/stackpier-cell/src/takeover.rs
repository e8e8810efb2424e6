// SPDX-License-Identifier: Apache-2.0
//! Taking over from an earlier owner, and noticing a later one.
//!
//! Jobs accepted under an earlier fence may have runs on workers that have
//! not answered this owner yet. Their tasks wait until each such worker has
//! answered, or until everything that the earlier owner leased has ended.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Options,
    arena::JobKey,
    worker::{CLOCK_ERROR_MILLI, Life, Worker},
};

/// MARGIN_MS is added to the end of an earlier owner's leases, for the flight
/// of its last call.
const MARGIN_MS: u64 = 500;
/// RUNS_PER_OWNER spaces the run numbers of successive owners, so that a new
/// owner's numbers are above those it can't know.
const RUNS_PER_OWNER: u64 = 200;

impl Cell {
    /// inherited_until returns when everything has ended that an earlier owner
    /// leased, which may act for `acting_ms` more.
    pub(crate) fn inherited_until(options: &Options, now: Millis, acting_ms: u64) -> Millis {
        let lease = options.max_lease_ms + options.max_lease_ms * CLOCK_ERROR_MILLI / 1_000;
        now.plus(acting_ms + lease + MARGIN_MS)
    }

    /// first_run returns the number of a task's first run under this owner.
    pub(crate) fn first_run(&self) -> u32 {
        let earlier = self.fence.saturating_sub(1);
        (earlier * RUNS_PER_OWNER).min(u64::from(u32::MAX / 2)) as u32 + 1
    }

    /// may_start tells whether a job's tasks have no run that this owner
    /// can't know of.
    pub(crate) fn may_start(&self, job: JobKey) -> bool {
        !self.job(job).inherited || self.now.mono >= self.inherited_until || self.has_met_all()
    }

    /// has_met_all tells whether all workers that an earlier owner may have
    /// used have answered or are over.
    pub(crate) fn has_met_all(&self) -> bool {
        let unmet = |worker: &Worker| worker.inherited && worker.life == Life::New;
        !self.workers.iter().any(unmet)
    }

    /// has_authority tells whether the store confirmed the ownership lately
    /// enough to give orders.
    pub(crate) fn has_authority(&self) -> bool {
        self.now.mono.since(self.confirmed) < self.options.authority_ms
    }

    pub(crate) fn confirm(&mut self, sent: Millis) {
        self.confirming = false;
        self.confirmed = self.confirmed.max(sent);
    }

    pub(crate) fn check_confirmed(&mut self) {
        let due = self.now.mono.since(self.confirmed) >= self.options.confirm_ms;
        if due && !self.confirming && !self.saver.is_busy() {
            self.confirming = true;
            self.effects.push(Effect::Confirm);
        }
    }

    /// confirm_failed notes that the question to the store got no answer.
    pub fn confirm_failed(&mut self) {
        self.confirming = false;
    }

    /// depose notes that another daemon owns the cell.
    pub fn depose(&mut self) {
        self.deposed = true;
        self.effects.clear();
    }
}
