// SPDX-License-Identifier: Apache-2.0
//! Bounded staleness: how old the owner's knowledge of the store may be when it starts tasks.
//!
//! Client accounts cancel jobs by way of any daemon, which writes the cancellation to the store. The
//! owner learns of it from its watch of the jobs; a message that may arrive earlier can be lost. In the
//! same way workers announce in the store that they drain. An answer to a watch may be late, and a new
//! owner listed jobs and workers before it had read the rest of the cell. Meanwhile it may know a job
//! but not its cancellation, so it starts nothing.
//!
//! A start may be under way for long, by way of a helper or on a congested link. Its worker refuses it
//! once a change that the owner did not know may have to be in force.
//!
//! In an outage of the store nothing can be cancelled, and starts go on for as long as the owner has
//! authority.

use stackpier_core::Millis;

use crate::Cell;

/// STALL_MS is the time without any event from which on the daemon has stood still: ticks come every
/// 50 ms.
const STALL_MS: u64 = 500;

/// Staleness is what bounds the age of the owner's knowledge of the store.
#[derive(Debug, Default)]
pub(crate) struct Staleness {
    /// Up to when the owner knows all changes to the jobs, if that is reported to the cell.
    jobs_known_at: Option<Millis>,
    /// The same for the workers' entries.
    workers_known_at: Option<Millis>,
    /// Whether there is an outage of the store.
    is_out: bool,
}

impl Cell {
    /// set_jobs_known sets up to when the owner knows all changes to the jobs in the store,
    /// cancellations among them.
    pub fn set_jobs_known(&mut self, at: Millis) {
        let known_at = &mut self.staleness.jobs_known_at;
        *known_at = Some(at).max(*known_at);
        self.placement_due = true;
    }

    /// set_workers_known sets up to when the owner knows all changes to the workers' entries.
    pub fn set_workers_known(&mut self, at: Millis) {
        let known_at = &mut self.staleness.workers_known_at;
        *known_at = Some(at).max(*known_at);
        self.placement_due = true;
    }

    /// set_outage sets whether there is an outage of the store.
    pub(crate) fn set_outage(&mut self, is_out: bool) {
        self.staleness.is_out = is_out;
    }

    /// detect_stall ends what an outage permits if the daemon may have stood still until `now`: the
    /// store may have returned meanwhile.
    pub(crate) fn detect_stall(&mut self, now: Millis) {
        if now.since(self.now.mono) >= STALL_MS {
            self.staleness.is_out = false;
        }
    }

    /// jobs_age_ms returns how old the owner's knowledge of the jobs is.
    pub(crate) fn jobs_age_ms(&self) -> u64 {
        self.age_ms(self.staleness.jobs_known_at)
    }

    /// workers_age_ms returns how old the owner's knowledge of the workers' entries is.
    pub(crate) fn workers_age_ms(&self) -> u64 {
        self.age_ms(self.staleness.workers_known_at)
    }

    fn age_ms(&self, known_at: Option<Millis>) -> u64 {
        known_at.map_or(0, |known_at| self.now.mono.since(known_at))
    }

    /// knows_jobs reports whether the owner's knowledge of the jobs is recent enough to start tasks.
    pub(crate) fn knows_jobs(&self) -> bool {
        self.staleness.is_out || self.jobs_age_ms() < self.options.max_jobs_age_ms
    }

    /// knows_workers reports whether the owner's knowledge of the workers' entries is recent enough to
    /// start tasks.
    pub(crate) fn knows_workers(&self) -> bool {
        self.staleness.is_out || self.workers_age_ms() < self.options.max_workers_age_ms
    }

    /// start_limit_ms returns for how long a start that is sent now may still be carried out, if that
    /// is limited: until a change that the owner did not know has to be in force.
    pub(crate) fn start_limit_ms(&self) -> Option<u64> {
        if self.staleness.is_out {
            return None;
        }
        let left = |known_at: Option<Millis>, max_age_ms: u64| {
            let bound_ms = max_age_ms.saturating_add(self.options.start_transit_ms);
            Some(bound_ms.saturating_sub(self.now.mono.since(known_at?)))
        };
        let jobs = left(self.staleness.jobs_known_at, self.options.max_jobs_age_ms);
        let workers = left(
            self.staleness.workers_known_at,
            self.options.max_workers_age_ms,
        );
        jobs.into_iter().chain(workers).min()
    }

    /// may_place reports whether this owner may start tasks at all now.
    pub(crate) fn may_place(&self) -> bool {
        self.has_authority() && self.knows_cordons() && self.knows_jobs() && self.knows_workers()
    }
}
