// SPDX-License-Identifier: Apache-2.0
//! Trimming the stored records of jobs that have ended. A new owner reads two kilobytes for each
//! job that is stored whole: with 195 such jobs, of which 150 had ended, this took 2.4 s on a
//! link of 2 Mbit/s.

mod common;

use common::{Owner, QUEUE, UNIX, queue, spec, step};
use rstest::rstest;
use stackpier_cell::Event;
use stackpier_core::key;
use stackpier_state::job::{Progress, Record, State};

const JOB: u64 = 1;

/// find_trims returns the indices of the saves that trim the job.
fn find_trims(owner: &Owner) -> Vec<usize> {
    let saves = owner.saves.iter().enumerate();
    let trims = saves.filter(|(_, save)| save.trimmed.contains(&key::Job(JOB)));
    trims.map(|(place, _)| place).collect()
}

/// find_end returns the index of the first save in which the job has ended.
fn find_end(owner: &Owner) -> Option<usize> {
    let over = |(id, progress): &(key::Job, Progress)| id.0 == JOB && progress.state.is_final();
    owner
        .saves
        .iter()
        .position(|save| save.jobs.iter().any(over))
}

fn accepted(record: Record, progress: Option<Progress>) -> Event {
    Event::Accepted {
        job: key::Job(JOB),
        record: Box::new(record),
        progress: progress.map(Box::new),
        cancelled: false,
    }
}

#[rstest]
fn a_job_is_trimmed_once_after_its_end_is_saved() {
    let mut owner = Owner::new(2);
    owner.submit(JOB, spec(vec![step(4)]));
    owner.advance(15_000);
    // Another job causes another save.
    owner.submit(2, spec(vec![step(1)]));
    owner.advance(3_000);
    let ended = find_end(&owner).expect("the job ends");
    let trimmed = find_trims(&owner);
    assert_eq!(trimmed.len(), 1, "{trimmed:?}");
    assert!(trimmed[0] > ended);
    assert_eq!(owner.state(JOB), Some(State::Completed));
}

#[rstest]
fn a_cancelled_job_is_not_trimmed_while_it_may_run() {
    let mut owner = Owner::new(2);
    owner.submit(JOB, spec(vec![step(4)]));
    owner.advance(200);
    owner.cut = vec![true; 2];
    owner.feed(Event::Cancelled(key::Job(JOB)));
    owner.submit(2, spec(vec![step(1)]));
    owner.advance(3_000);
    assert!(find_end(&owner).is_some());
    assert!(find_trims(&owner).is_empty());
}

/// Guards against runs that no owner can stop any more: a job was cancelled while the data centre
/// in which a predecessor had started it was cut off. A successor that found the job trimmed
/// could not stop the runs that were left.
#[rstest]
fn a_job_is_not_trimmed_while_runs_of_an_earlier_owner_may_exist() {
    let mut owner = Owner::with(1, 2, true);
    owner.cut = vec![true];
    owner.submit(JOB, spec(vec![step(4)]));
    owner.feed(Event::Cancelled(key::Job(JOB)));
    owner.advance(6_000);
    owner.submit(2, spec(vec![step(1)]));
    owner.feed(Event::Cancelled(key::Job(2)));
    owner.advance(500);
    assert!(find_end(&owner).is_some());
    assert!(find_trims(&owner).is_empty());
}

#[rstest]
fn a_later_owner_shows_a_trimmed_job_as_it_ended() {
    let mut owner = Owner::with(1, 2, false);
    let progress = Progress {
        state: State::Failed,
        ended_ms: UNIX,
        ..Progress::default()
    };
    owner.feed(accepted(Record::trimmed(), Some(progress)));
    assert_eq!(owner.state(JOB), Some(State::Failed));
    assert_eq!(owner.cell.waiting(QUEUE), 0);
}

/// A daemon that finds the record of a job that is submitted again sends it to the owner.
#[rstest]
fn a_trimmed_job_that_is_not_known_is_no_new_job() {
    let mut owner = Owner::new(1);
    owner.feed(accepted(Record::trimmed(), None));
    assert_eq!(owner.state(JOB), None);
    let whole = Record {
        queue: queue(QUEUE, 0),
        spec: spec(vec![step(1)]),
        fence: 1,
        accepted_ms: UNIX,
    };
    owner.set_spec(JOB, whole.spec.clone());
    owner.feed(accepted(whole, None));
    assert_eq!(owner.state(JOB), Some(State::Pending));
}
