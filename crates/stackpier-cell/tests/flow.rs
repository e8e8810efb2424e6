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

/// LARGE_PAYLOAD is the payload of a job in bytes: a start with one takes a fourteenth of
/// `START_BYTES`.
const LARGE_PAYLOAD: usize = 2_400;
/// FORWARDED_BYTES is what a start takes on the owner's link if another daemon sends it.
const FORWARDED_BYTES: u64 = 160;
/// FORWARDED_MS is how long the answer to such a start takes on a busy link.
const FORWARDED_MS: u64 = 85;
/// BURST_JOBS is the number of jobs that come within a second.
const BURST_JOBS: u64 = 8;
/// JOB_TASKS is the number of tasks of each of them.
const JOB_TASKS: u32 = 40;
/// BURST_MS is the time within which all tasks of the burst start: client accounts allow a second
/// besides the run time, so tasks must start as fast as they come.
const BURST_MS: u64 = 1_000;

fn owner() -> Owner {
    begin_ownership(1, false)
}

/// begin_ownership returns an owner with a fencing token, whose workers have all answered.
fn begin_ownership(fence: u64, predecessor: bool) -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        max_start_bytes: START_BYTES,
        ..Options::default()
    };
    let mut owner = Owner::with_options(WORKERS, fence, predecessor, options);
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

/// Guards against starts that wait for a link that they do not use: charged with payloads that the
/// other daemons have, thirteen starts at a time were allowed, 150 a second, and over a thousand
/// tasks waited beside free workers. `takeover` lets the burst come under an earlier owner: the
/// next one starts all of it at once.
#[rstest]
fn a_burst_that_other_daemons_send_starts_as_fast_as_it_comes(
    #[values(false, true)] takeover: bool,
) {
    let fence = if takeover { 2 } else { 1 };
    let mut owner = begin_ownership(fence, false);
    owner.start_ms = FORWARDED_MS;
    owner.forwarded_bytes = Some(FORWARDED_BYTES);
    for job in 1..=BURST_JOBS {
        let burst = Spec {
            payload: "x".repeat(LARGE_PAYLOAD),
            ..spec(vec![step(JOB_TASKS)])
        };
        owner.submit_to(job, QUEUE, burst, 1, None);
        if !takeover {
            owner.advance(BURST_MS / BURST_JOBS);
        }
    }
    owner.advance(if takeover { BURST_MS } else { FORWARDED_MS });
    assert_eq!(owner.starts.len() as u64, BURST_JOBS * u64::from(JOB_TASKS));
    assert!(owner.max_unanswered_starts as u64 * FORWARDED_BYTES <= START_BYTES);
}
