// SPDX-License-Identifier: Apache-2.0
//! Cordoned data centres: no task of any kind starts there, whatever decided on the start.

mod common;

use common::{Owner, info, name, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, Options};
use stackpier_core::{Size, key};
use stackpier_standin::fleet::Behaviour;
use stackpier_state::{
    explain::{Cause, Obstacle, Standing},
    job::{State, Step},
};

/// NORTH and SOUTH are the data centres: the workers take turns.
const NORTH: &str = "north";
const SOUTH: &str = "south";
const WORKERS: usize = 4;

fn located(place: usize) -> Info {
    let data_centre = [NORTH, SOUTH][place % 2];
    Info {
        data_centre: data_centre.to_owned(),
        labels: vec!["plain".to_owned(), data_centre.to_owned()],
        ..info(place)
    }
}

fn is_in_south(place: usize) -> bool {
    located(place).data_centre == SOUTH
}

fn list_workers(owner: &mut Owner) {
    for place in 0..WORKERS {
        owner.feed(Event::Listed(located(place)));
    }
    owner.advance(100);
}

fn start_owner() -> Owner {
    let mut owner = Owner::with(WORKERS, 1, false);
    list_workers(&mut owner);
    owner
}

fn cordon(owner: &mut Owner, data_centres: &[&str]) {
    let data_centres = data_centres.iter().map(|name| name.to_string()).collect();
    owner.feed(Event::Cordons(data_centres));
}

/// starts_in_south returns how many starts the workers there have accepted.
fn starts_in_south(owner: &Owner) -> usize {
    let places = owner.starts.iter().map(|(_, place)| *place);
    places.filter(|place| is_in_south(*place)).count()
}

fn best_effort(count: u32) -> Step {
    Step {
        best_effort: true,
        ..step(count)
    }
}

fn gang(count: u32) -> Step {
    Step {
        gang: true,
        ..step(count)
    }
}

fn speculative(count: u32) -> Step {
    Step {
        speculative: true,
        ..step(count)
    }
}

