// SPDX-License-Identifier: Apache-2.0
//! Hosts that operators want taken down for maintenance.

mod common;

use common::{Owner, info, spec, step};
use stackpier_cell::{
    Event,
    maintenance::{Plan, Record, TakenDown},
};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{State, Step};

/// DOWN_MS is how long the stand-in keeps a host down.
const DOWN_MS: u64 = 2_000;

fn plan(hosts: &[usize], within_ms: u64, max_down: u32) -> Plan {
    Plan {
        number: 7,
        hosts: hosts.iter().map(|host| format!("h{host}")).collect(),
        within_ms,
        max_down,
    }
}

fn long_running(count: u32, may_miss: u32) -> Step {
    Step {
        long_running: true,
        may_miss: Some(may_miss),
        most_per_worker: Some(2),
        ..step(count)
    }
}

/// records returns how far the plans are, as last saved.
fn records(owner: &Owner) -> Vec<Record> {
    let saved = owner.saves.iter().rev();
    let mut saved = saved.filter_map(|save| save.maintenance.clone());
    saved.next().unwrap_or_default()
}

/// taken_down returns the hosts that were ordered down, sorted.
fn taken_down(owner: &Owner) -> Vec<&str> {
    let orders = owner.downs.iter();
    let mut hosts: Vec<&str> = orders.map(|down| down.1.host.as_str()).collect();
    hosts.sort_unstable();
    hosts
}

/// at_work returns how many tasks of a job work on any worker.
fn at_work(owner: &Owner, job: u64) -> usize {
    let runs = owner.workers.iter().flat_map(|worker| &worker.runs);
    let of_job = runs.filter(|run| run.task.job.0 == job);
    of_job.filter(|run| run.is_working()).count()
}

#[test]
fn all_hosts_of_a_plan_go_down_once_within_its_time() {
    let mut owner = Owner::new(6);
    owner.feed(Event::Plan(plan(&[0, 1, 2, 3, 4, 5], 20_000, 2)));
    owner.advance(20_000);
    assert_eq!(taken_down(&owner), ["h0", "h1", "h2", "h3", "h4", "h5"]);
    let record = &records(&owner)[0];
    assert!(record.completed, "{record:?}");
    assert_eq!(record.down.len(), 6);
}

#[test]
fn no_more_hosts_are_down_at_once_than_the_plan_allows() {
    let mut owner = Owner::new(8);
    owner.feed(Event::Plan(plan(&[0, 1, 2, 3, 4, 5, 6, 7], 6_000, 3)));
    owner.advance(30_000);
    assert_eq!(owner.downs.len(), 8);
    for (at, _, _) in &owner.downs {
        let down = |other: &&(u64, _, _)| other.0 <= *at && *at < other.0 + DOWN_MS;
        let count = owner.downs.iter().filter(down).count();
        assert!(count <= 3, "{count} hosts are down at {at} ms");
    }
}

#[test]
fn a_plan_with_time_to_spare_takes_few_hosts_at_once() {
    let mut owner = Owner::new(4);
    owner.feed(Event::Plan(plan(&[0, 1, 2, 3], 60_000, 4)));
    owner.advance(1_000);
    assert_eq!(owner.downs.len(), 1);
}

#[test]
fn no_more_tasks_of_a_step_are_away_than_it_may_miss() {
    let mut owner = Owner::new(4);
    owner.submit(1, spec(vec![long_running(6, 1)]));
    owner.advance(2_000);
    assert_eq!(at_work(&owner, 1), 6);
    owner.feed(Event::Plan(plan(&[0, 1, 2, 3], 8_000, 4)));
    let mut least = 6;
    for _ in 0..30_000 {
        owner.advance(1);
        least = least.min(at_work(&owner, 1));
    }
    assert_eq!(least, 5, "one of the six may be away");
    assert_eq!(owner.downs.len(), 4);
    assert_eq!(at_work(&owner, 1), 6);
}

