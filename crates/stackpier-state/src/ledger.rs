// SPDX-License-Identifier: Apache-2.0
//! A holder's records of requests that must not be repeated.

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

/// Reply is an upstream's whole answer, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers in the order they came.
    pub headers: Vec<Header>,
    /// The body, byte for byte.
    pub body: Vec<u8>,
}

/// Grantee is one try of a daemon to run a key. Another try has another number,
/// so that a late word on one is never taken for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grantee {
    /// The daemon.
    pub boot: Boot,
    /// Its count of tries.
    pub number: u64,
}

/// Record is what is known of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon may run it or is running it.
    Granted(Grantee),
    /// It ran, and this is the answer.
    Done(Reply),
    /// It provably did not run, and may be granted again.
    NotRun,
    /// It may have run.
    Unknown,
    /// A later version of the holder map names another holder, which was
    /// asked: this one grants it no more.
    Moved,
    /// It is refused in the whole data centre for good.
    Sealed,
}

/// Closing is what a key is closed as, where it is free.
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

/// Granting is the answer to a request to run a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Granting {
    /// The key was free and is granted now.
    Granted,
    /// The key has this record already.
    Already(Record),
}

impl Ledger {
    /// grant records a key for the try `to`, if it is free.
    pub fn grant(&mut self, key: Request, to: Grantee) -> Granting {
        match self.entries.get(&key).map(|entry| &entry.record) {
            None | Some(Record::NotRun) => {
                self.set(key, Record::Granted(to));
                Granting::Granted
            }
            Some(record) => Granting::Already(record.clone()),
        }
    }

    /// close closes a key if it is free, and returns what is known of it then.
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

    /// finish records the outcome of a key that was granted to `by`.
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

    /// drop_old forgets keys made before `oldest`.
    pub fn drop_old(&mut self, oldest: Unix) {
        self.entries.retain(|_, entry| entry.minted >= oldest);
    }

    /// len returns the count of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// is_empty tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn set(&mut self, key: Request, record: Record) {
        let minted = key.minted();
        self.entries.insert(key, Entry { record, minted });
    }
}
