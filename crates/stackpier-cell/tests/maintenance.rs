// SPDX-License-Identifier: Apache-2.0
//! Plans of operators that take hosts down for maintenance.

mod common;

use common::{Owner, info, spec, step};
use stackpier_cell::{
    Event,
    maintenance::{Plan, Record, TakenDown},
};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{State, Step};

/// DOWN_MS is the time for which the stand-in platform keeps a host down.
const DOWN_MS: u64 = 2_000;

fn new_plan(hosts: &[usize], within_ms: u64, max_down: u32) -> Plan {
    Plan {
        number: 7,
        hosts: hosts.iter().map(|host| format!("h{host}")).collect(),
        within_ms,
        max_down,
    }
}

fn long_running_step(count: u32, may_miss: u32) -> Step {
    Step {
        long_running: true,
        may_miss: Some(may_miss),
        most_per_worker: Some(2),
        ..step(count)
    }
}

/// last_saved_records returns the progress of the plans, as last saved.
fn last_saved_records(owner: &Owner) -> Vec<Record> {
    let saved = owner.saves.iter().rev();
    let mut saved = saved.filter_map(|save| save.maintenance.clone());
    saved.next().unwrap_or_default()
}

/// list_downed_hosts returns the hosts that were ordered down, sorted.
fn list_downed_hosts(owner: &Owner) -> Vec<&str> {
    let orders = owner.take_downs.iter();
    let mut hosts: Vec<&str> = orders.map(|down| down.1.host.as_str()).collect();
    hosts.sort_unstable();
    hosts
}

/// count_working returns the number of tasks of a job that are at work on any worker.
fn count_working(owner: &Owner, job: u64) -> usize {
    let runs = owner.workers.iter().flat_map(|worker| &worker.runs);
    let of_job = runs.filter(|run| run.task.job.0 == job);
    of_job.filter(|run| run.is_working()).count()
}

#[test]
fn each_host_of_a_plan_goes_down_once_within_its_time() {
    let mut owner = Owner::new(6);
    owner.feed(Event::Plan(new_plan(&[0, 1, 2, 3, 4, 5], 20_000, 2)));
    owner.advance(20_000);
    assert_eq!(
        list_downed_hosts(&owner),
        ["h0", "h1", "h2", "h3", "h4", "h5"]
    );
    let record = &last_saved_records(&owner)[0];
    assert!(record.completed, "{record:?}");
    assert_eq!(record.down.len(), 6);
}

#[test]
fn no_more_hosts_are_down_at_once_than_the_plan_allows() {
    let mut owner = Owner::new(8);
    owner.feed(Event::Plan(new_plan(&[0, 1, 2, 3, 4, 5, 6, 7], 6_000, 3)));
    owner.advance(30_000);
    assert_eq!(owner.take_downs.len(), 8);
    for (at, _, _) in &owner.take_downs {
        let down = |other: &&(u64, _, _)| other.0 <= *at && *at < other.0 + DOWN_MS;
        let count = owner.take_downs.iter().filter(down).count();
        assert!(count <= 3, "{count} hosts are down at {at} ms");
    }
}

#[test]
fn a_plan_with_time_to_spare_takes_few_hosts_at_once() {
    let mut owner = Owner::new(4);
    owner.feed(Event::Plan(new_plan(&[0, 1, 2, 3], 60_000, 4)));
    owner.advance(1_000);
    assert_eq!(owner.take_downs.len(), 1);
}

#[test]
fn no_more_tasks_of_a_step_are_unavailable_than_it_may_miss() {
    let mut owner = Owner::new(4);
    owner.submit(1, spec(vec![long_running_step(6, 1)]));
    owner.advance(2_000);
    assert_eq!(count_working(&owner, 1), 6);
    owner.feed(Event::Plan(new_plan(&[0, 1, 2, 3], 8_000, 4)));
    let mut min_working = 6;
    for _ in 0..30_000 {
        owner.advance(1);
        min_working = min_working.min(count_working(&owner, 1));
    }
    assert_eq!(min_working, 5, "one of the six may be unavailable");
    assert_eq!(owner.take_downs.len(), 4);
    assert_eq!(count_working(&owner, 1), 6);
}

