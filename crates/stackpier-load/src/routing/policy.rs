// SPDX-License-Identifier: Apache-2.0
//! The policies that are compared: simple baselines, and stackpier's own.

use rand::{Rng, RngExt};
use stackpier_coordination::{
    queue::Ticket,
    route::{Choice, Key, Options, Outcome, Service},
};
use stackpier_core::{
    Millis, Name,
    key::{Attempt, Job, Task},
};
use stackpier_protocol::peer::Endpoint;
use stackpier_state::work::Run;

use crate::label::name;

/// BASELINE_SENDS is how often a baseline sends a request at most.
pub const BASELINE_SENDS: usize = 4;

/// Kind names a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Any upstream.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests in flight from this entry VM.
    LeastInFlight,
    /// The better one of two, by requests in flight.
    TwoChoices,
    /// stackpier's.
    Ours,
}

impl Kind {
    /// ALL lists the policies.
    pub const ALL: [Kind; 5] = [
        Kind::Random,
        Kind::RoundRobin,
        Kind::LeastInFlight,
        Kind::TwoChoices,
        Kind::Ours,
    ];

    /// as_str returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Random => "random",
            Kind::RoundRobin => "round-robin",
            Kind::LeastInFlight => "least-in-flight",
            Kind::TwoChoices => "two-choices",
            Kind::Ours => "ours",
        }
    }
}

/// Slot is a place at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slot {
    /// The upstream's number.
    pub upstream: usize,
    /// The router's key for it, if the policy is stackpier's.
    key: Option<Key>,
}

/// Decision is what to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it there.
    Send(Slot),
    /// Let it wait.
    Wait,
    /// Refuse it.
    Refuse,
}

/// Given is a slot that a waiting request got.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Given {
    /// The request.
    pub request: usize,
    /// The slot.
    pub slot: Slot,
}

/// Entry is the routing state of one entry VM.
pub enum Entry {
    /// A baseline.
    Baseline(Baseline),
    /// stackpier's.
    Ours(Box<Ours>),
}

/// Baseline counts requests in flight and nothing else.
pub struct Baseline {
    kind: Kind,
    in_flight: Vec<u32>,
    next: usize,
}

/// Ours wraps the router that the daemon runs.
pub struct Ours {
    service: Service,
}

impl Entry {
    /// new makes the state of one entry VM for a count of upstreams.
    pub fn new(kind: Kind, upstreams: usize) -> Entry {
        if kind != Kind::Ours {
            return Entry::Baseline(Baseline {
                kind,
                in_flight: vec![0; upstreams],
                next: 0,
            });
        }
        let mut service = Service::new(Options::default());
        let endpoints: Vec<Endpoint> = (0..upstreams).map(endpoint).collect();
        service.update(&endpoints);
        Entry::Ours(Box::new(Ours { service }))
    }

    /// arrive decides on a request. `avoid` lists where it was sent before.
    pub fn arrive<R: Rng>(
        &mut self,
        now: Millis,
        deadline: Millis,
        request: usize,
        avoid: &[usize],
        rng: &mut R,
    ) -> Decision {
        match self {
            Entry::Baseline(baseline) => match avoid.len() < BASELINE_SENDS {
                true => Decision::Send(Slot {
                    upstream: baseline.pick(avoid, rng),
                    key: None,
                }),
                false => Decision::Refuse,
            },
            Entry::Ours(ours) => ours.arrive(now, deadline, request, avoid, rng),
        }
    }

    /// done takes the outcome of a send.
    pub fn done(&mut self, now: Millis, slot: Slot, took_ms: u64, outcome: Outcome) {
        match (self, slot.key) {
            (Entry::Baseline(baseline), _) => baseline.in_flight[slot.upstream] -= 1,
            (Entry::Ours(ours), Some(key)) => ours.service.done(now, key, took_ms, outcome),
            (Entry::Ours(_), None) => {}
        }
    }

    /// may_retry tells whether a request may be sent again.
    pub fn may_retry(&mut self) -> bool {
        match self {
            Entry::Baseline(_) => true,
            Entry::Ours(ours) => ours.service.may_retry(),
        }
    }

    /// leave takes a request out of the queue.
    pub fn leave(&mut self, deadline: Millis, request: usize) {
        if let Entry::Ours(ours) = self {
            ours.service.leave(deadline, Ticket(request as u64));
        }
    }

    /// freed gives slots to waiting requests.
    pub fn freed<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<Given> {
        match self {
            Entry::Baseline(_) => Vec::new(),
            Entry::Ours(ours) => ours.freed(now, rng),
        }
    }
}

impl Baseline {
    fn pick<R: Rng>(&mut self, avoid: &[usize], rng: &mut R) -> usize {
        let count = self.in_flight.len();
        let pool: Vec<usize> = (0..count)
            .filter(|number| !avoid.contains(number))
            .collect();
        let chosen = match self.kind {
            Kind::RoundRobin => {
                self.next += 1;
                pool[self.next % pool.len()]
            }
            Kind::LeastInFlight => {
                let start = rng.random_range(0..pool.len());
                let order = (0..pool.len()).map(|step| pool[(start + step) % pool.len()]);
                order
                    .min_by_key(|number| self.in_flight[*number])
                    .unwrap_or(0)
            }
            Kind::TwoChoices => {
                let one = pool[rng.random_range(0..pool.len())];
                let other = pool[rng.random_range(0..pool.len())];
                if self.in_flight[one] <= self.in_flight[other] {
                    one
                } else {
                    other
                }
            }
            Kind::Random | Kind::Ours => pool[rng.random_range(0..pool.len())],
        };
        self.in_flight[chosen] += 1;
        chosen
    }
}

impl Ours {
    fn arrive<R: Rng>(
        &mut self,
        now: Millis,
        deadline: Millis,
        request: usize,
        avoid: &[usize],
        rng: &mut R,
    ) -> Decision {
        let avoid: Vec<Name> = avoid.iter().map(|number| worker(*number)).collect();
        let ticket = Ticket(request as u64);
        match self.service.arrive(now, deadline, ticket, &avoid, rng) {
            Choice::Send(key) => Decision::Send(self.slot(key)),
            Choice::Wait => Decision::Wait,
            Choice::Shed(_) | Choice::NoUpstream => Decision::Refuse,
        }
    }

    fn freed<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<Given> {
        let given = self.service.freed(now, rng);
        let with_slot = |(ticket, key): (Ticket, Key)| Given {
            request: ticket.0 as usize,
            slot: self.slot(key),
        };
        given.into_iter().map(with_slot).collect()
    }

    fn slot(&self, key: Key) -> Slot {
        let upstream = self.service.upstream(key);
        Slot {
            upstream: upstream.map_or(0, |found| found.endpoint.run.task.index as usize),
            key: Some(key),
        }
    }
}

fn worker(number: usize) -> Name {
    name(&format!("worker-{number}"))
}

fn endpoint(number: usize) -> Endpoint {
    let task = Task {
        job: Job(1),
        index: number as u32,
    };
    Endpoint {
        service: worker(999),
        worker: worker(number),
        run: Run {
            task,
            attempt: Attempt(1),
        },
    }
}
