// SPDX-License-Identifier: Apache-2.0
//! Repeated jobs whose rounds are in memory only while they are due or run: no round is left out, runs
//! twice or before its time, across changes of the owner and with reports of rounds that are not in
//! memory.

mod common;

use std::collections::BTreeMap;

use common::{Owner, QUEUE, UNIX, info, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Cell, Event, Info, Options, RosterEntry, TaskName};
use stackpier_core::key;
use stackpier_state::job::{Progress, Record, Schedule, Spec, State, Step};

/// JOB is the repeated job.
const JOB: u64 = 1;
/// ROUNDS is how many rounds it has.
const ROUNDS: u32 = 30;
/// INTERVAL_MS is the time between two rounds, in milliseconds: several run at the same time.
const INTERVAL_MS: u64 = 300;
/// FIRST_MS is when the first round is due, in milliseconds after the start of a test.
const FIRST_MS: u64 = 500;
/// WORKERS is the number of workers.
const WORKERS: usize = 3;
/// COUNT_MS is a time, in milliseconds, within which the owner counts its entries.
const COUNT_MS: u64 = 1_100;

/// repeated returns a job of two steps that repeats.
fn repeated() -> Spec {
    let second = Step {
        after: vec![0],
        estimate_ms: 400,
        ..step(1)
    };
    let first = Step {
        estimate_ms: 500,
        ..step(2)
    };
    Spec {
        schedule: Some(Schedule {
            rounds: ROUNDS,
            first_ms: UNIX + FIRST_MS,
            interval_ms: INTERVAL_MS,
        }),
        ..spec(vec![first, second])
    }
}

/// owner returns an owner that has just been given the job.
fn owner() -> Owner {
    let mut owner = Owner::new(WORKERS);
    owner.submit(JOB, repeated());
    owner
}

/// successor returns the next owner, with the same workers and some saved progress.
fn successor(earlier: &Owner, progress: Option<Progress>) -> Owner {
    successor_with(earlier, repeated(), progress)
}

/// successor_with does the same with another description of the job.
fn successor_with(earlier: &Owner, spec: Spec, progress: Option<Progress>) -> Owner {
    let fence = earlier.cell.fence() + 1;
    let mut next = Owner::with(0, fence, false);
    next.now_ms = earlier.now_ms;
    let options = Options {
        max_lease_ms: 6_000,
        ..Options::default()
    };
    next.cell = Cell::new(options, fence, next.now(), 0);
    next.workers.clone_from(&earlier.workers);
    next.starts.clone_from(&earlier.starts);
    next.cut = vec![false; next.workers.len()];
    next.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..next.workers.len() {
        let Info { id, address, .. } = info(place);
        next.cell.add_roster(&RosterEntry { id, address });
        next.feed(Event::Listed(info(place)));
    }
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
        progress: progress.map(Box::new),
        cancelled: false,
    });
    next
}

/// names returns the names of all tasks of the job.
fn names() -> Vec<TaskName> {
    let of_round = |round| {
        let name = move |step, index| TaskName {
            job: key::Job(JOB),
            round,
            step,
            index,
        };
        [name(0, 0), name(0, 1), name(1, 0)]
    };
    (0..ROUNDS).flat_map(of_round).collect()
}

