// SPDX-License-Identifier: Apache-2.0
//! Decides when a daemon takes the cell over, once there is a reason to.
//!
//! Candidates wait by rank: each a little longer than the one ranked before it. Only time counts
//! in which the candidate could have acted: not an outage of the store, nor a time in which its
//! process stood still. Otherwise all would have waited long enough when the store returns, and
//! the first to notice would win, whatever its rank.
//!
//! Daemons notice the return of the store up to a second apart, which is more than the waits of
//! the first ranks differ by. So a candidate on a small VM asks the clearly larger ones first, and
//! leaves the takeover to them for a bounded time.

use stackpier_core::Millis;

/// RANK_MS is how much longer each daemon waits than the one ranked before it.
const RANK_MS: u64 = 250;
/// MAX_STEP_MS is the most that counts as waited between two observations. They are 250 ms apart,
/// or 650 ms if the owner does not answer a heartbeat. A longer time means that the process stood
/// still.
const MAX_STEP_MS: u64 = 700;
/// SPREAD_MS is how far apart daemons notice that the store has returned: 850 ms for a probe that
/// was sent before and the pause after it, and a margin for a busy VM.
const SPREAD_MS: u64 = 1_200;
/// MAX_YIELD_MS bounds how long a candidate leaves the takeover to larger VMs. These may notice the
/// return of the store after it, ask for votes, and swap the ownership.
const MAX_YIELD_MS: u64 = 2_000;

/// Reason is why a daemon would take the cell over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nobody owns the cell, or its owner released it or was restarted, so that no owner
    /// sends orders.
    Vacant,
    /// The owner does not answer.
    Silent,
    /// The owner can't reach the store.
    Storeless,
}

/// Observation is what a daemon sees when it checks the owner.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// When the check began. A reason that the check finds holds since then.
    pub began: Millis,
    /// When it ended.
    pub now: Millis,
    /// The reason to take over, if there is one.
    pub reason: Option<Reason>,
    /// Whether the store answers this daemon.
    pub store_answers: bool,
}

/// Rank is the place of a daemon among the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    /// How many daemons come before it.
    pub before: u64,
    /// Whether some of them are on clearly larger VMs.
    pub has_larger: bool,
}

/// Step is what a candidate does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until the next check.
    Wait,
    /// Ask the daemons on clearly larger VMs whether they can take over.
    AskLarger,
    /// Take the cell over.
    TakeOver,
}

/// Larger is what the daemons on clearly larger VMs answer, the best of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Larger {
    /// None answers.
    Silent,
    /// One answers, but can't take over now.
    Unable,
    /// One can take over.
    Able,
}

/// Candidate is a daemon's progress towards taking the cell over.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    reason: Option<Reason>,
    /// For how long the reason has lasted in which this daemon could have acted.
    waited_ms: u64,
    /// When the last check ended.
    observed: Millis,
    /// Since when the store has answered at each check, if it does.
    stored_since: Option<Millis>,
    /// Since when this candidate has left the takeover to larger VMs.
    yields_since: Option<Millis>,
}

impl Candidate {
    /// reason returns the reason to take over, if there is one.
    pub fn reason(&self) -> Option<Reason> {
        self.reason
    }

    /// observe records the outcome of a check.
    pub fn observe(&mut self, seen: Observation) {
        let counts = self.stored_since.is_some() && seen.store_answers;
        self.stored_since = match seen.store_answers {
            true => self.stored_since.or(Some(seen.now)),
            false => None,
        };
        let mut from = self.observed;
        if seen.reason != self.reason {
            self.restart();
            self.reason = seen.reason;
            from = seen.began;
        }
        if counts {
            self.waited_ms += seen.now.since(from).min(MAX_STEP_MS);
        }
        self.observed = seen.now;
    }

    /// restart forgets the reason and what was waited for it. The next check may find it again.
    pub fn restart(&mut self) {
        self.reason = None;
        self.waited_ms = 0;
        self.yields_since = None;
    }

    /// step returns what to do after the last check.
    pub fn step(&self, rank: Rank) -> Step {
        let may_act = self.reason.is_some() && self.stored_since.is_some();
        if !may_act || self.waited_ms < rank.before * RANK_MS {
            return Step::Wait;
        }
        let is_over = |since: Millis| self.observed.since(since) >= MAX_YIELD_MS;
        match rank.has_larger && !self.yields_since.is_some_and(is_over) {
            true => Step::AskLarger,
            false => Step::TakeOver,
        }
    }

    /// yields_to reports whether to leave the takeover to the larger VMs for now. Those that can't
    /// take over may be about to notice that the store has returned.
    pub fn yields_to(&mut self, larger: Larger) -> bool {
        let returned = |since: Millis| self.observed.since(since) < SPREAD_MS;
        let yields = match larger {
            Larger::Silent => false,
            Larger::Unable => self.stored_since.is_some_and(returned),
            Larger::Able => true,
        };
        if yields {
            self.yields_since.get_or_insert(self.observed);
        }
        yields
    }
}
