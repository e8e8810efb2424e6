// SPDX-License-Identifier: Apache-2.0
//! Workers that restart under the same id.
//!
//! The failure: workers crashed repeatedly and restarted under their old ids. Tasks that had
//! ended as done on them were started again, one of them 22 times, and the steps that waited for
//! these tasks had not begun at the end of the run. The owner logged runs that were gone without
//! an end, only on these workers. Replays showed lost ends on 72 workers, all of which had
//! restarted.
//!
//! The cause: the owner kept what it knew of a worker by its id alone, so it did not tell
//! incarnations apart. A new incarnation numbers its ends from one again. These numbers were
//! below the highest one already known, so the owner ignored the ends and acknowledged them, and
//! the worker forgot them.
//!
//! All of these tests but one fail if incarnations are not told apart: each task starts twice,
//! or a step does not begin.

mod common;

use common::{Owner, QUEUE, info, name, spec, step};
use rstest::rstest;
use stackpier_cell::{Event, Info, Started, maintenance::Plan};
use stackpier_core::Unix;
use stackpier_standin::fleet::{Behaviour, Worker};
use stackpier_state::job::{Spec, State, Step};

/// EARLIER is a job that runs on the first incarnation of a worker.
const EARLIER: u64 = 1;
/// LATER is a job that runs on a later incarnation.
const LATER: u64 = 2;
/// WIDTH is how many tasks a step has: all of them fit on one worker.
const WIDTH: u32 = 8;
/// CLOCK_MS is what the clock of a later incarnation shows at its start.
const CLOCK_MS: u64 = 20;
/// HEARTBEAT_MS is the time from that start until the incarnation's entry is listed.
const HEARTBEAT_MS: u64 = 1_500;
/// IDLE_MS is longer than the time between two polls of an idle worker.
const IDLE_MS: u64 = 5_100;
/// START_MS is the wall clock at the start of a worker's first incarnation.
const START_MS: u64 = 1_700_000_000_000;

/// incarnation describes one of the incarnations of a worker.
fn incarnation(place: usize, number: u64) -> Info {
    Info {
        started_at: Some(Unix(START_MS + number)),
        ..info(place)
    }
}

/// owner starts the owner of some workers in their first incarnation.
fn owner(workers: usize) -> Owner {
    let mut owner = Owner::with(workers, 1, false);
    for place in 0..workers {
        owner.workers[place].info = incarnation(place, 0);
        owner.feed(Event::Listed(incarnation(place, 0)));
    }
    owner.advance(100);
    owner
}

/// restart replaces a worker by a later incarnation. The list still has the old entry.
fn restart(owner: &mut Owner, place: usize, number: u64) {
    owner.workers[place] = Worker::new(incarnation(place, number), CLOCK_MS, owner.now_ms);
}

/// list adds the entry of an incarnation to the list.
fn list(owner: &mut Owner, place: usize, number: u64) {
    owner.feed(Event::Listed(incarnation(place, number)));
}

/// complete_earlier_job runs a job on the first incarnations.
fn complete_earlier_job(owner: &mut Owner) {
    owner.submit(EARLIER, spec(vec![step(WIDTH)]));
    owner.advance(2_000);
    assert_eq!(owner.state(EARLIER), Some(State::Completed));
}

/// starts returns how often each task of the first step of a job was started.
fn starts(owner: &Owner, job: u64) -> Vec<usize> {
    let tasks = (0..WIDTH).map(|index| name(job, 0, index));
    tasks.map(|task| owner.starts_of(task)).collect()
}

/// News is the way in which an owner first learns of a later incarnation.
#[derive(Clone, Copy, Debug)]
enum News {
    /// Its entry is listed first.
    Entry,
    /// A start is sent to it before its entry is listed.
    Start,
    /// It answers a poll for its clock before its entry is listed.
    Report,
}

/// submit_after_restart restarts a worker and submits a job for it.
fn submit_after_restart(owner: &mut Owner, news: News, job: Spec) {
    restart(owner, 0, 1);
    match news {
        News::Entry => {
            list(owner, 0, 1);
            owner.submit(LATER, job);
        }
        News::Start => {
            owner.submit(LATER, job);
            owner.advance(HEARTBEAT_MS);
            list(owner, 0, 1);
        }
        News::Report => {
            owner.advance(IDLE_MS);
            owner.submit(LATER, job);
            owner.advance(HEARTBEAT_MS);
            list(owner, 0, 1);
        }
    }
}

#[rstest]
fn a_task_that_ends_in_a_later_incarnation_is_done(
    #[values(News::Entry, News::Start, News::Report)] news: News,
) {
    let mut owner = owner(1);
    complete_earlier_job(&mut owner);
    submit_after_restart(&mut owner, news, spec(vec![step(WIDTH)]));
    owner.advance(2_000);
    assert_eq!(starts(&owner, LATER), [1; WIDTH as usize]);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}

