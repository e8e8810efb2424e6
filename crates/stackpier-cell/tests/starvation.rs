// SPDX-License-Identifier: Apache-2.0
//! No job waits for ever while workers have room.
//!
//! Seen: a job was accepted, its first step was done, and no task of its second
//! step ever ran, though most of the workers' room was free. Its tasks fill, and
//! were nearly as wide as such tasks get.
//!
//! How it came about: a filling task started only where the expected rise in the
//! number of serving tasks over target was below a fixed bound. That rise grows with
//! the task's width, and serving tasks are spread over all workers. So a wide task
//! was kept from every worker for as long as the serving tasks stayed; and because
//! it never ran, nothing was learnt that would have lowered the expectation.
//!
//! Cause: bounds that protect others (harm, memory and processors kept free) held
//! without an end, however long a job had had nothing running.
//!
//! Proof: the owner's log of days with such waits names the obstacle of each worker:
//! harm, busy processors and memory kept free, none else, for up to 24 seconds; and
//! these tests, in which nothing but one of the three stands in the way.

mod common;

use common::{Owner, info, spec, step};
use stackpier_cell::{Event, Memory, Serving, Term};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{State, Step};

/// WAIT_MS is by when a job with room must have something running: users call it
/// lost from three seconds on.
const WAIT_MS: u64 = 3_000;
/// LASTING and FILLING are the jobs of the tests.
const LASTING: u64 = 1;
const FILLING: u64 = 2;

/// lasting returns a step of tasks that serve, with a target of 20 ms.
fn lasting(count: u32, milli_cores: u32) -> Step {
    let mut step = Step {
        lasting: true,
        target_ms: 20,
        image: "serving".to_owned(),
        ..step(count)
    };
    step.size.milli_cores = milli_cores;
    step
}

/// filling returns a step of tasks that fill, with a width in thousandths of a core.
fn filling(count: u32, milli_cores: u32) -> Step {
    let mut step = Step {
        fills: true,
        checkpointing: true,
        image: "filling".to_owned(),
        ..step(count)
    };
    step.size.milli_cores = milli_cores;
    step
}

/// serve hands lasting tasks in that keep a tail latency, and lets them settle.
fn serve(owner: &mut Owner, step: Step, tail_ms: u32) {
    let behaviour = Behaviour {
        size: step.size,
        lasts: true,
        tail_ms: Some(tail_ms),
        ..Behaviour::default()
    };
    owner.behaviours.insert((LASTING, 0), behaviour);
    owner.submit(LASTING, spec(vec![step]));
    owner.advance(3_000);
}

/// presses tells the owner by how much filling images disturb the serving one.
fn presses(owner: &mut Owner, filling: &[String], load_per_core: f32) {
    let term = Term {
        mean: load_per_core,
        variance: 0.000_1,
    };
    let pairs = filling.iter().map(|image| (image.clone(), term));
    owner.cell.remember(&Memory {
        serving: vec![Serving {
            image: "serving".to_owned(),
            pairs: pairs.collect(),
        }],
        periods: Vec::new(),
    });
}

fn has_started(owner: &Owner) -> bool {
    !owner.places(FILLING, 0).is_empty()
}

#[test]
fn a_wide_task_is_not_kept_from_all_workers_for_expected_harm() {
    let mut owner = Owner::new(4);
    presses(&mut owner, &["filling".to_owned()], 0.09);
    serve(&mut owner, lasting(4, 5_000), 8);
    owner.submit(FILLING, spec(vec![filling(1, 6_000)]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}

#[test]
fn a_wide_task_of_images_never_seen_together_is_tried() {
    let mut owner = Owner::new(4);
    serve(&mut owner, lasting(12, 2_500), 12);
    owner.submit(FILLING, spec(vec![filling(1, 5_500)]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}

#[test]
fn the_later_step_of_a_job_is_not_left_waiting() {
    let mut owner = Owner::new(4);
    presses(&mut owner, &["filling".to_owned()], 0.09);
    serve(&mut owner, lasting(4, 5_000), 8);
    let second = Step {
        after: vec![0],
        ..filling(8, 6_500)
    };
    owner.submit(FILLING, spec(vec![filling(4, 500), second]));
    owner.advance(120_000);
    assert_eq!(owner.state(FILLING), Some(State::Completed));
}
#[test]
fn a_task_is_not_kept_from_small_workers_for_memory_kept_free() {
    let mut owner = Owner::with(2, 1, false);
    for place in 0..2 {
        let mut small = info(place);
        small.capacity = Size {
            memory_mib: 16_000,
            ..small.capacity
        };
        owner.workers[place].info = small.clone();
        owner.feed(Event::Listed(small));
    }
    owner.advance(100);
    owner.submit(FILLING, spec(vec![filling(1, 1_000)]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}

#[test]
fn a_task_as_wide_as_a_worker_is_not_kept_out_for_reserved_processors() {
    let mut owner = Owner::new(2);
    serve(&mut owner, lasting(2, 6_000), 4);
    owner.submit(FILLING, spec(vec![filling(1, 8_000)]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}

/// A look at the filling tasks ends after a number of kinds that found no worker, so
/// that it stays cheap; and starts in spite of the bounds are spread over time. What
/// comes last must not wait for ever: those that wait longest go first.
#[test]
fn steps_that_starve_have_their_turn_however_many_they_are() {
    const STEPS: u64 = 45;
    let mut owner = Owner::new(1);
    let images: Vec<String> = (0..STEPS).map(|kind| format!("filling-{kind}")).collect();
    presses(&mut owner, &images, 4.0);
    serve(&mut owner, lasting(1, 1_000), 8);
    for (job, image) in (100..).zip(images) {
        let long = Step {
            image,
            estimate_ms: 100_000,
            ..filling(2, 150)
        };
        owner.submit(job, spec(vec![long]));
    }
    let turns_ms = STEPS * 650;
    owner.advance(WAIT_MS + turns_ms);
    let waits = |job: &u64| owner.places(*job, 0).is_empty();
    let waiting: Vec<u64> = (100..100 + STEPS).filter(waits).collect();
    assert!(waiting.is_empty(), "never started: {waiting:?}");
}

/// While most of a service is in use, the bounds hold for longer, yet not for ever.
#[test]
fn a_wide_task_has_its_turn_on_a_service_that_stays_full() {
    let mut owner = Owner::new(1);
    presses(&mut owner, &["filling".to_owned()], 0.5);
    serve(&mut owner, lasting(3, 2_500), 8);
    let calm = Step {
        image: "calm".to_owned(),
        estimate_ms: 100_000,
        ..filling(2, 1_000)
    };
    owner.submit(3, spec(vec![calm]));
    owner.advance(1_000);
    assert_eq!(owner.places(3, 0).len(), 2, "the service is in use");
    owner.submit(FILLING, spec(vec![filling(1, 2_500)]));
    owner.advance(10_000);
    assert!(!has_started(&owner), "room may come yet");
    owner.advance(13_000);
    let why = owner.cell.explain(key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}
