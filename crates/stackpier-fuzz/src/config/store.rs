// SPDX-License-Identifier: Apache-2.0
//! The fake store: one page of intents, and a record of all submissions ever
//! written to it.

use std::collections::BTreeMap;

use stackpier_state::{
    Page, Revision,
    intent::Shard,
    page::{ABSENT, Fetched, Swapped},
};

use crate::counts::hit;

/// Stored is the stored page with its revision.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) revision: Revision,
    pub(super) page: Shard,
}

/// Store holds the page and the record of its submissions.
#[derive(Debug, Default)]
pub(super) struct Store {
    writes: u64,
    stored: Option<Stored>,
    /// The version at which each submission was first stored.
    versions: BTreeMap<u128, u64>,
}

impl Store {
    /// stored returns the page with its revision, if one was written.
    pub(super) fn stored(&self) -> Option<&Stored> {
        self.stored.as_ref()
    }

    /// version returns the version at which a submission was first stored;
    /// `None` if it never was.
    pub(super) fn version(&self, submission: u128) -> Option<u64> {
        self.versions.get(&submission).copied()
    }

    /// read answers a call to read the page.
    pub(super) fn read(&self) -> Fetched {
        match &self.stored {
            Some(stored) => Fetched::Found(stored.revision, Page::Intents(stored.page.clone())),
            None => Fetched::Absent,
        }
    }

    /// swap replaces the page if it still has the expected revision.
    pub(super) fn swap(&mut self, expect: Revision, page: Page) -> Swapped {
        let Page::Intents(page) = page else {
            return Swapped::Lost;
        };
        let current = self.stored.as_ref();
        let current = current.map_or(ABSENT, |stored| stored.revision);
        if current != expect {
            hit("branch: swap lost to a racing operator");
            return Swapped::Lost;
        }
        self.writes += 1;
        let revision = Revision(self.writes);
        for object in &page.objects {
            if let Some(newest) = object.submissions.last() {
                self.versions.entry(*newest).or_insert(object.version);
            }
        }
        self.stored = Some(Stored { revision, page });
        Swapped::Won(revision)
    }
}
