// SPDX-License-Identifier: Apache-2.0
//! Large short jobs among small ones on an overloaded worker. Client accounts require that the
//! largest tenth of the jobs of a class, by work, is served at least half as often as all.

mod common;

use common::{Owner, sized, spec};
use rstest::rstest;
use stackpier_state::job::State;

/// JOBS is the number of submitted jobs, one in ten of them large.
const JOBS: u64 = 200;
/// JOB_INTERVAL_MS is the time between two jobs: the small ones alone request 9 of 8 cores.
const JOB_INTERVAL_MS: u64 = 100;
/// EXPIRY_MS is the time from a job's acceptance until it expires: three objectives of 2.5 s.
const EXPIRY_MS: u64 = 7_500;

fn is_large(job: u64) -> bool {
    job.is_multiple_of(10)
}

/// run_jobs submits jobs at a fixed interval, large ones of the given tasks among ones of a
/// single core, and returns those that were completed before they expired.
fn run_jobs(tasks: u32, milli_cores: u32) -> Vec<u64> {
    let mut owner = Owner::new(1);
    let mut served = Vec::new();
    for round in 1..=JOBS + EXPIRY_MS / JOB_INTERVAL_MS {
        if round <= JOBS {
            let shape = match is_large(round) {
                true => sized(milli_cores, tasks),
                false => sized(1_000, 1),
            };
            owner.submit(round, spec(vec![shape]));
        }
        owner.advance(JOB_INTERVAL_MS);
        let oldest_unexpired = round.saturating_sub(EXPIRY_MS / JOB_INTERVAL_MS) + 1;
        let unexpired = oldest_unexpired..=round.min(JOBS);
        for job in unexpired.filter(|job| owner.state(*job) == Some(State::Completed)) {
            if !served.contains(&job) {
                served.push(job);
            }
        }
    }
    served
}

/// Guards against small jobs that overtake a large one again and again: jobs with fewer tasks
/// left go first, and small tasks take free capacity before enough of it has accumulated for
/// the large one.
#[rstest]
#[case::many_tasks(4, 1_000)]
#[case::one_wide_task(1, 4_000)]
fn large_jobs_are_served_half_as_often_as_all(#[case] tasks: u32, #[case] milli_cores: u32) {
    let served = run_jobs(tasks, milli_cores);
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
