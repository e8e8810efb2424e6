// SPDX-License-Identifier: Apache-2.0
//! The choice of an upstream for a request, per service: the lowest expected
//! time to an answer by load and latency, within per-upstream limits, behind a bounded queue.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};
use stackpier_core::{
    Millis, Name,
    arena::{Arena, Index},
};
use stackpier_protocol::peer::Endpoint;

use crate::{
    breaker::{self, Breaker, State},
    limit::{self, Limit},
    queue::{Queue, Ticket},
    retry::{self, Budget},
};

/// LEAST_SUCCESS is the lowest share of successes that costs are reckoned with.
const LEAST_SUCCESS: f64 = 0.01;
/// FORGOTTEN is the weight below which old knowledge counts for nothing.
const FORGOTTEN: f64 = 0.05;

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
    /// Latency assumed of an upstream that has not answered yet.
    pub assumed_ms: f64,
    /// Longest expected wait for a slot; a longer queue only adds delay.
    pub longest_wait_ms: u64,
    /// Latencies up to this many times the median count as the median, so that
    /// chance does not steer.
    pub noise: f64,
    /// Time in which what is known of an unused upstream's latency loses half
    /// its weight.
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

/// Upstream is a running service task that requests can be sent to.
#[derive(Debug)]
pub struct Upstream {
    /// Where it runs.
    pub endpoint: Endpoint,
    in_flight: u32,
    latency_ms: f64,
    /// When it last answered or failed.
    measured: Millis,
    success: f64,
    limit: Limit,
    breaker: Breaker,
}

/// Key points to an upstream of one service.
pub type Key = Index<Upstream>;

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

/// Service is the routing state of one service on one daemon.
#[derive(Debug)]
pub struct Service {
    options: Options,
    upstreams: Arena<Upstream>,
    keys: Vec<Key>,
    queue: Queue,
    budget: Budget,
    /// Smoothed time a request occupies a slot.
    holding_ms: f64,
}

impl Service {
    /// new starts with no upstream.
    pub fn new(options: Options) -> Service {
        Service {
            options,
            upstreams: Arena::default(),
            keys: Vec::new(),
            queue: Queue::new(options.queue),
            budget: Budget::new(options.retry),
            holding_ms: options.assumed_ms,
        }
    }

    /// update takes the upstreams that are there now and keeps what is known
    /// of those that stay.
    pub fn update(&mut self, endpoints: &[Endpoint]) {
        let stays = |key: &Key| {
            let upstream = self.upstreams.get(*key);
            upstream.is_some_and(|upstream| endpoints.contains(&upstream.endpoint))
        };
        let (kept, lost): (Vec<Key>, Vec<Key>) = self.keys.iter().partition(|key| stays(key));
        for key in lost {
            self.upstreams.remove(key);
        }
        self.keys = kept;
        for endpoint in endpoints {
            if !self
                .upstreams
                .values()
                .any(|known| known.endpoint == *endpoint)
            {
                let upstream = self.fresh(*endpoint);
                self.keys.push(self.upstreams.insert(upstream));
            }
        }
    }

    fn fresh(&self, endpoint: Endpoint) -> Upstream {
        Upstream {
            endpoint,
            in_flight: 0,
            latency_ms: self.median_ms(),
            measured: Millis(0),
            success: 1.0,
            limit: Limit::new(self.options.limit),
            breaker: Breaker::new(self.options.breaker),
        }
    }

    /// upstream returns the upstream behind a key, unless it is gone.
    pub fn upstream(&self, key: Key) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// len returns the count of upstreams.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// is_empty tells whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// waiting returns the count of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// arrive decides on a request that has just come. `avoid` names upstreams
    /// it was sent to before.
    pub fn arrive<R: Rng>(
        &mut self,
        now: Millis,
        deadline: Millis,
        ticket: Ticket,
        avoid: &[Name],
        rng: &mut R,
    ) -> Choice {
        if self.keys.is_empty() {
            return Choice::NoUpstream;
        }
        if self.queue.is_empty()
            && let Some(key) = self.pick(now, avoid, rng)
        {
            return Choice::Send(key);
        }
        let wait = self.expected_wait_ms(deadline);
        let too_long = wait as u64 > self.options.longest_wait_ms;
        let too_late = now.plus(wait as u64) >= deadline;
        if too_long || too_late || !self.queue.push(deadline, ticket) {
            return Choice::Shed((wait as u64).max(1));
        }
        Choice::Wait
    }

