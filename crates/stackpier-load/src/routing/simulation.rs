// SPDX-License-Identifier: Apache-2.0
//! One run of the routing experiment: a discrete-event simulation with open-loop arrivals.

use std::{cmp::Reverse, collections::BinaryHeap};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::route::Outcome as SendOutcome;
use stackpier_core::Millis;

use super::{
    model::{Admission, MEAN_MS, SLOTS, Scenario, UPSTREAMS, Upstream},
    policy::{Decision, Entry, Kind, Slot},
};

/// ENTRIES is the number of entry VMs.
const ENTRIES: usize = 3;
/// LENGTH_MS is how long requests keep arriving.
const LENGTH_MS: f64 = 60_000.0;
/// DEADLINE_MS is how long a caller waits for an answer.
const DEADLINE_MS: f64 = 1_000.0;
/// HOP_MS is the network round trip between an entry VM and an upstream.
const HOP_MS: f64 = 2.0;
/// MICROS is the number of microseconds, the histogram's unit, in a millisecond.
const MICROS: f64 = 1_000.0;
/// MAX_MICROS is the highest latency that the histogram records.
const MAX_MICROS: u64 = 10_000_000;

/// Outcome holds the latencies and counts of a run.
pub struct Outcome {
    latency: Histogram<u64>,
    arrivals: u64,
    answered: u64,
    sends: u64,
}

impl Outcome {
    /// percentile returns a percentile of the latency in milliseconds. A request without an
    /// answer counts with its whole deadline.
    pub fn percentile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / MICROS
    }

    /// goodput returns the answers that met their deadline, as a share of the capacity.
    pub fn goodput(&self) -> f64 {
        self.answered as f64 / (capacity_per_ms() * LENGTH_MS)
    }

    /// failed returns the share of arrivals that were not answered by their deadline.
    pub fn failed(&self) -> f64 {
        1.0 - self.answered as f64 / self.arrivals.max(1) as f64
    }

    /// retries returns the mean number of sends beyond the first per arrival.
    pub fn retries(&self) -> f64 {
        self.sends.saturating_sub(self.arrivals) as f64 / self.arrivals.max(1) as f64
    }
}

fn capacity_per_ms() -> f64 {
    (UPSTREAMS * SLOTS) as f64 / MEAN_MS
}

/// Event is an entry of the simulation's schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Arrive,
    /// An upstream finishes a send.
    Finish(usize),
    /// The entry VM receives the outcome of a send.
    Returned(usize, SendOutcome),
    /// A request's caller gives up.
    Expire(usize),
}

/// Timed is an entry of the heap: the time in microseconds, then the number of the event, which
/// orders events of the same time by creation.
type Timed = Reverse<(u64, usize)>;

/// Request is a caller's request; times are in milliseconds.
struct Request {
    entry: usize,
    arrived: f64,
    finished: bool,
    waiting: bool,
    tried: Vec<usize>,
    last_send: Option<usize>,
}

/// Send is one send of a request to an upstream; times are in milliseconds.
struct Send {
    request: usize,
    slot: Slot,
    sent: f64,
    unanswered: bool,
    returned: bool,
}

/// Simulation holds the state of one run.
struct Simulation {
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

/// simulate runs one policy in one scenario at one load and returns its outcome.
pub fn simulate(kind: Kind, scenario: Scenario, load: f64, seed: u64) -> Outcome {
    let latency = Histogram::new_with_bounds(1, MAX_MICROS, 3);
    let mut run = Simulation {
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

impl Simulation {
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
                Event::Returned(send, sent) => self.handle_return(send, sent),
                Event::Expire(request) => self.expire(request),
            }
        }
    }