/// assert_each_started_once checks that each task started once.
fn assert_each_started_once(owner: &Owner) {
    let mut starts: BTreeMap<TaskName, usize> = BTreeMap::new();
    for (start, _) in &owner.starts {
        *starts.entry(start.order.task).or_default() += 1;
    }
    let wrong = names()
        .into_iter()
        .filter(|name| starts.get(name) != Some(&1));
    let wrong: Vec<String> = wrong
        .map(|name| format!("{name}: {:?}", starts.get(&name)))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// run_until_started moves the clock forward until a task of a round has started, and returns the time.
fn run_until_started(owner: &mut Owner, round: u32) -> u64 {
    let has_started = |owner: &Owner| {
        owner
            .starts
            .iter()
            .any(|(start, _)| start.order.task.round == round)
    };
    while !has_started(owner) && owner.now_ms < 60_000 {
        owner.advance(1);
    }
    owner.now_ms
}

/// Guards against rounds that are left out, start twice or early, or stay in memory after their end.
#[test]
fn all_rounds_run_once_at_their_times() {
    let mut owner = owner();
    for round in 0..ROUNDS {
        let started = run_until_started(&mut owner, round);
        let due = FIRST_MS + u64::from(round) * INTERVAL_MS;
        assert!(
            started >= due,
            "round {round} started at {started} ms, due at {due} ms"
        );
        assert!(
            started <= due + 100,
            "round {round} started at {started} ms, due at {due} ms"
        );
    }
    assert_eq!(owner.state(JOB), Some(State::Running));
    owner.advance(COUNT_MS + 1_500);
    assert_eq!(owner.state(JOB), Some(State::Completed));
    assert_each_started_once(&owner);
    let footprint = owner.cell.footprint();
    assert_eq!(footprint.tasks.entries, 0, "{footprint:?}");
    let saved = owner.saved(JOB).expect("its end is saved");
    assert!(
        (0..ROUNDS * 3).all(|index| saved.is_done(index)),
        "{saved:?}"
    );
}

/// Guards against successors that start rounds again which are done, or leave out rounds to come.
#[rstest]
fn a_successor_continues_with_the_rounds_that_are_left(
    #[values(0, 900, 3_000, 5_050, 9_400)] after_ms: u64,
    #[values(false, true)] twice: bool,
) {
    let mut owner = owner();
    owner.advance(after_ms);
    let saved = owner.saved(JOB);
    let mut next = successor(&owner, saved.clone());
    if twice {
        next.advance(2_000);
        let saved = next.saved(JOB).or(saved);
        next = successor(&next, saved);
    }
    next.advance(16_000);
    assert_eq!(next.state(JOB), Some(State::Completed));
    assert_each_started_once(&next);
}

/// early_successor returns the next owner while some rounds run, by whose wall clock no round is due for a
/// while.
fn early_successor() -> Owner {
    let mut owner = owner();
    run_until_started(&mut owner, 5);
    let late = Schedule {
        rounds: ROUNDS,
        first_ms: UNIX + 20_000,
        interval_ms: INTERVAL_MS,
    };
    let spec = Spec {
        schedule: Some(late),
        ..repeated()
    };
    let progress = owner.saved(JOB);
    successor_with(&owner, spec, progress)
}

/// Guards against second runs of a round that a predecessor started before it is due by the clock of
/// this owner, and against its end being lost.
#[test]
fn a_round_that_a_predecessor_started_early_does_not_start_again() {
    let mut next = early_successor();
    let before = next.starts.len();
    next.advance(10_000);
    assert_eq!(next.starts.len(), before, "nothing is due");
    next.advance(25_000);
    assert_eq!(next.state(JOB), Some(State::Completed));
    assert_each_started_once(&next);
}

/// Guards against starts before their time of tasks that a predecessor started early and that failed.
#[test]
fn a_round_that_a_predecessor_started_early_and_that_failed_waits_for_its_time() {
    let mut next = early_successor();
    let before = next.starts.len();
    let runs = next.workers.iter_mut().flat_map(|worker| &mut worker.runs);
    runs.for_each(|run| run.fail());
    next.advance(10_000);
    assert_eq!(next.starts.len(), before, "nothing is due");
    next.advance(25_000);
    assert_eq!(next.state(JOB), Some(State::Completed));
}

/// Guards against runs of a round that is done, on a worker that was cut off, going on for ever or
/// counting twice.
#[test]
fn a_late_report_of_a_round_that_is_done_changes_nothing() {
    let mut owner = owner();
    run_until_started(&mut owner, 3);
    let place = owner.starts.last().expect("it has started").1;
    owner.cut[place] = true;
    owner.advance(9_000);
    let saved = owner.saved(JOB).expect("rounds are done");
    let ran_elsewhere = (3 * 3..4 * 3).all(|index| saved.is_done(index));
    assert!(ran_elsewhere, "the round is done: {saved:?}");
    owner.cut[place] = false;
    owner.advance(14_000);
    assert_eq!(owner.state(JOB), Some(State::Completed));
    assert!(owner.workers.iter().all(|worker| worker.runs.is_empty()));
    let last = owner.saved(JOB).expect("its end is saved");
    let done = |progress: &Progress| {
        (0..ROUNDS * 3)
            .filter(|index| progress.is_done(*index))
            .count()
    };
    assert_eq!(done(&last), names().len());
    owner.advance(COUNT_MS);
    let footprint = owner.cell.footprint();
    assert_eq!(footprint.tasks.entries, 0, "{footprint:?}");
}

/// Guards against a cancelled job whose later rounds start.
#[test]
fn no_round_of_a_cancelled_job_starts() {
    let mut owner = owner();
    owner.advance(3_000);
    owner.feed(Event::Cancelled(key::Job(JOB)));
    let before = owner.starts.len();
    owner.advance(8_000);
    assert_eq!(owner.starts.len(), before);
    assert_eq!(owner.state(JOB), Some(State::Cancelled));
    assert_eq!(owner.cell.footprint().scheduled.entries, 0);
}
