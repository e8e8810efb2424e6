// SPDX-License-Identifier: Apache-2.0
//! Large short jobs among small ones, with more work than room. Of the largest tenth of a
//! kind of job, by work, users want at least half as many served as of all.

mod common;

use common::{Owner, sized, spec};
use rstest::rstest;
use stackpier_state::job::State;

/// JOBS is how many jobs are handed in, one in ten of them large.
const JOBS: u64 = 200;
/// GAP_MS is the time between two jobs: the small ones alone ask for 9 of 8 cores.
const GAP_MS: u64 = 100;
/// USE_MS is how long after its acceptance a job is of use: three objectives of 2.5 s.
const USE_MS: u64 = 7_500;

fn is_large(job: u64) -> bool {
    job.is_multiple_of(10)
}

/// served hands jobs in for some time, large ones of the given tasks among ones of a single
/// core, and returns the jobs that were completed while they were of use.
fn served(tasks: u32, milli_cores: u32) -> Vec<u64> {
    let mut owner = Owner::new(1);
    let mut served = Vec::new();
    for round in 1..=JOBS + USE_MS / GAP_MS {
        if round <= JOBS {
            let shape = match is_large(round) {
                true => sized(milli_cores, tasks),
                false => sized(1_000, 1),
            };
            owner.submit(round, spec(vec![shape]));
        }
        owner.advance(GAP_MS);
        let youngest = round.saturating_sub(USE_MS / GAP_MS) + 1;
        let of_use = youngest..=round.min(JOBS);
        for job in of_use.filter(|job| owner.state(*job) == Some(State::Completed)) {
            if !served.contains(&job) {
                served.push(job);
            }
        }
    }
    served
}

/// Guards against an order in which small jobs overtake a large one for good: those with
/// fewer tasks left go first, and those with smaller tasks take each piece of room before it
/// has grown to what the large one asks for.
#[rstest]
#[case::of_many_tasks(4, 1_000)]
#[case::of_a_wide_task(1, 4_000)]
fn large_jobs_are_served_half_as_often_as_all(#[case] tasks: u32, #[case] milli_cores: u32) {
    let served = served(tasks, milli_cores);
    let large = served.iter().filter(|job| is_large(**job)).count() as f64;
    let (of_large, of_all) = (
        large / (JOBS / 10) as f64,
        served.len() as f64 / JOBS as f64,
    );
    assert!(
        of_large >= of_all / 2.0,
        "of the large jobs {of_large:.2} were served, of all {of_all:.2}"
    );
}
