// SPDX-License-Identifier: Apache-2.0
//! A cancellation that reaches the owner before its job.
//!
//! A job and its cancellation reach the owner in two messages, which may come from two daemons
//! and in either order. The owner must not ignore a cancellation because the job is still
//! unknown: the job's tasks would start after the cancellation was answered, and run until the
//! watch on the store delivers it again.

mod common;

use common::{Owner, name, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Options};
use stackpier_core::{Millis, key};
use stackpier_state::job::{State, Step};

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

/// Guards against starts of a cancelled job by an owner that has not learnt of the cancellation: its
/// knowledge of the jobs in the store is too old.
#[test]
fn nothing_starts_while_the_jobs_are_not_known_up_to_a_recent_time() {
    let mut owner = Owner::new(2);
    let known_ms = owner.now_ms;
    owner.feed(Event::JobsKnown(Millis(known_ms)));
    owner.advance(Options::default().max_jobs_age_ms);
    owner.submit(1, spec(vec![step(2)]));
    owner.submit(2, spec(vec![step(2)]));
    owner.advance(3_000);
    assert!(owner.starts.is_empty(), "{:?}", owner.starts);
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.feed(Event::JobsKnown(Millis(owner.now_ms)));
    owner.advance(1_500);
    assert_eq!(owner.places(1, 0), Vec::<usize>::new());
    assert_eq!(owner.state(2), Some(State::Completed));
}

/// Guards against an owner that stops starting tasks during an outage of the store, in which nothing
/// can be cancelled.
#[test]
fn tasks_start_while_the_store_does_not_answer() {
    let mut owner = Owner::new(2);
    owner.feed(Event::JobsKnown(Millis(owner.now_ms)));
    owner.store = false;
    owner.feed(Event::Outage(true));
    owner.advance(Options::default().max_jobs_age_ms);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(200);
    assert_eq!(owner.places(1, 0).len(), 2);
}

/// Guards against a start that is decided in time and sent after a slow save, when its job may have
/// been cancelled meanwhile.
#[rstest]
#[case::known(true)]
#[case::not_known(false)]
fn a_start_that_waited_for_a_slow_save_needs_recent_knowledge(#[case] known: bool) {
    let mut owner = Owner::new(2);
    owner.crashing.insert(name(1, 0, 0));
    owner.submit(1, spec(vec![step(1)]));
    while owner.starts.is_empty() {
        owner.advance(1);
    }
    // The task has crashed its worker, so that its next start is saved first.
    owner.save_ms = 4_000;
    advance_known(&mut owner, 3_000);
    assert_eq!(owner.starts.len(), 1, "it waits for the save");
    match known {
        true => advance_known(&mut owner, 6_000),
        false => owner.advance(6_000),
    }
    assert_eq!(owner.starts.len() > 1, known);
}

/// advance_known moves the clock forward, with reports that the jobs in the store are known.
fn advance_known(owner: &mut Owner, ms: u64) {
    let end = owner.now_ms + ms;
    while owner.now_ms < end {
        owner.feed(Event::JobsKnown(Millis(owner.now_ms)));
        owner.advance(100);
    }
}

/// Guards against a start that is under way for long, by way of a helper or on a congested link, and
/// is carried out when its job may long have been cancelled.
#[test]
fn a_start_that_is_under_way_for_long_is_refused() {
    let mut owner = Owner::new(1);
    let known_ms = owner.now_ms;
    owner.feed(Event::JobsKnown(Millis(known_ms)));
    owner.advance(1_000);
    let long = Step {
        estimate_ms: 8_000,
        ..step(1)
    };
    owner.submit(1, spec(vec![long]));
    let (start, place) = owner.starts[0].clone();
    let options = Options::default();
    let bound_ms = known_ms + options.max_jobs_age_ms + options.start_transit_ms;
    assert!(start.deadline_ms <= owner.workers[place].clock(bound_ms));
    owner.advance(8_500);
    assert_eq!(
        owner.state(1),
        Some(State::Completed),
        "renewals extend the lease"
    );
}

/// Guards against starts of cancelled jobs by a daemon that stood still in an outage of the store, and
/// does not know yet that the store has returned.
#[test]
fn a_daemon_that_stood_still_in_an_outage_starts_nothing_until_it_knows_the_jobs() {
    let mut owner = Owner::new(2);
    owner.feed(Event::JobsKnown(Millis(owner.now_ms)));
    owner.feed(Event::Outage(true));
    owner.now_ms += Options::default().max_jobs_age_ms;
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(200);
    assert!(owner.starts.is_empty(), "{:?}", owner.starts);
}
