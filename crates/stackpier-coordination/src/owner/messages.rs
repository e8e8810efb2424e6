// SPDX-License-Identifier: Apache-2.0
//! The owner's messages from and to placers and other daemons.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_protocol::{
    peer::{Claims, Hint, claims_sum},
    sync::Ended,
};
use stackpier_state::rack::{Phase, Rack, Row};

use super::{Owner, shard_of};
use crate::effect::Effect;

impl Owner {
    /// receive_hint processes a hint if it concerns this rack.
    pub(super) fn receive_hint(&mut self, hint: Hint, effects: &mut Vec<Effect>) {
        match hint {
            Hint::Claims(claims) if claims.rack == self.rack => self.receive_claims(claims),
            Hint::TakenOver {
                rack,
                renewer,
                term,
            } if rack == self.rack => self.receive_renewer(renewer, term, effects),
            _ => {}
        }
    }

    /// receive_claims stores a placer's message, or has its shard read if the
    /// message is older than the revision that the page was settled by.
    pub(super) fn receive_claims(&mut self, claims: Claims) {
        let Some((_, page)) = &self.page else { return };
        if claims.revision < page.settled_by(claims.shard) {
            self.dirty.insert(claims.shard);
        } else if self.renews() {
            self.unwritten.add(claims);
        }
    }

    /// differing returns the shards whose claims differ from the page's rows
    /// even after their placers' messages were applied. In that case a message
    /// was lost.
    pub(super) fn differing(&self, next: &Rack) -> BTreeSet<u16> {
        let here = |shard: u16| {
            let rows = next.rows.iter();
            let ours = rows.filter(move |row| shard_of(row, self.options.shards) == shard);
            claims_sum(ours.map(|row| row.run))
        };
        let newest = self.unwritten.newest();
        let differs = newest.filter(|claims| here(claims.shard) != claims.sum);
        differs.map(|claims| claims.shard).collect()
    }

    /// ended_hints returns the hints that tell the placers of shards which of
    /// their runs ended.
    pub(super) fn ended_hints<'a>(&self, rows: impl Iterator<Item = &'a Row>) -> Vec<Effect> {
        let mut by_shard: BTreeMap<u16, Vec<Ended>> = BTreeMap::new();
        for row in rows {
            if let Phase::Ended(outcome) = row.phase {
                let ended = Ended {
                    run: row.run,
                    outcome,
                };
                by_shard
                    .entry(shard_of(row, self.options.shards))
                    .or_default()
                    .push(ended);
            }
        }
        let rack = self.rack;
        let hint = |(shard, ended)| Effect::Hint(Hint::Ended { shard, rack, ended });
        by_shard.into_iter().map(hint).collect()
    }
}
