// SPDX-License-Identifier: Apache-2.0
//! The memory of an owner: it grows with what is due or runs, not with all that jobs ask for or with
//! all that the owner ever knew.

mod common;

use common::{Owner, UNIX, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, footprint::Footprint};
use stackpier_core::key;
use stackpier_state::job::{Schedule, Spec, Step};

/// JOBS is the number of repeated jobs.
const JOBS: u64 = 110;
/// ROUNDS is the number of rounds of each of them: a day at [`INTERVAL_MS`].
const ROUNDS: u32 = 8_640;
/// INTERVAL_MS is the time between two rounds, in milliseconds.
const INTERVAL_MS: u64 = 10_000;
/// COUNT_MS is a time, in milliseconds, within which the owner counts its entries.
const COUNT_MS: u64 = 1_100;
/// DAEMON_BYTES is the memory that a daemon may use.
const DAEMON_BYTES: usize = 256_000_000;

/// repeated returns a job of one small task that repeats.
fn repeated(first_ms: u64, interval_ms: u64) -> Spec {
    Spec {
        schedule: Some(Schedule {
            rounds: ROUNDS,
            first_ms,
            interval_ms,
        }),
        ..spec(vec![Step {
            estimate_ms: 200,
            ..step(1)
        }])
    }
}

/// footprint returns the memory of an owner, counted anew.
fn footprint(owner: &mut Owner) -> Footprint {
    owner.advance(COUNT_MS);
    owner.cell.footprint()
}

/// Guards against owners that are ended for memory by small jobs with many rounds to come.
#[rstest]
#[case::accepted(false)]
#[case::cancelled(true)]
fn rounds_to_come_take_no_memory(#[case] cancelled: bool) {
    let mut owner = Owner::new(2);
    for job in 0..JOBS {
        owner.submit(job, repeated(UNIX + 3_600_000, INTERVAL_MS));
        if cancelled {
            owner.feed(Event::Cancelled(key::Job(job)));
        }
    }
    let footprint = footprint(&mut owner);
    println!("{JOBS} jobs of {ROUNDS} rounds: {footprint:?}");
    assert!(footprint.tasks.entries <= JOBS as usize, "{footprint:?}");
    assert!(footprint.steps.entries <= JOBS as usize, "{footprint:?}");
    assert!(
        footprint.scheduled.entries <= JOBS as usize,
        "{footprint:?}"
    );
}

/// Guards against owners that are ended for memory by jobs whose rounds are all overdue, and against
/// workers that stay idle beside them.
#[test]
fn overdue_rounds_take_bounded_memory() {
    // Two workers of eight cores run so many tasks of one core and 200 ms in ten seconds.
    const CAPACITY: usize = 2 * 8 * 10_000 / 200;
    let mut owner = Owner::new(2);
    for job in 0..JOBS {
        owner.submit(job, repeated(UNIX, 1));
    }
    owner.advance(10_000);
    let footprint = footprint(&mut owner);
    println!("{JOBS} jobs of {ROUNDS} overdue rounds: {footprint:?}");
    assert!(footprint.bytes() < DAEMON_BYTES / 10, "{footprint:?}");
    let starts = owner.starts.len();
    assert!(starts > CAPACITY / 2, "{starts} starts of {CAPACITY}");
}
