// SPDX-License-Identifier: Apache-2.0
//! An owner that cannot reach the store while a successor takes over the cell.
//!
//! The failure: tasks ran twice at the same time, or ran again after their end was acknowledged.
//! A data centre was cut off for 5.5 s, and a second later the owner's own data centre was cut off
//! too, from the store as well. A successor took over, contacted the workers of the first data
//! centre when they were back, renewed their leases and acknowledged ends.
//!
//! How it came about: the predecessor still had 5 s of authority. By its own record the leases in
//! the first data centre expired in that time, so it started their tasks again on workers in its
//! own data centre, which had not seen a higher fencing token.
//!
//! The cause: if a worker is silent until its lease expires, or a new incarnation answers at its
//! address, an owner knows that nothing runs there any more. It does not know what a successor did
//! in the meantime: only a confirmation of the store rules out a successor.
//!
//! The first test fails in all its cases if an owner starts tasks on such evidence without the
//! store's confirmation.

mod common;

use common::{Owner, QUEUE, info, name, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Cell, EndCause, Event, Options, RosterEntry};
use stackpier_core::Millis;
use stackpier_standin::fleet::Worker;
use stackpier_state::job::{Spec, State, Step};

/// LEASE_MS is the length of a lease with the margins after which an owner counts it as expired.
const LEASE_MS: u64 = 6_400;
/// INHERITED_MS is how long an owner waits for workers that its predecessor held leases on.
const INHERITED_MS: u64 = 11_800;
/// LARGE_JOB_AT_MS is when the large job is submitted to such an owner: it still runs at the end of
/// the wait.
const LARGE_JOB_AT_MS: u64 = 5_500;
/// LARGE_JOB_MS is how long the large job runs, which takes all the capacity of a worker.
const LARGE_JOB_MS: u32 = 8_000;
/// TICK_MS is the time between two ticks, with the time that the store takes to answer.
const TICK_MS: u64 = 55;

fn long_running_step() -> Step {
    Step {
        long_running: true,
        ..step(1)
    }
}

/// successor returns an owner with a higher fencing token and a copy of the workers, of which
/// it reaches only one.
fn successor(earlier: &Owner, reached: usize, shape: Step) -> Owner {
    let mut later = Owner::with(0, earlier.cell.fence() + 1, true);
    later.now_ms = earlier.now_ms;
    later.workers = earlier.workers.clone();
    later.cut = vec![true; later.workers.len()];
    later.cut[reached] = false;
    for place in 0..later.workers.len() {
        later.cell.add_roster(&RosterEntry {
            id: format!("w{place}"),
            address: format!("address-{place}"),
        });
    }
    later.submit_to(1, QUEUE, spec(vec![shape]), 1, None);
    later.advance(100);
    later
}

/// replace_incarnation replaces a worker by its next incarnation.
fn replace_incarnation(owner: &mut Owner, place: usize) {
    let mut next = info(place);
    next.id = format!("w{place}-again");
    owner.workers[place] = Worker::new(next, 9_000, owner.now_ms);
}

/// Evidence is what shows an owner that a task's run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The worker did not answer until its lease expired.
    Lease,
    /// Another incarnation answers at the worker's address.
    Incarnation,
}

#[rstest]
#[case::lease(Evidence::Lease)]
#[case::incarnation(Evidence::Incarnation)]
fn without_the_store_tasks_of_silent_workers_do_not_start(#[case] evidence: Evidence) {
    let shape = match evidence {
        Evidence::Lease => long_running_step(),
        Evidence::Incarnation => step(1),
    };
    let mut earlier = Owner::new(2);
    earlier.submit(1, spec(vec![shape.clone()]));
    earlier.advance(500);
    let place = earlier.starts[0].1;
    earlier.cut[place] = true;
    earlier.advance(4_000);
    earlier.store = false;
    earlier.advance(500);
    let mut later = successor(&earlier, place, shape);
    match evidence {
        Evidence::Lease => {
            earlier.advance(LEASE_MS - 4_500);
            later.advance(LEASE_MS - 4_600);
            assert_eq!(later.workers[place].runs.len(), 1, "the successor renewed");
        }
        Evidence::Incarnation => {
            let acked = &later.workers[place].acked;
            assert!(
                acked.iter().any(|end| end.cause == EndCause::Done),
                "{acked:?}"
            );
            replace_incarnation(&mut earlier, place);
            earlier.cut[place] = false;
            earlier.advance(500);
        }
    }
    assert_eq!(earlier.starts.len(), 1, "{:?}", earlier.starts[1..].first());
    // No other owner took over: with the store's confirmation the task starts.
    earlier.store = true;
    earlier.advance(TICK_MS);
    assert_eq!(earlier.starts.len(), 2);
}

