// SPDX-License-Identifier: Apache-2.0
//! A cancellation that reaches the owner before its job.
//!
//! A job and its cancellation reach the owner in two messages, which may come from two daemons
//! and in either order. The owner must not ignore a cancellation because the job is still
//! unknown: the job's tasks would start after the cancellation was answered, and run until the
//! watch on the store delivers it again.

mod common;

use common::{Owner, spec, step};
use stackpier_cell::Event;
use stackpier_core::key;
use stackpier_state::job::State;

#[test]
fn a_job_cancelled_before_it_arrives_starts_nothing() {
    let mut owner = Owner::new(2);
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.submit(1, spec(vec![step(2)]));
    owner.submit(2, spec(vec![step(2)]));
    owner.advance(3_000);
    assert_eq!(owner.places(1, 0), Vec::<usize>::new());
    assert_eq!(owner.state(1), Some(State::Cancelled));
    assert_eq!(owner.state(2), Some(State::Completed));
}

#[test]
fn a_cancellation_creates_no_job() {
    let mut owner = Owner::new(1);
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.advance(500);
    assert_eq!(owner.state(1), None);
}
