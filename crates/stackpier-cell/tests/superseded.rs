// SPDX-License-Identifier: Apache-2.0
//! An owner that has lost the store while a successor takes the cell over.
//!
//! Seen: tasks ran twice at once, and tasks ran again whose end was noted. A
//! data centre was cut off for 5.5 s, and a second later than it the owner's
//! own, with the store beyond the cut. A successor took over, met the first data
//! centre's workers when they were back, renewed their leases and noted ends.
//!
//! How it came about: the earlier owner still had 5 s of authority. By its own
//! record the leases of the first data centre ran out in that time, so it started
//! their tasks again on workers beside it, which had met no higher fence.
//!
//! Cause: the silence of a worker, or a new life at its address, tells an owner
//! that nothing runs there; it does not tell what a successor did meanwhile. Only
//! the store tells that there is none.
//!
//! Proof: the first test fails in all its cases if an owner acts on these without
//! the store's word; the logs of the two daemons on the day that was red show the
//! same order of events.

mod common;

use common::{Owner, QUEUE, info, name, queue, spec, step};
use rstest::rstest;
use stackpier_cell::{Cell, EndCause, Event, Options, RosterEntry};
use stackpier_core::Millis;
use stackpier_standin::fleet::Worker;
use stackpier_state::job::{Spec, State, Step};

/// LEASE_MS is a lease with all that an owner adds until it counts as over.
const LEASE_MS: u64 = 6_400;
/// INHERITED_MS is how long an owner waits for workers that its predecessor leased.
const INHERITED_MS: u64 = 11_800;
/// CROWD_AT_MS is when such an owner is handed in a job that still works then.
const CROWD_AT_MS: u64 = 5_500;
/// CROWD_MS is how long a job works that takes all room.
const CROWD_MS: u32 = 8_000;
/// TICK_MS is the time between two ticks, after which a question to the store
/// has its answer.
const TICK_MS: u64 = 55;

fn long_running() -> Step {
    Step {
        long_running: true,
        ..step(1)
    }
}

/// successor makes an owner with a higher fence that sees the workers as they
/// are, and reaches only one.
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

/// next_life replaces a worker by its next life.
fn next_life(owner: &mut Owner, place: usize) {
    let mut next = info(place);
    next.id = format!("w{place}-again");
    owner.workers[place] = Worker::new(next, 9_000, owner.now_ms);
}

/// Silence is what tells an owner that a task's run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// The worker did not answer until its lease was over.
    Lease,
    /// Another life answers at the worker's address.
    Life,
}

#[rstest]
#[case::lease(Silence::Lease)]
#[case::life(Silence::Life)]
fn without_the_store_a_silence_starts_nothing(#[case] silence: Silence) {
    let shape = match silence {
        Silence::Lease => long_running(),
        Silence::Life => step(1),
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
    match silence {
        Silence::Lease => {
            earlier.advance(LEASE_MS - 4_500);
            later.advance(LEASE_MS - 4_600);
            assert_eq!(later.workers[place].runs.len(), 1, "the successor renewed");
        }
        Silence::Life => {
            let noted = &later.workers[place].noted;
            assert!(
                noted.iter().any(|end| end.cause == EndCause::Done),
                "{noted:?}"
            );
            next_life(&mut earlier, place);
            earlier.cut[place] = false;
            earlier.advance(500);
        }
    }
    assert_eq!(earlier.starts.len(), 1, "{:?}", earlier.starts[1..].first());
    // Nobody took over: the store's word is all that was missing.
    earlier.store = true;
    earlier.advance(TICK_MS);
    assert_eq!(earlier.starts.len(), 2);
}

/// The leases of an earlier owner count as over without an answer of its
/// workers, too.
#[rstest]
#[case::leases(Silence::Lease)]
#[case::life(Silence::Life)]
fn without_the_store_inherited_tasks_wait_on(#[case] silence: Silence) {
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
    match silence {
        Silence::Lease => owner.advance(3_000),
        Silence::Life => {
            next_life(&mut owner, 1);
            owner.cut[1] = false;
            owner.advance(1_000);
        }
    }
    assert_eq!(owner.places(1, 0).len(), 0, "a third owner may have it");
    owner.store = true;
    owner.advance(TICK_MS);
    assert_eq!(owner.places(1, 0), [0]);
}

/// Reading the cell takes time in which a later owner may come: authority counts
/// from the store's word, not from the end of the reading.
#[test]
fn an_owner_that_was_long_in_reading_gives_no_orders_before_it_is_confirmed() {
    let mut owner = Owner::with(1, 2, true);
    owner.store = false;
    owner.now_ms = 10_000;
    owner.cell = Cell::new(Options::default(), 2, owner.now(), true);
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

/// A worker that was given up is off the roster, which a later owner goes by: it
/// gets no starts before it is on it again.
#[test]
fn a_worker_that_shows_again_gets_no_starts_before_the_roster_has_it() {
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

/// What workers say themselves is acted on without the store: a data centre that
/// is cut off goes on with it.
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

/// A lasting task starts again however it ended, and a life that is over runs
/// nothing, whoever owned it last.
#[test]
fn without_the_store_long_running_tasks_of_a_dead_worker_start_elsewhere() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![long_running()]));
    owner.advance(300);
    owner.store = false;
    let place = owner.starts[0].1;
    next_life(&mut owner, place);
    owner.advance(1_000);
    assert_eq!(owner.places(1, 0), [place, 1 - place]);
}

