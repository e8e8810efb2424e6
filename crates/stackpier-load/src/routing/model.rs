// SPDX-License-Identifier: Apache-2.0
//! The model of an upstream: slots, connections that wait for a slot, and how
//! long a request takes in each scenario.

use std::collections::VecDeque;

use rand::{Rng, RngExt};

/// SLOTS is how many requests an upstream runs at once.
pub const SLOTS: usize = 8;
/// CONNECTIONS is how many it accepts at once, waiting ones included.
pub const CONNECTIONS: usize = 64;
/// UPSTREAMS is the count of upstreams.
pub const UPSTREAMS: usize = 17;
/// MEAN_MS is the mean time a request runs.
pub const MEAN_MS: f64 = 20.0;
/// FIXED_MS is the part of it that does not vary.
const FIXED_MS: f64 = 8.0;
/// NOISY_FROM_MS is when the wave of noisy neighbours begins.
const NOISY_FROM_MS: f64 = 15_000.0;
/// NOISY_UNTIL_MS is when the wave of noisy neighbours ends.
const NOISY_UNTIL_MS: f64 = 40_000.0;

/// Scenario is what is wrong with the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Healthy,
    /// One takes five times as long.
    OneSlow,
    /// One refuses everything at once.
    OneFailing,
    /// One takes requests and never answers.
    OneFrozen,
    /// A quarter take three times as long for a while.
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

    /// factor returns how many times longer a request takes at an upstream.
    fn factor(self, upstream: usize, now_ms: f64) -> f64 {
        let noisy = (NOISY_FROM_MS..NOISY_UNTIL_MS).contains(&now_ms) && upstream.is_multiple_of(4);
        match self {
            Scenario::OneSlow if upstream == 0 => 5.0,
            Scenario::NoisyWave if noisy => 3.0,
            _ => 1.0,
        }
    }
}

/// Reception is what an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reception {
    /// Runs it, and is done at this time.
    Runs(f64),
    /// Has it wait for a slot.
    Waits,
    /// Takes it and never answers.
    Swallows,
    /// Refuses it for want of a connection.
    Busy,
    /// Refuses it for another reason.
    Refuses,
}

/// Upstream is the model of one upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    number: usize,
    running: usize,
    swallowed: usize,
    waiting: VecDeque<usize>,
}

impl Upstream {
    /// new makes an idle upstream.
    pub fn new(number: usize) -> Upstream {
        Upstream {
            number,
            ..Upstream::default()
        }
    }

    /// receive takes a request, named by its send.
    pub fn receive<R: Rng>(
        &mut self,
        send: usize,
        now_ms: f64,
        scenario: Scenario,
        rng: &mut R,
    ) -> Reception {
        if self.number == 0 && scenario == Scenario::OneFailing {
            return Reception::Refuses;
        }
        if self.running + self.swallowed + self.waiting.len() >= CONNECTIONS {
            return Reception::Busy;
        }
        if self.number == 0 && scenario == Scenario::OneFrozen {
            self.swallowed += 1;
            return Reception::Swallows;
        }
        if self.running >= SLOTS {
            self.waiting.push_back(send);
            return Reception::Waits;
        }
        self.running += 1;
        Reception::Runs(now_ms + self.time_ms(now_ms, scenario, rng))
    }

    /// finish ends a running request and returns one that starts instead, with
    /// the time at which it is done.
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

    /// drop_swallowed frees the connection of a request whose sender gave up.
    pub fn drop_swallowed(&mut self) {
        self.swallowed = self.swallowed.saturating_sub(1);
    }

    fn time_ms<R: Rng>(&self, now_ms: f64, scenario: Scenario, rng: &mut R) -> f64 {
        let varying = -(1.0 - rng.random::<f64>()).ln() * (MEAN_MS - FIXED_MS);
        (FIXED_MS + varying) * scenario.factor(self.number, now_ms)
    }
}
