// SPDX-License-Identifier: Apache-2.0
//! A full room with short work waiting. On a customer's heaviest days tasks that last
//! reserve 95% of the room and more of them wait; every hole that is large enough goes to
//! these, and three of four short jobs found none until they were of no use.

mod common;

use common::{Owner, QUEUE, queue, sized, spec};
use rstest::rstest;
use stackpier_cell::{Event, Mechanism, Options, Queue, TaskName};

const WORKERS: usize = 10;
/// LONG_RUNNING fills all workers, two tasks on each, and WAITING has no room.
const LONG_RUNNING: u64 = 1;
const WAITING: u64 = 2;
/// SHORT is the first of the short jobs.
const SHORT: u64 = 100;
/// WIDE is what a task of most short jobs asks for, in thousandths of a core.
const WIDE: u32 = 3_000;
/// NARROW is what one asks for if all that run at a time fit on one worker.
const NARROW: u32 = 300;
/// JOBS_MS is the time between two short jobs.
const JOBS_MS: u64 = 300;

fn long_running(owner: &mut Owner, job: u64, count: u32) {
    owner.submit_long_running(job, sized(4_000, count));
}

/// full starts a cell whose workers are all taken by tasks that last.
fn full(without: Option<Mechanism>) -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        without: without.into_iter().collect(),
        ..Options::default()
    };
    let mut owner = Owner::with_options(WORKERS, 1, false, options);
    owner.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..WORKERS {
        owner.feed(Event::Listed(common::info(place)));
    }
    owner.advance(100);
    long_running(&mut owner, LONG_RUNNING, 2 * WORKERS as u32);
    owner.advance(1_000);
    long_running(&mut owner, WAITING, 4);
    owner.advance(4_000);
    owner
}

/// press hands short jobs in for some time, and returns the workers on which their tasks
/// started.
fn press(owner: &mut Owner, jobs: u64, milli_cores: u32) -> Vec<usize> {
    for job in SHORT..SHORT + jobs {
        owner.submit(job, spec(vec![sized(milli_cores, 4)]));
        owner.advance(JOBS_MS);
    }
    let short = |start: &&(stackpier_cell::Start, usize)| start.0.order.task.job.0 >= SHORT;
    let short = owner.starts.iter().filter(short);
    short.map(|(_, place)| *place).collect()
}

#[rstest]
#[case::with_it(None, true)]
#[case::without_it(Some(Mechanism::Dedicated), false)]
fn short_work_gets_room_on_a_dedicated_worker(
    #[case] without: Option<Mechanism>,
    #[case] starts: bool,
) {
    let mut owner = full(without);
    let started = press(&mut owner, 12, WIDE).len();
    assert_eq!(started >= 4, starts, "{started}");
}

/// Short tasks that all fit on one worker at a time get one; those that ask for more than the
/// cell has get a quarter of it.
#[rstest]
#[case::what_fits_on_one(NARROW, 1)]
#[case::more_than_there_is(WIDE, WORKERS / 4)]
fn as_many_workers_are_dedicated_as_short_tasks_ask_for(
    #[case] milli_cores: u32,
    #[case] dedicated: usize,
) {
    let mut owner = full(None);
    let mut places = press(&mut owner, 12, milli_cores);
    places.sort_unstable();
    places.dedup();
    assert_eq!(places.len(), dedicated, "{places:?}");
}

/// Room that no short task has used for a while goes to tasks that last: users count these
/// as lost after three seconds in which there was room.
#[rstest]
fn room_that_short_work_leaves_goes_back_within_three_seconds() {
    let mut owner = full(None);
    let used = press(&mut owner, 8, WIDE);
    assert!(!used.is_empty());
    for job in SHORT..SHORT + 8 {
        owner.feed(Event::Cancelled(stackpier_core::key::Job(job)));
    }
    owner.advance(3_000);
    for place in used {
        assert_eq!(
            long_running_tasks(&owner.workers[place]).count(),
            2,
            "{place}"
        );
    }
}

/// Found on hunted days: tasks that were stopped for short work waited for ten seconds while
/// room came and went. The short jobs here go on throughout.
#[rstest]
fn a_task_that_was_stopped_for_short_work_runs_again_within_six_seconds() {
    const LAST: u64 = 300;
    let mut owner = full(None);
    owner.advance(3_000);
    press(&mut owner, 6, NARROW);
    let before = owner.starts.len();
    let running: Vec<TaskName> = owner.workers.iter().flat_map(long_running_tasks).collect();
    let mut away = (0..2 * WORKERS as u32).map(|index| common::name(LONG_RUNNING, 0, index));
    let away: Vec<TaskName> = away
        .by_ref()
        .filter(|task| !running.contains(task))
        .collect();
    assert!(away.len() >= 2, "{away:?}");
    for job in LAST..LAST + 20 {
        owner.submit(job, spec(vec![sized(NARROW, 4)]));
        owner.advance(JOBS_MS);
    }
    for task in away {
        let again = |(start, _): &(stackpier_cell::Start, usize)| start.order.task == task;
        assert!(owner.starts[before..].iter().any(again), "{task:?}");
    }
}

/// Short tasks of one service ask for no worker of another one.
#[rstest]
fn workers_of_another_service_are_not_dedicated() {
    const OTHER: &str = "other";
    let mut owner = full(None);
    let queue = Queue {
        service: OTHER.to_owned(),
        ..queue(OTHER, 0)
    };
    owner.feed(Event::Queues(vec![queue]));
    for job in SHORT..SHORT + 8 {
        owner.submit_to(job, OTHER, spec(vec![sized(WIDE, 4)]), 1, None);
        owner.advance(JOBS_MS);
    }
    let dedicated = |note: &&String| note.contains("is dedicated to short tasks");
    assert_eq!(owner.log_lines.iter().filter(dedicated).count(), 0);
}

fn long_running_tasks(worker: &stackpier_standin::fleet::Worker) -> impl Iterator<Item = TaskName> {
    let tasks = worker.runs.iter().map(|run| run.task);
    tasks.filter(|task| task.job.0 < SHORT)
}
