// SPDX-License-Identifier: Apache-2.0
//! The reaction to slowed services on a worker: throttle the worst neighbour,
//! then evict it, with hysteresis and a budget of evictions.

use std::collections::BTreeSet;

use stackpier_core::Millis;
use stackpier_state::work::Run;

/// Options hold the thresholds and budgets of reactions.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Slowdown above which a sample is a breach.
    pub high: f64,
    /// Slowdown below which a sample is calm.
    pub low: f64,
    /// Consecutive breaches after which a neighbour is throttled, and as many
    /// again after which it is evicted.
    pub breaches: u32,
    /// Consecutive calm samples after which a throttled neighbour is released.
    pub calms: u32,
    /// Smallest estimated excess for which a neighbour is throttled or evicted.
    pub min_blame: f64,
    /// Time in which a rack earns one eviction, in milliseconds.
    pub eviction_ms: u64,
    /// Most evictions that a rack can accumulate.
    pub evictions: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            high: 1.25,
            low: 1.1,
            breaches: 2,
            calms: 6,
            min_blame: 0.1,
            eviction_ms: 20_000,
            evictions: 4,
        }
    }
}

/// Budget limits the evictions of one rack.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    options: Options,
    saved: f64,
    at: Millis,
}

impl Budget {
    /// new returns a full budget.
    pub fn new(options: Options) -> Budget {
        Budget {
            options,
            saved: f64::from(options.evictions),
            at: Millis(0),
        }
    }

    /// spend takes one eviction and returns whether one was available.
    pub fn spend(&mut self, now: Millis) -> bool {
        let earned = now.since(self.at) as f64 / self.options.eviction_ms as f64;
        self.saved = (self.saved + earned).min(f64::from(self.options.evictions));
        self.at = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Suspect is a batch task on the worker of a slowed service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspect {
    /// The task's run.
    pub run: Run,
    /// Excess that it is estimated to cause.
    pub blame: f64,
}

/// Action is what to do with one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Slow it down.
    Throttle(Run),
    /// Let it run at full speed again.
    Release(Run),
    /// Checkpoint it, stop it, and place it elsewhere.
    Evict(Run),
}

/// Watch holds the counts of samples and the throttled runs of one worker.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    breaches: u32,
    calms: u32,
    throttled: BTreeSet<Run>,
}

impl Watch {
    /// throttled returns the throttled runs.
    pub fn throttled(&self) -> &BTreeSet<Run> {
        &self.throttled
    }

    /// sample processes the worst slowdown of the worker's services and the
    /// batch tasks that may cause it, and returns what to do.
    pub fn sample(
        &mut self,
        now: Millis,
        slowdown: f64,
        suspects: &[Suspect],
        options: Options,
        budget: &mut Budget,
    ) -> Option<Action> {
        self.throttled
            .retain(|run| suspects.iter().any(|suspect| suspect.run == *run));
        if slowdown > options.high {
            self.calms = 0;
            self.breaches += 1;
            return self.react_to_breach(now, suspects, options, budget);
        }
        self.breaches = 0;
        self.calms = if slowdown < options.low {
            self.calms + 1
        } else {
            0
        };
        if self.calms < options.calms {
            return None;
        }
        self.calms = 0;
        self.throttled.pop_first().map(Action::Release)
    }

    /// react_to_breach throttles the worst suspect, or evicts it if it is already
    /// throttled and the budget allows it.
    fn react_to_breach(
        &mut self,
        now: Millis,
        suspects: &[Suspect],
        options: Options,
        budget: &mut Budget,
    ) -> Option<Action> {
        if self.breaches < options.breaches {
            return None;
        }
        self.breaches = 0;
        let blamed = suspects
            .iter()
            .filter(|suspect| suspect.blame >= options.min_blame);
        let worst = blamed.max_by(|one, other| one.blame.total_cmp(&other.blame))?;
        if self.throttled.insert(worst.run) {
            return Some(Action::Throttle(worst.run));
        }
        if !budget.spend(now) {
            return None;
        }
        self.throttled.remove(&worst.run);
        Some(Action::Evict(worst.run))
    }
}
