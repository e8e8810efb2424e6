// SPDX-License-Identifier: Apache-2.0
//! Rounds over steps that have had nothing running for long. Each of them gets one task started, the
//! longest waiting first.
//!
//! Passes try the jobs with the fewest tasks left first, and begin anew while starts await answers.
//! On an owner that can send few starts a second, steps at the end of that order would wait for as
//! long as others come, however many workers are free. A round is never begun anew before its end,
//! and idle steps get up to two thirds of the starts.

use stackpier_core::Millis;

use crate::{Cell, arena::StepKey};

use super::{Budget, Demand, Outcome};

/// ROUND_GAP_MS is the time after which a round begins even if no pass over best-effort steps does.
const ROUND_GAP_MS: u64 = 100;
/// CREDIT_DIVISOR sets how many idle steps, one in this many of the starts that may be in flight, go
/// before all others at a time. Starts are sent once half of those in flight have been answered, so
/// the others get at least a third of them.
const CREDIT_DIVISOR: usize = 3;

/// Round holds the state of the rounds over idle steps.
#[derive(Debug)]
pub(crate) struct Round {
    /// The ratings that the rounds may use of those for best-effort tasks.
    pub budget: Budget,
    /// When the last round began.
    began: Millis,
    /// Steps still to be tried, the longest waiting last.
    steps: Vec<StepKey>,
    /// Demands that found no worker in this round.
    rejected: Vec<Demand>,
    /// The same without the limits that protect other tasks.
    rejected_relaxed: Vec<Demand>,
    /// How many starts idle steps may still get before other steps get some.
    credit: usize,
    max_credit: usize,
}

impl Round {
    /// new returns a round with nothing to try.
    pub(crate) fn new(budget: Budget, max_starts: usize) -> Round {
        let max_credit = (max_starts / CREDIT_DIVISOR).max(1);
        Round {
            budget,
            began: Millis(0),
            steps: Vec::new(),
            rejected: Vec::new(),
            rejected_relaxed: Vec::new(),
            credit: max_credit,
            max_credit,
        }
    }

    /// record_other_start records that a step which is not idle got a start.
    pub(super) fn record_other_start(&mut self) {
        self.credit = (self.credit + 1).min(self.max_credit);
    }

    /// record_no_contention records that all other steps were tried: none waits for its turn.
    pub(super) fn record_no_contention(&mut self) {
        self.credit = self.max_credit;
    }

    fn rules_out(&self, demand: &Demand) -> bool {
        self.rejected.iter().any(|earlier| {
            demand.best_effort == earlier.best_effort && demand.is_ruled_out_by(earlier)
        })
    }

    fn rules_out_relaxed(&self, demand: &Demand) -> bool {
        let mut rejected = self.rejected_relaxed.iter();
        rejected.any(|earlier| demand.requests_at_least(earlier))
    }
}

impl Cell {
    /// place_idle continues the round that is under way, or begins one that is due. It reports whether
    /// the round goes on in the next call, and other steps have to wait for it.
    pub(super) fn place_idle(&mut self) -> bool {
        let now = self.now.mono;
        self.idle_round.budget.begin_call(now);
        if now.since(self.idle_round.began) >= ROUND_GAP_MS {
            self.begin_round();
        }
        self.continue_round()
    }

    /// begin_round begins a round unless one is under way.
    fn begin_round(&mut self) {
        if self.idle_round.steps.is_empty() {
            self.idle_round.began = self.now.mono;
            self.idle_round.steps = self.find_idle();
            self.idle_round.rejected.clear();
            self.idle_round.rejected_relaxed.clear();
        }
    }

    /// place_idle_first does the same before a pass takes the capacity that has come free.
    pub(super) fn place_idle_first(&mut self) -> bool {
        self.begin_round();
        self.continue_round()
    }

    fn continue_round(&mut self) -> bool {
        while self.may_go_first()
            && !self.any_budget(Budget::is_spent)
            && let Some(step) = self.idle_round.steps.pop()
        {
            self.try_idle(step);
        }
        self.may_go_first()
            && !self.idle_round.steps.is_empty()
            && !self.any_budget(Budget::is_overdrawn)
    }

    fn may_go_first(&self) -> bool {
        !self.flow.is_full() && self.idle_round.credit > 0
    }

    fn any_budget(&self, holds: fn(&Budget) -> bool) -> bool {
        holds(&self.idle_round.budget)
            || holds(&self.best_effort_pass.budget)
            || holds(&self.guaranteed_pass.budget)
    }

    /// try_idle starts one task of an idle step: within the limits that protect other tasks if any
    /// worker allows it.
    fn try_idle(&mut self, step: StepKey) {
        if self.has_nothing_to_place(step) || !self.is_idle(step) {
            return;
        }
        let Some(demand) = self.demand(step) else {
            return;
        };
        let before = self.ratings();
        self.placement.idle_tried += 1;
        let placed = self.place_idle_step(&demand);
        self.idle_round.credit -= usize::from(placed);
        let ratings = self.ratings() - before;
        self.idle_round.budget.spend_try();
        self.idle_round.budget.spend(ratings as usize);
    }

    /// place_idle_step reports whether a task was started.
    fn place_idle_step(&mut self, demand: &Demand) -> bool {
        if !self.idle_round.rules_out(demand) {
            match self.place_one(demand) {
                Outcome::Placed => return true,
                Outcome::NoWorker if demand.needs_only_capacity() => {
                    self.idle_round.rejected.push(*demand);
                }
                Outcome::NoWorker => {}
                Outcome::Blocked => return false,
            }
        }
        if !demand.best_effort {
            return false;
        }
        let demand = demand.relaxed();
        if self.idle_round.rules_out_relaxed(&demand) {
            return false;
        }
        self.placement.starving_tried += 1;
        let outcome = self.place_one(&demand);
        if outcome == Outcome::NoWorker && demand.needs_only_capacity() {
            self.idle_round.rejected_relaxed.push(demand);
        }
        outcome == Outcome::Placed
    }
}
