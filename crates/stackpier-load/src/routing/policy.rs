// SPDX-License-Identifier: Apache-2.0
//! Routing policies that the experiment compares: simple baselines and stackpier's router.

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

/// BASELINE_SENDS is the most times that a baseline sends one request.
pub const BASELINE_SENDS: usize = 4;

/// Kind identifies a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A random upstream.
    Random,
    /// The upstreams in rotation.
    RoundRobin,
    /// The one with the fewest requests in flight from this entry VM.
    LeastInFlight,
    /// Of two random upstreams, the one with fewer requests in flight.
    TwoChoices,
    /// stackpier's router.
    Stackpier,
}

impl Kind {
    /// ALL lists the policies.
    pub const ALL: [Kind; 5] = [
        Kind::Random,
        Kind::RoundRobin,
        Kind::LeastInFlight,
        Kind::TwoChoices,
        Kind::Stackpier,
    ];

    /// as_str returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Random => "random",
            Kind::RoundRobin => "round-robin",
            Kind::LeastInFlight => "least-in-flight",
            Kind::TwoChoices => "two-choices",
            Kind::Stackpier => "ours",
        }
    }
}

/// Slot identifies the upstream that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slot {
    /// The upstream's number.
    pub upstream: usize,
    /// The router's key for this send; only stackpier's policy has one.
    key: Option<Key>,
}

/// Decision is a policy's answer to an arriving request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it to this upstream.
    Send(Slot),
    /// Queue it until an upstream has a free slot.
    Wait,
    /// Refuse it.
    Refuse,
}

/// Assignment gives a freed slot to a queued request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// The request.
    pub request: usize,
    /// The slot.
    pub slot: Slot,
}

/// Entry holds the routing state of one entry VM.
pub enum Entry {
    /// A baseline policy.
    Baseline(Baseline),
    /// stackpier's router.
    Stackpier(Box<Stackpier>),
}

/// Baseline knows only its own requests in flight at each upstream.
pub struct Baseline {
    kind: Kind,
    in_flight: Vec<u32>,
    next: usize,
}

/// Stackpier wraps the router that the daemon runs.
pub struct Stackpier {
    service: Service,
}

impl Entry {
    /// new creates the routing state of one entry VM for a number of upstreams.
    pub fn new(kind: Kind, upstreams: usize) -> Entry {
        if kind != Kind::Stackpier {
            return Entry::Baseline(Baseline {
                kind,
                in_flight: vec![0; upstreams],
                next: 0,
            });
        }
        let mut service = Service::new(Options::default());
        let endpoints: Vec<Endpoint> = (0..upstreams).map(endpoint).collect();
        service.update(&endpoints);
        Entry::Stackpier(Box::new(Stackpier { service }))
    }

    /// arrive decides what to do with a request. `tried` lists the upstreams that it was
    /// already sent to.
    pub fn arrive<R: Rng>(
        &mut self,
        now: Millis,
        deadline: Millis,
        request: usize,
        tried: &[usize],
        rng: &mut R,
    ) -> Decision {
        match self {
            Entry::Baseline(baseline) => match tried.len() < BASELINE_SENDS {
                true => Decision::Send(Slot {
                    upstream: baseline.choose(tried, rng),
                    key: None,
                }),
                false => Decision::Refuse,
            },
            Entry::Stackpier(stackpier) => stackpier.arrive(now, deadline, request, tried, rng),
        }
    }

    /// done records the outcome of a send.
    pub fn done(&mut self, now: Millis, slot: Slot, took_ms: u64, outcome: Outcome) {
        match (self, slot.key) {
            (Entry::Baseline(baseline), _) => baseline.in_flight[slot.upstream] -= 1,
            (Entry::Stackpier(stackpier), Some(key)) => {
                stackpier.service.done(now, key, took_ms, outcome)
            }
            (Entry::Stackpier(_), None) => {}
        }
    }

    /// may_retry reports whether a failed request may be sent again.
    pub fn may_retry(&mut self) -> bool {
        match self {
            Entry::Baseline(_) => true,
            Entry::Stackpier(stackpier) => stackpier.service.may_retry(),
        }
    }

    /// dequeue removes a request from the queue.
    pub fn dequeue(&mut self, deadline: Millis, request: usize) {
        if let Entry::Stackpier(stackpier) = self {
            stackpier.service.leave(deadline, Ticket(request as u64));
        }
    }

    /// freed assigns free slots to queued requests.
    pub fn freed<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<Assignment> {
        match self {
            Entry::Baseline(_) => Vec::new(),
            Entry::Stackpier(stackpier) => stackpier.freed(now, rng),
        }
    }
}

impl Baseline {
    fn choose<R: Rng>(&mut self, tried: &[usize], rng: &mut R) -> usize {
        let count = self.in_flight.len();
        let pool: Vec<usize> = (0..count)
            .filter(|number| !tried.contains(number))
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
            Kind::Random | Kind::Stackpier => pool[rng.random_range(0..pool.len())],
        };
        self.in_flight[chosen] += 1;
        chosen
    }
}

impl Stackpier {
    fn arrive<R: Rng>(
        &mut self,
        now: Millis,
        deadline: Millis,
        request: usize,
        tried: &[usize],
        rng: &mut R,
    ) -> Decision {
        let tried: Vec<Name> = tried.iter().map(|number| worker(*number)).collect();
        let ticket = Ticket(request as u64);
        match self.service.arrive(now, deadline, ticket, &tried, rng) {
            Choice::Send(key) => Decision::Send(self.slot(key)),
            Choice::Wait => Decision::Wait,
            Choice::Shed(_) | Choice::NoUpstream => Decision::Refuse,
        }
    }

    fn freed<R: Rng>(&mut self, now: Millis, rng: &mut R) -> Vec<Assignment> {
        let assigned = self.service.freed(now, rng);
        let to_assignment = |(ticket, key): (Ticket, Key)| Assignment {
            request: ticket.0 as usize,
            slot: self.slot(key),
        };
        assigned.into_iter().map(to_assignment).collect()
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
