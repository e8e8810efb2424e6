// SPDX-License-Identifier: Apache-2.0
//! The data of the stand-in store: values with revisions, which clients change by
//! compare-and-swap.

use std::collections::HashMap;

use stackpier_protocol::platform::{Swapped, Value};
use stackpier_state::{Page, Revision, page::ABSENT};

/// Store holds all values. One counter numbers the revisions of all keys.
#[derive(Debug, Default)]
pub struct Store {
    values: HashMap<String, Value>,
    last_revision: u64,
}

impl Store {
    /// read returns the value of a key.
    pub fn read(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// revision returns the revision of a key's value, zero if there is none.
    pub fn revision(&self, key: &str) -> Revision {
        self.values.get(key).map_or(ABSENT, |value| value.revision)
    }

    /// swap replaces a key's value if it still has the expected revision.
    pub fn swap(&mut self, key: &str, expect: Revision, page: Page) -> Swapped {
        let revision = self.revision(key);
        if revision != expect {
            return Swapped {
                won: false,
                revision,
            };
        }
        self.last_revision += 1;
        let revision = Revision(self.last_revision);
        self.values.insert(key.to_owned(), Value { revision, page });
        Swapped {
            won: true,
            revision,
        }
    }
}