#[test]
fn filling_tasks_are_stopped_and_resume_elsewhere() {
    let mut owner = Owner::new(2);
    let long = Step {
        best_effort: true,
        checkpointing: true,
        estimate_ms: 6_000,
        ..step(2)
    };
    owner.submit(1, spec(vec![long]));
    owner.advance(2_000);
    owner.feed(Event::Plan(plan(&[0, 1], 30_000, 1)));
    owner.advance(14_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(owner.downs.len(), 2);
    let mut starts = owner.starts.iter();
    assert!(starts.any(|(start, _)| start.checkpoint.is_some()));
}

#[test]
fn a_host_that_is_emptied_gets_no_starts() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![long_running(1, 1)]));
    owner.advance(500);
    let place = owner.places(1, 0)[0];
    owner.down_answers = vec![TakenDown::Busy; 20];
    owner.feed(Event::Plan(plan(&[place], 20_000, 1)));
    owner.advance(300);
    owner.submit(2, spec(vec![step(4)]));
    owner.advance(1_000);
    assert!(!owner.places(2, 0).contains(&place));
    assert_eq!(owner.places(2, 0).len(), 4);
}

/// An order without an answer may have been done: it is sent again, and the
/// host counts as down until then.
#[test]
fn an_order_without_an_answer_is_sent_again() {
    let mut owner = Owner::new(3);
    owner.down_answers = vec![TakenDown::Silent, TakenDown::Silent];
    owner.feed(Event::Plan(plan(&[0, 1, 2], 3_000, 1)));
    owner.advance(1_600);
    let first = owner.downs[0].1.host.clone();
    let hosts: Vec<&String> = owner.downs.iter().map(|down| &down.1.host).collect();
    assert_eq!(hosts, [&first, &first, &first]);
    owner.advance(20_000);
    assert!(records(&owner)[0].completed);
}

#[test]
fn a_host_that_is_not_known_does_not_hold_the_plan_up() {
    let mut owner = Owner::new(2);
    owner.down_answers = vec![TakenDown::Unknown];
    owner.feed(Event::Plan(plan(&[0, 1, 9], 10_000, 1)));
    owner.advance(10_000);
    assert!(!records(&owner)[0].completed, "h9 may still come");
    owner.advance(15_000);
    let record = &records(&owner)[0];
    assert!(record.completed);
    assert_eq!(record.down.len(), 1);
}

#[test]
fn a_later_owner_goes_on_where_the_earlier_one_stopped() {
    let mut later = Owner::with(3, 2, true);
    let record = Record {
        plan: 7,
        down: vec!["h1".to_owned()],
        completed: false,
    };
    later.cell.resume_maintenance(vec![record]);
    for place in 0..3 {
        later.feed(Event::Listed(info(place)));
    }
    later.feed(Event::Plan(plan(&[0, 1, 2], 10_000, 3)));
    later.advance(3_000);
    assert_eq!(later.downs.len(), 0, "two owners don't take turns");
    later.advance(15_000);
    assert_eq!(taken_down(&later), ["h0", "h2"]);
    assert!(records(&later)[0].completed);
}

/// A host whose new worker never answers must not hold back the others.
#[test]
fn a_host_that_does_not_come_back_does_not_hold_the_plan_up() {
    let mut owner = Owner::new(2);
    owner.feed(Event::Plan(plan(&[0, 1], 10_000, 1)));
    owner.advance(1_000);
    let first = owner.downs[0].1.host.clone();
    let place = owner
        .workers
        .iter()
        .position(|worker| worker.info.host == first);
    owner.cut[place.expect("a worker of the host")] = true;
    owner.advance(25_000);
    assert_eq!(taken_down(&owner), ["h0", "h1"]);
}

#[test]
fn a_refused_order_is_sent_again_after_a_pause() {
    let mut owner = Owner::new(1);
    owner.down_answers = vec![TakenDown::Busy; 40];
    owner.feed(Event::Plan(plan(&[0], 10_000, 1)));
    owner.advance(3_000);
    let orders = owner.downs.len();
    assert!(
        (4..=8).contains(&orders),
        "{orders} orders in three seconds"
    );
}

