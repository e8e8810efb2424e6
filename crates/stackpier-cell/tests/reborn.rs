// SPDX-License-Identifier: Apache-2.0
//! Workers that start again under the id that they had.
//!
//! Seen: on two days of the users workers crashed in series and started again under their
//! ids. Tasks that had ended as done there were started again, one of them 22 times, and the
//! steps that waited for them had not begun at the end of the day. The owner logged runs that
//! were gone without an end, on these workers and on no others.

mod common;

use common::{Owner, info, name, spec, step};
use stackpier_cell::{Event, Info};
use stackpier_core::Unix;
use stackpier_standin::fleet::Worker;
use stackpier_state::job::{State, Step};

/// EARLIER is a job that the first life of a worker does.
const EARLIER: u64 = 1;
/// LATER is a job that a later life does.
const LATER: u64 = 2;
/// WIDTH is how many tasks a step has: a worker has room for all of them.
const WIDTH: u32 = 8;
/// CLOCK_MS is what the clock of a later life begins with.
const CLOCK_MS: u64 = 20;
/// DAY_MS is the wall clock at the start of a worker's first life.
const DAY_MS: u64 = 1_700_000_000_000;

/// life describes one of the lives of a worker.
fn life(place: usize, number: u64) -> Info {
    Info {
        started_at: Some(Unix(DAY_MS + number)),
        ..info(place)
    }
}

/// owner starts the owner of some workers in their first lives.
fn owner(workers: usize) -> Owner {
    let mut owner = Owner::with(workers, 1, false);
    for place in 0..workers {
        owner.workers[place].info = life(place, 0);
        owner.feed(Event::Listed(life(place, 0)));
    }
    owner.advance(100);
    owner
}

/// restart has a later life of a worker answer at once. Its entry is still that of before.
fn restart(owner: &mut Owner, place: usize, number: u64) {
    owner.workers[place] = Worker::new(life(place, number), CLOCK_MS, owner.now_ms);
}

/// work has the first lives do a job.
fn work(owner: &mut Owner) {
    owner.submit(EARLIER, spec(vec![step(WIDTH)]));
    owner.advance(2_000);
    assert_eq!(owner.state(EARLIER), Some(State::Completed));
}

/// starts returns how often each task of the first step of a job was started.
fn starts(owner: &Owner, job: u64) -> Vec<usize> {
    let tasks = (0..WIDTH).map(|index| name(job, 0, index));
    tasks.map(|task| owner.starts_of(task)).collect()
}

#[test]
fn a_task_that_ends_in_a_later_life_is_done() {
    let mut owner = owner(1);
    work(&mut owner);
    restart(&mut owner, 0, 1);
    owner.submit(LATER, spec(vec![step(WIDTH)]));
    owner.advance(4_000);
    assert_eq!(starts(&owner, LATER), [1; WIDTH as usize]);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}

#[test]
fn a_step_begins_once_what_it_waits_for_ended_in_a_later_life() {
    let mut owner = owner(1);
    work(&mut owner);
    restart(&mut owner, 0, 1);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    owner.submit(LATER, spec(vec![step(1), second]));
    // Both steps take a second each.
    owner.advance(4_000);
    assert_eq!(owner.starts_of(name(LATER, 1, 0)), 1);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}
