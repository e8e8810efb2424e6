// SPDX-License-Identifier: Apache-2.0
//! The options of a job: order of steps, gangs, racks, spread, labels, copies, long-running
//! and best-effort tasks, schedules, priorities, attempts, cancellation, advice.

mod common;

use common::{Owner, QUEUE, UNIX, info, name, queue, spec, step};
use stackpier_cell::{Event, Options, Save};
use stackpier_core::key;
use stackpier_standin::fleet::Behaviour;
use stackpier_state::job::{Record, Schedule, Spec, State, Step};

#[test]
fn steps_run_in_their_order() {
    let mut owner = Owner::new(2);
    let second = Step {
        after: vec![0],
        ..step(2)
    };
    owner.submit(1, spec(vec![step(3), second]));
    owner.advance(500);
    assert_eq!(
        owner.places(1, 1).len(),
        0,
        "the first step is still running"
    );
    assert_eq!(owner.state(1), Some(State::Running));
    owner.advance(2_000);
    assert_eq!(owner.places(1, 1).len(), 2);
    assert_eq!(owner.state(1), Some(State::Completed));
}

#[test]
fn a_job_counts_as_waiting_until_a_task_has_started() {
    let mut owner = Owner::new(0);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(100);
    assert_eq!(owner.cell.waiting(QUEUE), 1);
    assert_eq!(owner.state(1), Some(State::Pending));
    assert_eq!(owner.state(2), None, "this job was not submitted");
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut owner = Owner::new(1);
    let gang = Step {
        gang: true,
        ..step(6)
    };
    owner.submit(1, spec(vec![step(4)]));
    owner.submit(2, spec(vec![gang]));
    owner.advance(500);
    assert_eq!(owner.places(2, 0).len(), 0, "four of eight cores are free");
    owner.advance(700);
    assert_eq!(owner.places(2, 0).len(), 6);
    let runs: Vec<u32> = owner.starts[4..]
        .iter()
        .map(|(start, _)| start.order.run)
        .collect();
    assert!(
        runs.windows(2).all(|pair| pair[0] == pair[1]),
        "members share a run: {runs:?}"
    );
    owner.advance(1_500);
    assert_eq!(owner.state(2), Some(State::Completed));
}

#[test]
fn a_same_rack_gang_starts_in_one_rack() {
    let mut owner = Owner::new(4);
    let gang = Step {
        gang: true,
        same_rack: true,
        ..step(12)
    };
    owner.submit(1, spec(vec![step(2)]));
    owner.submit(2, spec(vec![gang]));
    owner.advance(200);
    let racks: Vec<usize> = owner.places(2, 0).iter().map(|place| place / 2).collect();
    assert_eq!(racks.len(), 12);
    assert!(racks.windows(2).all(|pair| pair[0] == pair[1]), "{racks:?}");
}

#[test]
fn tasks_start_in_the_rack_of_their_data() {
    let mut owner = Owner::new(4);
    let near = Step {
        rack: Some("r1".to_owned()),
        ..step(5)
    };
    owner.submit(1, spec(vec![near]));
    owner.advance(200);
    assert!(owner.places(1, 0).iter().all(|place| place / 2 == 1));
    assert_eq!(owner.places(1, 0).len(), 5);
}

#[test]
fn tasks_do_not_wait_indefinitely_for_a_full_rack() {
    let mut owner = Owner::new(4);
    let near = Step {
        rack: Some("r1".to_owned()),
        ..step(20)
    };
    owner.submit(1, spec(vec![near]));
    owner.advance(6_000);
    assert_eq!(owner.state(1), Some(State::Completed));
}

#[test]
fn a_worker_runs_no_more_tasks_of_a_step_than_the_step_allows() {
    let mut owner = Owner::new(2);
    let apart = Step {
        most_per_worker: Some(2),
        ..step(7)
    };
    owner.submit(1, spec(vec![apart]));
    owner.advance(300);
    let places = owner.places(1, 0);
    assert_eq!(places.len(), 4, "two on each of two workers");
    owner.advance(3_000);
    assert_eq!(owner.state(1), Some(State::Completed));
}

