// SPDX-License-Identifier: Apache-2.0
//! A circuit breaker: ejects an upstream that fails, and probes it after a
//! pause that doubles with each ejection.

use stackpier_core::Millis;

/// Options hold the counts and times of a breaker.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Consecutive failures after which the upstream is ejected.
    pub failures: u32,
    /// The first pause, in milliseconds.
    pub pause_ms: u64,
    /// The longest pause, in milliseconds.
    pub max_pause_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            failures: 4,
            pause_ms: 500,
            max_pause_ms: 30_000,
        }
    }
}

/// State is which requests a breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// All requests.
    Closed,
    /// None before this time, then one probe.
    Open(Millis),
    /// None while the probe is in flight.
    Probing,
}

/// Breaker counts the failures of one upstream or worker.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    options: Options,
    state: State,
    failures: u32,
    pause_ms: u64,
}

impl Breaker {
    /// new returns a closed breaker.
    pub fn new(options: Options) -> Breaker {
        Breaker {
            options,
            state: State::Closed,
            failures: 0,
            pause_ms: options.pause_ms,
        }
    }

    /// state returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// ready reports whether a request may be sent: any while closed, one probe
    /// after the pause.
    pub fn ready(&self, now: Millis) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) => now >= until,
            State::Probing => false,
        }
    }

    /// record_sent records that a request was sent: after the pause it is the
    /// probe.
    pub fn record_sent(&mut self) {
        if matches!(self.state, State::Open(_)) {
            self.state = State::Probing;
        }
    }

    /// record_success closes the breaker and resets the pause.
    pub fn record_success(&mut self) {
        self.state = State::Closed;
        self.failures = 0;
        self.pause_ms = self.options.pause_ms;
    }

    /// record_failure counts a failure. `may_eject` is false while too large a
    /// share of the upstreams is ejected; a failed probe ejects anyway.
    pub fn record_failure(&mut self, now: Millis, may_eject: bool) {
        self.failures += 1;
        let probe = self.state == State::Probing;
        if probe || (self.failures >= self.options.failures && may_eject) {
            self.state = State::Open(now.plus(self.pause_ms));
            self.pause_ms = (self.pause_ms * 2).min(self.options.max_pause_ms);
        }
    }
}
