// SPDX-License-Identifier: Apache-2.0
//! The router, shared by the callers' threads, and the requests that wait for a
//! slot.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use flume::Sender;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::{
    queue::Ticket,
    route::{Choice, Key, Options, Outcome, Router},
};
use stackpier_core::{Millis, Name, key::Boot};
use stackpier_protocol::peer::Endpoint;

use crate::{clock, daemon::lock};

/// Routing assigns slots at upstreams to requests.
pub struct Routing {
    inner: Mutex<Inner>,
}

/// Inner is the routing state behind the lock.
struct Inner {
    router: Router,
    waiting: HashMap<Ticket, Sender<Slot>>,
    rng: ChaCha8Rng,
    next_ticket: u64,
}

/// Slot is the right to have one request at an upstream. It must be released.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    /// The service.
    pub service: Name,
    /// The upstream.
    pub key: Key,
    /// Where it runs.
    pub endpoint: Endpoint,
}

/// Acquired is the outcome of asking for a slot.
#[derive(Clone, Copy, Debug)]
pub enum Acquired {
    /// A slot.
    Slot(Slot),
    /// The queue is full, or the wait would be too long or pass the deadline. The
    /// caller may try again after this time, in milliseconds.
    Shed(u64),
    /// The service has no upstream.
    NoUpstream,
    /// The deadline passed while waiting.
    DeadlinePassed,
}

impl Routing {
    /// new returns a router without upstreams; `boot` seeds its random choices.
    pub fn new(options: Options, boot: Boot) -> Routing {
        Routing {
            inner: Mutex::new(Inner {
                router: Router::new(options),
                waiting: HashMap::new(),
                rng: ChaCha8Rng::seed_from_u64(boot.0),
                next_ticket: 0,
            }),
        }
    }

    /// acquire asks for a slot, if possible not at an upstream in `avoid`, and waits
    /// for it until the deadline.
    pub fn acquire(&self, service: Name, deadline: Millis, avoid: &[Name]) -> Acquired {
        let (slot_sender, slot_receiver) = flume::bounded(1);
        let ticket = {
            let mut inner = lock(&self.inner);
            let ticket = Ticket(inner.next_ticket);
            inner.next_ticket += 1;
            match inner.request_slot(service, deadline, ticket, avoid) {
                Choice::Send(key) => return inner.resolve(service, key),
                Choice::Shed(ms) => return Acquired::Shed(ms),
                Choice::NoUpstream => return Acquired::NoUpstream,
                Choice::Wait => {}
            }
            inner.waiting.insert(ticket, slot_sender);
            ticket
        };
        let wait = deadline.since(clock::now());
        if let Ok(slot) = slot_receiver.recv_timeout(Duration::from_millis(wait)) {
            return Acquired::Slot(slot);
        }
        let mut inner = lock(&self.inner);
        inner.waiting.remove(&ticket);
        inner.router.service(service).leave(deadline, ticket);
        // A slot may have been assigned after the time-out and before the lock.
        if let Ok(slot) = slot_receiver.try_recv() {
            inner.router.service(service).cancel(slot.key);
            inner.assign_slots(service);
        }
        Acquired::DeadlinePassed
    }

    /// release returns a slot with the outcome of its request.
    pub fn release(&self, slot: Slot, took_ms: u64, outcome: Outcome) {
        let mut inner = lock(&self.inner);
        let service = inner.router.service(slot.service);
        service.done(clock::now(), slot.key, took_ms, outcome);
        inner.assign_slots(slot.service);
    }

    /// consume_retry takes one retry from the budget of a service and reports whether
    /// there was one.
    pub fn consume_retry(&self, service: Name) -> bool {
        lock(&self.inner).router.service(service).may_retry()
    }

    /// update replaces the known endpoints and assigns slots that have become free.
    pub fn update(&self, endpoints: &[Endpoint]) {
        let mut inner = lock(&self.inner);
        inner.router.update(endpoints);
        let names: Vec<Name> = inner.router.names().collect();
        for name in names {
            inner.assign_slots(name);
        }
    }

    /// count_upstreams returns the number of upstreams of a service.
    pub fn count_upstreams(&self, service: Name) -> usize {
        lock(&self.inner).router.service(service).len()
    }
}

impl Inner {
    fn request_slot(
        &mut self,
        service: Name,
        deadline: Millis,
        ticket: Ticket,
        avoid: &[Name],
    ) -> Choice {
        let state = self.router.service(service);
        state.arrive(clock::now(), deadline, ticket, avoid, &mut self.rng)
    }

    fn resolve(&mut self, service: Name, key: Key) -> Acquired {
        let state = self.router.service(service);
        let slot = state.upstream(key).map(|upstream| Slot {
            service,
            key,
            endpoint: upstream.endpoint,
        });
        slot.map_or(Acquired::NoUpstream, Acquired::Slot)
    }

    /// assign_slots gives free slots to the waiting requests.
    fn assign_slots(&mut self, service: Name) {
        let state = self.router.service(service);
        for (ticket, key) in state.freed(clock::now(), &mut self.rng) {
            let slot = state.upstream(key).map(|upstream| Slot {
                service,
                key,
                endpoint: upstream.endpoint,
            });
            let waiter = self.waiting.remove(&ticket);
            let delivered = match (slot, waiter) {
                (Some(slot), Some(waiter)) => waiter.send(slot).is_ok(),
                _ => false,
            };
            if !delivered {
                state.cancel(key);
            }
        }
    }
}
