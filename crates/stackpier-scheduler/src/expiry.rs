// SPDX-License-Identifier: Apache-2.0
//! Keys that are removed from the store some time after they were written.

use std::collections::VecDeque;

use stackpier_core::Millis;

use crate::{
    Platform,
    node::{Node, pause},
    store::{Committed, Condition, Item, Transaction},
};

/// CLEAN_MS is the pause between two removals of expired keys.
const CLEAN_MS: u64 = 200;
/// MAX_REMOVALS is how many keys one transaction removes. Each is a condition, too, and the store
/// accepts 32 entries.
pub const MAX_REMOVALS: usize = 16;

/// Entry is a key that is removed if it is still at a revision.
#[derive(Clone, Debug)]
struct Entry {
    key: String,
    revision: u64,
    /// When it may be removed.
    until: Millis,
}

/// Expiry holds the keys that are to be removed, the oldest first.
#[derive(Clone, Debug)]
pub struct Expiry {
    kept_ms: u64,
    entries: VecDeque<Entry>,
}

impl Expiry {
    /// new returns an empty list of keys that stay in the store for `kept_ms` milliseconds.
    pub fn new(kept_ms: u64) -> Expiry {
        Expiry {
            kept_ms,
            entries: VecDeque::new(),
        }
    }

    /// len returns how many keys are to be removed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// is_empty reports whether no key is to be removed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// add adds a key that was written at a revision.
    pub fn add(&mut self, now: Millis, key: String, revision: u64) {
        self.entries.push_back(Entry {
            key,
            revision,
            until: now.plus(self.kept_ms),
        });
    }

    /// removal returns the transaction that removes the oldest expired keys, on the condition that
    /// none was removed or written again since.
    pub fn removal(&self, now: Millis) -> Option<Transaction> {
        let expired = self.entries.iter().take_while(|entry| entry.until <= now);
        let conditions: Vec<Condition> = expired
            .take(MAX_REMOVALS)
            .map(|entry| Condition {
                key: entry.key.clone(),
                revision: entry.revision,
            })
            .collect();
        if conditions.is_empty() {
            return None;
        }
        Some(Transaction {
            removals: conditions.iter().map(|row| row.key.clone()).collect(),
            conditions,
            puts: Vec::new(),
        })
    }

    /// record drops the keys that are not in the store any more, or were written again, by the
    /// outcome of their removal.
    pub fn record(&mut self, removal: &Transaction, outcome: &Committed) {
        let is_over = |condition: &Condition| match outcome {
            Committed::Done(_) => true,
            Committed::Conflict(items) => revision_of(items, &condition.key) != condition.revision,
            Committed::Refused | Committed::Unknown => false,
        };
        let over: Vec<&Condition> = removal
            .conditions
            .iter()
            .filter(|row| is_over(row))
            .collect();
        self.entries.retain(|entry| {
            let is_same =
                |row: &&Condition| (&row.key, row.revision) == (&entry.key, entry.revision);
            !over.iter().any(is_same)
        });
    }
}

/// revision_of returns the revision of a key among the items of a conflict, which may leave out
/// absent keys.
fn revision_of(items: &[Item], key: &str) -> u64 {
    let item = items.iter().find(|item| item.key == key);
    item.map_or(0, |item| item.revision)
}

/// run removes expired rejections and tombstones from the store, for the life of the process.
pub(crate) async fn run<P: Platform>(node: Node<P>) {
    loop {
        pause(CLEAN_MS).await;
        node.record_outlook_age();
        if node.store_answers() {
            node.remove_rejections().await;
            node.remove_tombstones().await;
        }
    }
}
