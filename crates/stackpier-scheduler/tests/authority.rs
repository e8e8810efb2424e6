// SPDX-License-Identifier: Apache-2.0
//! How long a daemon takes earlier owners to act.

use stackpier_core::{Millis, key::Boot};
use stackpier_scheduler::{
    authority::{Authorities, Holder},
    link::Alive,
};

/// AUTHORITY_MS is how long an owner acts without a confirmation by the store.
const AUTHORITY_MS: u64 = 5_000;

/// holder returns the owner with a fence, on a VM of its own.
fn holder(fence: u64) -> Holder {
    Holder {
        vm: format!("vm-{fence}"),
        boot: Boot(fence),
        address: String::new(),
        fence,
        revision: fence * 10,
        answered: false,
    }
}

/// replace records at `now_ms` that the owner with `fence` was replaced by the next one.
fn replace(authorities: &mut Authorities, fence: u64, may_act: bool, now_ms: u64) {
    let until = Millis(now_ms + AUTHORITY_MS);
    authorities.replace(Some((holder(fence), may_act)), fence + 1, until);
}

/// Guards against a task that runs twice: the predecessor is known to be dead, and the owner before
/// it was only held up and may still act.
#[test]
fn an_owner_before_a_dead_predecessor_counts_until_its_own_end() {
    let mut authorities = Authorities::default();
    authorities.replace(None, 1, Millis(AUTHORITY_MS));
    replace(&mut authorities, 1, true, 1_000);
    replace(&mut authorities, 2, true, 2_000);
    assert_eq!(authorities.acting_ms(Millis(2_000)), 5_000);
    authorities.prune(Millis(2_500), |holder| holder.fence == 2);
    assert_eq!(authorities.acting_ms(Millis(2_500)), 3_500);
    authorities.prune(Millis(6_000), |_| false);
    assert_eq!(authorities.acting_ms(Millis(6_000)), 0);
}

/// Guards against waiting for owners that do not act any more: one that released the cell, one
/// whose VM has a new process, and one that has said so.
#[test]
fn owners_that_do_not_act_any_more_are_not_waited_for() {
    let mut authorities = Authorities::default();
    authorities.replace(None, 1, Millis(AUTHORITY_MS));
    replace(&mut authorities, 1, false, 1_000);
    assert_eq!(authorities.acting_ms(Millis(1_000)), 0);
    replace(&mut authorities, 2, true, 2_000);
    authorities.prune(Millis(3_000), |holder| holder.vm == "vm-2");
    assert_eq!(authorities.acting_ms(Millis(3_000)), 0);
    replace(&mut authorities, 3, true, 4_000);
    authorities.remove(Boot(4), 3);
    assert_eq!(authorities.acting_ms(Millis(4_000)), 5_000);
    authorities.remove(Boot(3), 3);
    assert_eq!(authorities.acting_ms(Millis(4_000)), 0);
}

/// Guards against overlooking an owner that this daemon never saw: it began later, or its watch of
/// the store skipped a change.
#[test]
fn an_owner_that_was_never_seen_counts_from_its_successor_on() {
    let mut authorities = Authorities::default();
    authorities.replace(None, 3, Millis(1_000 + AUTHORITY_MS));
    authorities.prune(Millis(1_000), |_| true);
    assert_eq!(authorities.acting_ms(Millis(1_000)), 5_000);
    let until = Millis(10_000 + AUTHORITY_MS);
    authorities.replace(Some((holder(3), false)), 5, until);
    assert_eq!(authorities.acting_ms(Millis(10_000)), 5_000);
}

/// Checks that the first owner of a cell waits for nobody.
#[test]
fn the_first_owner_has_no_earlier_ones() {
    let mut authorities = Authorities::default();
    authorities.replace(None, 1, Millis(AUTHORITY_MS));
    assert_eq!(authorities.acting_ms(Millis(0)), 0);
}

/// alive returns the answer of a process to a heartbeat: the fence that it knows, and whether it
/// owns the cell.
fn alive(boot: u64, fence: u64, owner: bool) -> Alive {
    Alive {
        boot: Boot(boot),
        fence,
        owner,
        store: true,
        config: 1,
    }
}

/// Guards against a task that runs twice: an answer that does not prove that the earlier owner has
/// stopped is taken for one.
#[test]
fn only_an_answer_of_the_owner_itself_shows_that_it_has_stopped() {
    let seen = Holder {
        answered: true,
        ..holder(3)
    };
    assert!(seen.has_stopped(&alive(3, 3, false), 4));
    assert!(!seen.has_stopped(&alive(9, 4, false), 4), "other process");
    assert!(!seen.has_stopped(&alive(3, 4, true), 4), "still loading");
    let unseen = holder(3);
    assert!(!unseen.has_stopped(&alive(3, 2, false), 4), "its swap");
    assert!(!unseen.has_stopped(&alive(3, 3, false), 4), "not loaded");
    assert!(unseen.has_stopped(&alive(3, 4, false), 4));
}
