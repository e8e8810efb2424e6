// SPDX-License-Identifier: Apache-2.0
//! The choice of an upstream for a request, per service: the one with the
//! lowest expected time to an answer, by load and latency, within a limit for
//! each upstream and behind a bounded queue.

mod cost;
mod router;
mod service;
mod upstream;

use crate::{breaker, limit, retry};

pub use router::Router;
pub use service::Service;
pub use upstream::{Key, Upstream};

/// Options hold the bounds and shares of routing.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limits on requests in flight to an upstream.
    pub limit: limit::Options,
    /// Ejection of upstreams that fail.
    pub breaker: breaker::Options,
    /// Budget of retries.
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
    /// Longest expected wait for a slot, in milliseconds. Requests that would
    /// wait longer are shed, as a longer queue only adds delay.
    pub longest_wait_ms: u64,
    /// Latencies up to this many times the median count as the median, so that
    /// random variation doesn't affect the choice.
    pub noise: f64,
    /// Time after which the measured latency and success of an unused upstream
    /// have half their weight, in milliseconds.
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
    /// The whole answer arrived.
    Answered,
    /// The upstream refused because it had no free slot; the request did not
    /// run.
    Busy,
    /// The upstream could not be reached or does not run the task; the request
    /// did not run.
    Refused,
    /// The whole answer did not arrive; the request may have run.
    Broken,
    /// The caller's deadline passed first, which indicates little about the
    /// upstream.
    TimedOut,
}

/// Choice is what to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this upstream, where it already counts as in flight.
    Send(Key),
    /// Wait for a slot; see [`Service::freed`].
    Wait,
    /// The queue is full, or the wait would be too long or pass the deadline. A
    /// retry makes sense after this many milliseconds.
    Shed(u64),
    /// The service has no upstream.
    NoUpstream,
}
