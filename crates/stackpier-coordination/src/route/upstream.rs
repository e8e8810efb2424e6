// SPDX-License-Identifier: Apache-2.0
//! The measurements and limits of one upstream.

use stackpier_core::{Millis, arena::Index};
use stackpier_protocol::peer::Endpoint;

use super::{Options, Outcome};
use crate::{breaker::Breaker, limit::Limit};

/// Upstream is a running service task that requests can be sent to.
#[derive(Debug)]
pub struct Upstream {
    /// Where it runs.
    pub endpoint: Endpoint,
    pub(super) in_flight: u32,
    pub(super) latency_ms: f64,
    /// When it last answered, failed or timed out.
    pub(super) measured: Millis,
    pub(super) success: f64,
    pub(super) limit: Limit,
    pub(super) breaker: Breaker,
}

/// Key identifies an upstream of one service.
pub type Key = Index<Upstream>;

impl Upstream {
    /// new returns an upstream with nothing in flight and an assumed latency.
    pub(super) fn new(endpoint: Endpoint, latency_ms: f64, options: &Options) -> Upstream {
        Upstream {
            endpoint,
            in_flight: 0,
            latency_ms,
            measured: Millis(0),
            success: 1.0,
            limit: Limit::new(options.limit),
            breaker: Breaker::new(options.breaker),
        }
    }

    /// accepts reports whether a request may be sent to this upstream now.
    pub(super) fn accepts(&self, now: Millis) -> bool {
        self.limit.allows(self.in_flight) && self.breaker.ready(now)
    }

    /// done records the outcome of a request and how long it took.
    pub(super) fn done(
        &mut self,
        now: Millis,
        took_ms: u64,
        outcome: Outcome,
        smoothing: f64,
        may_eject: bool,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => {
                self.latency_ms = smooth(self.latency_ms, took_ms as f64, smoothing);
                self.measured = now;
                self.success = smooth(self.success, 1.0, smoothing);
                self.limit.record_answer(self.in_flight);
                self.breaker.record_success();
            }
            Outcome::Busy => {
                // The upstream is alive, so a probe that is refused as busy
                // closes the breaker.
                self.limit.record_refusal();
                self.breaker.record_success();
            }
            Outcome::Refused | Outcome::Broken => {
                self.success = smooth(self.success, 0.0, smoothing);
                self.measured = now;
                self.breaker.record_failure(now, may_eject);
            }
            Outcome::TimedOut => {
                self.latency_ms = smooth(self.latency_ms, took_ms as f64, smoothing);
                self.measured = now;
                self.breaker.record_failure(now, may_eject);
            }
        }
    }
}

/// smooth moves an old value towards a new one by a weight from 0 to 1.
pub(super) fn smooth(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}
