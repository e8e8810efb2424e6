// SPDX-License-Identifier: Apache-2.0
//! The roster: the workers that may run something for the cell. A successor waits for them.

mod common;

use common::{Owner, info, spec, step};
use stackpier_cell::{Event, Info};
use stackpier_state::job::Step;

/// A worker that was given up and comes back gets no start until it is in the saved roster again:
/// a successor would not wait for it.
#[test]
fn a_worker_that_comes_back_is_in_the_roster_before_it_gets_starts() {
    let mut owner = Owner::new(1);
    owner.advance(500);
    owner.cut[0] = true;
    owner.feed(Event::Unlisted("w0".to_owned()));
    owner.advance(20_000);
    let mut rosters = owner
        .saves
        .iter()
        .rev()
        .filter_map(|save| save.roster.clone());
    assert!(
        rosters.next().is_some_and(|roster| roster.is_empty()),
        "given up"
    );
    owner.cut[0] = false;
    owner.store = false;
    owner.submit(2, spec(vec![step(1)]));
    owner.feed(Event::Listed(info(0)));
    owner.advance(2_000);
    assert!(owner.places(2, 0).is_empty());
}

/// Guards against owners that wait for workers which left long ago. In a run with three changes of
/// the owner, long-running tasks did not run for 29 seconds: the first owner kept three workers
/// that had left in the roster until their leases expired, and lost the cell before that. Each
/// successor waited for them, at most until the leases of its predecessor had expired, and logged
/// that runs of a predecessor were possible.
#[test]
fn a_worker_that_leaves_with_nothing_on_it_is_not_in_the_roster() {
    let mut owner = Owner::new(2);
    owner.submit(
        1,
        spec(vec![
            step(8),
            Step {
                after: vec![0],
                ..step(8)
            },
        ]),
    );
    owner.advance(500);
    assert!(!owner.workers[1].runs.is_empty() || !owner.workers[0].runs.is_empty());
    let leaving = Info {
        draining: true,
        remaining_ms: Some(6_000),
        ..info(1)
    };
    owner.feed(Event::Listed(leaving));
    owner.advance(3_000);
    assert!(owner.workers[1].runs.is_empty(), "nothing is left there");
    let rosters = owner.saves.iter().rev();
    let mut rosters = rosters.filter_map(|save| save.roster.clone());
    let ids: Vec<String> = rosters
        .next()
        .expect("a roster")
        .into_iter()
        .map(|entry| entry.id)
        .collect();
    assert_eq!(ids, ["w0"]);
}

/// A worker that was deregistered but does not leave gets no start before it is in the roster
/// again.
#[test]
fn a_worker_that_does_not_leave_is_in_the_roster_before_it_gets_starts() {
    let mut owner = Owner::new(1);
    owner.feed(Event::Unlisted("w0".to_owned()));
    owner.advance(4_000);
    owner.store = false;
    owner.submit(2, spec(vec![step(1)]));
    owner.feed(Event::Listed(info(0)));
    owner.advance(1_000);
    assert!(
        owner.places(2, 0).is_empty(),
        "the store does not know of it"
    );
    owner.store = true;
    owner.advance(2_000);
    assert_eq!(owner.places(2, 0), [0]);
}

/// Guards against tasks that start again although they ended on a worker that leaves. The roster
/// without the worker and the progress with its last ends were in one save of several
/// transactions, and the owner was stopped after the first of them. 0.7 s after the tasks had
/// ended, the next owner started them again, while the worker still listed their ends.
/// `platform/tests/leaving.rs` tests the same with real daemons.
#[test]
fn a_worker_that_leaves_stays_in_the_roster_until_its_ends_are_saved() {
    let mut owner = Owner::new(2);
    owner.submit(1, spec(vec![step(12)]));
    owner.advance(500);
    let leaving = Info {
        draining: true,
        remaining_ms: Some(6_000),
        ..info(1)
    };
    owner.feed(Event::Listed(leaving));
    owner.store = false;
    let before = owner.saves.len();
    owner.advance(2_500);
    assert!(owner.workers[1].runs.is_empty(), "nothing is left there");
    assert!(
        !owner.workers[1].ends.is_empty(),
        "its ends are not acknowledged"
    );
    let rosters = owner.saves[before..].iter();
    for roster in rosters.filter_map(|save| save.roster.as_ref()) {
        assert!(roster.iter().any(|entry| entry.id == "w1"), "{roster:?}");
    }
    owner.store = true;
    owner.advance(1_000);
    let mut rosters = owner.saves.iter().rev();
    let roster = rosters.find_map(|save| save.roster.as_ref());
    let ids = roster.map(|roster| roster.iter().map(|entry| entry.id.as_str()).collect());
    assert_eq!(ids, Some(vec!["w0"]));
}

/// A worker that counted as dead while its ends were being saved is listed again. Its ends must be
/// acknowledged: otherwise it stays in the roster forever and is polled five times a second.
#[test]
fn a_worker_that_is_listed_again_forgets_the_ends_that_were_saved_meanwhile() {
    let mut owner = Owner::new(1);
    owner.submit(1, spec(vec![step(2)]));
    owner.advance(500);
    owner.store = false;
    owner.advance(1_500);
    let kept = owner.workers[0].clone();
    assert_eq!(kept.ends.len(), 2, "they are not saved");
    owner.workers[0].info.id = "another".to_owned();
    owner.advance(500);
    owner.store = true;
    owner.advance(500);
    owner.workers[0] = kept;
    owner.feed(Event::Listed(info(0)));
    owner.advance(1_500);
    assert!(owner.workers[0].ends.is_empty());
}
