// SPDX-License-Identifier: Apache-2.0
//! One run of the routing experiment: open-loop arrivals, in time order.

use std::{cmp::Reverse, collections::BinaryHeap};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::route::Outcome as Sent;
use stackpier_core::Millis;

use super::{
    model::{MEAN_MS, Reception, SLOTS, Scenario, UPSTREAMS, Upstream},
    policy::{Decision, Entry, Kind, Slot},
};

/// ENTRIES is the count of entry VMs.
const ENTRIES: usize = 3;
/// LENGTH_MS is how long requests arrive.
const LENGTH_MS: f64 = 60_000.0;
/// DEADLINE_MS is how long a caller waits.
const DEADLINE_MS: f64 = 1_000.0;
/// HOP_MS is the time from an entry VM to an upstream and back.
const HOP_MS: f64 = 2.0;
/// MICROS turns milliseconds into the histogram's unit.
const MICROS: f64 = 1_000.0;
/// MAX_MICROS is the histogram's highest value.
const MAX_MICROS: u64 = 10_000_000;

/// Outcome is what came out of a run.
pub struct Outcome {
    latency: Histogram<u64>,
    arrivals: u64,
    answered: u64,
    sends: u64,
}

impl Outcome {
    /// percentile returns a percentile of the latency in milliseconds, where a
    /// request without an answer counts as one that took until its deadline.
    pub fn percentile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / MICROS
    }

    /// goodput returns the answers in time as a share of the capacity.
    pub fn goodput(&self) -> f64 {
        self.answered as f64 / (capacity_per_ms() * LENGTH_MS)
    }

    /// failed returns the share of arrivals without an answer in time.
    pub fn failed(&self) -> f64 {
        1.0 - self.answered as f64 / self.arrivals.max(1) as f64
    }

    /// retries returns the sends beyond the first for each arrival.
    pub fn retries(&self) -> f64 {
        self.sends.saturating_sub(self.arrivals) as f64 / self.arrivals.max(1) as f64
    }
}

fn capacity_per_ms() -> f64 {
    (UPSTREAMS * SLOTS) as f64 / MEAN_MS
}

/// Event is something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Arrive,
    /// An upstream finishes a send.
    Finish(usize),
    /// The answer to a send is back, with what it is.
    Back(usize, Sent),
    /// A request's caller gives up.
    Expire(usize),
}

/// Timed is an entry of the heap: time in microseconds, then order of creation.
type Timed = Reverse<(u64, usize)>;

/// Request is a caller's request; times are in milliseconds.
struct Request {
    entry: usize,
    arrived: f64,
    settled: bool,
    waiting: bool,
    avoid: Vec<usize>,
    last_send: Option<usize>,
}

/// Send is one send of a request to an upstream; times are in milliseconds.
struct Send {
    request: usize,
    slot: Slot,
    sent: f64,
    swallowed: bool,
    back: bool,
}

/// Run is the state of one simulation.
struct Run {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: f64,
    heap: BinaryHeap<Timed>,
    events: Vec<Event>,
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    sends: Vec<Send>,
    rate: f64,
    outcome: Outcome,
}

/// simulate runs one policy in one scenario at one load.
pub fn simulate(kind: Kind, scenario: Scenario, load: f64, seed: u64) -> Outcome {
    let latency = Histogram::new_with_bounds(1, MAX_MICROS, 3);
    let mut run = Run {
        scenario,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: 0.0,
        heap: BinaryHeap::new(),
        events: Vec::new(),
        upstreams: (0..UPSTREAMS).map(Upstream::new).collect(),
        entries: (0..ENTRIES).map(|_| Entry::new(kind, UPSTREAMS)).collect(),
        requests: Vec::new(),
        sends: Vec::new(),
        rate: load * capacity_per_ms(),
        outcome: Outcome {
            latency: latency.unwrap_or_else(|error| panic!("{error}")),
            arrivals: 0,
            answered: 0,
            sends: 0,
        },
    };
    run.schedule(0.0, Event::Arrive);
    run.run();
    run.outcome
}

