// SPDX-License-Identifier: Apache-2.0
//! Bounded staleness: how old the owner's knowledge of the jobs in the store may be when it starts
//! tasks.
//!
//! Client accounts cancel jobs by way of any daemon, which writes the cancellation to the store. The
//! owner learns of it from its watch of the jobs; a message that may arrive earlier can be lost. An
//! answer to the watch may be late, and a new owner listed the jobs before it read the rest of the
//! cell. Meanwhile it may know a job but not its cancellation, so it starts nothing.
//!
//! While the store does not answer, its state can't be known, and starts go on for as long as the
//! owner has authority.

use stackpier_core::Millis;

use crate::Cell;

/// Staleness is what bounds the age of the owner's knowledge of the jobs.
#[derive(Debug)]
pub(crate) struct Staleness {
    /// Up to when the owner knows all changes to the jobs, if that is reported to the cell.
    jobs_known_at: Option<Millis>,
    /// Whether the store answers this daemon.
    store_answers: bool,
}

impl Default for Staleness {
    fn default() -> Staleness {
        Staleness {
            jobs_known_at: None,
            store_answers: true,
        }
    }
}

impl Cell {
    /// set_jobs_known sets up to when the owner knows all changes to the jobs in the store,
    /// cancellations among them.
    pub fn set_jobs_known(&mut self, at: Millis) {
        let known_at = &mut self.staleness.jobs_known_at;
        *known_at = Some(known_at.map_or(at, |known_at| known_at.max(at)));
        self.placement_due = true;
    }

    /// set_store_answers sets whether the store answers this daemon.
    pub(crate) fn set_store_answers(&mut self, answers: bool) {
        self.staleness.store_answers = answers;
    }

    /// jobs_age_ms returns how old the owner's knowledge of the jobs is.
    pub(crate) fn jobs_age_ms(&self) -> u64 {
        let known_at = self.staleness.jobs_known_at;
        known_at.map_or(0, |known_at| self.now.mono.since(known_at))
    }

    /// knows_jobs reports whether the owner's knowledge of the jobs is recent enough to start tasks.
    pub(crate) fn knows_jobs(&self) -> bool {
        !self.staleness.store_answers || self.jobs_age_ms() < self.options.max_jobs_age_ms
    }

    /// may_place reports whether this owner may start tasks at all now.
    pub(crate) fn may_place(&self) -> bool {
        self.has_authority() && self.knows_cordons() && self.knows_jobs()
    }
}
