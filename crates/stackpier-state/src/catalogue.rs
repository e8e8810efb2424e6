// SPDX-License-Identifier: Apache-2.0
//! A daemon's copy of all intents. The revision of a shard never decreases.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stackpier_core::Name;

use crate::{
    intent::{Object, Shard},
    page::{ABSENT, Revision},
};

/// SHARDS is the number of intents pages.
pub const SHARDS: u16 = 64;

/// shard_of returns the shard that contains the intent with this name.
pub fn shard_of(name: Name) -> u16 {
    let hash = stackpier_core::key::weight(name.as_str().as_bytes(), 0);
    (hash % u64::from(SHARDS)) as u16
}

/// Digest lists the revision of each shard that a daemon has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Shards and their revisions, lowest shard first.
    pub revisions: Vec<(u16, Revision)>,
}

impl Digest {
    /// sum returns a checksum. Equal digests have equal checksums.
    pub fn sum(&self) -> u64 {
        let mut bytes = Vec::with_capacity(self.revisions.len() * 10);
        for (shard, revision) in &self.revisions {
            bytes.extend_from_slice(&shard.to_le_bytes());
            bytes.extend_from_slice(&revision.0.to_le_bytes());
        }
        stackpier_core::key::weight(&bytes, 0)
    }
}

/// Catalogue holds the newest known revision of each shard.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    shards: BTreeMap<u16, (Revision, Shard)>,
    changes: u64,
}

impl Catalogue {
    /// offer stores a shard's page if it is newer than the known one, and returns
    /// whether it did.
    pub fn offer(&mut self, shard: u16, revision: Revision, page: Shard) -> bool {
        if revision <= self.revision(shard) {
            return false;
        }
        self.shards.insert(shard, (revision, page));
        self.changes += 1;
        true
    }

    /// changes returns how many pages have been stored so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// revision returns the known revision of a shard.
    pub fn revision(&self, shard: u16) -> Revision {
        self.shards
            .get(&shard)
            .map_or(ABSENT, |(revision, _)| *revision)
    }

    /// page returns the known page of a shard with its revision.
    pub fn page(&self, shard: u16) -> Option<&(Revision, Shard)> {
        self.shards.get(&shard)
    }

    /// object returns the accepted intent with this name.
    pub fn object(&self, name: Name) -> Option<&Object> {
        self.shards.get(&shard_of(name))?.1.object(name)
    }

    /// objects returns all accepted intents.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.shards.values().flat_map(|(_, shard)| &shard.objects)
    }

    /// digest returns the revisions of all known shards.
    pub fn digest(&self) -> Digest {
        let revisions = self
            .shards
            .iter()
            .map(|(shard, (revision, _))| (*shard, *revision));
        Digest {
            revisions: revisions.collect(),
        }
    }

    /// behind returns the shards for which `other` lists a newer revision.
    pub fn behind(&self, other: &Digest) -> Vec<u16> {
        let newer = |(shard, revision): &&(u16, Revision)| *revision > self.revision(*shard);
        other
            .revisions
            .iter()
            .filter(newer)
            .map(|(shard, _)| *shard)
            .collect()
    }
}