    /// leave takes a request out of the queue whose deadline has passed.
    pub fn leave(&mut self, deadline: Millis, ticket: Ticket) {
        self.queue.remove(deadline, ticket);
    }

    /// freed gives free slots to waiting requests.
    pub fn freed<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<(Ticket, Key)> {
        let mut given = Vec::new();
        while !self.queue.is_empty() {
            let Some(key) = self.pick(now, &[], rng) else {
                break;
            };
            let Some(ticket) = self.queue.pop() else {
                break;
            };
            given.push((ticket, key));
        }
        given
    }

    /// cancel takes back a slot that was given and not used.
    pub fn cancel(&mut self, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// done takes the outcome of a request that was sent.
    pub fn done(&mut self, now: Millis, key: Key, took_ms: u64, outcome: Outcome) {
        let may_eject = self.may_eject();
        let smoothing = self.options.smoothing;
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let in_flight = upstream.in_flight;
        upstream.in_flight = in_flight.saturating_sub(1);
        let smooth = |old: f64, new: f64| old + smoothing * (new - old);
        match outcome {
            Outcome::Answered => {
                upstream.latency_ms = smooth(upstream.latency_ms, took_ms as f64);
                upstream.measured = now;
                upstream.success = smooth(upstream.success, 1.0);
                upstream.limit.answered(in_flight.saturating_sub(1));
                upstream.breaker.succeeded();
                self.holding_ms = smooth(self.holding_ms, took_ms as f64);
                self.budget.succeeded();
            }
            Outcome::Busy => {
                // It is alive, so a probe that meets it has done its work.
                upstream.limit.refused();
                upstream.breaker.succeeded();
            }
            Outcome::Refused | Outcome::Broken => {
                upstream.success = smooth(upstream.success, 0.0);
                upstream.measured = now;
                upstream.breaker.failed(now, may_eject);
            }
            Outcome::TimedOut => {
                upstream.latency_ms = smooth(upstream.latency_ms, took_ms as f64);
                upstream.measured = now;
                upstream.breaker.failed(now, may_eject);
            }
        }
    }

    /// may_retry takes a retry from the budget.
    pub fn may_retry(&mut self) -> bool {
        self.budget.spend()
    }

    /// expected_wait_ms estimates the wait of a request with this deadline.
    fn expected_wait_ms(&self, deadline: Millis) -> f64 {
        let slots: f64 = self
            .upstreams
            .values()
            .map(|upstream| upstream.limit.value())
            .sum();
        let ahead = self.queue.ahead(deadline) as f64 + 1.0;
        ahead * self.holding_ms / slots.max(1.0)
    }

    fn may_eject(&self) -> bool {
        let open = |upstream: &&Upstream| upstream.breaker.state() != State::Closed;
        let ejected = self.upstreams.values().filter(open).count() + 1;
        ejected as u64 * 1_000 <= self.keys.len() as u64 * u64::from(self.options.ejected_milli)
    }

    /// pick chooses an upstream with a free slot and counts the request as in
    /// flight there.
    fn pick<R: Rng>(&mut self, now: Millis, avoid: &[Name], rng: &mut R) -> Option<Key> {
        let open: Vec<Key> = self
            .keys
            .iter()
            .copied()
            .filter(|key| self.takes(now, *key))
            .collect();
        let fresh = |key: &Key| {
            let upstream = self.upstreams.get(*key);
            upstream.is_some_and(|upstream| !avoid.contains(&upstream.endpoint.worker))
        };
        let mut pool: Vec<Key> = open.iter().copied().filter(fresh).collect();
        if pool.is_empty() {
            pool = open;
        }
        let key = self.cheapest(now, &pool, rng)?;
        let upstream = self.upstreams.get_mut(key)?;
        upstream.in_flight += 1;
        upstream.breaker.sent();
        Some(key)
    }

    /// cheapest returns the upstream with the lowest cost; of equal ones it
    /// takes any, so that entry VMs don't all take the same.
    fn cheapest<R: Rng>(&self, now: Millis, pool: &[Key], rng: &mut R) -> Option<Key> {
        if pool.is_empty() {
            return None;
        }
        let median = self.median_ms();
        let start = rng.random_range(0..pool.len());
        let order = (0..pool.len()).map(|step| pool[(start + step) % pool.len()]);
        order.min_by(|one, other| {
            let (one, other) = (self.cost(now, median, *one), self.cost(now, median, *other));
            one.total_cmp(&other)
        })
    }

    fn takes(&self, now: Millis, key: Key) -> bool {
        self.upstreams.get(key).is_some_and(|upstream| {
            upstream.limit.allows(upstream.in_flight) && upstream.breaker.ready(now)
        })
    }

    /// cost is the expected time to an answer. An upstream that fails fast is
    /// dear, not cheap; what is known of one that is not used fades, so that it
    /// is tried again.
    fn cost(&self, now: Millis, median: f64, key: Key) -> f64 {
        self.upstreams.get(key).map_or(f64::MAX, |upstream| {
            let age = now.since(upstream.measured) as f64;
            let faded = 0.5_f64.powf(age / self.options.half_life_ms);
            let weight = if faded < FORGOTTEN { 0.0 } else { faded };
            let success = 1.0 - (1.0 - upstream.success) * weight;
            let latency = self.believed_ms(weight, median, upstream);
            let load = 1.0 + f64::from(upstream.in_flight) / self.options.limit.start;
            load * latency / success.max(LEAST_SUCCESS).powi(2)
        })
    }

    /// believed_ms returns an upstream's latency as far as it tells: noise
    /// counts as the median, and old samples count with their `weight`.
    fn believed_ms(&self, weight: f64, median: f64, upstream: &Upstream) -> f64 {
        let latency = median + (upstream.latency_ms - median) * weight;
        match latency <= median * self.options.noise {
            true => median,
            false => latency,
        }
    }

    /// median_ms returns the median latency of the upstreams.
    fn median_ms(&self) -> f64 {
        let mut all: Vec<f64> = self.upstreams.values().map(|u| u.latency_ms).collect();
        if all.is_empty() {
            return self.options.assumed_ms;
        }
        let middle = all.len() / 2;
        *all.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}

/// Router holds the routing state of all services.
#[derive(Debug)]
pub struct Router {
    options: Options,
    services: BTreeMap<Name, Service>,
}

impl Router {
    /// new starts with no service.
    pub fn new(options: Options) -> Router {
        Router {
            options,
            services: BTreeMap::new(),
        }
    }

    /// service returns the state of a service, made on first use.
    pub fn service(&mut self, name: Name) -> &mut Service {
        let options = self.options;
        self.services
            .entry(name)
            .or_insert_with(|| Service::new(options))
    }

    /// update takes all endpoints there are now.
    pub fn update(&mut self, endpoints: &[Endpoint]) {
        let mut by_service: BTreeMap<Name, Vec<Endpoint>> = BTreeMap::new();
        for endpoint in endpoints {
            by_service
                .entry(endpoint.service)
                .or_default()
                .push(*endpoint);
        }
        for (name, service) in &mut self.services {
            let none = Vec::new();
            service.update(by_service.get(name).unwrap_or(&none));
        }
        for (name, endpoints) in by_service {
            self.service(name).update(&endpoints);
        }
    }

    /// names returns the services with any state.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.services.keys().copied()
    }
}
