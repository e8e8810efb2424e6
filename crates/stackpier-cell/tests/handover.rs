// SPDX-License-Identifier: Apache-2.0
//! Progress that a predecessor could not save and hands over to its successor.

mod common;

use common::{Owner, QUEUE, info, name, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Options, RosterEntry, Unsaved};
use stackpier_core::key;
use stackpier_state::job::{Checkpoint, Failures, Progress, State, Step};

const JOB: u64 = 7;
/// TASKS is how many tasks a step has: all of them fit on the two workers at once.
const TASKS: u32 = 4;

/// predecessor returns an owner that has run a job whose first step ended while the store did not
/// answer.
fn predecessor(steps: Vec<Step>) -> Owner {
    let mut owner = Owner::new(2);
    owner.submit(JOB, spec(steps));
    owner.advance(200);
    owner.store = false;
    owner.advance(1_200);
    owner
}

/// successor returns the next owner, with restarted workers and the saved progress.
fn successor(steps: Vec<Step>, saved: Option<Progress>) -> Owner {
    let mut owner = empty_successor();
    owner.submit_to(JOB, QUEUE, spec(steps), 1, saved);
    owner.advance(300);
    owner
}

/// empty_successor returns the next owner, with restarted workers and without a job.
fn empty_successor() -> Owner {
    let mut owner = Owner::with_options(2, 2, false, Options::default());
    owner.cell.await_handover();
    owner.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..2 {
        owner.feed(Event::Listed(info(place)));
    }
    owner
}

/// unsaved_of returns the progress of the job as a predecessor sends it.
fn unsaved_of(progress: Progress) -> Vec<Unsaved> {
    vec![Unsaved {
        job: key::Job(JOB),
        progress,
    }]
}

/// Guards against tasks that start again although a predecessor knows that they are done.
#[rstest]
fn tasks_that_an_earlier_owner_knows_as_done_do_not_start() {
    let steps = vec![
        step(TASKS),
        Step {
            after: vec![0],
            ..step(TASKS)
        },
    ];
    let earlier = predecessor(steps.clone());
    let unsaved = earlier.cell.unsaved();
    assert_eq!(unsaved.len(), 1, "{unsaved:?}");
    let mut later = successor(steps, None);
    assert_eq!(
        later.starts.len(),
        0,
        "the predecessor is still being asked"
    );
    later.feed(Event::PredecessorAnswered(unsaved));
    later.advance(3_000);
    assert_eq!(later.places(JOB, 0).len(), 0);
    assert_eq!(later.places(JOB, 1).len(), TASKS as usize);
    assert_eq!(later.state(JOB), Some(State::Completed));
}

/// Guards against a successor that waits for a predecessor that does not answer.
#[rstest]
fn without_an_answer_inherited_tasks_start() {
    let mut later = successor(vec![step(TASKS)], None);
    assert_eq!(later.starts.len(), 0);
    later.feed(Event::PredecessorAnswered(Vec::new()));
    later.advance(100);
    assert_eq!(later.starts.len(), TASKS as usize);
}

/// Guards against a job that does not end when its last ends come from a predecessor, and against
/// runs of it that go on.
#[rstest]
fn a_job_that_an_earlier_owner_knows_as_done_ends_and_its_runs_stop() {
    let long = Step {
        estimate_ms: 60_000,
        ..step(TASKS)
    };
    let mut later = successor(vec![long], None);
    later.feed(Event::PredecessorAnswered(Vec::new()));
    later.advance(300);
    let mut progress = Progress::default();
    (0..TASKS).for_each(|place| progress.set_done(place));
    later.feed(Event::HandedOver(unsaved_of(progress)));
    later.advance(1_500);
    assert_eq!(later.state(JOB), Some(State::Completed));
    let running: usize = later.workers.iter().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 0);
    assert_eq!(
        later.saved(JOB).map(|saved| saved.state),
        Some(State::Completed)
    );
}

/// Guards against a task that gets more attempts than its queue allows when the owner changes, and
/// against an attempt that counts twice.
#[rstest]
#[case::some_left(vec![1, 2], State::Running)]
#[case::none_left(vec![1, 2, 3], State::Failed)]
fn failed_runs_count_once_each(#[case] runs: Vec<u32>, #[case] state: State) {
    let mut later = successor(vec![step(TASKS)], None);
    let failures = Failures { task: 1, runs };
    let progress = Progress {
        failures: vec![failures],
        ..Progress::default()
    };
    let unsaved = unsaved_of(progress);
    later.feed(Event::PredecessorAnswered(unsaved.clone()));
    later.feed(Event::HandedOver(unsaved));
    later.advance(300);
    assert_eq!(later.state(JOB), Some(state));
}

