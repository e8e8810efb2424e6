// SPDX-License-Identifier: Apache-2.0
//! How an owner reads the two lists of a worker's report: runs and ends.
//!
//! The failure: in one run of each of two deployments some 450 tasks, a tenth of all, were started
//! again after they had ended as done. Both ends were acknowledged, and the same owner made both
//! starts.
//!
//! How it may have come about: the owner took an end as known if its number was not above the
//! highest number that it had received from the worker. If a list was not ordered by number, ends
//! were lost: the owner ignored them, and acknowledged them to the worker. The next report showed
//! their runs neither as running nor as ended, so their tasks were started again.
//!
//! The cause: an end was taken as proof that all ends with lower numbers were known. The platform
//! promises rising numbers, but no order of the list.
//!
//! In a simulation with workers that list the newest end first, or in a random order, as many
//! tasks start again as in the deployments, and most second runs end as done. With ends that are
//! listed late, or truncated lists, second runs are stopped. `platform/tests/listing.rs` tests the
//! same with real daemons. It is not proved that the workers of the deployments listed ends in this
//! way.

mod common;

use common::{Owner, QUEUE, info, name, spec, step};
use stackpier_cell::{
    Effect, End, EndCause, Event, Renewed, Report, RosterEntry, Started, WorkerKey,
};
use stackpier_core::Millis;
use stackpier_standin::fleet::{
    Worker,
    listing::{Listing, Order},
};
use stackpier_state::job::State;

/// TASKS is how many tasks run on one worker and end at the same time.
const TASKS: u32 = 6;
/// WORK_MS is more than twice as long as these tasks run.
const WORK_MS: u64 = 4_000;

/// run_tasks runs tasks that end together on a worker that lists ends in the given way. It
/// returns how often each task was started, and the state of the job.
fn run_tasks(listing: Listing) -> (Vec<usize>, Option<State>) {
    let mut owner = Owner::new(1);
    owner.workers[0].listing = listing;
    owner.submit(1, spec(vec![step(TASKS)]));
    owner.advance(WORK_MS);
    let starts = (0..TASKS).map(|index| owner.starts_of(name(1, 0, index)));
    (starts.collect(), owner.state(1))
}

/// completed_once is the expected result: each task starts once, and the job is completed.
fn completed_once() -> (Vec<usize>, Option<State>) {
    (vec![1; TASKS as usize], Some(State::Completed))
}

#[test]
fn ends_count_in_whatever_order_they_are_listed() {
    let orders = [
        Order::Numbered,
        Order::NewestFirst,
        Order::Shuffled(1),
        Order::Shuffled(2),
    ];
    let results = orders.map(|order| run_tasks(Listing::in_order(order)));
    assert_eq!(results, orders.map(|_| completed_once()));
}

/// The two lists of a report may be taken at different times: an end may show in the next report.
#[test]
fn an_end_that_shows_one_report_late_is_waited_for() {
    assert_eq!(run_tasks(Listing::late()), completed_once());
}

/// The platform lists 500 ends at a time. It lists the others once these are acknowledged, for
/// which the store must have answered.
#[test]
fn ends_beyond_a_list_that_is_cut_are_waited_for() {
    let mut owner = Owner::new(1);
    owner.workers[0].listing = Listing::limited_to(2);
    owner.submit(1, spec(vec![step(TASKS)]));
    owner.advance(500);
    owner.store = false;
    owner.advance(WORK_MS);
    owner.store = true;
    owner.advance(WORK_MS);
    let starts = (0..TASKS).map(|index| owner.starts_of(name(1, 0, index)));
    assert_eq!((starts.collect(), owner.state(1)), completed_once());
}

/// run_successor runs the job under an owner that cannot save, and lets a second owner take over
/// once all its tasks have ended. It returns the second owner after some seconds.
fn run_successor(listing: Listing) -> Owner {
    let mut first = Owner::new(1);
    first.submit(1, spec(vec![step(TASKS)]));
    first.advance(500);
    first.store = false;
    first.advance(1_500);
    let mut second = Owner::with(1, 2, true);
    second.now_ms = first.now_ms;
    second.workers = first.workers;
    second.workers[0].listing = listing;
    let address = info(0).address;
    let id = info(0).id;
    second.cell.add_roster(&RosterEntry { id, address });
    second.feed(Event::Listed(info(0)));
    second.submit_to(1, QUEUE, spec(vec![step(TASKS)]), 1, None);
    second.advance(WORK_MS);
    second
}

/// A successor has contacted a worker once it has received all of its ends: a list that is cut has
/// only the first ends, which tell nothing about the other tasks.
#[test]
fn a_successor_waits_for_the_ends_beyond_a_list_that_is_cut() {
    let successor = run_successor(Listing::limited_to(2));
    assert_eq!(successor.starts.len(), 0);
    assert_eq!(successor.state(1), Some(State::Completed));
}

/// A successor also waits for the next report, which may list ends that the first one lacks.
#[test]
fn a_successor_waits_for_ends_that_show_one_report_late() {
    let successor = run_successor(Listing::late());
    assert_eq!(successor.starts.len(), 0);
    assert_eq!(successor.state(1), Some(State::Completed));
}

/// A run whose end no report lists is given up, so that its task does not wait forever.
#[test]
fn a_task_whose_run_is_gone_for_good_starts_again() {
    let mut owner = Owner::new(1);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(300);
    owner.workers[0].runs.clear();
    owner.advance(800);
    assert_eq!(owner.starts_of(name(1, 0, 0)), 1);
    owner.advance(WORK_MS);
    assert_eq!(owner.starts_of(name(1, 0, 0)), 2);
    assert_eq!(owner.state(1), Some(State::Completed));
}

