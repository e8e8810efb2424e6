// SPDX-License-Identifier: Apache-2.0
//! The outlook in a crowd: what an owner tells of the room that its cell has.
//!
//! The load is that of a client account with a crowd: jobs of 40 tasks that run for a second each,
//! at a cell that has room for 64 tasks at a time.

mod common;

use common::{Owner, QUEUE, queue, spec, step};
use rstest::rstest;
use stackpier_cell::outlook::{Outlook, Proposal};
use stackpier_state::job::{Schedule, Spec};

/// WORKERS is the number of workers, of 8 cores each.
const WORKERS: usize = 8;
/// CORES is the number of cores of all workers.
const CORES: u64 = 64;
/// JOB_TASKS is the number of tasks of a job, of one core and one second each.
const JOB_TASKS: u32 = 40;
/// SETTLED_MS is the time within which an outlook shows a new load.
const SETTLED_MS: u64 = 400;

fn job() -> Spec {
    spec(vec![step(JOB_TASKS)])
}

fn proposal() -> Proposal {
    Proposal::new(&queue(QUEUE, 0), &job()).expect("a job of short tasks")
}

/// crowd returns an owner that has just been handed in some jobs.
fn crowd(jobs: u64) -> Owner {
    let mut owner = Owner::new(WORKERS);
    for id in 1..=jobs {
        owner.submit(id, job());
    }
    owner.advance(SETTLED_MS);
    owner
}

fn outlook(owner: &Owner) -> Outlook {
    owner.cell.outlook().expect("an outlook").clone()
}

#[rstest]
#[case::idle(0)]
#[case::one_job(1)]
fn room_is_not_short_while_all_tasks_run(#[case] jobs: u64) {
    let outlook = outlook(&crowd(jobs));
    assert_eq!(outlook.lanes, []);
}

/// The wait is the work before the job divided by the room for it. Client accounts say that their
/// estimates are off by half, so the lowest estimate may be half of it, but not less, and it may
/// never be more.
#[rstest]
#[case::crowd(10)]
#[case::large_crowd(40)]
fn a_crowd_is_told_as_the_time_that_its_work_takes(#[case] jobs: u64) {
    let owner = crowd(jobs);
    let outlook = outlook(&owner);
    let position = outlook.find_lane(&proposal()).expect("room is short");
    let lane = &outlook.lanes[position];
    let tasks_left = jobs * u64::from(JOB_TASKS) - CORES;
    // Of jobs of its own size, half go before the new one.
    let true_ms = tasks_left * 1_000 / CORES / 2;
    let wait = lane.wait(&proposal(), 0);
    assert!(wait.least_ms <= true_ms, "{wait:?}, {true_ms}");
    assert!(wait.least_ms * 3 >= true_ms, "{wait:?}, {true_ms}");
    assert!(wait.expected_ms <= true_ms * 3 / 2, "{wait:?}, {true_ms}");
}

/// Guards against a rejection beside idle room: a crowd of wide tasks leaves room for narrow ones.
#[test]
fn room_is_not_short_for_tasks_that_ask_for_less_than_those_that_wait() {
    let mut owner = Owner::new(WORKERS);
    for id in 1..=4 {
        owner.submit(id, spec(vec![common::sized(5_000, 8)]));
    }
    owner.advance(SETTLED_MS);
    let outlook = outlook(&owner);
    assert!(outlook.find_lane(&proposal()).is_none(), "{outlook:?}");
    let wide = spec(vec![common::sized(5_000, 8)]);
    let wide = Proposal::new(&queue(QUEUE, 0), &wide).expect("a job of short tasks");
    assert!(outlook.find_lane(&wide).is_some());
}

#[test]
fn room_is_not_short_any_more_once_the_crowd_is_over() {
    let mut owner = crowd(10);
    assert!(outlook(&owner).find_lane(&proposal()).is_some());
    owner.advance(9_000);
    assert_eq!(outlook(&owner).lanes, []);
}

/// Guards against a new owner that takes workers that it has not heard of as missing room.
#[test]
fn an_owner_that_does_not_know_its_workers_yet_gives_no_outlook() {
    let mut owner = Owner::with(WORKERS, 2, true);
    for place in 0..WORKERS {
        owner.cut[place] = place > 0;
        owner.feed(stackpier_cell::Event::Listed(common::info(place)));
    }
    owner.submit(1, job());
    owner.advance(SETTLED_MS);
    assert!(owner.cell.outlook().is_none());
}

#[test]
fn jobs_with_rounds_and_long_running_ones_are_no_proposals() {
    let mut rounds = job();
    rounds.schedule = Some(Schedule {
        rounds: 2,
        first_ms: 0,
        interval_ms: 1_000,
    });
    let mut lasting = job();
    lasting.steps[0].long_running = true;
    let mut mixed = spec(vec![step(1), step(1)]);
    mixed.steps[1].best_effort = true;
    for spec in [rounds, lasting, mixed] {
        assert!(Proposal::new(&queue(QUEUE, 0), &spec).is_none());
    }
}
