// SPDX-License-Identifier: Apache-2.0
//! The messages of placers that are not yet written to the rack's page.

use std::collections::BTreeMap;

use stackpier_protocol::peer::Claims;
use stackpier_state::{Revision, homes::Home};

/// Inbox holds messages by shard and revision. Of the messages of a shard that
/// name the same run as claimed, or as released, only the newest keeps it, and
/// older messages that name no other run are dropped. So at most one message for
/// each shard, claim and release is held.
///
/// A claim or release keeps the revision of its message: the page may have been
/// settled by a revision between those of two messages, and must not accept the
/// older one.
#[derive(Clone, Debug, Default)]
pub(super) struct Inbox {
    messages: BTreeMap<(u16, Revision), Claims>,
}

impl Inbox {
    /// add stores a message.
    pub(super) fn add(&mut self, mut claims: Claims) {
        let shard = claims.shard;
        let key = (shard, claims.revision);
        for (_, newer) in self.messages.range(key..=(shard, Revision(u64::MAX))) {
            remove_named(&mut claims, newer);
        }
        for (_, older) in self.messages.range_mut((shard, Revision(0))..key) {
            remove_named(older, &claims);
        }
        match self.messages.get_mut(&key) {
            Some(known) => {
                known.claimed.append(&mut claims.claimed);
                known.released.append(&mut claims.released);
                known.sum = claims.sum;
            }
            None => {
                self.messages.insert(key, claims);
            }
        }
        self.drop_empty(shard);
    }

    /// drop_empty drops the messages of a shard that name no run, except the
    /// newest one, whose sum is needed.
    fn drop_empty(&mut self, shard: u16) {
        let newest = self.newest().find(|claims| claims.shard == shard);
        let newest = newest.map(|claims| claims.revision);
        let empty = |claims: &Claims| claims.claimed.is_empty() && claims.released.is_empty();
        self.messages.retain(|(of, revision), claims| {
            *of != shard || Some(*revision) == newest || !empty(claims)
        });
    }

    /// append moves all messages of `other` to this inbox.
    pub(super) fn append(&mut self, other: &mut Inbox) {
        for claims in std::mem::take(&mut other.messages).into_values() {
            self.add(claims);
        }
    }

    /// clear drops all messages.
    pub(super) fn clear(&mut self) {
        self.messages.clear();
    }

    /// messages returns the messages of each shard, the oldest first.
    pub(super) fn messages(&self) -> impl Iterator<Item = &Claims> {
        self.messages.values()
    }

    /// newest returns the newest message of each shard.
    pub(super) fn newest(&self) -> impl Iterator<Item = &Claims> {
        let by_shard: BTreeMap<u16, &Claims> = self
            .messages()
            .map(|claims| (claims.shard, claims))
            .collect();
        by_shard.into_values()
    }

    /// len returns the number of messages, claims and releases.
    pub(super) fn len(&self) -> usize {
        let held = |claims: &Claims| 1 + claims.claimed.len() + claims.released.len();
        self.messages().map(held).sum()
    }
}

/// remove_named removes the claims and releases of runs that a message of the
/// same or a later revision names, too.
fn remove_named(claims: &mut Claims, newer: &Claims) {
    let claimed = |home: &Home| newer.claimed.iter().any(|other| other.run() == home.run());
    claims.claimed.retain(|home| !claimed(home));
    claims.released.retain(|run| !newer.released.contains(run));
}