#[rstest]
fn a_step_begins_once_the_step_before_it_ended_in_a_later_incarnation(
    #[values(News::Entry, News::Start, News::Report)] news: News,
) {
    let mut owner = owner(1);
    complete_earlier_job(&mut owner);
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    submit_after_restart(&mut owner, news, spec(vec![step(1), second]));
    // Both steps take a second each.
    owner.advance(3_000);
    assert_eq!(owner.starts_of(name(LATER, 1, 0)), 1);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}

#[rstest]
fn tasks_that_a_restart_interrupts_start_once_more(
    #[values(News::Entry, News::Report)] news: News,
) {
    let mut owner = owner(2);
    complete_earlier_job(&mut owner);
    owner.submit(LATER, spec(vec![step(WIDTH)]));
    owner.advance(500);
    let on_first = owner.workers[0].runs.len();
    assert!(on_first > 0);
    restart(&mut owner, 0, 1);
    if matches!(news, News::Entry) {
        list(&mut owner, 0, 1);
    }
    // The next report shows the later incarnation, or its entry does before that. Tasks that may
    // have crashed the worker start one after the other, a second apart.
    owner.advance(12_000);
    let again = starts(&owner, LATER)
        .iter()
        .filter(|starts| **starts == 2)
        .count();
    assert_eq!(again, on_first);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}

/// The clock of a later incarnation starts again. Measured by the clock of the earlier one, its
/// leases would last as long as the earlier one had run.
#[test]
fn tasks_of_a_later_incarnation_that_is_silent_start_elsewhere_once_its_lease_expires() {
    let mut owner = owner(2);
    owner.advance(60_000);
    restart(&mut owner, 0, 1);
    list(&mut owner, 0, 1);
    owner.cut[1] = true;
    owner.advance(IDLE_MS);
    owner.submit(
        LATER,
        spec(vec![Step {
            estimate_ms: 20_000,
            ..step(1)
        }]),
    );
    owner.advance(500);
    assert_eq!(owner.workers[0].runs.len(), 1);
    owner.cut = vec![true, false];
    // Leases last 6 s at most, by clocks that may run 2% slow.
    owner.advance(7_500);
    assert_eq!(owner.starts_of(name(LATER, 0, 0)), 2);
}

/// An old entry that is read late must not end the incarnation that has answered since.
#[test]
fn an_entry_of_an_earlier_incarnation_changes_nothing() {
    let mut owner = owner(1);
    restart(&mut owner, 0, 1);
    list(&mut owner, 0, 1);
    owner.advance(100);
    owner.submit(LATER, spec(vec![step(WIDTH)]));
    owner.advance(500);
    list(&mut owner, 0, 0);
    owner.advance(2_000);
    assert_eq!(starts(&owner, LATER), [1; WIDTH as usize]);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}

/// The wall clock may jump back: any other start time means another incarnation.
#[test]
fn a_later_incarnation_may_have_an_earlier_start_time() {
    let mut owner = Owner::with(1, 1, false);
    owner.workers[0].info = incarnation(0, 5);
    owner.feed(Event::Listed(incarnation(0, 5)));
    owner.advance(100);
    complete_earlier_job(&mut owner);
    submit_after_restart(&mut owner, News::Start, spec(vec![step(WIDTH)]));
    owner.advance(2_000);
    assert_eq!(starts(&owner, LATER), [1; WIDTH as usize]);
}

/// Tasks may require a label, and only the entry of the later incarnation tells its labels.
#[test]
fn a_later_incarnation_gets_no_starts_before_its_own_entry_is_known() {
    let mut owner = owner(1);
    restart(&mut owner, 0, 1);
    owner.advance(IDLE_MS);
    owner.submit(LATER, spec(vec![step(WIDTH)]));
    owner.advance(1_000);
    assert_eq!(starts(&owner, LATER), [0; WIDTH as usize]);
    list(&mut owner, 0, 1);
    owner.advance(2_000);
    assert_eq!(starts(&owner, LATER), [1; WIDTH as usize]);
}

/// Guards against ends that are lost when an idle worker restarts unnoticed, found with real
/// daemons: it restarted within 30 ms. The next lease renewal was meant for the earlier
/// incarnation, waited at the later one, and made it forget its own ends up to the number that
/// was acknowledged to the earlier one.
#[test]
fn a_renewal_for_the_earlier_incarnation_makes_the_later_one_forget_nothing() {
    let mut owner = owner(1);
    owner.renewals_wait = true;
    complete_earlier_job(&mut owner);
    owner.advance(IDLE_MS);
    restart(&mut owner, 0, 1);
    // The tasks end while the renewal waits.
    let short = Step {
        estimate_ms: 300,
        ..step(WIDTH)
    };
    owner.submit(LATER, spec(vec![short]));
    owner.advance(HEARTBEAT_MS);
    list(&mut owner, 0, 1);
    owner.advance(2_000);
    assert_eq!(starts(&owner, LATER), [1; WIDTH as usize]);
    assert_eq!(owner.state(LATER), Some(State::Completed));
}

