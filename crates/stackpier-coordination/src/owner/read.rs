// SPDX-License-Identifier: Apache-2.0
//! The owner's reads of its rack's page and of shards of homes.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::Millis;
use stackpier_state::{
    Page, Revision, homes,
    page::{ABSENT, Fetched, Key},
    rack::{Rack, Renewer},
};

use super::{Owner, Step};
use crate::{
    effect::{Effect, Note},
    membership::Table,
};

/// Reading collects the shards of homes that are being read.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    pub(super) waiting: BTreeSet<u16>,
    pub(super) got: Snapshots,
}

/// Snapshots maps shards of homes to their pages and the revisions read.
pub(super) type Snapshots = BTreeMap<u16, (Revision, homes::Shard)>;

impl Owner {
    /// receive_page replaces the page by the one that was read, unless the read
    /// failed or the known page is newer.
    pub(super) fn receive_page(
        &mut self,
        now: Millis,
        fetched: Fetched,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        if !matches!(self.step, Step::Loading) {
            return;
        }
        self.step = Step::Idle;
        match fetched {
            Fetched::Found(revision, Page::Rack(page)) => {
                self.adopt(now, revision, page, table, effects);
            }
            Fetched::Absent => self.page = Some((ABSENT, Rack::empty())),
            Fetched::Found(..) | Fetched::Failed => return,
        }
        self.stale = false;
        if !self.renews() {
            // Homes whose read failed are not read again.
            effects.extend(self.pause.end_reads(now));
        }
    }

    /// adopt replaces the page by a newer one, which another daemon may have
    /// written.
    fn adopt(
        &mut self,
        now: Millis,
        revision: Revision,
        page: Rack,
        table: &Table,
        effects: &mut Vec<Effect>,
    ) {
        if self.page.as_ref().is_some_and(|(old, _)| *old > revision) {
            return;
        }
        let mine = |renewer: Renewer| renewer.boot == self.me.boot;
        let term = page.renewer.map_or(0, |renewer| renewer.term);
        let listed = page.former.iter().copied().any(mine);
        let renews = page.renewer.is_some_and(mine);
        if !renews && (listed || self.renews()) && self.renounced != Some(term) {
            self.renounced = Some(term);
            effects.push(Effect::Note(Note::GaveUp(self.rack, term)));
        }
        let before = self.page.replace((revision, page));
        if renews {
            // Only the renewer writes the page: what changed was written by this
            // daemon, and the store's reply was lost.
            let old = before.map_or_else(Rack::empty, |(_, page)| page);
            self.report_changes(now, &old, table, effects);
        }
    }

    /// receive_homes collects a shard of homes that was read. One that could not
    /// be read is read again later.
    pub(super) fn receive_homes(&mut self, shard: u16, fetched: Fetched) {
        let Step::Reading(reading) = &mut self.step else {
            return;
        };
        if !reading.waiting.remove(&shard) {
            return;
        }
        match fetched {
            Fetched::Found(revision, Page::Homes(page)) => {
                reading.got.insert(shard, (revision, page));
            }
            Fetched::Absent => {
                reading.got.insert(shard, (ABSENT, homes::Shard::default()));
            }
            Fetched::Found(..) | Fetched::Failed => {
                self.dirty.insert(shard);
            }
        }
    }

    /// read_homes requests the shards of homes that have to be read.
    pub(super) fn read_homes(&mut self, table: &Table, effects: &mut Vec<Effect>) {
        if self.dirty.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.dirty);
        let data_centre = table.data_centre();
        let read = |shard: &u16| Effect::Read(Key::Homes(data_centre, *shard));
        effects.extend(waiting.iter().map(read));
        self.step = Step::Reading(Reading {
            waiting,
            got: BTreeMap::new(),
        });
    }
}