/// step_with passes an event to an owner. The worker accepts all starts, but never reports them.
fn step_with(owner: &mut Owner, event: Event) -> Vec<Effect> {
    let mut effects = owner.cell.step(owner.now(), event);
    let started = |effect: &Effect| match effect {
        Effect::Start(start) => Some(start.order.key),
        _ => None,
    };
    let runs: Vec<_> = effects.iter().filter_map(started).collect();
    for run in runs {
        let outcome = Started::Yes;
        effects.extend(
            owner
                .cell
                .step(owner.now(), Event::Started { run, outcome }),
        );
    }
    effects
}

/// report passes a report of the only worker to an owner, with the ends that have the given
/// numbers. It returns the number up to which the owner then acknowledges ends, or zero if it
/// acknowledges no further ends.
fn report(owner: &mut Owner, worker: WorkerKey, numbers: &[u64]) -> Option<u64> {
    let end = |number: &u64| End {
        number: *number,
        task: name(1, 0, *number as u32 % TASKS),
        run: 1,
        cause: EndCause::Done,
        checkpoint: String::new(),
    };
    let sent = Millis(owner.now_ms);
    owner.now_ms += 1;
    let outcome = Renewed::Report(Report {
        started_at: None,
        clock_ms: owner.now_ms,
        running: Vec::new(),
        ended: numbers.iter().map(end).collect(),
        whole: true,
    });
    let renewed = Event::Renewed {
        worker,
        sent,
        outcome,
    };
    let mut effects = step_with(owner, renewed);
    while effects
        .iter()
        .any(|effect| matches!(effect, Effect::Save(_)))
    {
        owner.now_ms += 1;
        effects = step_with(owner, Event::Saved(true));
    }
    let acked = effects.iter().find_map(|effect| match effect {
        Effect::Renew(renewal) => Some(renewal.acked),
        _ => None,
    });
    owner.now_ms += 1_000;
    acked
}

/// owner_of_worker returns an owner that has read the job of these tests, and its only worker.
fn owner_of_worker() -> (Owner, WorkerKey) {
    let mut owner = Owner::with(0, 2, false);
    owner.submit_to(1, QUEUE, spec(vec![step(TASKS)]), 1, None);
    let effects = owner.cell.step(owner.now(), Event::Listed(info(0)));
    let worker = effects.iter().find_map(|effect| match effect {
        Effect::Renew(renewal) => Some(renewal.worker),
        _ => None,
    });
    (owner, worker.expect("it is asked for a report"))
}

#[test]
fn an_end_that_shows_after_a_later_one_is_not_forgotten_before_it_is_known() {
    let (mut owner, worker) = owner_of_worker();
    assert_eq!(report(&mut owner, worker, &[1]), Some(1));
    assert_eq!(report(&mut owner, worker, &[3]), Some(0));
    assert_eq!(report(&mut owner, worker, &[2, 3]), Some(3));
}

/// Two reports in quick succession may both lack the end that is missing.
#[test]
fn a_gap_is_waited_for_as_long_as_a_run_that_is_not_shown() {
    let (mut owner, worker) = owner_of_worker();
    assert_eq!(report(&mut owner, worker, &[1]), Some(1));
    for _ in 0..10 {
        report(&mut owner, worker, &[3]);
        owner.now_ms -= 990;
        let effects = owner.cell.step(owner.now(), Event::Tick);
        let acked = effects.iter().find_map(|effect| match effect {
            Effect::Renew(renewal) => Some(renewal.acked),
            _ => None,
        });
        assert!(acked.is_none_or(|acked| acked == 0), "{acked:?}");
    }
}

/// A successor has not contacted a worker while ends with lower numbers than the listed ones may be
/// missing.
#[test]
fn a_successor_waits_for_ends_below_those_that_are_listed() {
    let mut owner = Owner::with(1, 2, true);
    let address = info(0).address;
    let id = info(0).id;
    owner.cell.add_roster(&RosterEntry { id, address });
    owner.submit_to(1, QUEUE, spec(vec![step(2)]), 1, None);
    owner.feed(Event::Listed(info(0)));
    for numbers in [&[][..], &[61], &[60, 61]] {
        report(&mut owner, WorkerKey::default(), numbers);
        owner.now_ms -= 990;
        owner.feed(Event::Tick);
    }
    assert_eq!(owner.cell.running(), 0);
}

/// A predecessor may have acknowledged the ends below those that are listed.
#[test]
fn ends_that_no_report_lists_delay_the_others_by_one_report() {
    let (mut owner, worker) = owner_of_worker();
    assert_eq!(report(&mut owner, worker, &[57, 58]), Some(0));
    assert_eq!(report(&mut owner, worker, &[57, 58]), Some(58));
    assert_eq!(report(&mut owner, worker, &[59]), Some(59));
}

/// A worker may be lost while the owner still waits for ends below those that it listed. All listed
/// ends are saved, so a successor need not wait for the worker.
#[test]
fn a_worker_that_is_lost_with_a_gap_in_its_ends_is_given_up() {
    let (mut owner, worker) = owner_of_worker();
    owner.workers = vec![Worker::new(info(0), 5_000, owner.now_ms)];
    owner.cut = vec![true];
    assert_eq!(report(&mut owner, worker, &[57]), Some(0));
    let sent = Millis(owner.now_ms);
    let outcome = Renewed::Silent;
    owner.feed(Event::Renewed {
        worker,
        sent,
        outcome,
    });
    owner.feed(Event::Unlisted(info(0).id));
    owner.advance(20_000);
    let roster = owner
        .saves
        .iter()
        .rev()
        .find_map(|save| save.roster.clone());
    assert_eq!(roster, Some(Vec::new()));
}
