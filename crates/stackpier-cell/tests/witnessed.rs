// SPDX-License-Identifier: Apache-2.0
//! Long-running tasks that a successor has seen running and whose end it has received, beside a worker
//! that does not answer it.

mod common;

use common::{Owner, QUEUE, UNIX, info, name, queue, sized, spec, step};
use rstest::rstest;
use stackpier_cell::{Cell, Event, Info, Options, RosterEntry};
use stackpier_core::key;
use stackpier_standin::fleet::{Behaviour, Run, Worker};
use stackpier_state::{
    explain::{Cause, Standing},
    job::{Record, Step},
};

/// JOB is the only job.
const JOB: u64 = 1;
/// SILENT is the worker that does not answer the second owner.
const SILENT: usize = 3;
/// SEEN_MS is when the second owner has seen all other workers twice.
const SEEN_MS: u64 = 200;
/// SOON_MS is when a task that fails after a second has failed and started again.
const SOON_MS: u64 = 1_500;
/// LEASES_MS is shortly before all leases of the first owner have expired.
const LEASES_MS: u64 = 6_500;

/// long_running returns the same step with long-running tasks.
fn long_running(shape: Step) -> Step {
    Step {
        long_running: true,
        ..shape
    }
}

/// failing returns how a task works that always fails after a second.
fn failing(shape: &Step) -> Behaviour {
    Behaviour {
        work_ms: 1_000,
        fails: true,
        size: shape.size,
        ..Behaviour::default()
    }
}

