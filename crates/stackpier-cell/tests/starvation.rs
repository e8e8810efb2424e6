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

use common::{Owner, spec, step};
use stackpier_cell::{Memory, Serving, Term};
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

/// presses tells the owner that the filling image disturbs the serving one.
fn presses(owner: &mut Owner, load_per_core: f32) {
    let term = Term {
        mean: load_per_core,
        variance: 0.000_1,
    };
    owner.cell.remember(&Memory {
        serving: vec![Serving {
            image: "serving".to_owned(),
            pairs: vec![("filling".to_owned(), term)],
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
    presses(&mut owner, 0.09);
    serve(&mut owner, lasting(4, 5_000), 8);
    owner.submit(FILLING, spec(vec![filling(1, 6_000)]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(stackpier_core::key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}

#[test]
fn a_wide_task_of_images_never_seen_together_is_tried() {
    let mut owner = Owner::new(4);
    serve(&mut owner, lasting(12, 2_500), 12);
    owner.submit(FILLING, spec(vec![filling(1, 5_500)]));
    owner.advance(WAIT_MS);
    let why = owner.cell.explain(stackpier_core::key::Job(FILLING));
    assert!(has_started(&owner), "{why:?}");
}

#[test]
fn the_later_step_of_a_job_is_not_left_waiting() {
    let mut owner = Owner::new(4);
    presses(&mut owner, 0.09);
    serve(&mut owner, lasting(4, 5_000), 8);
    let second = Step {
        after: vec![0],
        ..filling(8, 6_500)
    };
    owner.submit(FILLING, spec(vec![filling(4, 500), second]));
    owner.advance(120_000);
    assert_eq!(owner.state(FILLING), Some(State::Completed));
}
