// SPDX-License-Identifier: Apache-2.0
//! Large short jobs in a full cell: long-running tasks take all capacity and more of them wait,
//! while short jobs arrive steadily, one in ten of them several times larger than the others.

mod common;

use std::collections::BTreeMap;

use common::{Owner, QUEUE, queue, sized, spec};
use rstest::rstest;
use stackpier_cell::{Event, Options};
use stackpier_state::job::{State, Step};

const WORKERS: usize = 40;
/// SERVICES is the number of long-running jobs that fill the cell, and WAITING the number of
/// those that fit nowhere.
const SERVICES: u64 = 10;
const WAITING: u64 = 3;
/// TASKS is the number of tasks of each long-running job: ten jobs fill the cell with four tasks
/// on each worker.
const TASKS: u32 = 16;
/// LONG_RUNNING_MILLI is the request of each of these tasks, in thousandths of a core.
const LONG_RUNNING_MILLI: u32 = 2_000;
/// SHORT is the first of the short jobs.
const SHORT: u64 = 100;
/// JOBS is the number of short jobs.
const JOBS: u64 = 200;
/// LARGE is the number of short jobs per large one.
const LARGE: u64 = 10;
/// JOB_INTERVAL_MS is the time between two short jobs.
const JOB_INTERVAL_MS: u64 = 125;
/// OBJECTIVES is the time from a short job's arrival until it expires, in objectives.
const OBJECTIVES: u64 = 3;

fn short_step(milli_cores: u32, count: u32, estimate_ms: u32) -> Step {
    Step {
        estimate_ms,
        ..sized(milli_cores, count)
    }
}

fn submit_long_running_job(owner: &mut Owner, job: u64) {
    owner.submit_long_running(job, sized(LONG_RUNNING_MILLI, TASKS));
}

/// start_full_cell starts a cell whose workers are all taken by long-running tasks, while more
/// wait.
fn start_full_cell() -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(WORKERS, 1, false, options);
    owner.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..WORKERS {
        owner.feed(Event::Listed(common::info(place)));
    }
    owner.advance(100);
    for job in 1..=SERVICES {
        submit_long_running_job(&mut owner, job);
    }
    owner.advance(1_000);
    for job in SERVICES + 1..=SERVICES + WAITING {
        submit_long_running_job(&mut owner, job);
    }
    owner.advance(4_000);
    owner
}

fn is_large(job: u64) -> bool {
    job.is_multiple_of(LARGE)
}

/// build_step returns the only step of a short job.
fn build_step(job: u64) -> Step {
    if is_large(job) {
        short_step(4_000, 6, 600)
    } else {
        short_step(1_500, 1, 500)
    }
}

/// objective_ms returns the time from a short job's arrival to its objective, by its queue.
fn objective_ms(job: u64) -> u64 {
    let queue = queue(QUEUE, 0);
    (f64::from(build_step(job).estimate_ms) * queue.stretch) as u64 + queue.target_ms
}

/// Tally counts jobs, and those of them that were completed before they expired.
#[derive(Debug, Default)]
struct Tally {
    jobs: usize,
    served: usize,
}

impl Tally {
    fn add(&mut self, served: bool) {
        self.jobs += 1;
        self.served += usize::from(served);
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.jobs as f64
    }
}

/// run_short_jobs submits short jobs steadily, and returns the tallies of all of them and of the
/// large ones.
fn run_short_jobs(owner: &mut Owner) -> (Tally, Tally) {
    let mut open: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut all, mut large) = (Tally::default(), Tally::default());
    for job in SHORT.. {
        if job < SHORT + JOBS {
            owner.submit(job, spec(vec![build_step(job)]));
            open.insert(job, owner.now_ms + OBJECTIVES * objective_ms(job));
        } else if open.is_empty() {
            break;
        }
        owner.advance(JOB_INTERVAL_MS);
        open.retain(|job, expiry_ms| {
            let done = owner.state(*job) == Some(State::Completed);
            let closed = done || owner.now_ms >= *expiry_ms;
            if closed {
                all.add(done);
                if is_large(*job) {
                    large.add(done);
                }
            }
            !closed
        });
    }
    (all, large)
}

/// Client accounts require that the largest tenth of the jobs of a class is served at least half
/// as often as the class. All short jobs together request half of the capacity that may be
/// dedicated to them.
#[rstest]
fn large_short_jobs_are_served_half_as_often_as_all() {
    let mut owner = start_full_cell();
    let (all, large) = run_short_jobs(&mut owner);
    assert!(
        all.share() >= 0.5 && large.share() >= all.share() / 2.0,
        "large {large:?}, all {all:?}"
    );
}

/// A dedicated worker rejects long-running tasks; short tasks start on it whether they are smaller
/// or larger than those.
#[rstest]
#[case::smaller(LONG_RUNNING_MILLI / 2)]
#[case::as_large(LONG_RUNNING_MILLI)]
#[case::larger(2 * LONG_RUNNING_MILLI)]
fn short_tasks_of_any_size_start_on_dedicated_workers(#[case] milli_cores: u32) {
    let mut owner = start_full_cell();
    owner.submit(SHORT, spec(vec![short_step(milli_cores, 10, 600)]));
    owner.advance(OBJECTIVES * objective_ms(SHORT));
    assert_eq!(owner.state(SHORT), Some(State::Completed));
}