#[test]
fn tasks_start_only_on_workers_with_their_label() {
    let mut owner = Owner::new(2);
    let labelled = Step {
        label: Some("r0".to_owned()),
        ..step(1)
    };
    let unknown = Step {
        label: Some("gpu".to_owned()),
        ..step(1)
    };
    owner.submit(1, spec(vec![labelled]));
    owner.submit(2, spec(vec![unknown]));
    owner.advance(2_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert_eq!(
        owner.state(2),
        Some(State::Pending),
        "no worker has the label"
    );
}

#[test]
fn a_lagging_task_gets_a_copy_where_copies_are_allowed() {
    let mut owner = Owner::new(2);
    let copied = Step {
        speculative: true,
        ..step(1)
    };
    let slow = Behaviour {
        work_ms: 20_000,
        ..Behaviour::default()
    };
    owner.behaviours.insert((1, 0), slow);
    owner.submit(1, spec(vec![copied]));
    owner.advance(1_000);
    assert_eq!(owner.starts.len(), 1);
    owner.advance(2_000);
    assert_eq!(owner.starts.len(), 2, "a copy runs beside it");
    assert_ne!(owner.starts[0].1, owner.starts[1].1, "on another worker");
}

#[test]
fn a_lagging_task_gets_no_copy_where_none_is_allowed() {
    let mut owner = Owner::new(2);
    let slow = Behaviour {
        work_ms: 6_000,
        ..Behaviour::default()
    };
    owner.behaviours.insert((1, 0), slow);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(8_000);
    assert_eq!(owner.starts.len(), 1);
    assert_eq!(owner.state(1), Some(State::Completed));
}

#[test]
fn a_long_running_task_is_started_again_however_it_ends() {
    let mut owner = Owner::new(2);
    let long_running = Step {
        long_running: true,
        ..step(1)
    };
    let failing = Behaviour {
        work_ms: 300,
        fails: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((1, 0), failing);
    owner.submit(1, spec(vec![long_running]));
    owner.advance(20_000);
    assert!(owner.starts.len() > 4, "{} starts", owner.starts.len());
    assert_eq!(
        owner.state(1),
        Some(State::Running),
        "no number of failures ends it"
    );
}

#[test]
fn best_effort_tasks_take_no_guaranteed_capacity() {
    let mut owner = Owner::new(1);
    let mut wide = step(1);
    wide.size.milli_cores = 8_000;
    let long_running = Step {
        long_running: true,
        ..wide
    };
    let best_effort_step = Step {
        best_effort: true,
        ..step(2)
    };
    owner.submit(1, spec(vec![long_running]));
    owner.advance(200);
    owner.submit(2, spec(vec![best_effort_step]));
    owner.advance(200);
    assert_eq!(
        owner.places(2, 0).len(),
        2,
        "they run on a worker whose processors are all reserved"
    );
}

#[test]
fn rounds_start_at_their_scheduled_times() {
    let mut owner = Owner::new(1);
    let schedule = Schedule {
        rounds: 3,
        first_ms: UNIX + 1_000,
        interval_ms: 2_000,
    };
    let timed = Spec {
        schedule: Some(schedule),
        ..spec(vec![step(1)])
    };
    owner.submit(1, timed);
    owner.advance(800);
    assert_eq!(owner.starts.len(), 0, "not due yet");
    owner.advance(500);
    assert_eq!(owner.starts.len(), 1);
    owner.advance(2_000);
    assert_eq!(owner.starts.len(), 2);
    owner.advance(4_000);
    assert_eq!(owner.state(1), Some(State::Completed));
}

#[test]
fn jobs_of_urgent_queues_start_first() {
    let mut owner = Owner::new(1);
    owner.feed(Event::Queues(vec![queue("later", 2)]));
    owner.submit(1, spec(vec![step(8)]));
    owner.advance(100);
    owner.submit_to(2, "later", spec(vec![step(8)]), 1, None);
    owner.submit(3, spec(vec![step(8)]));
    owner.advance(1_300);
    assert_eq!(owner.places(3, 0).len(), 8);
    assert_eq!(owner.places(2, 0).len(), 0);
}

#[test]
fn a_job_fails_after_as_many_failed_runs_as_its_queue_allows() {
    let mut owner = Owner::new(3);
    let failing = Behaviour {
        work_ms: 100,
        fails: true,
        ..Behaviour::default()
    };
    owner.behaviours.insert((1, 0), failing);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(20_000);
    assert_eq!(owner.starts.len(), 3);
    assert_eq!(owner.state(1), Some(State::Failed));
    let places = owner.places(1, 0);
    assert_ne!(places[0], places[1], "the second run goes elsewhere");
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_no_further_tasks() {
    let mut owner = Owner::new(1);
    owner.submit(1, spec(vec![step(12)]));
    owner.advance(300);
    assert_eq!(owner.starts.len(), 8);
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.advance(600);
    assert_eq!(owner.state(1), Some(State::Cancelled));
    assert_eq!(owner.starts.len(), 8);
    assert_eq!(owner.workers[0].runs.len(), 0);
    let saved = owner.saves.iter().flat_map(|save| &save.jobs);
    assert!(
        saved
            .into_iter()
            .any(|(_, progress)| progress.state == State::Cancelled)
    );
}

#[test]
fn a_moved_task_resumes_from_its_checkpoint() {
    let mut owner = Owner::new(2);
    let checkpointing_step = Step {
        checkpointing: true,
        estimate_ms: 6_000,
        ..step(1)
    };
    owner.submit(1, spec(vec![checkpointing_step]));
    owner.advance(3_000);
    let place = owner.starts[0].1;
    let mut leaving = common::info(place);
    leaving.draining = true;
    leaving.remaining_ms = Some(2_000);
    owner.feed(Event::Listed(leaving));
    owner.advance(1_000);
    assert_eq!(owner.starts.len(), 2);
    assert_ne!(owner.starts[1].1, place);
    let checkpoint = owner.starts[1].0.checkpoint.clone();
    assert_eq!(checkpoint.as_deref(), Some("3000"));
    assert_eq!(owner.starts[1].0.order.task, name(1, 0, 0));
}

#[test]
fn tasks_of_an_advised_queue_start_where_the_adviser_allows() {
    let mut owner = Owner::new(4);
    let advised = stackpier_cell::Queue {
        advised: true,
        ..queue("advised", 0)
    };
    owner.feed(Event::Queues(vec![advised]));
    owner.submit_to(1, "advised", spec(vec![step(20)]), 1, None);
    owner.advance(4_500);
    assert_eq!(owner.state(1), Some(State::Completed));
    assert!(owner.places(1, 0).iter().all(|place| place % 2 == 0));
    let tickets = owner
        .starts
        .iter()
        .filter_map(|(start, _)| start.ticket.as_deref());
    assert_eq!(tickets.count(), 20);
    assert!(
        owner.advice_sizes.len() < 12,
        "{:?} advice requests",
        owner.advice_sizes
    );
}

/// A job still runs if its queue was removed from the configuration before another daemon took
/// over, which therefore does not know the queue.
#[test]
fn a_job_of_a_removed_queue_runs_under_a_successor() {
    let mut owner = Owner::with(2, 2, true);
    for place in 0..2 {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    owner.submit_to(2, "dropped", spec(vec![step(1)]), 1, None);
    owner.advance(30_000);
    assert_eq!(owner.state(2), Some(State::Completed));
}

/// Guards against a job that is accepted and never runs, because its id is that of a job which was
/// shown for long enough and removed.
#[test]
fn a_job_with_the_id_of_a_forgotten_one_runs() {
    let mut owner = Owner::new(1);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(3_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    owner.advance(Options::default().show_ms + 1_000);
    assert_eq!(owner.state(1), None, "it was removed");
    let earlier = owner.starts.len();
    owner.submit(1, spec(vec![step(3)]));
    owner.advance(3_000);
    assert_eq!(owner.state(1), Some(State::Completed));
    let runs = owner.starts.iter().map(|(start, _)| start.order.run);
    let (before, after): (Vec<u32>, Vec<u32>) = (
        runs.clone().take(earlier).collect(),
        runs.skip(earlier).collect(),
    );
    assert_eq!(after.len(), 3);
    assert!(
        after.iter().min() > before.iter().max(),
        "{before:?} {after:?}"
    );
}

/// Guards against a removed job that runs again, because its record is read late.
#[test]
fn a_record_from_before_the_end_of_a_forgotten_job_is_ignored() {
    let mut owner = Owner::new(1);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(Options::default().show_ms + 4_000);
    assert_eq!(owner.state(1), None, "it was removed");
    let starts = owner.starts.len();
    let record = Record {
        queue: queue(QUEUE, 0),
        spec: spec(vec![step(2)]),
        fence: 1,
        accepted_ms: UNIX,
    };
    owner.feed(Event::Accepted {
        job: key::Job(1),
        record: Box::new(record),
        progress: None,
        cancelled: false,
    });
    owner.advance(3_000);
    assert_eq!(owner.state(1), None);
    assert_eq!(owner.starts.len(), starts);
}

/// Guards against a dropped job that is taken for cancelled before it was accepted, so that the next
/// job under its id never runs.
#[test]
fn a_late_cancellation_of_a_forgotten_job_does_not_cancel_the_next_one() {
    let mut owner = Owner::new(1);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(Options::default().show_ms + 4_000);
    assert_eq!(owner.state(1), None, "it was removed");
    owner.feed(Event::Cancelled(key::Job(1)));
    assert!(owner.cell.unsaved().is_empty());
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(3_000);
    assert_eq!(owner.state(1), Some(State::Completed));
}

/// forgetful_owner returns an owner that shows ended jobs for a second.
fn forgetful_owner(workers: usize) -> Owner {
    let options = Options {
        max_lease_ms: 6_000,
        show_ms: 1_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(workers, 1, false, options);
    (0..workers).for_each(|place| owner.feed(Event::Listed(info(place))));
    owner.advance(100);
    owner
}

/// Guards against runs of an earlier job under the same id that are taken for those of the present one:
/// its worker was silent until after the job had been forgotten.
#[test]
fn a_run_of_a_forgotten_job_is_not_one_of_the_next_job_with_its_id() {
    let mut owner = forgetful_owner(2);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(300);
    let place = owner.starts[0].1;
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.cut[place] = true;
    owner.advance(1_500);
    owner.submit(1, spec(vec![step(2)]));
    owner.cut[place] = false;
    owner.advance(9_000);
    assert_eq!(owner.state(1), None, "it was completed and removed");
    let runs = owner.starts.iter().map(|(start, _)| start.order.run);
    let runs: Vec<u32> = runs.collect();
    assert_eq!(runs.len(), 4, "{runs:?}");
    assert!(runs[2..].iter().min() > runs[..2].iter().max(), "{runs:?}");
}

/// Guards against a job that is shown as completed without having run: a worker that was silent lists
/// the end of a run of the earlier job with the same id.
#[test]
fn an_end_of_a_forgotten_job_does_not_complete_the_next_job_with_its_id() {
    let mut owner = forgetful_owner(1);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(300);
    owner.cut[0] = true;
    owner.feed(Event::Cancelled(key::Job(1)));
    owner.advance(1_500);
    owner.submit(1, spec(vec![step(1)]));
    owner.cut[0] = false;
    owner.advance(700);
    assert_ne!(
        owner.state(1),
        Some(State::Completed),
        "it can't be done yet"
    );
    owner.advance(9_000);
    assert_eq!(owner.starts.len(), 2);
}

/// Guards against the removal of an accepted job from the store: the answer to the removal of an earlier
/// job with its id was lost, and the removal is sent again.
#[test]
fn a_removal_that_is_sent_again_spares_the_next_job_with_the_id() {
    let mut owner = forgetful_owner(1);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(1_700);
    assert_eq!(owner.state(1), Some(State::Completed));
    let removes = |save: &Save| save.forgotten.contains(&key::Job(1));
    owner.store = false;
    owner.advance(1_000);
    assert!(owner.saves.iter().any(removes), "it was sent");
    let sent = owner.saves.len();
    owner.submit(1, spec(vec![step(1)]));
    owner.store = true;
    owner.advance(1_200);
    assert!(!owner.saves[sent..].iter().any(removes));
    assert_eq!(owner.state(1), Some(State::Completed));
}
