// SPDX-License-Identifier: Apache-2.0
//! Tests of the choice of an upstream, one request at a time.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
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

/// DEADLINE is a deadline that no request of these tests reaches.
const DEADLINE: Millis = Millis(60_000);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}

fn endpoint(number: u32) -> Endpoint {
    let task = Task {
        job: Job(1),
        index: number,
    };
    Endpoint {
        service: name("fleet"),
        worker: name(&format!("worker-{number}")),
        run: Run {
            task,
            attempt: Attempt(1),
        },
    }
}

struct Fixture {
    service: Service,
    rng: ChaCha8Rng,
    now: u64,
    tickets: u64,
}

impl Fixture {
    fn new(upstreams: u32, options: Options) -> Fixture {
        let mut service = Service::new(options);
        let endpoints: Vec<Endpoint> = (0..upstreams).map(endpoint).collect();
        service.update(&endpoints);
        Fixture {
            service,
            rng: ChaCha8Rng::seed_from_u64(1),
            now: 1_000,
            tickets: 0,
        }
    }

    fn arrive(&mut self, deadline: Millis) -> Choice {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.service
            .arrive(Millis(self.now), deadline, ticket, &[], &mut self.rng)
    }

    fn send(&mut self) -> Key {
        match self.arrive(DEADLINE) {
            Choice::Send(key) => key,
            other => panic!("{other:?}"),
        }
    }

    fn index(&self, key: Key) -> u32 {
        self.service
            .upstream(key)
            .map_or(u32::MAX, |found| found.endpoint.run.task.index)
    }

    /// exchange sends one request. The first upstream refuses it after 1 ms,
    /// the others answer after 20 ms.
    fn exchange(&mut self) -> u32 {
        let key = self.send();
        let index = self.index(key);
        let (took, outcome) = match index {
            0 => (1, Outcome::Refused),
            _ => (20, Outcome::Answered),
        };
        self.now += took;
        self.service.done(Millis(self.now), key, took, outcome);
        index
    }
}

#[test]
fn upstream_that_fails_at_once_attracts_no_load() {
    let mut fixture = Fixture::new(4, Options::default());
    let sent: Vec<u32> = (0..400).map(|_| fixture.exchange()).collect();
    let refused = sent.iter().filter(|index| **index == 0).count();
    assert!(
        refused < 20,
        "{refused} of 400 went to the failing upstream"
    );
}

#[test]
fn ejected_upstream_is_probed_after_the_pause() {
    let mut fixture = Fixture::new(4, Options::default());
    (0..100).for_each(|_| {
        fixture.exchange();
    });
    fixture.now += 60_000;
    let mut probed = false;
    for _ in 0..100 {
        let key = fixture.send();
        probed |= fixture.index(key) == 0;
        fixture
            .service
            .done(Millis(fixture.now), key, 20, Outcome::Answered);
    }
    assert!(probed, "no probe after the pause");
}

#[test]
fn at_most_half_of_the_upstreams_is_ejected() {
    let mut fixture = Fixture::new(4, Options::default());
    for _ in 0..100 {
        if let Choice::Send(key) = fixture.arrive(DEADLINE) {
            fixture
                .service
                .done(Millis(fixture.now), key, 1, Outcome::Broken);
        }
    }
    assert!(
        matches!(fixture.arrive(DEADLINE), Choice::Send(_)),
        "all were ejected"
    );
}

#[test]
fn service_without_upstream_sends_nothing() {
    let mut fixture = Fixture::new(0, Options::default());
    assert_eq!(fixture.arrive(DEADLINE), Choice::NoUpstream);
}

#[test]
fn full_service_queues_sheds_and_serves_the_earliest_deadline_first() {
    let mut options = Options::default();
    options.limit.start = 1.0;
    options.limit.max_value = 1.0;
    let mut fixture = Fixture::new(1, options);
    let busy = fixture.send();
    assert_eq!(fixture.arrive(Millis(9_000)), Choice::Wait);
    assert_eq!(fixture.arrive(Millis(8_000)), Choice::Wait);
    let Choice::Shed(after) = fixture.arrive(Millis(fixture.now + 1)) else {
        panic!("a request past its deadline was queued");
    };
    assert!(after >= 1);
    fixture
        .service
        .done(Millis(fixture.now), busy, 10, Outcome::Answered);
    let given = fixture.service.freed(Millis(fixture.now), &mut fixture.rng);
    let tickets: Vec<Ticket> = given.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(
        tickets,
        [Ticket(3)],
        "the request that arrived second has the earlier deadline"
    );
}

#[test]
fn retries_stay_a_share_of_successes() {
    let mut fixture = Fixture::new(2, Options::default());
    while fixture.service.may_retry() {}
    for _ in 0..100 {
        let key = fixture.send();
        fixture
            .service
            .done(Millis(fixture.now), key, 20, Outcome::Answered);
    }
    let retries = (0..100).filter(|_| fixture.service.may_retry()).count();
    assert!((9..=10).contains(&retries), "{retries} for 100 successes");
}

#[test]
fn slot_of_a_removed_upstream_can_be_freed() {
    let mut fixture = Fixture::new(2, Options::default());
    let key = fixture.send();
    fixture.service.update(&[]);
    fixture
        .service
        .done(Millis(fixture.now), key, 20, Outcome::Answered);
    assert_eq!(fixture.arrive(DEADLINE), Choice::NoUpstream);
}