/// The leases of a predecessor also count as expired without an answer of the workers. The tasks
/// still wait for the store's confirmation.
#[rstest]
#[case::leases(Evidence::Lease)]
#[case::incarnation(Evidence::Incarnation)]
fn without_the_store_inherited_tasks_keep_waiting(#[case] evidence: Evidence) {
    let mut owner = Owner::with(2, 2, true);
    owner.cell.add_roster(&RosterEntry {
        id: "w1".to_owned(),
        address: "address-1".to_owned(),
    });
    owner.cut[1] = true;
    owner.feed(Event::Listed(info(0)));
    owner.submit_to(1, QUEUE, spec(vec![step(1)]), 1, None);
    owner.advance(10_000);
    owner.store = false;
    match evidence {
        Evidence::Lease => owner.advance(3_000),
        Evidence::Incarnation => {
            replace_incarnation(&mut owner, 1);
            owner.cut[1] = false;
            owner.advance(1_000);
        }
    }
    assert_eq!(owner.places(1, 0).len(), 0, "a third owner may have it");
    owner.store = true;
    owner.advance(TICK_MS);
    assert_eq!(owner.places(1, 0), [0]);
}

/// A successor may take over while an owner still reads the cell from the store: its authority
/// counts from the store's last confirmation, not from the end of the reading.
#[test]
fn an_owner_that_took_long_to_read_gives_no_orders_before_it_is_confirmed() {
    let mut owner = Owner::with(1, 2, true);
    owner.store = false;
    owner.now_ms = 10_000;
    let options = Options::default();
    owner.cell = Cell::new(options, 2, owner.now(), options.authority_ms);
    owner.cell.set_confirmed(Millis(4_000));
    owner.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    owner.cell.add_roster(&RosterEntry {
        id: "w0".to_owned(),
        address: "address-0".to_owned(),
    });
    owner.feed(Event::Listed(info(0)));
    owner.submit_to(1, QUEUE, spec(vec![step(1)]), 2, None);
    owner.advance(2_000);
    assert_eq!(owner.starts.len(), 0);
    owner.store = true;
    owner.advance(500);
    assert_eq!(owner.starts.len(), 1);
}

/// A worker that was given up is not in the roster, so a successor would not wait for it: it gets
/// no starts before it is in the roster again.
#[test]
fn a_worker_that_is_listed_again_gets_no_starts_before_the_roster_has_it() {
    let mut owner = Owner::new(1);
    owner.cut[0] = true;
    owner.feed(Event::Unlisted("w0".to_owned()));
    owner.advance(13_000);
    owner.store = false;
    owner.cut[0] = false;
    owner.feed(Event::Listed(info(0)));
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(2_000);
    assert_eq!(owner.starts.len(), 0);
    owner.store = true;
    owner.advance(500);
    assert_eq!(owner.starts.len(), 1);
}

/// An owner acts on reports of workers without the store, so that jobs go on in a data centre
/// that is cut off from it.
#[test]
fn without_the_store_jobs_begin_and_go_on_to_their_next_step() {
    let mut owner = Owner::new(1);
    owner.store = false;
    let second = Step {
        after: vec![0],
        ..step(1)
    };
    owner.submit(1, spec(vec![step(1), second]));
    owner.advance(2_500);
    assert_eq!(owner.places(1, 0), [0]);
    assert_eq!(owner.places(1, 1), [0]);
}

