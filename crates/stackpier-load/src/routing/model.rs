// SPDX-License-Identifier: Apache-2.0
//! The model of an upstream: its slots, the connections that wait for a slot, and the run time of
//! requests in each scenario.

use std::collections::VecDeque;

use rand::{Rng, RngExt};

/// SLOTS is how many requests an upstream runs at once.
pub const SLOTS: usize = 8;
/// CONNECTIONS is how many requests an upstream accepts at once, running and waiting.
pub const CONNECTIONS: usize = 64;
/// UPSTREAMS is the number of upstreams.
pub const UPSTREAMS: usize = 17;
/// MEAN_MS is the mean run time of a request.
pub const MEAN_MS: f64 = 20.0;
/// FIXED_MS is the constant part of a request's run time.
const FIXED_MS: f64 = 8.0;
/// NOISY_FROM_MS is when the noisy neighbours of `Scenario::NoisyWave` begin.
const NOISY_FROM_MS: f64 = 15_000.0;
/// NOISY_UNTIL_MS is when the noisy neighbours of `Scenario::NoisyWave` end.
const NOISY_UNTIL_MS: f64 = 40_000.0;

/// Scenario is the fault of the upstreams in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    Healthy,
    /// One upstream takes five times as long.
    OneSlow,
    /// One upstream refuses every request immediately.
    OneFailing,
    /// One upstream accepts requests and never answers.
    OneFrozen,
    /// Every fourth upstream takes three times as long for a while.
    NoisyWave,
}

impl Scenario {
    /// ALL lists the scenarios.
    pub const ALL: [Scenario; 5] = [
        Scenario::Healthy,
        Scenario::OneSlow,
        Scenario::OneFailing,
        Scenario::OneFrozen,
        Scenario::NoisyWave,
    ];

    /// as_str returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Scenario::Healthy => "healthy",
            Scenario::OneSlow => "one-slow",
            Scenario::OneFailing => "one-failing",
            Scenario::OneFrozen => "one-frozen",
            Scenario::NoisyWave => "noisy-wave",
        }
    }

    /// factor returns by how much an upstream's run times are multiplied.
    fn factor(self, upstream: usize, now_ms: f64) -> f64 {
        let noisy = (NOISY_FROM_MS..NOISY_UNTIL_MS).contains(&now_ms) && upstream.is_multiple_of(4);
        match self {
            Scenario::OneSlow if upstream == 0 => 5.0,
            Scenario::NoisyWave if noisy => 3.0,
            _ => 1.0,
        }
    }
}

/// Admission is an upstream's response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Runs it and finishes at this time, in milliseconds.
    Runs(f64),
    /// Keeps it waiting for a slot.
    Waits,
    /// Accepts it and never answers.
    NeverAnswers,
    /// Refuses it because all connections are in use.
    Busy,
    /// Refuses it for another reason.
    Refuses,
}

/// Upstream models one upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    number: usize,
    running: usize,
    unanswered: usize,
    waiting: VecDeque<usize>,
}

impl Upstream {
    /// new creates an idle upstream.
    pub fn new(number: usize) -> Upstream {
        Upstream {
            number,
            ..Upstream::default()
        }
    }

    /// receive admits or refuses a request. `send` is the number of the send.
    pub fn receive<R: Rng>(
        &mut self,
        send: usize,
        now_ms: f64,
        scenario: Scenario,
        rng: &mut R,
    ) -> Admission {
        if self.number == 0 && scenario == Scenario::OneFailing {
            return Admission::Refuses;
        }
        if self.running + self.unanswered + self.waiting.len() >= CONNECTIONS {
            return Admission::Busy;
        }
        if self.number == 0 && scenario == Scenario::OneFrozen {
            self.unanswered += 1;
            return Admission::NeverAnswers;
        }
        if self.running >= SLOTS {
            self.waiting.push_back(send);
            return Admission::Waits;
        }
        self.running += 1;
        Admission::Runs(now_ms + self.time_ms(now_ms, scenario, rng))
    }

    /// finish ends a running request. If another was waiting for the slot, it starts: its send and
    /// the time at which it finishes are returned.
    pub fn finish<R: Rng>(
        &mut self,
        now_ms: f64,
        scenario: Scenario,
        rng: &mut R,
    ) -> Option<(usize, f64)> {
        let Some(next) = self.waiting.pop_front() else {
            self.running -= 1;
            return None;
        };
        Some((next, now_ms + self.time_ms(now_ms, scenario, rng)))
    }

    /// drop_unanswered frees the connection of a request that was never answered and whose caller
    /// gave up.
    pub fn drop_unanswered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    fn time_ms<R: Rng>(&self, now_ms: f64, scenario: Scenario, rng: &mut R) -> f64 {
        let varying = -(1.0 - rng.random::<f64>()).ln() * (MEAN_MS - FIXED_MS);
        (FIXED_MS + varying) * scenario.factor(self.number, now_ms)
    }
}
