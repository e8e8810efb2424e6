// SPDX-License-Identifier: Apache-2.0
//! The transactions by which a job is accepted, rejected or cancelled.
//!
//! A write without an answer may be done seconds later, so tries of one job at several daemons may
//! meet in the store. A rejection holds against all earlier tries: the job is accepted only on the
//! condition that its rejection is the one that the acceptance knows and removes, or that there is
//! none.
//!
//! A job that is cancelled before it was accepted gets a tombstone under its own key. All acceptances
//! depend on that key being absent, those of earlier builds, too.

use stackpier_core::{Error, Result, key};
use stackpier_protocol::codec::{decode, encode};
use stackpier_state::job::Record;

use crate::{
    keys::{self, Entry, OWNER},
    store::{Condition, Item, Put, Transaction},
};

/// TOMBSTONE is the value of a tombstone. It can't be decoded as a record: earlier builds log it and
/// ignore it.
const TOMBSTONE: &[u8] = b"tombstone";

/// Content is what the key of a job holds.
#[derive(Clone, Debug)]
pub enum Content {
    /// The job.
    Job(Box<Record>),
    /// The mark that the job was cancelled before it was accepted.
    Tombstone,
}

impl TryFrom<&Item> for Content {
    type Error = Error;

    fn try_from(item: &Item) -> Result<Content> {
        if is_tombstone(item) {
            return Ok(Content::Tombstone);
        }
        Ok(Content::Job(Box::new(decode(&item.value)?)))
    }
}

/// acceptance writes a job, on the condition that it is not there and that the ownership of the cell
/// is at a revision.
pub fn acceptance(job: key::Job, record: &Record, ownership: u64) -> Result<Transaction> {
    let key = keys::job(job);
    let conditions = vec![
        Condition {
            key: key.clone(),
            revision: 0,
        },
        Condition {
            key: OWNER.to_owned(),
            revision: ownership,
        },
    ];
    let value = encode(record)?;
    Ok(Transaction {
        conditions,
        puts: vec![Put { key, value }],
        removals: Vec::new(),
    })
}

/// withdraw_rejection makes an acceptance depend on the job's rejection being at a revision, zero
/// for none, and removes it.
pub fn withdraw_rejection(acceptance: &mut Transaction, job: key::Job, revision: u64) {
    let key = keys::rejection(job);
    if revision > 0 {
        acceptance.removals.push(key.clone());
    }
    acceptance.conditions.push(Condition { key, revision });
}

/// rejection_revision returns the revision of a job's rejection among items, zero if there is none.
pub fn rejection_revision(items: &[Item], job: key::Job) -> u64 {
    find_revision(items, &keys::rejection(job))
}

/// is_accepted reports whether items show that a job is in the store.
pub fn is_accepted(items: &[Item], job: key::Job) -> bool {
    find(items, &keys::job(job)).is_some_and(|item| !is_tombstone(item))
}

/// rejection writes that a job is rejected, on the condition that it is not there.
pub fn rejection(job: key::Job) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: keys::job(job),
            revision: 0,
        }],
        puts: vec![Put {
            key: keys::rejection(job),
            value: Vec::new(),
        }],
        removals: Vec::new(),
    }
}

/// cancellation writes that a job is cancelled.
pub fn cancellation(job: key::Job) -> Transaction {
    Transaction {
        puts: vec![Put {
            key: keys::cancel(job),
            value: Vec::new(),
        }],
        ..Transaction::default()
    }
}

/// tombstones writes the tombstones of jobs, on the condition that none of the jobs is in the store.
/// Each row is a job with the revision of its present tombstone, zero if there is none.
pub fn tombstones(rows: &[(key::Job, u64)]) -> Transaction {
    let condition = |(job, revision): &(key::Job, u64)| Condition {
        key: keys::job(*job),
        revision: *revision,
    };
    let put = |(job, _): &(key::Job, u64)| Put {
        key: keys::job(*job),
        value: TOMBSTONE.to_vec(),
    };
    Transaction {
        conditions: rows.iter().map(condition).collect(),
        puts: rows.iter().map(put).collect(),
        removals: Vec::new(),
    }
}

/// is_tombstone reports whether an item is the tombstone of a job.
pub fn is_tombstone(item: &Item) -> bool {
    matches!(keys::entry(&item.key), Some(Entry::Job(_))) && item.value == TOMBSTONE
}

/// has_tombstone reports whether items show the tombstone of a job.
pub fn has_tombstone(items: &[Item], job: key::Job) -> bool {
    find(items, &keys::job(job)).is_some_and(is_tombstone)
}

/// find returns the item of a key in the store among items.
pub(crate) fn find<'a>(items: &'a [Item], key: &str) -> Option<&'a Item> {
    items
        .iter()
        .find(|item| item.key == key && item.revision > 0)
}

fn find_revision(items: &[Item], key: &str) -> u64 {
    find(items, key).map_or(0, |item| item.revision)
}
