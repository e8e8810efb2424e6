// SPDX-License-Identifier: Apache-2.0
//! The routing state of one service: assigns requests to upstreams, queues
//! them, and updates the estimates from their outcomes.

use rand::Rng;
use stackpier_core::{Millis, Name, arena::Arena};
use stackpier_protocol::peer::Endpoint;

use super::{Choice, Key, Options, Outcome, Upstream, upstream::smooth};
use crate::{
    breaker::State,
    queue::{Queue, Ticket},
    retry::Budget,
};

/// Service is the routing state of one service on one daemon.
#[derive(Debug)]
pub struct Service {
    pub(super) options: Options,
    pub(super) upstreams: Arena<Upstream>,
    keys: Vec<Key>,
    queue: Queue,
    budget: Budget,
    /// Smoothed time a request occupies a slot, in milliseconds.
    holding_ms: f64,
}

impl Service {
    /// new returns the state of a service without upstreams.
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

    /// update sets the current upstreams and keeps the measurements of those
    /// that stay.
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
                let upstream = Upstream::new(*endpoint, self.median_ms(), &self.options);
                self.keys.push(self.upstreams.insert(upstream));
            }
        }
    }

    /// upstream returns the upstream with this key, unless it was removed.
    pub fn upstream(&self, key: Key) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// len returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// is_empty reports whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// waiting returns the number of requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// arrive decides on a request that has just arrived. `avoid` names the
    /// workers that it was sent to before; they are used only if no other
    /// accepts.
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

    /// leave removes a request from the queue, as its deadline has passed.
    pub fn leave(&mut self, deadline: Millis, ticket: Ticket) {
        self.queue.remove(deadline, ticket);
    }

    /// freed assigns free slots to waiting requests.
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

    /// cancel frees a slot that was assigned and not used.
    pub fn cancel(&mut self, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// done records the outcome of a request that was sent and how long it
    /// took.
    pub fn done(&mut self, now: Millis, key: Key, took_ms: u64, outcome: Outcome) {
        let may_eject = self.may_eject();
        let smoothing = self.options.smoothing;
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.done(now, took_ms, outcome, smoothing, may_eject);
        if outcome == Outcome::Answered {
            self.holding_ms = smooth(self.holding_ms, took_ms as f64, smoothing);
            self.budget.record_success();
        }
    }

    /// may_retry takes a retry from the budget and returns whether one was
    /// available.
    pub fn may_retry(&mut self) -> bool {
        self.budget.spend()
    }

    /// expected_wait_ms estimates the wait of a request with this deadline, in
    /// milliseconds.
    fn expected_wait_ms(&self, deadline: Millis) -> f64 {
        let slots: f64 = self
            .upstreams
            .values()
            .map(|upstream| upstream.limit.value())
            .sum();
        let ahead = self.queue.ahead(deadline) as f64 + 1.0;
        ahead * self.holding_ms / slots.max(1.0)
    }

    /// may_eject reports whether one more upstream may be ejected.
    fn may_eject(&self) -> bool {
        let open = |upstream: &&Upstream| upstream.breaker.state() != State::Closed;
        let ejected = self.upstreams.values().filter(open).count() + 1;
        ejected as u64 * 1_000 <= self.keys.len() as u64 * u64::from(self.options.ejected_milli)
    }

    /// pick chooses an upstream with a free slot and counts the request as in
    /// flight there.
    fn pick<R: Rng>(&mut self, now: Millis, avoid: &[Name], rng: &mut R) -> Option<Key> {
        let accepts = |key: &Key| {
            let upstream = self.upstreams.get(*key);
            upstream.is_some_and(|upstream| upstream.accepts(now))
        };
        let open: Vec<Key> = self.keys.iter().copied().filter(accepts).collect();
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
        upstream.breaker.record_sent();
        Some(key)
    }
}
