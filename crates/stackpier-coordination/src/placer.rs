// SPDX-License-Identifier: Apache-2.0
//! The placer of a shard of homes: keeps the homes in line with the accepted
//! intents, claims workers for waiting tasks, and releases homes whose runs
//! ended.

mod claim;
mod commit;
mod messages;
mod wanted;

use std::collections::BTreeMap;

use stackpier_core::{Millis, Name, key::Write};
use stackpier_protocol::peer::{Hint, RackReport};
use stackpier_state::{
    Page, Revision,
    catalogue::Catalogue,
    homes::Shard,
    intent::{Object, URGENT_PRIORITY},
    page::{ABSENT, Fetched, Key},
    work::{Outcome, Run},
};

use crate::{
    effect::{Effect, Event, Writer},
    membership::Table,
    pause::Pause,
    policy,
};

use commit::Seen;

/// Options hold the times and counts of a placer.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Shortest time between two commits of the page, in milliseconds.
    pub commit_ms: u64,
    /// Time between two sweeps, which find changes whose hints were lost, in
    /// milliseconds.
    pub sweep_ms: u64,
    /// Number of shards of homes in the data centre.
    pub shards: u16,
    /// The choice of workers.
    pub policy: policy::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            commit_ms: 250,
            sweep_ms: 10_000,
            shards: 8,
            policy: policy::Options::default(),
        }
    }
}

/// item returns the item by which [`Table::chosen`] chooses a shard's placer.
pub fn item(data_centre: Name, shard: u16) -> String {
    format!("homes/{data_centre}/{shard}")
}

/// View holds what a placer reads besides its own page.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Daemons and workers.
    pub table: &'a Table,
    /// The accepted intents.
    pub catalogue: &'a Catalogue,
    /// The newest report of each rack.
    pub racks: &'a BTreeMap<Name, RackReport>,
}

/// Step is what the placer waits for.
#[derive(Clone, Debug)]
enum Step {
    Idle,
    Loading,
    Swapping(Box<Shard>),
}

/// Ends maps runs that ended on racks to their outcomes.
type Ends = BTreeMap<(Name, Run), Outcome>;

/// Placer is the state machine for one shard of a data centre's homes.
#[derive(Debug)]
pub struct Placer {
    shard: u16,
    options: Options,
    page: Option<(Revision, Shard)>,
    step: Step,
    /// Ended runs not yet written to the page.
    unwritten: Ends,
    /// Ended runs that the pending swap writes.
    writing: Ends,
    /// The write of the last swap, while its outcome is unknown.
    unclear: Option<Write>,
    /// Whether the page has to be read again.
    stale: bool,
    /// The pause after a read or swap that failed.
    pause: Pause,
    /// When the last sweep was made.
    swept: Option<Millis>,
    /// When the last swap was requested.
    committed: Option<Millis>,
    /// Versions of the intents and the page at the last placement attempt.
    seen: Option<Seen>,
    /// Time of the last placement attempt, if tasks still wait for a worker.
    waiting: Option<Millis>,
    /// Whether an accepted intent is urgent and may not be on the page yet.
    urgent: bool,
}

impl Placer {
    /// new returns the state machine for a shard, before its page is read.
    pub fn new(shard: u16, options: Options) -> Placer {
        Placer {
            shard,
            options,
            page: None,
            step: Step::Idle,
            unwritten: Ends::new(),
            writing: Ends::new(),
            unclear: None,
            stale: true,
            pause: Pause::default(),
            swept: None,
            committed: None,
            seen: None,
            waiting: None,
            urgent: false,
        }
    }

    /// page returns the shard as last read or written.
    pub fn page(&self) -> Option<&Shard> {
        self.page.as_ref().map(|(_, page)| page)
    }

