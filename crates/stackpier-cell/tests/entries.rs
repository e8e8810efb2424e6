// SPDX-License-Identifier: Apache-2.0
//! Entries in the list of workers: unreadable entries, services that no queue names, and
//! capacity that shrinks.

mod common;

use common::{Owner, QUEUE, info, name, queue, spec, step};
use stackpier_cell::{Event, Info, Queue};
use stackpier_core::Size;
use stackpier_state::job::{State, Step};

/// JOB is the job of most tests.
const JOB: u64 = 1;
/// OTHER is another job.
const OTHER: u64 = 2;

/// shrunk describes a worker with a smaller capacity than usual.
fn shrunk(place: usize, milli_cores: u32) -> Info {
    let usual = info(place);
    Info {
        capacity: Size {
            milli_cores,
            ..usual.capacity
        },
        ..usual
    }
}

fn long_step(count: u32) -> Step {
    Step {
        estimate_ms: 10_000,
        ..step(count)
    }
}

#[test]
fn a_worker_whose_entry_is_not_readable_gets_no_starts_and_keeps_its_runs() {
    let mut owner = Owner::new(2);
    owner.submit(JOB, spec(vec![long_step(16)]));
    owner.advance(500);
    owner.feed(Event::Unreadable("w0".to_owned()));
    owner.submit(OTHER, spec(vec![step(20)]));
    owner.advance(30_000);
    assert!(owner.places(OTHER, 0).iter().all(|place| *place == 1));
    assert_eq!(owner.state(JOB), Some(State::Completed));
    assert_eq!(owner.places(JOB, 0).len(), 16, "none began again");
    assert_eq!(owner.state(OTHER), Some(State::Completed));
}

#[test]
fn a_worker_whose_entry_is_readable_again_gets_starts() {
    let mut owner = Owner::new(1);
    owner.feed(Event::Unreadable("w0".to_owned()));
    owner.submit(JOB, spec(vec![step(1)]));
    owner.advance(10_000);
    assert!(owner.places(JOB, 0).is_empty());
    owner.feed(Event::Listed(info(0)));
    owner.advance(3_000);
    assert_eq!(owner.state(JOB), Some(State::Completed));
}

/// An entry that was never readable belongs to no known worker.
#[test]
fn an_entry_that_was_never_readable_is_ignored() {
    let mut owner = Owner::new(1);
    owner.feed(Event::Unreadable("who".to_owned()));
    owner.submit(JOB, spec(vec![step(1)]));
    owner.advance(3_000);
    assert_eq!(owner.state(JOB), Some(State::Completed));
    assert_eq!(owner.cell.workers(), 1);
}

/// The address in the entry of a worker whose service no queue names may belong to any process.
#[test]
fn a_worker_of_a_service_that_no_queue_names_is_not_called() {
    let mut owner = Owner::with(1, 1, false);
    let stranger = Info {
        service: "stranger".to_owned(),
        ..info(0)
    };
    owner.feed(Event::Listed(stranger));
    owner.advance(20_000);
    assert_eq!(owner.renewals, 0);
    owner.feed(Event::Queues(vec![Queue {
        service: "stranger".to_owned(),
        ..queue(QUEUE, 0)
    }]));
    owner.submit(JOB, spec(vec![step(1)]));
    owner.advance(5_000);
    assert_eq!(owner.places(JOB, 0), [0]);
}

/// The worker itself does not refuse starts that exceed its capacity.
#[test]
fn no_start_exceeds_a_capacity_that_shrank() {
    let mut owner = Owner::new(1);
    owner.submit(JOB, spec(vec![long_step(6)]));
    owner.advance(500);
    owner.feed(Event::Listed(shrunk(0, 5_000)));
    owner.submit(OTHER, spec(vec![step(8)]));
    owner.advance(8_000);
    assert!(
        owner.places(OTHER, 0).is_empty(),
        "six cores of five are taken"
    );
    owner.advance(3_500);
    let max_milli = owner.max_guaranteed_milli();
    assert!(max_milli <= 6_000, "{max_milli}");
    assert!(!owner.places(OTHER, 0).is_empty(), "the first six are done");
    owner.feed(Event::Listed(info(0)));
    owner.advance(10_000);
    assert_eq!(owner.state(OTHER), Some(State::Completed));
}

#[test]
fn runs_that_are_being_stopped_still_count_in_a_capacity_that_shrank() {
    let mut owner = Owner::new(1);
    owner.submit(JOB, spec(vec![long_step(8)]));
    owner.advance(500);
    owner.feed(Event::Listed(shrunk(0, 2_000)));
    owner.feed(Event::Cancelled(stackpier_core::key::Job(JOB)));
    owner.submit(OTHER, spec(vec![step(4)]));
    let mut max_runs = 0;
    for _ in 0..2_000 {
        owner.advance(1);
        let of_other = |run: &&stackpier_standin::fleet::Run| run.task.job.0 == OTHER;
        let runs = &owner.workers[0].runs;
        if runs.iter().any(|run| of_other(&run)) {
            max_runs = max_runs.max(runs.len());
        }
    }
    assert!(max_runs <= 2, "{max_runs} tasks of one core on two cores");
    owner.advance(5_000);
    assert_eq!(owner.state(OTHER), Some(State::Completed));
    assert_eq!(owner.starts_of(name(OTHER, 0, 0)), 1);
}