/// Guards against a cancelled job that starts under the next owner: the cancellation was passed to its
/// predecessor, which did not know yet that it was replaced.
#[rstest]
fn a_cancellation_that_an_earlier_owner_took_is_handed_over(
    #[values(false, true)] is_known_earlier: bool,
    #[values(false, true)] is_known_later: bool,
) {
    let steps = vec![step(TASKS)];
    let mut earlier = Owner::new(2);
    earlier.store = false;
    if is_known_earlier {
        earlier.submit(JOB, spec(steps.clone()));
    }
    earlier.advance(100);
    earlier.feed(Event::Cancelled(key::Job(JOB)));
    earlier.advance(100);
    let mut later = empty_successor();
    if is_known_later {
        later.submit_to(JOB, QUEUE, spec(steps.clone()), 1, None);
    }
    later.feed(Event::PredecessorAnswered(earlier.cell.unsaved()));
    if !is_known_later {
        later.submit_to(JOB, QUEUE, spec(steps), 1, None);
    }
    later.advance(3_000);
    assert_eq!(later.starts.len(), 0);
    assert_eq!(later.state(JOB), Some(State::Cancelled));
}

/// Guards against runs of a cancelled job that go on because the predecessor that took the
/// cancellation could not reach its successor at first.
#[rstest]
fn a_cancellation_that_is_handed_over_late_stops_the_runs() {
    let long = Step {
        estimate_ms: 60_000,
        ..step(TASKS)
    };
    let mut later = successor(vec![long], None);
    later.feed(Event::PredecessorAnswered(Vec::new()));
    later.advance(300);
    assert_eq!(later.starts.len(), TASKS as usize);
    let progress = Progress {
        state: State::Cancelled,
        ..Progress::default()
    };
    later.feed(Event::HandedOver(unsaved_of(progress)));
    later.advance(1_500);
    let running: usize = later.workers.iter().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 0);
    let saved = later.saved(JOB).map(|saved| saved.state);
    assert_eq!(saved, Some(State::Cancelled));
}

/// Guards against work that is repeated from the start, and against a run that is set back to the
/// checkpoint that a predecessor received from the run before it.
#[rstest]
#[case::before_a_start(false, Some("saved"))]
#[case::after_a_start(true, None)]
fn a_checkpoint_is_applied_until_a_run_has_begun(
    #[case] begun: bool,
    #[case] resumes: Option<&str>,
) {
    let shape = Step {
        checkpointing: true,
        ..step(1)
    };
    let mut later = successor(vec![shape], None);
    if begun {
        later.feed(Event::PredecessorAnswered(Vec::new()));
        later.advance(100);
    }
    let checkpoint = Checkpoint {
        task: 0,
        text: "saved".to_owned(),
    };
    let progress = Progress {
        checkpoints: vec![checkpoint],
        ..Progress::default()
    };
    let unsaved = unsaved_of(progress);
    later.feed(Event::HandedOver(unsaved));
    later.feed(Event::PredecessorAnswered(Vec::new()));
    later.advance(100);
    assert_eq!(later.starts_of(name(JOB, 0, 0)), 1);
    assert_eq!(later.starts[0].0.checkpoint.as_deref(), resumes);
}

/// Guards against bad input: tasks and jobs that the successor does not know are ignored.
#[rstest]
fn unknown_tasks_and_jobs_are_ignored() {
    let mut later = successor(vec![step(TASKS)], None);
    let mut progress = Progress::default();
    progress.set_done(TASKS + 70);
    let unsaved = [JOB, JOB + 1].map(|job| Unsaved {
        job: key::Job(job),
        progress: progress.clone(),
    });
    later.feed(Event::PredecessorAnswered(unsaved.to_vec()));
    later.advance(300);
    assert_eq!(later.starts.len(), TASKS as usize);
    assert_eq!(later.state(JOB + 1), None);
}

/// Guards against an owner that was replaced without knowing it: a worker that it never reached
/// may have reported ends to a predecessor, which handed them over to the newest owner.
#[rstest]
fn without_the_store_inherited_tasks_of_a_lost_worker_wait() {
    let mut owner = Owner::with(2, 2, true);
    owner.cell.add_roster(&RosterEntry {
        id: "lost".to_owned(),
        address: "address-1".to_owned(),
    });
    for place in 0..2 {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    owner.store = false;
    owner.advance(1_000);
    owner.submit_to(JOB, QUEUE, spec(vec![step(TASKS)]), 1, None);
    owner.advance(1_000);
    assert_eq!(owner.starts.len(), 0);
    owner.store = true;
    owner.advance(200);
    assert_eq!(owner.starts.len(), TASKS as usize);
}

/// Guards against inherited tasks that start before the last owner has answered, because an older
/// owner has sent its progress.
#[rstest]
fn the_progress_of_another_owner_does_not_end_the_wait() {
    let mut later = successor(vec![step(TASKS)], None);
    later.feed(Event::HandedOver(Vec::new()));
    later.advance(300);
    assert_eq!(later.starts.len(), 0);
}
