// SPDX-License-Identifier: Apache-2.0
//! Workers that can be reached again shortly before their silence counts as the end of what
//! ran there.

mod common;

use common::{Owner, QUEUE, info, name, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, Options, RosterEntry};
use stackpier_state::job::State;

/// JOB is the job whose only task is done while its worker is out of reach.
const JOB: u64 = 1;
/// WORK_MS is how long its task works.
const WORK_MS: u64 = 1_000;
/// GIVE_UP_MS is how long a call without an answer takes: long beside the pause between two.
const GIVE_UP_MS: u64 = 700;
/// LONGEST_MS is by when a task of a worker that stays out of reach has started elsewhere.
const LONGEST_MS: u64 = 15_000;

/// cut_off returns an owner whose only worker with a run is out of reach.
fn cut_off(give_up_ms: u64) -> Owner {
    let mut owner = Owner::new(2);
    owner.give_up_ms = Some(give_up_ms);
    owner.submit(JOB, spec(vec![step(1)]));
    owner.advance(WORK_MS / 2);
    let place = owner.places(JOB, 0)[0];
    owner.cut[place] = true;
    owner
}

/// successor returns an owner that can't reach a worker on which its predecessor's run is done.
fn successor(give_up_ms: u64) -> Owner {
    let mut earlier = Owner::new(2);
    earlier.submit(JOB, spec(vec![step(1)]));
    earlier.advance(WORK_MS / 2);
    let place = earlier.places(JOB, 0)[0];
    let options = Options {
        max_lease_ms: 6_000,
        ..Options::default()
    };
    let mut owner = Owner::with_options(2, 2, false, options);
    owner.give_up_ms = Some(give_up_ms);
    owner.now_ms = earlier.now_ms;
    owner.workers = earlier.workers;
    owner.cut[place] = true;
    for place in 0..2 {
        let Info { id, address, .. } = info(place);
        owner.cell.add_roster(&RosterEntry { id, address });
        owner.feed(Event::Listed(info(place)));
    }
    owner.submit_to(JOB, QUEUE, spec(vec![step(1)]), 1, None);
    owner
}

/// work lets time pass at the workers, too: those that get no calls go on with their runs.
fn work(owner: &mut Owner, ms: u64) {
    for _ in 0..ms {
        owner.advance(1);
        let now_ms = owner.now_ms;
        for worker in &mut owner.workers {
            worker.advance(now_ms);
        }
    }
}

/// started_after returns after how long the task starts if its worker stays out of reach.
fn started_after(mut owner: Owner) -> u64 {
    let (begin, before) = (owner.now_ms, owner.starts.len());
    while owner.starts.len() == before {
        assert!(owner.now_ms < begin + LONGEST_MS, "it never started again");
        work(&mut owner, 1);
    }
    owner.now_ms - begin
}

/// Guards against a task that was done starting again, as no question was sent to its worker
/// between the end of a cut and the end of its lease.
#[rstest]
fn a_worker_is_asked_before_its_silence_counts(
    #[values(cut_off, successor)] cut: fn(u64) -> Owner,
    #[values(500, 600, 700)] give_up_ms: u64,
    #[values(300, 450, 600, 750, 900)] before_ms: u64,
) {
    let begins_ms = started_after(cut(give_up_ms));
    let mut owner = cut(give_up_ms);
    let before = owner.starts.len();
    work(&mut owner, begins_ms - before_ms);
    owner.cut.fill(false);
    work(&mut owner, LONGEST_MS);
    assert_eq!(owner.starts.len(), before, "it started again");
    assert_eq!(owner.state(JOB), Some(State::Completed));
    assert!(owner.saved(JOB).is_some_and(|saved| saved.is_done(0)));
}

/// Guards against a question that was given up late counting as the silence of a worker that
/// has answered a later one.
#[test]
fn a_worker_that_answered_a_later_question_is_not_silent() {
    let mut owner = cut_off(GIVE_UP_MS);
    let begins_ms = started_after(cut_off(GIVE_UP_MS));
    work(&mut owner, begins_ms - 300);
    owner.cut.fill(false);
    work(&mut owner, GIVE_UP_MS + 300);
    let silences = |notes: &[String]| {
        let notes = notes.iter().filter(|text| text.contains("does not answer"));
        notes.count()
    };
    assert_eq!(silences(&owner.notes), 1, "{:?}", owner.notes);
    let task = name(JOB, 0, 0);
    assert_eq!(owner.starts_of(task), 1);
}