impl Run {
    fn schedule(&mut self, at: f64, event: Event) {
        let number = self.events.len();
        self.events.push(event);
        self.heap.push(Reverse(((at * MICROS) as u64, number)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.heap.pop() {
            self.now = at as f64 / MICROS;
            match self.events[number] {
                Event::Arrive => self.arrive(),
                Event::Finish(send) => self.finish(send),
                Event::Back(send, sent) => self.back(send, sent),
                Event::Expire(request) => self.expire(request),
            }
        }
    }

    fn millis(&self) -> Millis {
        Millis(self.now as u64)
    }

    fn arrive(&mut self) {
        if self.now > LENGTH_MS {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.schedule(self.now + gap, Event::Arrive);
        self.outcome.arrivals += 1;
        let request = self.requests.len();
        self.requests.push(Request {
            entry: self.rng.random_range(0..ENTRIES),
            arrived: self.now,
            settled: false,
            waiting: false,
            avoid: Vec::new(),
            last_send: None,
        });
        self.schedule(self.now + DEADLINE_MS, Event::Expire(request));
        self.decide(request);
    }

    fn decide(&mut self, number: usize) {
        let (now, request) = (self.millis(), &self.requests[number]);
        let deadline = Millis((request.arrived + DEADLINE_MS) as u64);
        let entry = &mut self.entries[request.entry];
        match entry.arrive(now, deadline, number, &request.avoid, &mut self.rng) {
            Decision::Send(slot) => self.send(number, slot),
            Decision::Wait => self.requests[number].waiting = true,
            Decision::Refuse => self.settle(number, false),
        }
    }

    fn send(&mut self, request: usize, slot: Slot) {
        self.requests[request].waiting = false;
        self.requests[request].avoid.push(slot.upstream);
        self.outcome.sends += 1;
        let number = self.sends.len();
        self.requests[request].last_send = Some(number);
        self.sends.push(Send {
            request,
            slot,
            sent: self.now,
            swallowed: false,
            back: false,
        });
        let upstream = &mut self.upstreams[slot.upstream];
        match upstream.receive(number, self.now, self.scenario, &mut self.rng) {
            Reception::Runs(until) => self.schedule(until, Event::Finish(number)),
            Reception::Waits => {}
            Reception::Swallows => self.sends[number].swallowed = true,
            Reception::Busy => self.schedule(self.now + HOP_MS, Event::Back(number, Sent::Busy)),
            Reception::Refuses => {
                self.schedule(self.now + HOP_MS, Event::Back(number, Sent::Refused));
            }
        }
    }

    fn finish(&mut self, send: usize) {
        let upstream = &mut self.upstreams[self.sends[send].slot.upstream];
        let next = upstream.finish(self.now, self.scenario, &mut self.rng);
        if let Some((waiting, until)) = next {
            self.schedule(until, Event::Finish(waiting));
        }
        self.schedule(self.now + HOP_MS, Event::Back(send, Sent::Answered));
    }

    fn back(&mut self, number: usize, sent: Sent) {
        if self.sends[number].back {
            return;
        }
        self.sends[number].back = true;
        let send = &self.sends[number];
        let (request, took) = (send.request, (self.now - send.sent) as u64);
        let entry = &mut self.entries[self.requests[request].entry];
        entry.done(Millis(self.now as u64), send.slot, took, sent);
        self.after(request, sent);
        self.hand_out(self.requests[request].entry);
    }

    fn after(&mut self, request: usize, sent: Sent) {
        if self.requests[request].settled {
            return;
        }
        if sent == Sent::Answered {
            self.settle(request, true);
            return;
        }
        let entry = self.requests[request].entry;
        match self.entries[entry].may_retry() {
            true => self.decide(request),
            false => self.settle(request, false),
        }
    }

    /// expire gives up: on the wait for a slot, or on an upstream that never
    /// answers, whose connection is closed.
    fn expire(&mut self, number: usize) {
        if self.requests[number].settled {
            return;
        }
        let request = &self.requests[number];
        if request.waiting {
            let deadline = Millis((request.arrived + DEADLINE_MS) as u64);
            self.entries[request.entry].leave(deadline, number);
        }
        self.settle(number, false);
        let last = self.requests[number].last_send;
        if let Some(send) = last.filter(|send| self.sends[*send].swallowed) {
            self.upstreams[self.sends[send].slot.upstream].drop_swallowed();
            self.back(send, Sent::TimedOut);
        }
    }

    fn hand_out(&mut self, entry: usize) {
        let now = self.millis();
        let given = self.entries[entry].freed(now, &mut self.rng);
        for given in given {
            self.send(given.request, given.slot);
        }
    }

    fn settle(&mut self, number: usize, answered: bool) {
        let request = &mut self.requests[number];
        request.settled = true;
        request.waiting = false;
        let took = if answered {
            self.now - request.arrived
        } else {
            DEADLINE_MS
        };
        self.outcome.answered += u64::from(answered);
        self.outcome
            .latency
            .saturating_record((took * MICROS) as u64);
    }
}
