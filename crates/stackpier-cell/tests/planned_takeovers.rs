// SPDX-License-Identifier: Apache-2.0
//! Owners that release the cell while workers leave: a task that runs nowhere does not wait for
//! these workers under the next owner, however many owners follow.

mod common;

use common::{
    chain::{Chain, FORCED_MS, LASTS, VACANT_MS},
    info,
    shapes::stop_task,
    sized,
};
use rstest::rstest;
use stackpier_cell::Info;

/// OTHERS is how many workers there are besides the one that the task ran on.
const OTHERS: usize = 10;
/// LEAVING is the worker that leaves. It never ran the task.
const LEAVING: usize = OTHERS;
/// ACTS_MS is how long each owner of a series acts.
const ACTS_MS: u64 = 600;
/// LEASES_OVER_MS is a time after which no lease of an earlier owner is valid.
const LEASES_OVER_MS: u64 = 10_000;

/// announce has a worker announce its end.
fn announce(chain: &mut Chain, place: usize) {
    chain.list(Info {
        draining: true,
        remaining_ms: Some(2_000),
        ..info(place)
    });
}

/// stop_beside_leaving returns a cell whose long-running task runs nowhere, beside a worker that
/// has announced its end.
fn stop_beside_leaving() -> Chain {
    let mut chain = stop_task(OTHERS);
    announce(&mut chain, LEAVING);
    chain.advance(100);
    chain
}

/// Guards against tasks that run nowhere waiting, after a planned takeover, for the leases on a
/// worker that left before the next owner had two reports of it.
#[rstest]
#[case::never_answers(0, true)]
#[case::answers_once(1, true)]
#[case::never_answers_an_owner_that_just_started(0, false)]
#[case::answers_an_owner_that_just_started_once(1, false)]
fn a_worker_that_leaves_does_not_hold_back_tasks_after_a_release(
    #[case] answers: usize,
    #[case] seen: bool,
) {
    let mut chain = stop_beside_leaving();
    if answers == 0 {
        chain.cut.insert(LEAVING);
    }
    chain.release_owner(VACANT_MS, seen);
    // The first renewal has arrived there by now.
    chain.cut.insert(LEAVING);
    chain.unlist(LEAVING);
    chain.advance_until_run();
    chain.check();
}

/// Guards against owners that are restarted in a row each beginning the wait for a worker anew.
#[rstest]
#[case::seen(true)]
#[case::just_started(false)]
fn a_worker_that_leaves_does_not_hold_back_tasks_over_releases_in_a_row(#[case] seen: bool) {
    let mut chain = stop_beside_leaving();
    chain.cut.insert(LEAVING);
    chain.unlist(LEAVING);
    for _ in 0..6 {
        chain.release_owner(VACANT_MS, seen);
        chain.advance(ACTS_MS);
    }
    chain.advance_until_run();
    chain.check();
}

/// Guards against the wait for the lease of a task's own worker beginning anew with each owner of a
/// row: it ends with the lease that the first of them granted.
#[test]
fn the_wait_for_the_worker_of_a_task_does_not_begin_anew_with_each_release() {
    let mut chain = Chain::new(3);
    for place in 0..3 {
        chain.list(info(place));
    }
    chain.advance(100);
    chain.submit_long_running(LASTS, sized(6_000, 1));
    chain.advance(1_000);
    let place = chain.places()[0];
    chain.cut.insert(place);
    chain.unlist(place);
    chain.owner.workers[place].runs.clear();
    for _ in 0..8 {
        chain.release_owner(VACANT_MS, false);
        chain.advance(ACTS_MS);
    }
    chain.advance_until_run();
    chain.check_within(FORCED_MS);
}

/// Guards against the opposite fault: a task that may still run on a worker that can't be reached
/// is started elsewhere.
#[rstest]
#[case::one_takeover(1)]
#[case::three_takeovers(3)]
fn a_task_waits_for_its_own_worker_over_releases(#[case] owners: usize) {
    let mut chain = Chain::new(3);
    for place in 0..3 {
        chain.list(info(place));
    }
    chain.advance(100);
    chain.submit_long_running(LASTS, sized(6_000, 1));
    chain.advance(500);
    let place = chain.places()[0];
    chain.cut.insert(place);
    for _ in 0..owners {
        chain.release_owner(VACANT_MS, true);
        chain.advance(ACTS_MS);
    }
    assert_eq!(chain.places(), [place], "its lease is valid");
    // `advance` checks that it never runs twice.
    chain.advance(LEASES_OVER_MS);
    assert_eq!(chain.places().len(), 1, "{}", chain.story());
    assert_ne!(chain.places(), [place]);
}