/// A task that crashes its workers may start five times at most, also if each worker soon answers
/// again under its old id.
#[test]
fn a_task_that_crashes_workers_which_restart_is_given_up() {
    for workers in [1, 4] {
        for restart_ms in [30, 300, 1_500] {
            let mut owner = owner(workers);
            owner.restart_ms = Some(restart_ms);
            owner.crashing.insert(name(LATER, 0, 0));
            owner.submit(LATER, spec(vec![step(1)]));
            owner.advance(40_000);
            let starts = owner.starts_of(name(LATER, 0, 0));
            assert_eq!(owner.state(LATER), Some(State::Failed), "{starts} starts");
            assert!(starts <= 5, "{starts} starts, back after {restart_ms} ms");
        }
    }
}

/// The first owner ends before it learns the outcome of the last start. The worker that accepted
/// the start is back under its old id.
#[test]
fn a_successor_counts_crashes_of_workers_that_restarted() {
    let mut owner = owner(4);
    owner.restart_ms = Some(300);
    owner.crashing.insert(name(LATER, 0, 0));
    owner.submit(LATER, spec(vec![step(1)]));
    while owner.starts_of(name(LATER, 0, 0)) < 2 {
        owner.advance(1);
    }
    let saved = owner.saved(LATER).expect("what counts against it is saved");
    let counted = saved.suspects[0].incarnations.len();
    let mut successor = Owner::with(4, 2, true);
    successor.submit_to(LATER, QUEUE, spec(vec![step(1)]), 1, Some(saved));
    for place in 0..4 {
        let info = owner.workers[place].info.clone();
        successor.workers[place].info = info.clone();
        successor.feed(Event::Listed(info));
    }
    successor.restart_ms = Some(300);
    successor.crashing.insert(name(LATER, 0, 0));
    successor.advance(40_000);
    let starts = successor.starts_of(name(LATER, 0, 0));
    assert_eq!(successor.state(LATER), Some(State::Failed));
    assert!(
        counted + starts <= 5,
        "{counted} counted, {starts} starts after that"
    );
}

/// Guards against a host that counts as down until the plan gives it up, because its worker comes
/// back under its old id.
#[test]
fn a_host_whose_worker_keeps_its_id_is_back_from_maintenance() {
    let mut owner = owner(2);
    owner.restart_ms = Some(0);
    owner.feed(Event::Plan(Plan {
        number: 1,
        hosts: vec!["h0".to_owned(), "h1".to_owned()],
        within_ms: 10_000,
        max_down: 1,
    }));
    // Each is down for two seconds.
    owner.advance(8_000);
    assert_eq!(owner.take_downs.len(), 2);
    let mut saves = owner.saves.iter().rev();
    let last = saves.find_map(|save| save.maintenance.clone());
    let last = last.expect("the plan was saved");
    assert!(last[0].completed, "{last:?}");
}

/// A successor may have reached the earlier incarnation and acknowledged the end of its run. That
/// the later incarnation does not show the run does not rule this out.
#[test]
fn without_the_store_a_start_that_the_earlier_incarnation_may_have_accepted_is_not_repeated() {
    let mut owner = owner(2);
    owner.renewals_wait = true;
    owner.submit(LATER, spec(vec![step(1)]));
    owner.advance(20);
    let place = owner.starts[0].1;
    owner.store = false;
    owner.advance(20);
    restart(&mut owner, place, 1);
    list(&mut owner, place, 1);
    owner.advance(3_000);
    assert_eq!(owner.starts_of(name(LATER, 0, 0)), 1);
    owner.store = true;
    owner.advance(2_000);
    assert_eq!(owner.starts_of(name(LATER, 0, 0)), 2);
}

/// A ticket is valid for one incarnation of a worker.
#[test]
fn a_later_incarnation_gets_no_ticket_of_the_earlier_one() {
    let mut owner = owner(1);
    let mut queue = common::queue("advised", 0);
    queue.advised = true;
    owner.feed(Event::Queues(vec![queue]));
    owner.submit_to(LATER, "advised", spec(vec![step(1)]), 1, None);
    assert_eq!(owner.advice_sizes, [1]);
    // The answer comes after 5 ms.
    restart(&mut owner, 0, 1);
    list(&mut owner, 0, 1);
    owner.advance(3_000);
    let ticket = owner.ticket("w0");
    assert!(!owner.starts.is_empty());
    for (start, _) in &owner.starts {
        assert_eq!(start.ticket.as_ref(), Some(&ticket));
    }
}

/// A start without an answer may arrive seconds later. The worker was ordered to stop the run,
/// but its later incarnation does not know of that order.
#[test]
fn a_late_start_is_refused_by_a_later_incarnation_too() {
    let mut owner = owner(1);
    owner.lose_starts = 1;
    owner.submit(LATER, spec(vec![step(1)]));
    // The worker has not begun it: the order is still on its way.
    let (late, _) = owner.starts[0].clone();
    owner.workers[0].runs.clear();
    owner.advance(4_000);
    assert_eq!(owner.state(LATER), Some(State::Completed));
    restart(&mut owner, 0, 1);
    list(&mut owner, 0, 1);
    owner.advance(100);
    let now_ms = owner.now_ms;
    let taken = owner.workers[0].start(now_ms, &late, Behaviour::default());
    assert_eq!(taken, Started::Old);
}