#[test]
fn best_effort_tasks_are_stopped_and_resume_elsewhere() {
    let mut owner = Owner::new(2);
    let long = Step {
        best_effort: true,
        checkpointing: true,
        estimate_ms: 6_000,
        ..step(2)
    };
    owner.submit(1, spec(vec![long]));
    owner.advance(2_000);
    owner.feed(Event::Plan(new_plan(&[0, 1], 30_000, 1)));
    owner.advance(14_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(owner.take_downs.len(), 2);
    let mut starts = owner.starts.iter();
    assert!(starts.any(|(start, _)| start.checkpoint.is_some()));
}

#[test]
fn no_task_starts_on_a_host_that_is_being_emptied() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![long_running_step(1, 1)]));
    owner.advance(500);
    let place = owner.places(1, 0)[0];
    owner.take_down_answers = vec![TakenDown::Busy; 20];
    owner.feed(Event::Plan(new_plan(&[place], 20_000, 1)));
    owner.advance(300);
    owner.submit(2, spec(vec![step(4)]));
    owner.advance(1_000);
    assert!(!owner.places(2, 0).contains(&place));
    assert_eq!(owner.places(2, 0).len(), 4);
}

/// An order without an answer may have been carried out: it is sent again, and the host counts
/// as down until it is answered.
#[test]
fn an_order_without_an_answer_is_sent_again() {
    let mut owner = Owner::new(3);
    owner.take_down_answers = vec![TakenDown::Silent, TakenDown::Silent];
    owner.feed(Event::Plan(new_plan(&[0, 1, 2], 3_000, 1)));
    owner.advance(1_600);
    let first = owner.take_downs[0].1.host.clone();
    let hosts: Vec<&String> = owner.take_downs.iter().map(|down| &down.1.host).collect();
    assert_eq!(hosts, [&first, &first, &first]);
    owner.advance(20_000);
    assert!(last_saved_records(&owner)[0].completed);
}

#[test]
fn an_unknown_host_does_not_block_the_plan() {
    let mut owner = Owner::new(2);
    owner.take_down_answers = vec![TakenDown::Unknown];
    owner.feed(Event::Plan(new_plan(&[0, 1, 9], 10_000, 1)));
    owner.advance(10_000);
    assert!(
        !last_saved_records(&owner)[0].completed,
        "h9 may still be added"
    );
    owner.advance(15_000);
    let record = &last_saved_records(&owner)[0];
    assert!(record.completed);
    assert_eq!(record.down.len(), 1);
}

#[test]
fn a_successor_continues_the_plan_of_its_predecessor() {
    let mut successor = Owner::with(3, 2, true);
    let record = Record {
        plan: 7,
        down: vec!["h1".to_owned()],
        completed: false,
    };
    successor.cell.resume_maintenance(vec![record]);
    for place in 0..3 {
        successor.feed(Event::Listed(info(place)));
    }
    successor.feed(Event::Plan(new_plan(&[0, 1, 2], 10_000, 3)));
    successor.advance(3_000);
    assert_eq!(
        successor.take_downs.len(),
        0,
        "a successor waits until its predecessor has stopped ordering"
    );
    successor.advance(15_000);
    assert_eq!(list_downed_hosts(&successor), ["h0", "h2"]);
    assert!(last_saved_records(&successor)[0].completed);
}

/// A host whose new worker never answers must not block the others.
#[test]
fn a_host_that_does_not_come_back_does_not_block_the_plan() {
    let mut owner = Owner::new(2);
    owner.feed(Event::Plan(new_plan(&[0, 1], 10_000, 1)));
    owner.advance(1_000);
    let first = owner.take_downs[0].1.host.clone();
    let place = owner
        .workers
        .iter()
        .position(|worker| worker.info.host == first);
    owner.cut[place.expect("the host has no worker")] = true;
    owner.advance(25_000);
    assert_eq!(list_downed_hosts(&owner), ["h0", "h1"]);
}

#[test]
fn a_refused_order_is_sent_again_after_a_pause() {
    let mut owner = Owner::new(1);
    owner.take_down_answers = vec![TakenDown::Busy; 40];
    owner.feed(Event::Plan(new_plan(&[0], 10_000, 1)));
    owner.advance(3_000);
    let orders = owner.take_downs.len();
    assert!(
        (4..=8).contains(&orders),
        "{orders} orders in three seconds"
    );
}

