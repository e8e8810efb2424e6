// SPDX-License-Identifier: Apache-2.0
//! The ledger: a holder's records of requests that must not be repeated.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Unix,
    key::{Boot, Request},
};

/// Header is one HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as text.
    pub value: String,
}

/// Reply is an upstream's complete answer, kept to answer repeats of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers in the order in which they were received.
    pub headers: Vec<Header>,
    /// The body, byte for byte.
    pub body: Vec<u8>,
}

/// Grantee is one attempt of a daemon to run a keyed request. Each attempt has
/// its own number, so that a late message about one is never applied to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grantee {
    /// The daemon.
    pub boot: Boot,
    /// The number of the attempt within that run of the daemon.
    pub number: u64,
}

/// Record is what a holder knows about the request with one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon is allowed to run it and may be running it.
    Granted(Grantee),
    /// It ran and got this answer.
    Done(Reply),
    /// It provably did not run, and may be granted again.
    NotRun,
    /// It may have run.
    Unknown,
    /// A later version of the holder map names another holder for the key, and
    /// that holder was asked to grant it. This holder no longer grants the key.
    Moved,
    /// It is refused for good in the whole data centre.
    Sealed,
}

/// Closing is the record that a free key is closed with. A key is free if it has
/// no record or is [`Record::NotRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Closing {
    /// [`Record::Moved`].
    Moved,
    /// [`Record::Sealed`].
    Sealed,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    minted: Unix,
}

/// Ledger holds the records of one holder.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<Request, Entry>,
}

/// Granting is the answer to a request for a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Granting {
    /// The key was free and is now granted.
    Granted,
    /// The key already has this record.
    Already(Record),
}

impl Ledger {
    /// grant grants a key to the attempt `to` if it is free.
    pub fn grant(&mut self, key: Request, to: Grantee) -> Granting {
        match self.entries.get(&key).map(|entry| &entry.record) {
            None | Some(Record::NotRun) => {
                self.set(key, Record::Granted(to));
                Granting::Granted
            }
            Some(record) => Granting::Already(record.clone()),
        }
    }

    /// close closes a key if it is free, and returns the key's record after that.
    pub fn close(&mut self, key: Request, closing: Closing) -> Record {
        match self.entries.get(&key).map(|entry| &entry.record) {
            None | Some(Record::NotRun) => {
                let record = match closing {
                    Closing::Moved => Record::Moved,
                    Closing::Sealed => Record::Sealed,
                };
                self.set(key, record.clone());
                record
            }
            Some(record) => record.clone(),
        }
    }

    /// finish records the outcome of a key if it is granted to `by`.
    pub fn finish(&mut self, key: Request, by: Grantee, record: Record) {
        let granted = Record::Granted(by);
        if self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.record == granted)
        {
            self.set(key, record);
        }
    }

    /// drop_old removes the records of keys created before `oldest`.
    pub fn drop_old(&mut self, oldest: Unix) {
        self.entries.retain(|_, entry| entry.minted >= oldest);
    }

    /// len returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// is_empty reports whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set(&mut self, key: Request, record: Record) {
        let minted = key.minted();
        self.entries.insert(key, Entry { record, minted });
    }
}