/// A long-running task starts again however its run ended, and an incarnation that has ended runs
/// nothing for any owner.
#[test]
fn without_the_store_long_running_tasks_of_a_dead_worker_start_elsewhere() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![long_running_step()]));
    owner.advance(300);
    owner.store = false;
    let place = owner.starts[0].1;
    replace_incarnation(&mut owner, place);
    owner.advance(1_000);
    assert_eq!(owner.places(1, 0), [place, 1 - place]);
}

/// An owner that was replaced may learn of a job of its successor before it learns of the
/// successor: jobs and ownership come by two watches, and the connection of one may hang. The job
/// is new to the owner, which could start all its tasks a second time on a worker that the
/// successor has not contacted.
#[test]
fn a_job_of_a_later_owner_shows_that_there_is_one() {
    let mut earlier = Owner::new(2);
    earlier.advance(500);
    let mut later = successor(&earlier, 0, step(1));
    later.feed(Event::Listed(info(0)));
    later.submit_to(2, QUEUE, spec(vec![step(1)]), 2, None);
    later.advance(100);
    earlier.submit_to(2, QUEUE, spec(vec![step(1)]), 2, None);
    earlier.advance(100);
    assert_eq!(later.starts_of(name(2, 0, 0)), 1);
    assert_eq!(earlier.starts_of(name(2, 0, 0)), 0);
    assert!(earlier.deposed);
}

/// Guards against copies of a task that has ended. Found by the fuzz test (all kinds of faults,
/// rate 5, seed 6): a predecessor without the store took a run on an unreachable worker for a slow
/// one, and started a copy elsewhere, 1.6 s after the successor had acknowledged its end.
#[test]
fn a_copy_starts_only_while_no_later_owner_can_have_acknowledged_the_end() {
    let shape = Step {
        speculative: true,
        estimate_ms: 2_000,
        ..step(1)
    };
    let mut earlier = Owner::new(2);
    earlier.submit(1, spec(vec![shape.clone()]));
    earlier.advance(500);
    let place = earlier.starts[0].1;
    earlier.cut[place] = true;
    earlier.store = false;
    let mut later = successor(&earlier, place, shape);
    later.advance(2_500);
    let acked = &later.workers[place].acked;
    assert!(
        acked.iter().any(|end| end.cause == EndCause::Done),
        "{acked:?}"
    );
    earlier.advance(4_500);
    assert_eq!(earlier.starts.len(), 1, "{:?}", earlier.starts[1..].first());
    // No other owner took over: with the store's confirmation a copy may start.
    earlier.store = true;
    earlier.advance(1_500);
    assert_eq!(earlier.starts.len(), 2);
}

/// large_job returns a job that takes all the capacity of one worker for longer than a lease.
fn large_job() -> Spec {
    let shape = Step {
        estimate_ms: LARGE_JOB_MS,
        ..step(8)
    };
    spec(vec![shape])
}

/// Guards against starting a task again on an old confirmation. Found by the fuzz test (all kinds
/// of faults: rate 15, seeds 80171 and 80980; rate 5, seed 80811): a task's worker was cut off
/// until its lease expired, and the store confirmed the ownership after that. The task waited for
/// free capacity. Then its owner was cut off, too. A successor reached the worker, and showed the
/// job as completed. When the predecessor had free capacity, it started the task, 3 to 4 s after
/// the store's last confirmation. That confirmation shows that no successor had reached the worker
/// by then, but not that none has reached it since.
#[test]
fn a_task_whose_end_was_not_received_starts_only_on_a_fresh_confirmation() {
    let mut earlier = Owner::new(2);
    earlier.submit(1, spec(vec![step(1)]));
    earlier.advance(300);
    let place = earlier.starts[0].1;
    earlier.cut[place] = true;
    earlier.advance(1_000);
    end_unreported(&mut earlier, place);
    earlier.submit(2, large_job());
    earlier.advance(LEASE_MS);
    check_fresh_confirmation(earlier, place);
}

