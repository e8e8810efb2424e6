// SPDX-License-Identifier: Apache-2.0
//! The order of waiting jobs under overload.
//!
//! Guards against workers that are busy with expired jobs while others expire behind them. This
//! happened with up to 1,900 best-effort tasks waiting at a time, for up to 20 s, when jobs that
//! missed their deadlines were ordered by age.

mod common;

use common::{Owner, QUEUE, UNIX, queue, spec, step};
use rstest::rstest;
use stackpier_cell::Event;
use stackpier_core::{Size, key};
use stackpier_state::job::{Record, Step};

/// FIRST is the job that occupies the only worker at first.
const FIRST: u64 = 1;
/// LATE_MS is the age of a job that can't meet its objective of 2.5 s any more.
const LATE_MS: u64 = 4_000;
/// LATER_MS is the age of a job that misses it by more.
const LATER_MS: u64 = 4_500;
/// EXPIRED_MS is the age of a job that has expired: three objectives have passed.
const EXPIRED_MS: u64 = 9_000;
/// RUN_ALL_MS is the time in which all jobs of a test run.
const RUN_ALL_MS: u64 = 8_000;

/// whole_worker_step returns tasks that each take a whole worker for a second.
fn whole_worker_step(count: u32) -> Step {
    Step {
        size: Size {
            milli_cores: 8_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        ..step(count)
    }
}

/// start_owner starts a cell with one worker, which runs the first job.
fn start_owner() -> Owner {
    let mut owner = Owner::new(1);
    owner.now_ms += 20_000;
    owner.feed(Event::Confirmed(owner.now().mono));
    owner.advance(200);
    owner.submit(FIRST, spec(vec![whole_worker_step(1)]));
    owner.advance(100);
    owner
}

/// submit_aged_job submits a job that was accepted some time ago.
fn submit_aged_job(owner: &mut Owner, job: u64, tasks: u32, age_ms: u64) {
    let record = Record {
        queue: queue(QUEUE, 0),
        spec: spec(vec![whole_worker_step(tasks)]),
        fence: 1,
        accepted_ms: UNIX + owner.now_ms - age_ms,
    };
    owner.set_spec(job, record.spec.clone());
    owner.feed(Event::Accepted {
        job: key::Job(job),
        record: Box::new(record),
        progress: None,
        cancelled: false,
    });
}

/// run_all returns the jobs in the order in which their tasks started.
fn run_all(owner: &mut Owner) -> Vec<u64> {
    owner.advance(RUN_ALL_MS);
    let jobs = owner.starts.iter().map(|(start, _)| start.order.task.job.0);
    jobs.filter(|job| *job != FIRST).collect()
}

#[rstest]
fn expired_jobs_go_after_late_ones() {
    let mut owner = start_owner();
    submit_aged_job(&mut owner, 2, 1, EXPIRED_MS);
    submit_aged_job(&mut owner, 3, 1, LATE_MS);
    submit_aged_job(&mut owner, 4, 1, 0);
    assert_eq!(run_all(&mut owner), [4, 3, 2]);
}

#[rstest]
fn of_late_jobs_those_with_the_fewest_tasks_left_go_first() {
    let mut owner = start_owner();
    submit_aged_job(&mut owner, 2, 3, LATER_MS);
    submit_aged_job(&mut owner, 3, 1, LATE_MS);
    assert_eq!(run_all(&mut owner), [3, 2, 2, 2]);
}

/// Guards against late jobs that expire while larger ones begin: in a burst, most jobs are a little
/// late, and those that have nearly ended waited behind all that had just come.
#[rstest]
fn a_late_job_with_few_tasks_left_goes_before_larger_ones_on_time() {
    let mut owner = start_owner();
    submit_aged_job(&mut owner, 2, 3, 0);
    submit_aged_job(&mut owner, 3, 1, LATE_MS);
    submit_aged_job(&mut owner, 4, 2, EXPIRED_MS);
    assert_eq!(run_all(&mut owner), [3, 2, 2, 2, 4, 4]);
}
