// SPDX-License-Identifier: Apache-2.0
//! The state of a job that client accounts see, compared to the one in the store.
//!
//! Guards against tasks that are started again after their job was reported as completed. That
//! report promises that nothing of the job runs any more, so it must not rest on the memory of
//! one daemon: an owner that is cut off from the store or killed right after its report can't
//! save the end. Its successor can't learn of it either if the worker that listed the end has
//! crashed, has left, or can't be reached until its leases expire, and starts the task again.
//!
//! A test in `platform/tests` covers the same failure with real daemons.

mod common;

use common::{Owner, spec, step};
use stackpier_cell::Event;
use stackpier_core::key;
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::State;

/// WORK_MS is longer than the tasks of these tests run.
const WORK_MS: u64 = 1_500;

#[test]
fn a_job_is_reported_as_completed_once_the_store_has_its_end() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(500);
    owner.store = false;
    owner.advance(WORK_MS);
    assert!(owner.workers.iter().all(|worker| worker.runs.is_empty()));
    assert_eq!(owner.state(1), Some(State::Running));
    let explained = owner.cell.explain(key::Job(1)).expect("the job is unknown");
    assert_eq!((explained.state, explained.open), (State::Running, 0));
    owner.store = true;
    owner.advance(WORK_MS);
    assert_eq!(owner.state(1), Some(State::Completed));
}

#[test]
fn a_job_is_reported_as_failed_once_the_store_has_its_end() {
    let failing = Behaviour {
        work_ms: 50,
        fails: true,
        size: step(1).size,
        ..Behaviour::default()
    };
    let mut owner = Owner::new(2);
    owner.behaviours.insert((1, 0), failing);
    owner.store = false;
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(4_000);
    assert_eq!(owner.starts.len(), 6, "three runs of each task");
    assert_eq!(owner.state(1), Some(State::Running));
    owner.store = true;
    owner.advance(WORK_MS);
    assert_eq!(owner.state(1), Some(State::Failed));
}

/// The store has the cancellation of a job before any owner learns of it.
#[test]
fn a_cancelled_job_is_reported_as_cancelled_at_once() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(200);
    owner.store = false;
    owner.feed(Event::Cancelled(key::Job(1)));
    assert_eq!(owner.state(1), Some(State::Cancelled));
}