/// first_owner returns an owner whose workers, up to the one that will be silent, run a step.
fn first_owner(shape: &Step, listed: usize) -> Owner {
    let mut owner = Owner::with(SILENT + 1, 1, false);
    for place in 0..listed {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    owner.behaviours.insert((JOB, 0), failing(shape));
    owner.submit(JOB, spec(vec![shape.clone()]));
    owner.advance(100);
    owner
}

/// options returns the options of the second owner.
fn options() -> Options {
    Options {
        max_lease_ms: 6_000,
        ..Options::default()
    }
}

/// take_over returns the owner after another one, with the same workers.
fn take_over(earlier: &Owner, shape: &Step) -> Owner {
    take_over_from(earlier, shape, 0)
}

/// take_over_from does the same for an earlier owner that may act for `acting_ms` more.
fn take_over_from(earlier: &Owner, shape: &Step, acting_ms: u64) -> Owner {
    let mut next = Owner::with(0, 2, false);
    next.now_ms = earlier.now_ms;
    next.cell = Cell::new(options(), 2, next.now(), acting_ms);
    next.workers.clone_from(&earlier.workers);
    next.behaviours.clone_from(&earlier.behaviours);
    next.give_up_ms = Some(600);
    next.cut = (0..next.workers.len())
        .map(|place| place == SILENT)
        .collect();
    next.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..next.workers.len() {
        let Info { id, address, .. } = info(place);
        next.cell.add_roster(&RosterEntry { id, address });
        next.feed(Event::Listed(info(place)));
    }
    let spec = spec(vec![shape.clone()]);
    next.set_spec(JOB, spec.clone());
    let record = Record {
        queue: queue(QUEUE, 0),
        spec,
        fence: 1,
        accepted_ms: UNIX,
    };
    next.feed(Event::Accepted {
        job: key::Job(JOB),
        record: Box::new(record),
        progress: None,
        cancelled: false,
    });
    next
}

/// place_of_run returns the worker that runs the first task.
fn place_of_run(owner: &Owner) -> usize {
    let is_its = |run: &Run| run.task == name(JOB, 0, 0);
    let runs = |worker: &Worker| worker.runs.iter().any(is_its);
    owner.workers.iter().position(runs).expect("it runs")
}

/// Guards against a task that failed under this owner waiting for the leases of a worker on
/// which no earlier owner can have started it.
#[test]
fn a_task_that_failed_under_this_owner_starts_again_at_once() {
    let shape = long_running(step(1));
    let mut owner = take_over(&first_owner(&shape, SILENT), &shape);
    owner.advance(SOON_MS);
    assert_eq!(owner.starts_of(name(JOB, 0, 0)), 1, "{:?}", owner.log_lines);
}

/// Guards against a second run of a task that may have other runs anyway: its copies, the members
/// of its gang.
#[rstest]
#[case::speculative(Step { speculative: true, ..long_running(step(1)) })]
#[case::gang(Step { gang: true, ..long_running(step(2)) })]
fn a_task_that_may_have_other_runs_waits(#[case] shape: Step) {
    let mut owner = take_over(&first_owner(&shape, SILENT), &shape);
    owner.advance(LEASES_MS);
    assert!(owner.starts.is_empty(), "{:?}", owner.log_lines);
    owner.advance(SOON_MS);
    assert!(!owner.starts.is_empty(), "{:?}", owner.log_lines);
}

/// Guards against trust in the end of a run that was never listed: the run is only missing from the
/// reports.
#[test]
fn a_task_whose_run_is_only_missing_waits() {
    let shape = long_running(step(1));
    let mut owner = take_over(&first_owner(&shape, SILENT), &shape);
    owner.advance(SEEN_MS);
    let place = place_of_run(&owner);
    owner.workers[place].runs.clear();
    owner.advance(LEASES_MS - SEEN_MS);
    assert!(owner.starts.is_empty(), "{:?}", owner.log_lines);
    owner.advance(SOON_MS);
    assert!(!owner.starts.is_empty(), "{:?}", owner.log_lines);
}

/// Guards against trust in the end of a run beside which another one was seen: there may be a third
/// one.
#[test]
fn a_task_that_was_seen_running_twice_waits() {
    let shape = long_running(sized(8_000, SILENT as u32));
    let mut first = first_owner(&shape, SILENT);
    let place = place_of_run(&first);
    let run = first.workers[place].runs[0].clone();
    first.workers[(place + 1) % SILENT].runs.push(run);
    let mut owner = take_over(&first, &shape);
    owner.advance(SOON_MS);
    let others = owner.starts_of(name(JOB, 0, 1)) + owner.starts_of(name(JOB, 0, 2));
    assert_eq!(others, SILENT - 1, "{:?}", owner.log_lines);
    owner.advance(LEASES_MS - SOON_MS);
    assert_eq!(owner.starts_of(name(JOB, 0, 0)), 0, "{:?}", owner.log_lines);
}

/// Guards against trust in a run that ended before this owner saw it: an earlier owner may have
/// received its end and started the task elsewhere.
#[test]
fn a_task_that_ended_before_its_worker_answered_waits() {
    let shape = long_running(step(1));
    let mut first = first_owner(&shape, SILENT);
    let end_ms = first.now_ms + 1_000;
    while first.now_ms < end_ms {
        first.now_ms += 1;
        for worker in &mut first.workers {
            worker.advance(first.now_ms);
        }
    }
    let mut owner = take_over(&first, &shape);
    owner.advance(LEASES_MS);
    assert!(owner.starts.is_empty(), "{:?}", owner.log_lines);
}

/// Guards against a step of which all tasks may start, or none, because one of them may.
#[test]
fn other_tasks_of_the_step_wait() {
    let shape = long_running(sized(8_000, 2));
    let mut owner = take_over(&first_owner(&shape, 1), &shape);
    owner.advance(SOON_MS);
    assert_eq!(owner.starts_of(name(JOB, 0, 0)), 1, "{:?}", owner.log_lines);
    assert_eq!(owner.starts_of(name(JOB, 0, 1)), 0, "{:?}", owner.log_lines);
    let job = owner.cell.explain(key::Job(JOB)).expect("known");
    let waits = |standing: &Standing| matches!(standing, Standing::Waits(wait) if wait.cause == Cause::Predecessor);
    let waiting = job.tasks.iter().filter(|task| waits(&task.standing));
    assert_eq!(waiting.count(), 1, "{:?}", job.tasks);
}

/// Guards against a long-running task that runs twice at once: an earlier owner, cut off from the
/// store, finds that another incarnation has replaced the worker, and starts the task on a worker
/// that only it reaches.
#[test]
fn a_long_running_task_waits_while_an_earlier_owner_may_have_started_it() {
    let shape = Step {
        long_running: true,
        ..sized(6_000, 1)
    };
    let behaviour = Behaviour {
        size: shape.size,
        long_running: true,
        ..Behaviour::default()
    };
    let mut first = Owner::new(SILENT + 1);
    first.behaviours.insert((JOB, 0), behaviour);
    first.submit(JOB, spec(vec![shape.clone()]));
    first.advance(500);
    let place = place_of_run(&first);
    assert_ne!(place, SILENT);
    first.store = false;
    let mut owner = take_over_from(&first, &shape, options().authority_ms);
    owner.advance(SEEN_MS);
    owner.feed(Event::Listed(Info {
        draining: true,
        remaining_ms: Some(6_000),
        ..info(place)
    }));
    owner.advance(1_000);
    assert!(owner.workers[place].runs.is_empty(), "stopped");
    let mut next = info(place);
    next.id = "again".to_owned();
    first.workers[place] = Worker::new(next, 9_000, first.now_ms);
    first.cut = (0..=SILENT)
        .map(|other| other != place && other != SILENT)
        .collect();
    first.advance(1_500);
    let task = name(JOB, 0, 0);
    assert_eq!(
        first.starts_of(task),
        2,
        "the earlier owner started it again"
    );
    owner.advance(8_000);
    assert_eq!(owner.starts_of(task), 0, "{:?}", owner.log_lines);
}

/// Guards against a short task that starts more often than its queue allows, or after its end was
/// acknowledged: a silent worker may list other ends of it.
#[test]
fn a_short_task_waits() {
    let shape = step(1);
    let mut owner = take_over(&first_owner(&shape, SILENT), &shape);
    owner.advance(LEASES_MS);
    assert!(owner.starts.is_empty(), "{:?}", owner.log_lines);
    owner.advance(SOON_MS);
    assert!(!owner.starts.is_empty(), "{:?}", owner.log_lines);
}