    fn now_millis(&self) -> Millis {
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
            finished: false,
            waiting: false,
            tried: Vec::new(),
            last_send: None,
        });
        self.schedule(self.now + DEADLINE_MS, Event::Expire(request));
        self.decide(request);
    }

    fn decide(&mut self, number: usize) {
        let (now, request) = (self.now_millis(), &self.requests[number]);
        let deadline = Millis((request.arrived + DEADLINE_MS) as u64);
        let entry = &mut self.entries[request.entry];
        match entry.arrive(now, deadline, number, &request.tried, &mut self.rng) {
            Decision::Send(slot) => self.send(number, slot),
            Decision::Wait => self.requests[number].waiting = true,
            Decision::Refuse => self.conclude(number, false),
        }
    }

    fn send(&mut self, request: usize, slot: Slot) {
        self.requests[request].waiting = false;
        self.requests[request].tried.push(slot.upstream);
        self.outcome.sends += 1;
        let number = self.sends.len();
        self.requests[request].last_send = Some(number);
        self.sends.push(Send {
            request,
            slot,
            sent: self.now,
            unanswered: false,
            returned: false,
        });
        let upstream = &mut self.upstreams[slot.upstream];
        match upstream.receive(number, self.now, self.scenario, &mut self.rng) {
            Admission::Runs(until) => self.schedule(until, Event::Finish(number)),
            Admission::Waits => {}
            Admission::NeverAnswers => self.sends[number].unanswered = true,
            Admission::Busy => self.schedule(
                self.now + HOP_MS,
                Event::Returned(number, SendOutcome::Busy),
            ),
            Admission::Refuses => {
                self.schedule(
                    self.now + HOP_MS,
                    Event::Returned(number, SendOutcome::Refused),
                );
            }
        }
    }

    fn finish(&mut self, send: usize) {
        let upstream = &mut self.upstreams[self.sends[send].slot.upstream];
        let next = upstream.finish(self.now, self.scenario, &mut self.rng);
        if let Some((waiting, until)) = next {
            self.schedule(until, Event::Finish(waiting));
        }
        self.schedule(
            self.now + HOP_MS,
            Event::Returned(send, SendOutcome::Answered),
        );
    }

    fn handle_return(&mut self, number: usize, sent: SendOutcome) {
        if self.sends[number].returned {
            return;
        }
        self.sends[number].returned = true;
        let send = &self.sends[number];
        let (request, took) = (send.request, (self.now - send.sent) as u64);
        let entry = &mut self.entries[self.requests[request].entry];
        entry.done(Millis(self.now as u64), send.slot, took, sent);
        self.retry_or_conclude(request, sent);
        self.send_waiting(self.requests[request].entry);
    }

    fn retry_or_conclude(&mut self, request: usize, sent: SendOutcome) {
        if self.requests[request].finished {
            return;
        }
        if sent == SendOutcome::Answered {
            self.conclude(request, true);
            return;
        }
        let entry = self.requests[request].entry;
        match self.entries[entry].may_retry() {
            true => self.decide(request),
            false => self.conclude(request, false),
        }
    }

    /// expire ends a request at its deadline: it leaves the queue, or the connection to the
    /// upstream that does not answer is closed.
    fn expire(&mut self, number: usize) {
        if self.requests[number].finished {
            return;
        }
        let request = &self.requests[number];
        if request.waiting {
            let deadline = Millis((request.arrived + DEADLINE_MS) as u64);
            self.entries[request.entry].dequeue(deadline, number);
        }
        self.conclude(number, false);
        let last = self.requests[number].last_send;
        if let Some(send) = last.filter(|send| self.sends[*send].unanswered) {
            self.upstreams[self.sends[send].slot.upstream].drop_unanswered();
            self.handle_return(send, SendOutcome::TimedOut);
        }
    }

    fn send_waiting(&mut self, entry: usize) {
        let now = self.now_millis();
        let assignments = self.entries[entry].freed(now, &mut self.rng);
        for assignment in assignments {
            self.send(assignment.request, assignment.slot);
        }
    }

    fn conclude(&mut self, number: usize, answered: bool) {
        let request = &mut self.requests[number];
        request.finished = true;
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