/// The record of a plan that this owner was not told of yet is not lost.
#[test]
fn records_of_plans_not_read_yet_are_kept() {
    let mut owner = Owner::new(1);
    let other = Record {
        plan: 3,
        down: vec!["h9".to_owned()],
        completed: true,
    };
    owner.cell.resume_maintenance(vec![other.clone()]);
    owner.feed(Event::Plan(plan(&[0], 10_000, 1)));
    owner.advance(200);
    assert!(records(&owner).contains(&other), "{:?}", records(&owner));
}

#[test]
fn a_completed_plan_is_not_done_again() {
    let mut owner = Owner::new(1);
    let record = Record {
        plan: 7,
        down: vec!["h0".to_owned()],
        completed: true,
    };
    owner.cell.resume_maintenance(vec![record]);
    owner.feed(Event::Plan(plan(&[0], 10_000, 1)));
    owner.advance(5_000);
    assert!(owner.downs.is_empty());
    assert!(records(&owner)[0].completed);
}

#[test]
fn a_later_fence_ends_the_ownership() {
    let mut owner = Owner::new(1);
    owner.down_answers = vec![TakenDown::Fenced];
    owner.feed(Event::Plan(plan(&[0], 10_000, 1)));
    owner.advance(2_000);
    assert!(owner.deposed);
}

/// Two tasks of a step are on the host, and what is moved off it finds room nowhere
/// else: the second must not wait for the first, which waits for the host.
#[test]
fn a_host_that_can_not_be_emptied_takes_tasks_again() {
    let mut owner = Owner::new(2);
    for (job, count, milli_cores) in [(1, 1, 8_000), (2, 2, 3_000)] {
        let mut wide = long_running(count, 1);
        wide.size.milli_cores = milli_cores;
        let behaviour = Behaviour {
            size: wide.size,
            lasts: true,
            ..Behaviour::default()
        };
        owner.behaviours.insert((job, 0), behaviour);
        owner.submit(job, spec(vec![wide]));
        owner.advance(1_000);
    }
    let host = owner.places(2, 0)[0];
    owner.feed(Event::Plan(plan(&[host], 10_000, 1)));
    owner.advance(2_000);
    assert_eq!(at_work(&owner, 2), 1, "one was moved off");
    owner.advance(9_000);
    assert_eq!(at_work(&owner, 2), 2, "both work again");
}

/// A later owner orders hosts down 3.5 s after its take-over, and the orders of
/// two owners must not take turns.
#[test]
fn without_the_store_the_last_order_comes_before_a_later_owners_first() {
    let mut owner = Owner::new(1);
    owner.down_answers = vec![TakenDown::Busy; 40];
    owner.feed(Event::Plan(plan(&[0], 10_000, 1)));
    owner.advance(1_000);
    owner.store = false;
    let lost_at = owner.now_ms;
    owner.advance(6_000);
    let last_at = owner.downs.last().expect("an order").0;
    assert!(last_at < lost_at + 3_000, "{} ms after", last_at - lost_at);
    owner.store = true;
    owner.advance(1_000);
    assert!(owner.downs.last().expect("an order").0 > lost_at + 6_000);
}

/// Whether the tasks of a silent worker work is not known, so they may be away.
#[test]
fn tasks_of_a_silent_worker_count_as_away() {
    let mut owner = Owner::new(3);
    let one_each = Step {
        most_per_worker: Some(1),
        ..long_running(2, 1)
    };
    owner.submit(1, spec(vec![one_each]));
    owner.advance(1_000);
    let places = owner.places(1, 0);
    owner.cut[places[1]] = true;
    owner.advance(1_000);
    owner.feed(Event::Plan(plan(&[places[0]], 3_000, 1)));
    owner.advance(2_000);
    assert_eq!(owner.places(1, 0), places, "one may be away already");
}
