// SPDX-License-Identifier: Apache-2.0
//! Keys, revisions and values of the pages in the store.

use std::fmt;

use serde::{Deserialize, Serialize};
use stackpier_core::{Name, key::Write};

use crate::{holders, homes, intent, rack};

/// Revision is the number of changes of one value in the store. Zero means that
/// the value does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// ABSENT is the revision of a value that does not exist.
pub const ABSENT: Revision = Revision(0);

/// Key identifies one page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The intents of one shard.
    Intents(u16),
    /// The homes of one shard of a data centre's tasks.
    Homes(Name, u16),
    /// One rack: its workers and the tasks committed to them.
    Rack(Name),
    /// The ledger holders of a data centre.
    Holders(Name),
    /// A value that changes whenever an intents page changes.
    Index,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Key::Intents(shard) => write!(f, "intents/{shard}"),
            Key::Homes(data_centre, shard) => write!(f, "homes/{data_centre}/{shard}"),
            Key::Rack(rack) => write!(f, "rack/{rack}"),
            Key::Holders(data_centre) => write!(f, "holders/{data_centre}"),
            Key::Index => write!(f, "index"),
        }
    }
}

/// Index is the value under [`Key::Index`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// The write that made this value.
    pub write: Write,
    /// Number of changes of each intents page, by shard.
    pub changes: Vec<u64>,
}

impl Index {
    /// bump increments the number of changes of a shard.
    pub fn bump(&mut self, shard: u16) {
        let place = usize::from(shard);
        if self.changes.len() <= place {
            self.changes.resize(place + 1, 0);
        }
        self.changes[place] += 1;
    }

    /// changed returns the shards whose number of changes differs from that in an
    /// earlier index.
    pub fn changed(&self, earlier: &Index) -> Vec<u16> {
        let differs = |place: &usize| self.changes.get(*place) != earlier.changes.get(*place);
        (0..self.changes.len())
            .filter(differs)
            .map(|place| place as u16)
            .collect()
    }
}

/// Page is the value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Page {
    /// Value of [`Key::Intents`].
    Intents(intent::Shard),
    /// Value of [`Key::Homes`].
    Homes(homes::Shard),
    /// Value of [`Key::Rack`].
    Rack(rack::Rack),
    /// Value of [`Key::Holders`].
    Holders(holders::Map),
    /// Value of [`Key::Index`].
    Index(Index),
}

impl Page {
    /// write returns the write that made this value.
    pub fn write(&self) -> Write {
        match self {
            Page::Intents(page) => page.write,
            Page::Homes(page) => page.write,
            Page::Rack(page) => page.write,
            Page::Holders(page) => page.write,
            Page::Index(page) => page.write,
        }
    }

    /// stamp sets the write that makes this value.
    pub fn stamp(&mut self, write: Write) {
        match self {
            Page::Intents(page) => page.write = write,
            Page::Homes(page) => page.write = write,
            Page::Rack(page) => page.write = write,
            Page::Holders(page) => page.write = write,
            Page::Index(page) => page.write = write,
        }
    }
}

/// Fetched is the result of reading a page from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Fetched {
    /// The value and its revision.
    Found(Revision, Page),
    /// The value does not exist.
    Absent,
    /// The store gave no answer.
    Failed,
}

/// Swapped is the result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// The value was replaced and now has this revision.
    Won(Revision),
    /// The value had another revision and was not replaced.
    Lost,
    /// The store refused the call before it took effect.
    Refused,
    /// The store gave no answer: the value may have been replaced, or may still be
    /// replaced later.
    Unclear,
}
