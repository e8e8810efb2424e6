// SPDX-License-Identifier: Apache-2.0
//! Large short jobs in a full cell: tasks that last take all room and more of them wait, and
//! short jobs come steadily, one in ten of them several times larger than the others.

mod common;

use std::collections::BTreeMap;

use common::{Owner, QUEUE, queue, sized, spec};
use rstest::rstest;
use stackpier_cell::{Event, Options};
use stackpier_state::job::{State, Step};

const WORKERS: usize = 40;
/// SERVICES is the number of jobs whose tasks last, and WAITING how many more have no room.
const SERVICES: u64 = 10;
const WAITING: u64 = 3;
/// TASKS is the number of tasks of each of them: ten jobs fill the cell, four tasks to a
/// worker.
const TASKS: u32 = 16;
/// LONG_RUNNING_MILLI is what each of these tasks asks for, in thousandths of a core.
const LONG_RUNNING_MILLI: u32 = 2_000;
/// SHORT is the first of the short jobs.
const SHORT: u64 = 100;
/// JOBS is their number.
const JOBS: u64 = 200;
/// LARGE is that one in so many of them is large.
const LARGE: u64 = 10;
/// JOBS_MS is the time between two short jobs.
const JOBS_MS: u64 = 125;
/// OBJECTIVES is how many objectives after its arrival a job is still of use.
const OBJECTIVES: u64 = 3;

fn short(milli_cores: u32, count: u32, estimate_ms: u32) -> Step {
    Step {
        estimate_ms,
        ..sized(milli_cores, count)
    }
}

fn long_running(owner: &mut Owner, job: u64) {
    owner.submit_long_running(job, sized(LONG_RUNNING_MILLI, TASKS));
}

/// full starts a cell whose workers are all taken by tasks that last, while more wait.
fn full() -> Owner {
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
        long_running(&mut owner, job);
    }
    owner.advance(1_000);
    for job in SERVICES + 1..=SERVICES + WAITING {
        long_running(&mut owner, job);
    }
    owner.advance(4_000);
    owner
}

fn is_large(job: u64) -> bool {
    job.is_multiple_of(LARGE)
}

/// shape returns the only step of a short job.
fn shape(job: u64) -> Step {
    if is_large(job) {
        short(4_000, 6, 600)
    } else {
        short(1_500, 1, 500)
    }
}

/// objective_ms returns how long after its arrival a short job should be done, by its queue.
fn objective_ms(job: u64) -> u64 {
    let queue = queue(QUEUE, 0);
    (f64::from(shape(job).estimate_ms) * queue.stretch) as u64 + queue.target_ms
}

/// Tally counts jobs, and those that were done while they were of use.
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

/// serve hands short jobs in steadily, and counts them all and the large ones.
fn serve(owner: &mut Owner) -> (Tally, Tally) {
    let mut open: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut all, mut large) = (Tally::default(), Tally::default());
    for job in SHORT.. {
        if job < SHORT + JOBS {
            owner.submit(job, spec(vec![shape(job)]));
            open.insert(job, owner.now_ms + OBJECTIVES * objective_ms(job));
        } else if open.is_empty() {
            break;
        }
        owner.advance(JOBS_MS);
        open.retain(|job, end_ms| {
            let done = owner.state(*job) == Some(State::Completed);
            let over = done || owner.now_ms >= *end_ms;
            if over {
                all.add(done);
                if is_large(*job) {
                    large.add(done);
                }
            }
            !over
        });
    }
    (all, large)
}

/// By the users' rules the largest tenth of the jobs of a class is served at least half as
/// often as the class. All short jobs together ask for half of what may be dedicated to them.
#[rstest]
fn large_short_jobs_are_served_half_as_often_as_all() {
    let mut owner = full();
    let (all, large) = serve(&mut owner);
    assert!(
        all.share() >= 0.5 && large.share() >= all.share() / 2.0,
        "large {large:?}, all {all:?}"
    );
}

/// A dedicated worker that is no choice for tasks that last is one for short tasks, be they
/// smaller or larger than those.
#[rstest]
#[case::smaller(LONG_RUNNING_MILLI / 2)]
#[case::as_large(LONG_RUNNING_MILLI)]
#[case::larger(2 * LONG_RUNNING_MILLI)]
fn short_tasks_of_any_size_start_on_dedicated_workers(#[case] milli_cores: u32) {
    let mut owner = full();
    owner.submit(SHORT, spec(vec![short(milli_cores, 10, 600)]));
    owner.advance(OBJECTIVES * objective_ms(SHORT));
    assert_eq!(owner.state(SHORT), Some(State::Completed));
}
