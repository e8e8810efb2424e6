// SPDX-License-Identifier: Apache-2.0
//! Ejection of an upstream that fails, with a probe after a growing pause.

use stackpier_core::Millis;

/// Options are the counts and times of a breaker.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Failures in a row that eject.
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

/// State is what a breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Everything.
    Closed,
    /// Nothing before this point, then one probe.
    Open(Millis),
    /// Nothing while the probe is out.
    Probing,
}

/// Breaker watches one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    options: Options,
    state: State,
    failures: u32,
    pause_ms: u64,
}

impl Breaker {
    /// new starts closed.
    pub fn new(options: Options) -> Breaker {
        Breaker {
            options,
            state: State::Closed,
            failures: 0,
            pause_ms: options.pause_ms,
        }
    }

    /// state returns what is let through.
    pub fn state(&self) -> State {
        self.state
    }

    /// ready tells whether a request may be sent: any when closed, a probe
    /// after the pause.
    pub fn ready(&self, now: Millis) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) => now >= until,
            State::Probing => false,
        }
    }

    /// record_sent notes that a request is sent.
    pub fn record_sent(&mut self) {
        if matches!(self.state, State::Open(_)) {
            self.state = State::Probing;
        }
    }

    /// record_success closes the breaker.
    pub fn record_success(&mut self) {
        self.state = State::Closed;
        self.failures = 0;
        self.pause_ms = self.options.pause_ms;
    }

    /// record_failure counts a failure; `may_eject` is false while too large a share
    /// of the upstreams is ejected.
    pub fn record_failure(&mut self, now: Millis, may_eject: bool) {
        self.failures += 1;
        let probe = self.state == State::Probing;
        if probe || (self.failures >= self.options.failures && may_eject) {
            self.state = State::Open(now.plus(self.pause_ms));
            self.pause_ms = (self.pause_ms * 2).min(self.options.max_pause_ms);
        }
    }
}
