// SPDX-License-Identifier: Apache-2.0
//! Workers that an owner has found silent before its successor takes over.
//!
//! The times without a run are measured as in `tests/inherited.rs`.

mod common;

use common::{
    Owner,
    chain::{Chain, GIVE_UP_MS, LASTS, LONG_RUNNING, NEXT_OWNER_MS, VACANT_MS, options},
    info, sized, spec,
};
use rstest::rstest;
use stackpier_cell::Info;

/// WORKERS is the number of workers.
const WORKERS: usize = 10;
/// SILENT_MS is how long a worker has been silent when its owner ends.
const SILENT_MS: u64 = 4_000;

/// run_everywhere returns a cell with long-running tasks on all workers, and the place of the
/// measured one.
fn run_everywhere() -> (Chain, usize) {
    let mut chain = Chain::new(WORKERS);
    for place in 0..WORKERS {
        chain.list(info(place));
    }
    chain.advance(100);
    chain.submit_long_running(LASTS, sized(3_000, 1));
    chain.submit_long_running(LONG_RUNNING, sized(3_000, WORKERS as u32));
    chain.advance(1_000);
    let places = chain.places();
    assert_eq!(places.len(), 1);
    (chain, places[0])
}

/// end_owners ends several owners in a row. The last of them takes over while its predecessor may
/// still act.
fn end_owners(chain: &mut Chain, owners: usize) {
    for owner in 0..owners {
        if owner > 0 {
            chain.advance(NEXT_OWNER_MS);
        }
        chain.replace_owner(VACANT_MS, true);
    }
}

/// Guards against a worker that the predecessor had found silent holding back all tasks of earlier
/// jobs after a takeover, for the authority of the predecessor and its longest lease.
#[rstest]
fn a_worker_found_silent_before_a_takeover_does_not_hold_back_other_tasks(
    #[values(1, 2, 3)] owners: usize,
    #[values(1, 4)] silent: usize,
) {
    let (mut chain, place) = run_everywhere();
    chain
        .cut
        .extend((1..=silent).map(|step| (place + step) % WORKERS));
    chain.advance(SILENT_MS);
    end_owners(&mut chain, owners);
    chain.advance(100);
    assert!(chain.owner.cell.running() > 0, "adopted");
    chain.list(Info {
        draining: true,
        remaining_ms: Some(6_000),
        ..info(place)
    });
    chain.advance(1_000);
    chain.advance_until_run();
    chain.check();
}

/// Guards against the tasks of a worker that the predecessor had found silent waiting, after a
/// takeover, for the authority of the predecessor and a lease that begins with the takeover.
#[rstest]
fn tasks_on_a_worker_found_silent_before_a_takeover_wait_for_its_lease_only(
    #[values(1, 2, 3)] owners: usize,
) {
    let (mut chain, place) = run_everywhere();
    chain.cut.insert(place);
    chain.advance(SILENT_MS);
    end_owners(&mut chain, owners);
    chain.advance_until_run();
    chain.check();
}

/// Guards against a suspended worker that answers again getting starts, or a lease, before the
/// suspension is withdrawn in the store: a successor would take its lease for expired.
#[test]
fn a_worker_that_answers_again_gets_starts_once_its_suspension_is_withdrawn() {
    const SAVE_MS: u64 = 500;
    let mut owner = Owner::new(2);
    owner.give_up_ms = Some(GIVE_UP_MS);
    owner.submit_long_running(1, sized(5_000, 2));
    owner.advance(500);
    owner.cut[1] = true;
    owner.advance(3_000);
    let last = |owner: &Owner| {
        let records = owner.saves.iter().rev();
        let mut records = records.filter_map(|save| save.suspensions.clone());
        records.next().expect("a record was saved").entries
    };
    assert_eq!(last(&owner).len(), 1, "{:?}", last(&owner));
    owner.save_ms = SAVE_MS;
    owner.cut[1] = false;
    owner.submit(2, spec(vec![sized(3_000, 2)]));
    let on_it = |owner: &Owner| owner.starts.iter().filter(|(_, place)| *place == 1).count();
    let before = on_it(&owner);
    while !last(&owner).is_empty() {
        owner.advance(1);
    }
    owner.advance(SAVE_MS - 50);
    assert_eq!(on_it(&owner), before, "the withdrawal is not saved yet");
    owner.advance(200);
    assert!(on_it(&owner) > before, "it gets starts again");
}

/// Guards against relying on a record whose author is not the direct predecessor: an owner of an
/// earlier version may have acted in between, and knows no suspensions.
#[test]
fn a_record_of_an_owner_before_the_predecessor_is_not_used() {
    let (mut chain, place) = run_everywhere();
    chain.cut.insert(place);
    chain.advance(SILENT_MS);
    assert_eq!(chain.suspensions.entries.len(), 1);
    chain.suspensions.fence -= 1;
    chain.replace_owner(VACANT_MS, true);
    let authority_ms = options().authority_ms;
    while !chain.places().is_empty() {
        chain.advance(1);
    }
    let waited_ms = chain.advance_until_run();
    assert!(waited_ms > authority_ms, "{waited_ms}: {}", chain.story());
}

/// Guards against a task that starts elsewhere while it still runs on a worker that answered the
/// successor and fell silent before its suspension was withdrawn: the successor has leased nothing
/// there, but its predecessor has. `observe` checks that the task never runs twice.
#[test]
fn leases_of_predecessors_count_until_a_suspended_worker_has_another() {
    let (mut chain, place) = run_everywhere();
    chain.cut.insert(place);
    chain.replace_owner(VACANT_MS, true);
    chain.advance(2_000);
    assert_eq!(chain.suspensions.entries.len(), 1, "by the successor");
    chain.owner.save_ms = 10_000;
    chain.cut.remove(&place);
    chain.advance(300);
    chain.cut.insert(place);
    assert_eq!(chain.places(), [place]);
    while !chain.places().is_empty() {
        chain.advance(1);
    }
    chain.advance_until_run();
}

/// Guards against owners that end before they suspend a worker that has ended, and against workers
/// suspended for a single call without an answer.
#[rstest]
#[case::refused(None, 600, true)]
#[case::unanswered(Some(GIVE_UP_MS), 900, false)]
fn a_worker_that_refuses_connections_is_suspended_soon(
    #[case] give_up_ms: Option<u64>,
    #[case] after_ms: u64,
    #[case] is_suspended: bool,
) {
    let mut owner = Owner::new(3);
    owner.give_up_ms = give_up_ms;
    owner.submit_long_running(1, sized(1_000, 3));
    owner.advance(500);
    owner.cut[0] = true;
    owner.advance(after_ms);
    let entries = owner
        .saves
        .iter()
        .filter_map(|save| save.suspensions.as_ref());
    let named = entries.flat_map(|record| &record.entries);
    assert_eq!(named.count() > 0, is_suspended);
}
