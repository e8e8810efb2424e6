// SPDX-License-Identifier: Apache-2.0
//! The transactions by which a job is accepted, rejected, cancelled or looked up.
//!
//! A write without an answer may be done seconds later, so tries of one job at several daemons may
//! meet in the store. A rejection holds against all earlier tries: the job is accepted only on the
//! condition that its rejection is the one that the acceptance knows and removes, or that there is
//! none.

use stackpier_core::{Result, key};
use stackpier_protocol::codec::encode;
use stackpier_state::job::Record;

use crate::{
    keys::{self, OWNER},
    store::{Condition, Item, Put, Transaction},
};

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
    find_revision(items, &keys::job(job)) > 0
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

/// inquiry changes nothing. It is done if the store holds nothing about a job, and otherwise
/// conflicts with what the store holds.
pub fn inquiry(job: key::Job) -> Transaction {
    let absent = |key| Condition { key, revision: 0 };
    let keys = [keys::progress(job), keys::job(job), keys::cancel(job)];
    Transaction {
        conditions: keys.map(absent).to_vec(),
        ..Transaction::default()
    }
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
