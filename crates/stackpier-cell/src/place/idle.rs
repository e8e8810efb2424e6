// SPDX-License-Identifier: Apache-2.0
//! Passes over steps that have had nothing running for long. Each of them gets one task started, the
//! longest waiting first.
//!
//! The other passes try the jobs with the fewest tasks left first, and begin anew while starts await
//! answers. On an owner that can send few starts a second, steps at the end of that order would wait
//! for as long as others come, however many workers are free. A pass over idle steps never begins anew
//! before its end, and idle steps get up to two thirds of the starts.

use stackpier_core::Millis;

use crate::{Cell, Options, arena::StepKey, cell::GUARANTEED_RATING_DIVISOR};

use super::{Budget, Demand, Outcome};

/// GAP_MS is the time after which a pass begins even if none over best-effort steps does.
const GAP_MS: u64 = 100;
/// CREDIT_DIVISOR sets how many starts idle steps get before others get some: one in this many of
/// those that may be in flight. Starts are sent once half of these have been answered, so the others
/// get a third of them.
const CREDIT_DIVISOR: u64 = 3;
/// RATING_DIVISOR sets the share of all ratings, one in this many, that these passes may use: where hundreds
/// of idle steps find no worker, the other passes go on with the rest.
const RATING_DIVISOR: u32 = 2;

/// max_credit returns how many starts idle steps get before others get some.
fn max_credit(starts: u64) -> u64 {
    (starts / CREDIT_DIVISOR).max(1)
}

/// Pass holds the state of the passes over idle steps.
#[derive(Debug)]
pub(crate) struct Pass {
    /// The ratings that the passes may use of those for best-effort tasks.
    best_effort_budget: Budget,
    /// The same of those for guaranteed tasks.
    guaranteed_budget: Budget,
    /// When the last pass began.
    began: Millis,
    /// Steps still to be tried, the longest waiting last.
    steps: Vec<StepKey>,
    /// Demands that found no worker in this pass.
    rejected: Vec<Demand>,
    /// The same without the limits that protect other tasks.
    rejected_relaxed: Vec<Demand>,
    /// How many starts idle steps may still get before other steps get some.
    credit: u64,
    max_credit: u64,
    /// Whether an idle step is being placed, so that starts are its own.
    placing: bool,
}

impl Pass {
    /// new returns a pass with nothing to try.
    pub(crate) fn new(options: &Options, now: Millis) -> Pass {
        let guaranteed = options.ratings_per_ms / GUARANTEED_RATING_DIVISOR;
        let best_effort = options.ratings_per_ms - guaranteed;
        let max_credit = max_credit(options.max_starts as u64);
        Pass {
            best_effort_budget: Budget::new(best_effort / RATING_DIVISOR, now),
            guaranteed_budget: Budget::new(guaranteed / RATING_DIVISOR, now),
            began: Millis(0),
            steps: Vec::new(),
            rejected: Vec::new(),
            rejected_relaxed: Vec::new(),
            credit: max_credit,
            max_credit,
            placing: false,
        }
    }

    /// set_start_limit sets how many starts may be in flight.
    pub(crate) fn set_start_limit(&mut self, starts: u64) {
        self.max_credit = max_credit(starts);
        self.credit = self.credit.min(self.max_credit);
    }

    /// record_start records a start of any task.
    pub(crate) fn record_start(&mut self) {
        self.credit = match self.placing {
            true => self.credit.saturating_sub(1),
            false => (self.credit + 1).min(self.max_credit),
        };
    }

    /// record_complete_pass records that all best-effort steps were tried: none waits for its turn.
    pub(super) fn record_complete_pass(&mut self) {
        self.credit = self.max_credit;
    }

    /// has_spent reports whether the passes have used up one of their budgets.
    fn has_spent(&self) -> bool {
        self.best_effort_budget.is_spent() || self.guaranteed_budget.is_spent()
    }

    fn budget_of(&self, demand: &Demand) -> &Budget {
        match demand.best_effort {
            true => &self.best_effort_budget,
            false => &self.guaranteed_budget,
        }
    }

    /// retain removes the steps that are not to be tried any more.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&StepKey) -> bool) {
        self.steps.retain(is_kept);
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
    /// place_idle continues the pass over idle steps that is under way, or begins one that is due. It reports whether other steps have to wait for the next call, as idle steps have
    /// got starts and are to get more.
    pub(super) fn place_idle(&mut self) -> bool {
        let now = self.now.mono;
        self.idle_pass.best_effort_budget.begin_call(now);
        self.idle_pass.guaranteed_budget.begin_call(now);
        if now.since(self.idle_pass.began) >= GAP_MS {
            self.begin_idle();
        }
        self.continue_idle()
    }

    /// begin_idle begins a pass unless one is under way.
    pub(super) fn begin_idle(&mut self) {
        if self.idle_pass.steps.is_empty() {
            self.idle_pass.began = self.now.mono;
            self.idle_pass.steps = self.find_idle();
            self.idle_pass.rejected.clear();
            self.idle_pass.rejected_relaxed.clear();
        }
    }

    /// continue_idle tries the steps of the pass, and returns the same as `place_idle`.
    pub(super) fn continue_idle(&mut self) -> bool {
        let mut has_placed = false;
        while self.may_continue_idle()
            && let Some(step) = self.idle_pass.steps.pop()
        {
            has_placed |= self.try_idle(step);
        }
        has_placed && self.has_turn() && !self.idle_pass.steps.is_empty()
    }

    fn may_continue_idle(&self) -> bool {
        let spent = self.idle_pass.has_spent()
            || self.best_effort_pass.budget.is_spent()
            || self.guaranteed_pass.budget.is_spent();
        !spent && self.has_turn()
    }

    /// has_turn reports whether an idle step may get the next start.
    fn has_turn(&self) -> bool {
        !self.flow.is_full() && self.idle_pass.credit > 0
    }

    /// try_idle starts one task of an idle step, and reports whether it did.
    fn try_idle(&mut self, step: StepKey) -> bool {
        if self.has_nothing_to_place(step) || !self.is_idle(step) {
            return false;
        }
        let Some(demand) = self.demand(step) else {
            return false;
        };
        self.placement.idle_tried += 1;
        let before = self.ratings();
        self.idle_pass.placing = true;
        let placed = self.start_idle(&demand);
        self.idle_pass.placing = false;
        let ratings = self.ratings() - before;
        let budget = self.idle_pass.budget_of(&demand);
        budget.spend_try();
        budget.spend(ratings as usize);
        placed
    }

    /// start_idle starts one task within the limits that protect other tasks if any worker allows it,
    /// and else without these limits if the step is of best-effort tasks.
    fn start_idle(&mut self, demand: &Demand) -> bool {
        if !self.idle_pass.rules_out(demand) {
            match self.place_one(demand) {
                Outcome::Placed => return true,
                Outcome::NoWorker if demand.needs_only_capacity() => {
                    self.idle_pass.rejected.push(*demand);
                }
                Outcome::NoWorker | Outcome::Blocked => {}
            }
        }
        if !demand.best_effort {
            return false;
        }
        let demand = demand.relaxed();
        if self.idle_pass.rules_out_relaxed(&demand) {
            return false;
        }
        self.placement.starving_tried += 1;
        let outcome = self.place_one(&demand);
        if outcome == Outcome::NoWorker && demand.needs_only_capacity() {
            self.idle_pass.rejected_relaxed.push(demand);
        }
        outcome == Outcome::Placed
    }
}