/// An owner that was replaced may learn of a job of its successor before it learns of
/// the successor: jobs and ownership come by two watches, and the connection of one may
/// have gone silent. To it the job is new, and on a worker that its successor has not
/// met it could start all of it a second time.
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

/// Found by the fuzz once it had copies (all kinds of faults, rate 5, seed 6): an earlier
/// owner without the store took a run on a worker that it no longer reached for one that
/// lags, and started a copy elsewhere, 1.6 s after the later owner had noted its end.
#[test]
fn a_copy_starts_only_while_no_later_owner_can_have_noted_the_end() {
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
    let noted = &later.workers[place].noted;
    assert!(
        noted.iter().any(|end| end.cause == EndCause::Done),
        "{noted:?}"
    );
    earlier.advance(4_500);
    assert_eq!(earlier.starts.len(), 1, "{:?}", earlier.starts[1..].first());
    // Nobody took over: with the store's word a copy may start.
    earlier.store = true;
    earlier.advance(1_500);
    assert_eq!(earlier.starts.len(), 2);
}

/// crowd returns a job that takes all room of one worker for longer than a lease.
fn crowd() -> Spec {
    let shape = Step {
        estimate_ms: CROWD_MS,
        ..step(8)
    };
    spec(vec![shape])
}

/// Found by the fuzz (all kinds of faults: rate 15, seeds 80171 and 80980; rate 5, seed
/// 80811): a task's worker was cut off until its lease was over, and the store confirmed
/// the ownership after that. The task waited for room. Then its owner was cut off, too. Its
/// successor heard the worker, and showed the job as completed; when the earlier owner had
/// room, it started the task, 3 to 4 s after the store's last word. That word tells that
/// nobody had heard the worker by then. It does not tell that nobody has heard it since.
#[test]
fn a_task_that_ended_unseen_starts_only_on_a_fresh_word_of_the_store() {
    let mut earlier = Owner::new(2);
    earlier.submit(1, spec(vec![step(1)]));
    earlier.advance(300);
    let place = earlier.starts[0].1;
    earlier.cut[place] = true;
    earlier.advance(1_000);
    end_unheard(&mut earlier, place);
    earlier.submit(2, crowd());
    earlier.advance(LEASE_MS);
    check_fresh_word(earlier, place);
}

/// The same of an owner that waited until all leases of the one before it were over.
#[test]
fn an_inherited_task_starts_only_on_a_fresh_word_of_the_store() {
    let mut first = Owner::new(2);
    first.submit(1, spec(vec![step(1)]));
    first.advance(300);
    let place = first.starts[0].1;
    let mut earlier = successor(&first, 1 - place, step(1));
    earlier.feed(Event::Listed(info(1 - place)));
    earlier.advance(1_000);
    end_unheard(&mut earlier, place);
    earlier.advance(CROWD_AT_MS);
    earlier.submit_to(2, QUEUE, crowd(), 2, None);
    earlier.advance(INHERITED_MS - CROWD_AT_MS);
    check_fresh_word(earlier, place);
}

/// end_unheard lets the only run on a worker that its owner does not reach end well.
fn end_unheard(owner: &mut Owner, place: usize) {
    let worker = &mut owner.workers[place];
    worker.advance(owner.now_ms);
    let ends = &worker.ends;
    assert!(
        ends.iter().any(|end| end.cause == EndCause::Done),
        "{ends:?}"
    );
}

/// check_fresh_word has a successor hear the end of a task on a worker, and then gives the
/// earlier owner room for it, first without the store.
fn check_fresh_word(mut earlier: Owner, place: usize) {
    let before = earlier.starts_of(name(1, 0, 0));
    earlier.store = false;
    let mut later = successor(&earlier, place, step(1));
    later.advance(500);
    assert_eq!(later.state(1), Some(State::Completed));
    earlier.advance(4_000);
    let free = &earlier.workers[1 - place];
    assert!(free.runs.is_empty(), "there is room: {:?}", free.runs);
    assert_eq!(earlier.starts_of(name(1, 0, 0)), before);
    // Nobody took over: with the store's word it may start.
    earlier.store = true;
    earlier.advance(500);
    assert_eq!(earlier.starts_of(name(1, 0, 0)), before + 1);
}

/// Seen in the fuzz, for a copy: a start that may crash its worker waits for a save. That took
/// a second, and the start was sent after it, though a later owner might have noted its task's
/// end meanwhile.
#[test]
fn a_start_that_waited_long_for_a_save_is_not_sent_without_the_stores_word() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![step(1)]));
    owner.advance(500);
    let first = owner.starts[0].1;
    // Its worker falls silent soon after the start, so the task is suspected of a crash.
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
        "a later owner may know its end"
    );
    owner.store = true;
    owner.save_ms = 2;
    owner.advance(2_000);
    assert_eq!(owner.starts_of(name(1, 0, 0)), 2);
}
