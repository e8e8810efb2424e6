// SPDX-License-Identifier: Apache-2.0
//! A burst of wide steps on an owner with a slow link.
//!
//! The failure: on a link of 2 Mbit/s, 250 bytes per millisecond, starts of 1.7 KB that were all
//! sent at once delayed heartbeats by two seconds, and the owner lost its cell. The load is that
//! of a client account: 40 tasks in a step, payloads of 1,200 bytes, and four wide jobs within a
//! second.

mod common;

use common::{Owner, QUEUE, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Options};
use stackpier_state::job::Spec;

/// URGENT is a queue with a higher priority than the others.
const URGENT: &str = "urgent";
/// WORKERS is the number of workers: enough for all tasks at once, with eight on each.
const WORKERS: usize = 40;
/// WIDE is the number of tasks in the burst.
const WIDE: u32 = 160;
/// START_BYTES is how many bytes a link of 2 Mbit/s sends in 150 ms.
const START_BYTES: u64 = 37_500;
/// MAX_STARTS is how many starts of 1,650 bytes may wait for answers: those that fit into
/// `START_BYTES`, and the one that exceeds it.
const MAX_STARTS: usize = 23;
/// SLOW_MS is how long an answer takes on a full link.
const SLOW_MS: u64 = 150;

fn owner() -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        max_start_bytes: START_BYTES,
        ..Options::default()
    };
    let mut owner = Owner::with_options(WORKERS, 1, false, options);
    owner.feed(Event::Queues(vec![queue(QUEUE, 2), queue(URGENT, 0)]));
    for place in 0..WORKERS {
        owner.feed(Event::Listed(common::info(place)));
    }
    owner.advance(100);
    owner
}

fn wide_job(count: u32) -> Spec {
    Spec {
        payload: "x".repeat(1_200),
        ..spec(vec![step(count)])
    }
}

#[rstest]
fn no_more_starts_wait_for_answers_than_the_link_carries() {
    let mut owner = owner();
    owner.submit(1, wide_job(WIDE));
    owner.advance(100);
    assert!(
        owner.max_unanswered_starts <= MAX_STARTS,
        "{}",
        owner.max_unanswered_starts
    );
    assert_eq!(owner.starts.len(), WIDE as usize);
}

/// The burst takes a second, with 23 starts in 150 ms. Urgent tasks do not wait for it to end.
#[rstest]
fn urgent_tasks_start_before_a_burst_that_waits_for_answers() {
    let mut owner = owner();
    owner.start_ms = SLOW_MS;
    owner.submit(1, wide_job(WIDE));
    owner.advance(SLOW_MS);
    owner.submit_to(2, URGENT, wide_job(4), 1, None);
    owner.advance(2 * SLOW_MS);
    assert_eq!(owner.places(2, 0).len(), 4);
    assert!(owner.starts.len() < WIDE as usize);
}
