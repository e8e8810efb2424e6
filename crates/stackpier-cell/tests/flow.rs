// SPDX-License-Identifier: Apache-2.0
//! A burst of wide steps at a small owner. On a link of 2 Mbit/s, 250 bytes a millisecond,
//! starts of 1.7 KB that were all sent at once kept heartbeats waiting for two seconds, and
//! the owner lost its cell. A customer's sheet has 40 tasks in a step, 1,200 bytes in a
//! payload and four wide jobs within a second.

mod common;

use common::{Owner, QUEUE, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Options};
use stackpier_state::job::Spec;

/// URGENT is a queue that goes before the others.
const URGENT: &str = "urgent";
/// WORKERS is enough for all tasks at once, eight on each.
const WORKERS: usize = 40;
/// WIDE is the tasks of the burst.
const WIDE: u32 = 160;
/// START_BYTES is what a link of 2 Mbit/s sends in 150 ms.
const START_BYTES: u64 = 37_500;
/// MOST is how many starts of 1,650 bytes that is, and the one that fills it.
const MOST: usize = 23;
/// SLOW_MS is how long a full link takes to bring an answer.
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

fn wide(count: u32) -> Spec {
    Spec {
        payload: "x".repeat(1_200),
        ..spec(vec![step(count)])
    }
}

#[rstest]
fn no_more_starts_are_on_their_way_than_the_link_bears() {
    let mut owner = owner();
    owner.submit(1, wide(WIDE));
    owner.advance(100);
    assert!(
        owner.max_unanswered_starts <= MOST,
        "{}",
        owner.max_unanswered_starts
    );
    assert_eq!(owner.starts.len(), WIDE as usize);
}

/// The burst takes a second, by 23 starts in 150 ms. What is urgent does not wait for it.
#[rstest]
fn what_is_urgent_goes_before_a_burst_that_waits_for_answers() {
    let mut owner = owner();
    owner.start_ms = SLOW_MS;
    owner.submit(1, wide(WIDE));
    owner.advance(SLOW_MS);
    owner.submit_to(2, URGENT, wide(4), 1, None);
    owner.advance(2 * SLOW_MS);
    assert_eq!(owner.places(2, 0).len(), 4);
    assert!(owner.starts.len() < WIDE as usize);
}