    /// step processes one event and returns the effects.
    pub fn step(
        &mut self,
        now: Millis,
        event: Event,
        view: View<'_>,
        writer: &mut Writer,
    ) -> Vec<Effect> {
        let mut effects = Vec::from_iter(self.pause.record(now, &event));
        match event {
            Event::Read(Key::Homes(..), fetched) => self.receive_page(fetched, &mut effects),
            Event::Swapped(_, swap) => self.finish_swap(swap, &mut effects),
            Event::Hint(Hint::Ended { shard, rack, ended }) if shard == self.shard => {
                let ends = ended.iter().map(|e| ((rack, e.run), e.outcome));
                self.unwritten.extend(ends);
            }
            Event::Tick | Event::Read(..) | Event::Synced(..) | Event::Hint(_) => {}
        }
        self.advance(now, view, writer, &mut effects);
        effects
    }

    /// receive_page replaces the page by the one that was read, unless the read
    /// failed.
    fn receive_page(&mut self, fetched: Fetched, effects: &mut Vec<Effect>) {
        if !matches!(self.step, Step::Loading) {
            return;
        }
        self.step = Step::Idle;
        match fetched {
            Fetched::Found(revision, Page::Homes(page)) => self.adopt(revision, page, effects),
            Fetched::Absent => self.page = Some((ABSENT, Shard::default())),
            Fetched::Found(..) | Fetched::Failed => return,
        }
        self.stale = false;
    }

    /// adopt replaces the page, and sends the changes if this placer's last swap
    /// wrote it and the store's reply was lost.
    fn adopt(&mut self, revision: Revision, page: Shard, effects: &mut Vec<Effect>) {
        let mine = self.unclear.take() == Some(page.write);
        let before = self.page.replace((revision, page));
        if let Some((_, old)) = before.filter(|_| mine) {
            self.send_changes(&old, effects);
        }
    }

    /// advance requests the next read or swap if it is due, no pause is left and
    /// this daemon normally places the shard.
    fn advance(
        &mut self,
        now: Millis,
        view: View<'_>,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        let item = item(view.table.data_centre(), self.shard);
        let mine = view.table.preferred(now, &item);
        if !mine {
            // Another daemon normally places this shard. The page is read again
            // if that changes.
            if matches!(self.step, Step::Idle) {
                self.stale = true;
                self.pause = Pause::default();
            }
            return;
        }
        self.sweep(now, view, effects);
        if !self.pause.may_read(now) {
            return;
        }
        if matches!(self.step, Step::Idle) && self.stale {
            self.step = Step::Loading;
            effects.push(Effect::Read(Key::Homes(
                view.table.data_centre(),
                self.shard,
            )));
            return;
        }
        if !self.pause.may_swap(now) {
            return;
        }
        self.update_urgent(view.catalogue);
        let may_commit = self
            .committed
            .is_none_or(|at| now.since(at) >= self.interval_ms());
        self.try_swap(now, may_commit, view, writer, effects);
    }

    /// update_urgent sets `urgent` to whether any accepted intent is urgent, if
    /// the intents have changed since the last placement attempt.
    fn update_urgent(&mut self, catalogue: &Catalogue) {
        let changes = catalogue.changes();
        if self.seen.is_some_and(|seen| seen.changes == changes) {
            return;
        }
        let urgent = |object: &Object| object.intent.priority >= URGENT_PRIORITY;
        self.urgent = catalogue.objects().any(urgent);
    }

    /// sweep reads the page again, and sends each rack the sum of its claims,
    /// by which the rack's owner notices a lost message.
    fn sweep(&mut self, now: Millis, view: View<'_>, effects: &mut Vec<Effect>) {
        let due = |at| now.since(at) >= self.options.sweep_ms;
        if self.swept.is_some_and(|at| !due(at)) {
            return;
        }
        self.swept = Some(now);
        self.stale = true;
        let Some((_, page)) = self
            .page
            .as_ref()
            .filter(|_| matches!(self.step, Step::Idle))
        else {
            return;
        };
        let mut racks = BTreeMap::new();
        for rack in view.table.racks() {
            self.claims(&mut racks, rack);
        }
        // The sum does not cover stops, so they are sent again until they are
        // done.
        let claimed = page
            .homes
            .iter()
            .filter_map(|home| Some((home, home.claim()?)));
        for (home, claim) in claimed.filter(|(_, claim)| claim.stop) {
            self.claims(&mut racks, claim.rack).claimed.push(*home);
        }
        self.send_claims(racks, effects);
    }
}
