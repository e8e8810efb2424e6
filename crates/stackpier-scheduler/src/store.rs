// SPDX-License-Identifier: Apache-2.0
//! The key-value store that the daemon needs, as a trait with its types.

use std::future::Future;

use serde::{Deserialize, Serialize};
use stackpier_core::Result;

/// Item is a key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at the item's last change.
    pub revision: u64,
}

/// Listing holds all items under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The items, by key.
    pub items: Vec<Item>,
    /// The store's revision from which a watch sees every change that the listing may have
    /// missed.
    pub at: u64,
}

/// Change is one event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The item was written.
    Put(Item),
    /// The key was removed.
    Removed(String),
}

impl Change {
    /// key returns the key that changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Removed(key) => key,
        }
    }
}

/// Watched is the result of a watch.
#[derive(Clone, Debug)]
pub enum Watched {
    /// The changes by revision, possibly none, and the revision from which to continue.
    Changes(Vec<Change>, u64),
    /// The store has compacted the history since the revision: list again.
    Compacted,
}

/// Condition requires a key to be at a revision. Zero requires that the key is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The revision.
    pub revision: u64,
}

/// Put is a key to write with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// Transaction applies all of its writes and removals, or none if a condition does not
/// hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions that must hold.
    pub conditions: Vec<Condition>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

impl Transaction {
    /// swap returns the compare-and-swap of one key: it is written if it is still at
    /// `revision`.
    pub(crate) fn swap(key: &str, revision: u64, value: Vec<u8>) -> Transaction {
        let key = key.to_owned();
        Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                revision,
            }],
            puts: vec![Put { key, value }],
            removals: Vec::new(),
        }
    }
}

/// Committed is the outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Committed {
    /// The transaction was done, at this revision.
    Done(u64),
    /// A condition did not hold. Contains the present items of the conditions' keys.
    Conflict(Vec<Item>),
    /// The store refused the call and did nothing.
    Refused,
    /// No answer arrived: the transaction may have been done, or may still be done later.
    Unknown,
}

/// Store is a key-value store with transactions and watches.
pub trait Store {
    /// get reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>>>;

    /// probe reads one key cheaply to check whether the store answers. The value may be
    /// seconds old.
    fn probe(&self, key: &str) -> impl Future<Output = Result<()>>;

    /// list reads all items under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing>>;

    /// watch waits up to `wait_ms` for changes under a prefix after the revision `after`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Watched>>;

    /// is_receiving reports whether a long answer is being received, so that other calls wait
    /// behind it on the link.
    fn is_receiving(&self) -> bool;

    /// commit sends a transaction and returns its outcome.
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Committed>;
}