/// The record of a plan that this owner has not received yet is kept.
#[test]
fn records_of_plans_not_received_yet_are_kept() {
    let mut owner = Owner::new(1);
    let other = Record {
        plan: 3,
        down: vec!["h9".to_owned()],
        completed: true,
    };
    owner.cell.resume_maintenance(vec![other.clone()]);
    owner.feed(Event::Plan(new_plan(&[0], 10_000, 1)));
    owner.advance(200);
    assert!(
        last_saved_records(&owner).contains(&other),
        "{:?}",
        last_saved_records(&owner)
    );
}

#[test]
fn a_completed_plan_is_not_carried_out_again() {
    let mut owner = Owner::new(1);
    let record = Record {
        plan: 7,
        down: vec!["h0".to_owned()],
        completed: true,
    };
    owner.cell.resume_maintenance(vec![record]);
    owner.feed(Event::Plan(new_plan(&[0], 10_000, 1)));
    owner.advance(5_000);
    assert!(owner.take_downs.is_empty());
    assert!(last_saved_records(&owner)[0].completed);
}

#[test]
fn a_later_fence_ends_the_ownership() {
    let mut owner = Owner::new(1);
    owner.take_down_answers = vec![TakenDown::Fenced];
    owner.feed(Event::Plan(new_plan(&[0], 10_000, 1)));
    owner.advance(2_000);
    assert!(owner.deposed);
}

/// Guards against a deadlock: two tasks of a step are on the host, and the one that is moved off
/// it fits nowhere else. The second can't be moved before the first runs again, and the first
/// waits for the host.
#[test]
fn a_host_that_cannot_be_emptied_accepts_tasks_again() {
    let mut owner = Owner::new(2);
    for (job, count, milli_cores) in [(1, 1, 8_000), (2, 2, 3_000)] {
        let mut wide = long_running_step(count, 1);
        wide.size.milli_cores = milli_cores;
        let behaviour = Behaviour {
            size: wide.size,
            long_running: true,
            ..Behaviour::default()
        };
        owner.behaviours.insert((job, 0), behaviour);
        owner.submit(job, spec(vec![wide]));
        owner.advance(1_000);
    }
    let host = owner.places(2, 0)[0];
    owner.feed(Event::Plan(new_plan(&[host], 10_000, 1)));
    owner.advance(2_000);
    assert_eq!(
        count_working(&owner, 2),
        1,
        "the other was moved off the host"
    );
    owner.advance(9_000);
    assert_eq!(count_working(&owner, 2), 2, "both are at work again");
}

/// A successor starts to order hosts down 3.5 s after its takeover, so an owner without the
/// store stops earlier: the orders of two owners must not interleave.
#[test]
fn an_owner_without_the_store_stops_ordering_before_its_successor_starts() {
    let mut owner = Owner::new(1);
    owner.take_down_answers = vec![TakenDown::Busy; 40];
    owner.feed(Event::Plan(new_plan(&[0], 10_000, 1)));
    owner.advance(1_000);
    owner.store = false;
    let lost_at = owner.now_ms;
    owner.advance(6_000);
    let last_at = owner.take_downs.last().expect("no host was ordered down").0;
    assert!(last_at < lost_at + 3_000, "{} ms after", last_at - lost_at);
    owner.store = true;
    owner.advance(1_000);
    assert!(owner.take_downs.last().expect("no host was ordered down").0 > lost_at + 6_000);
}

/// The tasks of a silent worker may not be running, so they count as unavailable.
#[test]
fn tasks_of_a_silent_worker_count_as_unavailable() {
    let mut owner = Owner::new(3);
    let one_each = Step {
        most_per_worker: Some(1),
        ..long_running_step(2, 1)
    };
    owner.submit(1, spec(vec![one_each]));
    owner.advance(1_000);
    let places = owner.places(1, 0);
    owner.cut[places[1]] = true;
    owner.advance(1_000);
    owner.feed(Event::Plan(new_plan(&[places[0]], 3_000, 1)));
    owner.advance(2_000);
    assert_eq!(owner.places(1, 0), places, "one may be unavailable already");
}
