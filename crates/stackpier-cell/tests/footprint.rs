// SPDX-License-Identifier: Apache-2.0
//! The memory of an owner: it grows with what is due or runs, not with all that jobs ask for or with
//! all that the owner ever knew.

mod common;

use common::{Owner, UNIX, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Options, footprint::Footprint};
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
/// SHOW_MS is for how long an ended job is shown in these tests, in milliseconds.
const SHOW_MS: u64 = 1_000;

/// REMNANTS_MS is a time, in milliseconds, after which nothing is known of a forgotten job.
const REMNANTS_MS: u64 = 310_000;

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

/// owner returns an owner whose ended jobs are soon forgotten.
fn owner(workers: usize) -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        show_ms: SHOW_MS,
        ..Options::default()
    };
    let mut owner = Owner::with_options(workers, 1, false, options);
    for place in 0..workers {
        owner.feed(Event::Listed(common::info(place)));
    }
    owner.advance(100);
    owner
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

/// Guards against owners whose memory grows with all jobs that they ever had, the forgotten ones
/// included.
#[rstest]
#[case::cancelled(2_000, true)]
#[case::completed(8, false)]
fn forgotten_jobs_take_no_memory(#[case] tasks: u32, #[case] cancelled: bool) {
    let mut owner = owner(4);
    let mut bytes = Vec::new();
    for series in 0..4_u64 {
        for job in series * 100..series * 100 + 20 {
            owner.submit(job, spec(vec![step(tasks)]));
            if cancelled {
                owner.feed(Event::Cancelled(key::Job(job)));
            }
        }
        owner.advance(20_000);
        let footprint = footprint(&mut owner);
        println!("after series {series}: {footprint:?}");
        bytes.push(footprint.bytes() - footprint.forgotten.bytes);
        assert_eq!(owner.state(series * 100), None, "the job is still shown");
    }
    assert!(bytes.iter().all(|later| *later <= bytes[0]), "{bytes:?}");
    owner.advance(REMNANTS_MS);
    let footprint = footprint(&mut owner);
    assert_eq!(footprint.forgotten.entries, 0, "{footprint:?}");
}

/// Guards against owners whose memory grows with the tasks of jobs that are over and still shown.
#[rstest]
#[case::cancelled(true)]
#[case::completed(false)]
fn jobs_that_are_over_keep_no_tasks(#[case] cancelled: bool) {
    let mut owner = Owner::new(4);
    for job in 0..10 {
        owner.submit(job, spec(vec![step(8)]));
    }
    owner.advance(500);
    if cancelled {
        (0..10).for_each(|job| owner.feed(Event::Cancelled(key::Job(job))));
    }
    owner.advance(6_000);
    let footprint = footprint(&mut owner);
    let state = owner.state(3).expect("the job is still shown");
    assert!(state.is_final(), "{state:?}");
    assert_eq!(footprint.rounds.entries, 0, "{footprint:?}");
    assert_eq!(footprint.tasks.entries, 0, "{footprint:?}");
}
