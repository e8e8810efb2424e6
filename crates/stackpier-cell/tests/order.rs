// SPDX-License-Identifier: Apache-2.0
//! Which waiting job goes first once there is too much to do for all. On a customer's
//! heaviest days up to 1,900 filling tasks waited at a time, for up to 20 s; what was
//! late went by its age, so that the workers were busy with jobs that earned nothing
//! any more while others turned worthless behind them.

mod common;

use common::{Owner, QUEUE, UNIX, queue, spec, step};
use rstest::rstest;
use stackpier_cell::Event;
use stackpier_core::{Size, key};
use stackpier_state::job::{Record, Step};

/// FIRST is the job that takes the only worker at first.
const FIRST: u64 = 1;
/// LATE_MS is the age of a job that can't be in time any more: its objective is 2.5 s.
const LATE_MS: u64 = 4_000;
/// LATER_MS is the age of one that is later still.
const LATER_MS: u64 = 4_500;
/// HOPELESS_MS is the age of one that is of no use: three objectives are over.
const HOPELESS_MS: u64 = 9_000;
/// LONG_MS is the time in which all of them run.
const LONG_MS: u64 = 8_000;

/// wide returns tasks that take a whole worker for a second.
fn wide(count: u32) -> Step {
    Step {
        size: Size {
            milli_cores: 8_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        ..step(count)
    }
}

/// owner starts a cell with one worker, which runs the first job.
fn owner() -> Owner {
    let mut owner = Owner::new(1);
    owner.now_ms += 20_000;
    owner.feed(Event::Confirmed(owner.now().mono));
    owner.advance(200);
    owner.submit(FIRST, spec(vec![wide(1)]));
    owner.advance(100);
    owner
}

/// submit hands a job in that was accepted some time ago.
fn submit(owner: &mut Owner, job: u64, tasks: u32, age_ms: u64) {
    let record = Record {
        queue: queue(QUEUE, 0),
        spec: spec(vec![wide(tasks)]),
        fence: 1,
        accepted_ms: UNIX + owner.now_ms - age_ms,
    };
    owner.describe(job, record.spec.clone());
    owner.feed(Event::Accepted {
        job: key::Job(job),
        record: Box::new(record),
        progress: None,
        cancelled: false,
    });
}

/// order returns the jobs in the order in which their tasks started.
fn order(owner: &mut Owner) -> Vec<u64> {
    owner.advance(LONG_MS);
    let jobs = owner.starts.iter().map(|(start, _)| start.order.task.job.0);
    jobs.filter(|job| *job != FIRST).collect()
}

#[rstest]
fn what_is_of_no_use_any_more_goes_after_what_is_late() {
    let mut owner = owner();
    submit(&mut owner, 2, 1, HOPELESS_MS);
    submit(&mut owner, 3, 1, LATE_MS);
    submit(&mut owner, 4, 1, 0);
    assert_eq!(order(&mut owner), [4, 3, 2]);
}

#[rstest]
fn of_late_jobs_those_with_the_fewest_tasks_left_go_first() {
    let mut owner = owner();
    submit(&mut owner, 2, 3, LATER_MS);
    submit(&mut owner, 3, 1, LATE_MS);
    assert_eq!(order(&mut owner), [3, 2, 2, 2]);
}
