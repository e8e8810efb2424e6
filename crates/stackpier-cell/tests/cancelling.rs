// SPDX-License-Identifier: Apache-2.0
//! A cancelling that reaches the owner before its job.
//!
//! Seen: in trials only. Tasks of a job began after its cancelling had been answered, and ran
//! until the watch of the store brought the cancelling again.
//!
//! How it came about: the owner is told of a job and of its cancelling by two messages, from
//! two daemons where a client account asked two. The cancelling came first, and was left aside
//! as that of an unknown job.
//!
//! Cause: two messages do not keep their order.

mod common;

use common::{Owner, spec, step};
use stackpier_cell::Event;
use stackpier_core::key;
use stackpier_state::job::State;

#[test]
fn a_job_whose_cancelling_came_first_starts_nothing() {
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
fn a_cancelling_of_an_unknown_job_is_no_job() {
    let mut owner = Owner::new(1);
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.advance(500);
    assert_eq!(owner.state(1), None);
}
