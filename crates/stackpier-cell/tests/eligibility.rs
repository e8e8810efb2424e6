// SPDX-License-Identifier: Apache-2.0
//! Which tasks may have workers dedicated to them, have others preempted for them or reserve
//! capacity: by queue, service, label and rack, and while a task may not start yet.

mod common;

use std::collections::BTreeSet;

use common::{Owner, QUEUE, info, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, Options, Queue, RosterEntry};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::Step;

const OTHER: &str = "other";
const LOW: &str = "low";

fn sized(count: u32, milli_cores: u32, estimate_ms: u32) -> Step {
    Step {
        size: Size {
            milli_cores,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate_ms,
        ..step(count)
    }
}

fn submit_long_running_job(owner: &mut Owner, job: u64, queue: &str, shape: Step) {
    let behaviour = Behaviour {
        size: shape.size,
        long_running: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((job, 0), behaviour);
    let shape = Step {
        long_running: true,
        ..shape
    };
    owner.submit_to(job, queue, spec(vec![shape]), 1, None);
}

/// start_owner starts an owner whose workers belong to the service that a function returns.
fn start_owner(
    workers: usize,
    queues: Vec<Queue>,
    service: impl Fn(usize) -> &'static str,
) -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(workers, 1, false, options);
    owner.feed(Event::Queues(queues));
    for place in 0..workers {
        owner.feed(Event::Listed(Info {
            service: service(place).to_owned(),
            ..info(place)
        }));
    }
    owner.advance(100);
    owner
}

fn queue_of_other_service(name: &str, priority: u8) -> Queue {
    Queue {
        service: OTHER.to_owned(),
        ..queue(name, priority)
    }
}

fn list_stops(owner: &Owner) -> Vec<&String> {
    let stops = |text: &&String| text.starts_with("stopped:");
    owner.log_lines.iter().filter(stops).collect()
}

fn count_starts(owner: &Owner, job: u64) -> usize {
    owner.places(job, 0).len()
}

/// Short tasks of one service take no capacity of another service.
#[test]
fn no_worker_of_another_service_is_dedicated() {
    let mut owner = start_owner(
        20,
        vec![queue(QUEUE, 0), queue_of_other_service(OTHER, 0)],
        |place| {
            if place < 10 { "service" } else { OTHER }
        },
    );
    submit_long_running_job(&mut owner, 1, QUEUE, sized(20, 4_000, 1_000));
    submit_long_running_job(&mut owner, 2, OTHER, sized(18, 4_000, 1_000));
    owner.advance(8_000);
    for job in 100..112 {
        owner.submit(job, spec(vec![sized(4, 3_000, 1_000)]));
        owner.advance(300);
    }
    let foreign: Vec<&String> = owner
        .log_lines
        .iter()
        .filter(|text| text.contains("is dedicated to short tasks"))
        .filter(|text| (10..20).any(|place| text.contains(&format!("worker w{place} "))))
        .collect();
    assert!(
        foreign.is_empty(),
        "{foreign:?} {:?}",
        owner.places(2, 0).len()
    );
}

/// No worker is dedicated to short tasks whose label it lacks.
#[test]
fn no_worker_without_the_label_is_dedicated() {
    let mut owner = start_owner(10, vec![queue(QUEUE, 0)], |_| "service");
    submit_long_running_job(&mut owner, 1, QUEUE, sized(20, 4_000, 1_000));
    owner.advance(8_000);
    let shape = Step {
        label: Some("no-such".to_owned()),
        ..sized(10, 4_000, 1_000)
    };
    owner.submit(100, spec(vec![shape]));
    owner.advance(4_000);
    assert!(list_stops(&owner).is_empty(), "{:?}", list_stops(&owner));
}

/// The reservations of one service do not count against those of another.
#[test]
fn reservations_of_one_service_do_not_use_up_those_of_another() {
    let mut owner = start_owner(
        6,
        vec![queue(QUEUE, 0), queue_of_other_service(OTHER, 1)],
        |place| {
            if place < 5 { "service" } else { OTHER }
        },
    );
    owner.submit(1, spec(vec![sized(5, 5_000, 60_000)]));
    owner.advance(100);
    owner.submit(2, spec(vec![sized(20, 5_000, 60_000)]));
    let narrow = |owner: &mut Owner, from: u64, count: u64| {
        for job in from..from + count {
            owner.submit_to(job, OTHER, spec(vec![step(1)]), 1, None);
            owner.advance(100);
        }
    };
    narrow(&mut owner, 1_000, 30);
    owner.submit_to(3, OTHER, spec(vec![sized(1, 7_000, 1_000)]), 1, None);
    narrow(&mut owner, 2_000, 250);
    assert_eq!(count_starts(&owner, 3), 1);
}

/// No task of a more urgent queue is stopped to give a time slice to one of a less urgent queue.
#[test]
fn rotation_respects_priorities() {
    let mut owner = start_owner(2, vec![queue(QUEUE, 0), queue(LOW, 1)], |_| "service");
    submit_long_running_job(&mut owner, 1, QUEUE, sized(4, 4_000, 1_000));
    owner.advance(1_000);
    submit_long_running_job(&mut owner, 2, LOW, sized(2, 4_000, 1_000));
    owner.advance(30_000);
    assert_eq!(count_starts(&owner, 1), 4, "{:?}", list_stops(&owner));
}

/// Short tasks of a less urgent queue preempt no tasks of a more urgent one.
#[test]
fn dedication_respects_priorities() {
    let mut owner = start_owner(8, vec![queue(QUEUE, 0), queue(LOW, 1)], |_| "service");
    submit_long_running_job(&mut owner, 1, QUEUE, sized(16, 4_000, 1_000));
    owner.advance(8_000);
    for job in 100..112 {
        owner.submit_to(job, LOW, spec(vec![sized(4, 3_000, 1_000)]), 1, None);
        owner.advance(300);
    }
    assert!(
        list_stops(&owner).is_empty(),
        "{} stops",
        list_stops(&owner).len()
    );
}

/// No task is stopped for one that may not start on its worker yet.
#[test]
fn rotation_stops_nothing_for_a_task_that_waits_for_its_rack() {
    let mut owner = start_owner(4, vec![queue(QUEUE, 0)], |_| "service");
    submit_long_running_job(&mut owner, 1, QUEUE, sized(8, 4_000, 1_000));
    owner.advance(1_000);
    let shape = Step {
        rack: Some("r9".to_owned()),
        ..sized(1, 4_000, 60_000)
    };
    submit_long_running_job(&mut owner, 2, QUEUE, shape);
    owner.advance(30_000);
    let stopped = list_stops(&owner).len();
    assert!(stopped <= count_starts(&owner, 2), "{stopped} stops");
}

/// No capacity is reserved on workers where the waiting task may not start yet.
#[test]
fn capacity_is_reserved_only_where_the_task_may_start() {
    let mut owner = start_owner(4, vec![queue(QUEUE, 0)], |_| "service");
    owner.submit(1, spec(vec![sized(2, 6_000, 60_000)]));
    owner.advance(100);
    let mut busy = owner.places(1, 0);
    busy.sort_unstable();
    assert_eq!(busy.len(), 2);
    let rack = format!("r{}", busy[0] / 2);
    let shape = Step {
        rack: Some(rack),
        ..sized(4, 7_000, 30_000)
    };
    owner.submit(2, spec(vec![shape]));
    owner.advance(1_000);
    owner.submit(3, spec(vec![sized(1, 3_000, 1_000)]));
    owner.advance(3_000);
    assert_eq!(
        (busy, count_starts(&owner, 2), count_starts(&owner, 3)),
        (vec![0, 1], 0, 1)
    );
}

/// A successor reserves no capacity for inherited tasks that may not start yet.
#[test]
fn a_successor_starts_new_jobs_while_inherited_tasks_wait() {
    let options = Options {
        max_lease_ms: 6_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(2, 2, true, options);
    owner.cut[1] = true;
    owner.cell.add_roster(&RosterEntry {
        id: "w1".to_owned(),
        address: "address-1".to_owned(),
    });
    owner.feed(Event::Listed(info(0)));
    owner.submit_to(1, QUEUE, spec(vec![sized(1, 7_000, 1_000)]), 1, None);
    owner.advance(1_000);
    owner.submit_to(2, QUEUE, spec(vec![sized(1, 3_000, 1_000)]), 2, None);
    owner.advance(1_000);
    assert_eq!((count_starts(&owner, 1), count_starts(&owner, 2)), (0, 1));
}

/// Wide tasks start beside a stream of narrow ones.
#[test]
fn wide_tasks_start_beside_a_stream_of_narrow_ones() {
    let mut owner = start_owner(2, vec![queue(QUEUE, 0)], |_| "service");
    let narrow = |owner: &mut Owner, from: u64, count: u64| {
        for job in from..from + count {
            owner.submit(job, spec(vec![step(2)]));
            owner.advance(100);
        }
    };
    narrow(&mut owner, 1_000, 30);
    owner.submit(1, spec(vec![sized(2, 7_000, 1_000)]));
    narrow(&mut owner, 2_000, 250);
    assert_eq!(count_starts(&owner, 1), 2);
}

/// No single member of a long-running gang is stopped for another task.
#[test]
fn a_long_running_gang_is_stopped_whole_or_not_at_all() {
    let mut owner = start_owner(1, vec![queue(QUEUE, 0)], |_| "service");
    let shape = Step {
        gang: true,
        ..sized(2, 4_000, 1_000)
    };
    submit_long_running_job(&mut owner, 1, QUEUE, shape);
    owner.advance(1_000);
    submit_long_running_job(&mut owner, 2, QUEUE, sized(1, 4_000, 1_000));
    owner.advance(8_000);
    assert!(list_stops(&owner).len() != 1, "{:?}", list_stops(&owner));
}

/// Short tasks start both where a long-running step may miss any number of tasks and where it may
/// miss only one.
#[rstest]
#[case::any(None)]
#[case::one(Some(1))]
fn short_tasks_start_however_many_long_running_tasks_may_be_missed(#[case] may_miss: Option<u32>) {
    let mut owner = start_owner(10, vec![queue(QUEUE, 0)], |_| "service");
    for job in 1..=5 {
        let shape = Step {
            may_miss,
            ..sized(4, 4_000, 1_000)
        };
        submit_long_running_job(&mut owner, job, QUEUE, shape);
    }
    owner.advance(1_000);
    for job in 6..=9 {
        let shape = Step {
            may_miss,
            ..sized(4, 4_000, 1_000)
        };
        submit_long_running_job(&mut owner, job, QUEUE, shape);
    }
    owner.advance(6_000);
    let mut served = 0;
    for job in 100..200 {
        owner.submit(job, spec(vec![sized(1, 3_000, 500)]));
        owner.advance(300);
    }
    owner.advance(2_000);
    let mut last_served = BTreeSet::new();
    for job in 100..200 {
        if count_starts(&owner, job) > 0 {
            served += 1;
            last_served.insert(job);
        }
    }
    println!(
        "may miss {may_miss:?}: {served} of 100, stops {}",
        list_stops(&owner).len()
    );
    assert!(served >= 50, "{served}, last {:?}", last_served.last());
}

/// A less urgent long-running task does not take capacity reserved for a more urgent short one.
#[test]
fn a_less_urgent_task_takes_no_reserved_capacity() {
    let mut owner = start_owner(1, vec![queue(QUEUE, 0), queue(LOW, 1)], |_| "service");
    for round in 0..4 {
        owner.submit(
            10 + round,
            spec(vec![sized(1, 2_000, 8_000 + 400 * round as u32)]),
        );
        let behaviour = Behaviour {
            work_ms: 8_000 + 400 * round,
            size: sized(1, 2_000, 1).size,
            ..Behaviour::default()
        };
        owner.behaviours.insert((10 + round, 0), behaviour);
    }
    owner.advance(100);
    submit_long_running_job(&mut owner, 1, LOW, sized(1, 6_000, 1_000));
    owner.advance(7_000);
    owner.submit(2, spec(vec![sized(1, 7_000, 1_000)]));
    owner.advance(6_000);
    owner.feed(Event::Cancelled(key::Job(99)));
    assert_eq!(
        count_starts(&owner, 2),
        1,
        "low {}",
        count_starts(&owner, 1)
    );
}
