// SPDX-License-Identifier: Apache-2.0
//! Which keys a daemon removes from the store, and when.

use stackpier_core::Millis;
use stackpier_scheduler::{
    expiry::{Expiry, MAX_REMOVALS},
    store::{Committed, Item, Transaction},
};

const KEPT_MS: u64 = 1_000;
/// EXPIRED is a time at which all keys of [`expiry_of`] have expired.
const EXPIRED: Millis = Millis(KEPT_MS);

/// expiry_of returns the list of keys that were written at time 0, each at its number's revision.
fn expiry_of(count: u64) -> Expiry {
    let mut expiry = Expiry::new(KEPT_MS);
    for number in 1..=count {
        expiry.add(Millis(0), format!("key/{number}"), number);
    }
    expiry
}

fn item(number: u64, revision: u64) -> Item {
    Item {
        key: format!("key/{number}"),
        value: Vec::new(),
        revision,
    }
}

fn removal(expiry: &Expiry) -> Transaction {
    expiry.removal(EXPIRED).expect("keys have expired")
}

/// Guards against keys that are removed before their time, or without the condition that they are
/// unchanged.
#[test]
fn only_expired_keys_are_removed_at_their_revisions() {
    let mut expiry = expiry_of(2);
    expiry.add(Millis(1), "later".to_owned(), 9);
    assert_eq!(expiry.removal(Millis(KEPT_MS - 1)), None);
    let removal = removal(&expiry);
    assert_eq!(removal.removals, ["key/1", "key/2"]);
    let conditions = removal.conditions.iter();
    let rows: Vec<_> = conditions
        .map(|row| (row.key.as_str(), row.revision))
        .collect();
    assert_eq!(rows, [("key/1", 1), ("key/2", 2)]);
    expiry.record(&removal, &Committed::Done(10));
    assert_eq!(expiry.len(), 1);
}

/// Guards against a key that others removed and that holds up the removal of all later ones: the
/// conflict does not show it.
#[test]
fn keys_that_are_gone_or_changed_do_not_hold_up_others() {
    let mut expiry = expiry_of(3);
    let first = removal(&expiry);
    // Key 1 is gone, and key 2 was written again.
    expiry.record(&first, &Committed::Conflict(vec![item(2, 7), item(3, 3)]));
    assert_eq!(removal(&expiry).removals, ["key/3"]);
}

/// Guards against keys that stay in the store because the outcome of their removal is not known.
#[test]
fn a_removal_without_an_answer_is_repeated() {
    let mut expiry = expiry_of(1);
    let first = removal(&expiry);
    expiry.record(&first, &Committed::Unknown);
    expiry.record(&first, &Committed::Refused);
    assert_eq!(removal(&expiry), first);
}

/// Guards against transactions with more entries than the store accepts.
#[test]
fn a_removal_is_bounded() {
    let mut expiry = expiry_of(MAX_REMOVALS as u64 + 1);
    let first = removal(&expiry);
    assert_eq!(first.removals.len(), MAX_REMOVALS);
    assert!(first.conditions.len() + first.removals.len() <= 32);
    expiry.record(&first, &Committed::Done(99));
    assert_eq!(expiry.len(), 1);
}
