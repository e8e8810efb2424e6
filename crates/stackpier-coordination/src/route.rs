// SPDX-License-Identifier: Apache-2.0
//! The choice of an upstream for a request, per service: the lowest expected
//! time to an answer by load and latency, within per-upstream limits, behind a
//! bounded queue.

mod cost;
mod router;
mod service;
mod upstream;

use crate::{breaker, limit, retry};

pub use router::Router;
pub use service::Service;
pub use upstream::{Key, Upstream};

/// Options are the bounds and shares routing goes by.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limits on requests in flight.
    pub limit: limit::Options,
    /// Ejection.
    pub breaker: breaker::Options,
    /// Retries.
    pub retry: retry::Options,
    /// Most requests that wait for one service.
    pub queue: usize,
    /// Largest share of upstreams ejected at once, in thousandths.
    pub ejected_milli: u32,
    /// Weight of a new latency sample, from 0 to 1.
    pub smoothing: f64,
    /// Latency assumed of an upstream that has not answered yet, in
    /// milliseconds.
    pub assumed_ms: f64,
    /// Longest expected wait for a slot, in milliseconds; a longer queue only
    /// adds delay.
    pub longest_wait_ms: u64,
    /// Latencies up to this many times the median count as the median, so that
    /// chance does not steer.
    pub noise: f64,
    /// Time in which what is known of an unused upstream's latency loses half
    /// its weight, in milliseconds.
    pub half_life_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            limit: limit::Options::default(),
            breaker: breaker::Options::default(),
            retry: retry::Options::default(),
            queue: 1_024,
            ejected_milli: 500,
            smoothing: 0.2,
            assumed_ms: 10.0,
            longest_wait_ms: 250,
            noise: 1.6,
            half_life_ms: 3_000.0,
        }
    }
}

/// Outcome is how a request to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came.
    Answered,
    /// The upstream refused for want of a slot; it did not run.
    Busy,
    /// The upstream could not be reached or does not run the task; it did not
    /// run.
    Refused,
    /// No whole answer came; it may have run.
    Broken,
    /// The caller's time ran out first, which says little of the upstream.
    TimedOut,
}

/// Choice is what to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this upstream, which counts it as in flight.
    Send(Key),
    /// Wait for a slot; see [`Service::freed`].
    Wait,
    /// The wait would pass the deadline. Coming back helps after this many
    /// milliseconds.
    Shed(u64),
    /// The service has no upstream.
    NoUpstream,
}