/// The same failure, with an owner that waited until all leases of its predecessor expired.
#[test]
fn an_inherited_task_starts_only_on_a_fresh_confirmation() {
    let mut first = Owner::new(2);
    first.submit(1, spec(vec![step(1)]));
    first.advance(300);
    let place = first.starts[0].1;
    let mut earlier = successor(&first, 1 - place, step(1));
    earlier.feed(Event::Listed(info(1 - place)));
    earlier.advance(1_000);
    end_unreported(&mut earlier, place);
    earlier.advance(LARGE_JOB_AT_MS);
    earlier.submit_to(2, QUEUE, large_job(), 2, None);
    earlier.advance(INHERITED_MS - LARGE_JOB_AT_MS);
    check_fresh_confirmation(earlier, place);
}

/// end_unreported lets the only run on a worker that its owner cannot reach end as done.
fn end_unreported(owner: &mut Owner, place: usize) {
    let worker = &mut owner.workers[place];
    worker.advance(owner.now_ms);
    let ends = &worker.ends;
    assert!(
        ends.iter().any(|end| end.cause == EndCause::Done),
        "{ends:?}"
    );
}

/// check_fresh_confirmation lets a successor receive the end of a task on a worker, and then gives
/// the predecessor free capacity for the task, first without the store.
fn check_fresh_confirmation(mut earlier: Owner, place: usize) {
    let before = earlier.starts_of(name(1, 0, 0));
    earlier.store = false;
    let mut later = successor(&earlier, place, step(1));
    later.advance(500);
    assert_eq!(later.state(1), Some(State::Completed));
    earlier.advance(4_000);
    let free = &earlier.workers[1 - place];
    assert!(
        free.runs.is_empty(),
        "there is free capacity: {:?}",
        free.runs
    );
    assert_eq!(earlier.starts_of(name(1, 0, 0)), before);
    // No other owner took over: with the store's confirmation the task may start.
    earlier.store = true;
    earlier.advance(500);
    assert_eq!(earlier.starts_of(name(1, 0, 0)), before + 1);
}

/// Guards against a start that is sent on an old confirmation, found by the fuzz test with a copy:
/// a start that may crash its worker waits for a save. The save took a second, and the start was
/// sent after it, although a successor might have acknowledged the end of its task meanwhile.
#[test]
fn a_start_that_waited_long_for_a_save_is_not_sent_without_a_confirmation() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(500);
    let first = owner.starts[0].1;
    // Its worker stops answering soon after the start, so the task is suspected of a crash.
    owner.cut = vec![true, true];
    owner.advance(4_500);
    owner.feed(Event::Unlisted(info(first).id));
    owner.advance(4_500);
    assert_eq!(owner.starts_of(name(1, 0, 0)), 1);
    // The answer to the next save takes long.
    owner.save_ms = 1_500;
    owner.cut[1 - first] = false;
    while owner.cell.running() == 0 {
        owner.advance(1);
    }
    assert_eq!(owner.starts_of(name(1, 0, 0)), 1, "it waits for the save");
    owner.store = false;
    owner.advance(3_000);
    assert_eq!(
        owner.starts_of(name(1, 0, 0)),
        1,
        "a successor may know its end"
    );
    let told = |line: &&String| line.contains("is not sent after its save");
    assert_eq!(owner.log_lines.iter().filter(told).count(), 1, "logged");
    owner.store = true;
    owner.save_ms = 2;
    owner.advance(2_000);
    assert_eq!(owner.starts_of(name(1, 0, 0)), 2);
}

/// Guards against starts after a long wait that no log line shows: nobody had learnt how the last run
/// ended.
#[test]
fn a_start_is_logged_whose_task_ended_unseen() {
    let mut owner = Owner::with(2, 2, true);
    owner.cut[1] = true;
    for place in 0..2 {
        owner.cell.add_roster(&RosterEntry {
            id: format!("w{place}"),
            address: format!("address-{place}"),
        });
        owner.feed(Event::Listed(info(place)));
    }
    owner.submit(1, spec(vec![long_running_step()]));
    owner.advance(13_000);
    let shown = |line: &&String| line.contains("without a run: unknown");
    let lines: Vec<&String> = owner.log_lines.iter().filter(shown).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_eq!(owner.resumed.len(), 1);
}