#[rstest]
#[case::short(step(30))]
#[case::best_effort(best_effort(30))]
#[case::gang(gang(8))]
#[case::speculative(speculative(30))]
fn a_job_runs_outside_the_cordoned_data_centre(#[case] shape: Step) {
    let mut owner = start_owner();
    cordon(&mut owner, &[SOUTH]);
    owner.submit(1, spec(vec![shape]));
    owner.advance(12_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(starts_in_south(&owner), 0);
}

#[test]
fn long_running_tasks_start_outside_the_cordoned_data_centre() {
    let mut owner = start_owner();
    cordon(&mut owner, &[SOUTH]);
    owner.submit_long_running(1, step(6));
    owner.advance(3_000);
    assert_eq!(owner.places(1, 0).len(), 6);
    assert_eq!(starts_in_south(&owner), 0);
}

/// Time slices are given where a waiting task could start: a stop in the cordoned data centre
/// would free capacity for nobody.
#[test]
fn long_running_tasks_are_not_preempted_in_a_cordoned_data_centre() {
    let mut owner = start_owner();
    let large = Step {
        size: Size {
            milli_cores: 6_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        may_miss: Some(4),
        ..step(4)
    };
    owner.submit_long_running(1, large.clone());
    owner.advance(7_000);
    let before = starts_in_south(&owner);
    cordon(&mut owner, &[SOUTH]);
    owner.submit_long_running(2, large);
    owner.advance(20_000);
    assert_eq!(starts_in_south(&owner), before);
    let running = owner.workers.iter().enumerate();
    for (_, worker) in running.filter(|(place, _)| is_in_south(*place)) {
        assert_eq!(worker.runs.len(), 1, "its task was stopped");
    }
    assert!(!owner.places(2, 0).is_empty(), "no time slice was given");
}

#[test]
fn running_tasks_go_on_and_start_again_elsewhere_after_their_end() {
    let mut owner = start_owner();
    let shape = Step {
        most_per_worker: Some(4),
        ..step(8)
    };
    owner.submit_long_running(1, shape);
    owner.advance(2_000);
    let before = starts_in_south(&owner);
    assert!(before > 0);
    cordon(&mut owner, &[SOUTH]);
    owner.advance(2_000);
    assert_eq!(owner.starts.len(), 8, "running tasks were moved");
    for place in (0..WORKERS).filter(|place| is_in_south(*place)) {
        owner.cut[place] = true;
    }
    owner.advance(12_000);
    assert_eq!(owner.starts.len(), 8 + before, "lost tasks start again");
    assert_eq!(starts_in_south(&owner), before);
}

/// A start waits for its save before it is sent. It is not sent if the cordon comes in between.
#[rstest]
#[case::cordoned(true)]
#[case::not_cordoned(false)]
fn a_start_that_waits_for_its_save_is_not_sent_any_more(#[case] cordoned: bool) {
    let mut owner = start_owner();
    owner.crashing.insert(name(1, 0, 0));
    cordon(&mut owner, &[NORTH]);
    owner.submit(1, spec(vec![step(1)]));
    while owner.starts.is_empty() {
        owner.advance(1);
    }
    // The task has crashed its worker, so that its next start is saved first.
    owner.save_ms = 4_000;
    owner.advance(3_000);
    assert_eq!(owner.starts.len(), 1);
    if cordoned {
        cordon(&mut owner, &[NORTH, SOUTH]);
    }
    owner.advance(6_000);
    assert_eq!(owner.starts.len() > 1, !cordoned);
}

#[test]
fn nothing_starts_while_all_data_centres_are_cordoned() {
    let mut owner = start_owner();
    cordon(&mut owner, &[NORTH, SOUTH]);
    owner.submit(1, spec(vec![step(4)]));
    owner.submit(2, spec(vec![best_effort(4)]));
    owner.advance(30_000);
    assert_eq!(owner.starts.len(), 0);
    cordon(&mut owner, &[SOUTH]);
    owner.advance(4_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(owner.state(2), Some(State::Completed));
    assert_eq!(starts_in_south(&owner), 0);
}

#[test]
fn a_cordon_that_ends_and_comes_back_counts_again() {
    let mut owner = start_owner();
    cordon(&mut owner, &[SOUTH]);
    cordon(&mut owner, &[]);
    owner.submit(1, spec(vec![step(32)]));
    owner.advance(1_000);
    let before = starts_in_south(&owner);
    assert!(before > 0, "the cordon did not end");
    cordon(&mut owner, &[SOUTH]);
    owner.submit(2, spec(vec![step(32)]));
    owner.advance(8_000);
    assert_eq!(starts_in_south(&owner), before);
    assert_eq!(owner.state(2), Some(State::Completed));
}

#[test]
fn a_cordon_of_an_unknown_data_centre_is_logged_once_and_changes_nothing() {
    let mut owner = start_owner();
    cordon(&mut owner, &["west"]);
    cordon(&mut owner, &["west"]);
    owner.submit(1, spec(vec![step(8)]));
    owner.advance(3_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    let of_west = |line: &&String| line.contains("west");
    assert_eq!(owner.log_lines.iter().filter(of_west).count(), 1);
}

#[test]
fn a_worker_that_joins_a_cordoned_data_centre_gets_no_starts() {
    let mut owner = Owner::with(WORKERS, 1, false);
    cordon(&mut owner, &[SOUTH]);
    list_workers(&mut owner);
    owner.submit(1, spec(vec![step(24)]));
    owner.advance(5_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(starts_in_south(&owner), 0);
}

/// An owner that has just taken over may not have read the operators' entries yet.
#[test]
fn a_new_owner_starts_nothing_before_it_knows_the_cordons() {
    let mut owner = Owner::with_options(WORKERS, 2, false, Options::default());
    owner.cell.await_cordons();
    list_workers(&mut owner);
    owner.submit_to(1, common::QUEUE, spec(vec![step(8)]), 2, None);
    owner.advance(3_000);
    assert_eq!(owner.starts.len(), 0);
    let job = owner.cell.explain(key::Job(1)).expect("the job is known");
    let Standing::Waits(wait) = &job.tasks[0].standing else {
        panic!("the task does not wait: {job:?}");
    };
    assert_eq!(wait.cause, Cause::Unread);
    cordon(&mut owner, &[SOUTH]);
    owner.advance(3_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(starts_in_south(&owner), 0);
}

#[test]
fn a_task_that_can_run_only_there_waits_and_its_explanation_says_so() {
    let mut owner = start_owner();
    cordon(&mut owner, &[SOUTH]);
    let shape = Step {
        label: Some(SOUTH.to_owned()),
        ..step(1)
    };
    let behaviour = Behaviour {
        size: shape.size,
        ..Behaviour::default()
    };
    owner.behaviours.insert((1, 0), behaviour);
    owner.feed(Event::Queues(vec![queue(common::QUEUE, 0)]));
    owner.submit(1, spec(vec![shape]));
    owner.advance(10_000);
    assert_eq!(owner.starts.len(), 0);
    let job = owner.cell.explain(key::Job(1)).expect("the job is known");
    let Standing::Waits(wait) = &job.tasks[0].standing else {
        panic!("the task does not wait: {job:?}");
    };
    let Cause::Workers(tally) = &wait.cause else {
        panic!("the task does not wait for workers: {job:?}");
    };
    let cordoned = tally
        .kept
        .iter()
        .find(|kept| kept.obstacle == Obstacle::Cordoned);
    assert_eq!(cordoned.map(|kept| kept.workers), Some(2), "{tally:?}");
}
