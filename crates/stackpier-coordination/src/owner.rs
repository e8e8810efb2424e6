// SPDX-License-Identifier: Apache-2.0
//! The owner of a rack: commits claimed runs to the rack's page, renews the
//! leases of its workers, and records how runs end.
//!
//! A task never runs in two places, for three reasons. A claim moves only after
//! the rack's page shows its run as ended, so a claim in a revision of the
//! homes holds until then. The page records the revision of the homes by which
//! ended rows were dropped, and accepts no claim of an earlier revision. A run
//! ends in the page only on evidence: its worker's report or its expired lease.

mod calls;
mod commit;
mod contact;
mod inbox;
mod learn;
mod messages;
mod read;
mod renewer;
mod report;
mod revise;

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, Name};
use stackpier_protocol::peer::RackReport;
use stackpier_state::{
    Revision,
    holders::Member,
    page::Key,
    rack::{Rack, Row},
    work::Run,
};

use crate::{
    breaker::Breaker,
    effect::{Effect, Event, Writer},
    interference::{self, Model},
    membership::Table,
    pause::Pause,
    reaction::{self, Budget},
};

use contact::Contact;
use inbox::Inbox;
use read::{Reading, Snapshots};
use renewer::member;

/// NO_SLOWDOWN_MILLI is the slowdown of a task that runs as fast as alone, in
/// thousandths.
const NO_SLOWDOWN_MILLI: u32 = 1_000;

/// Options hold the times and counts of an owner.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of a worker's lease, in milliseconds.
    pub lease_ms: u64,
    /// Time added to a lease before it counts as expired, for clock drift, in
    /// milliseconds.
    pub drift_ms: u64,
    /// Time between two calls to a worker, in milliseconds.
    pub sync_ms: u64,
    /// Shortest time between two commits of the page, in milliseconds.
    pub commit_ms: u64,
    /// Time between two sweeps, which find changes whose hints were lost, in
    /// milliseconds.
    pub sweep_ms: u64,
    /// Number of shards of homes in the data centre.
    pub shards: u16,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            lease_ms: 10_000,
            drift_ms: 1_000,
            sync_ms: 1_000,
            commit_ms: 250,
            sweep_ms: 5_000,
            shards: 8,
        }
    }
}

/// Step is what the owner waits for.
#[derive(Clone, Debug)]
enum Step {
    Idle,
    Loading,
    Reading(Reading),
    Swapping(Box<Rack>),
}

/// Owner is the state machine for one rack.
#[derive(Debug)]
pub struct Owner {
    rack: Name,
    me: Member,
    options: Options,
    page: Option<(Revision, Rack)>,
    step: Step,
    contacts: BTreeMap<Name, Contact>,
    /// Estimates of how batch work slows services down.
    model: Model,
    evictions: Budget,
    /// Runs to be stopped to protect services.
    evict: BTreeSet<Run>,
    breakers: BTreeMap<Name, Breaker>,
    /// Runs that the pending swap ends because their worker's lease expired.
    /// The worker's lease is not renewed before the page shows them as ended:
    /// otherwise such a run could start during the swap.
    expiring: BTreeMap<Name, BTreeSet<Run>>,
    /// Shards of homes that have to be read.
    dirty: BTreeSet<u16>,
    /// Claims received from placers and not yet written to the page.
    unwritten: Inbox,
    /// Claims that the pending swap writes.
    writing: Inbox,
    /// Whether the page has to be read again.
    stale: bool,
    /// The pause after a read or swap that failed.
    pause: Pause,
    /// When the last sweep was made.
    swept: Option<Millis>,
    /// When the last swap was requested.
    committed: Option<Millis>,
    /// The current term, and since when no other daemon can renew leases.
    sole_since: Option<(u64, Millis)>,
    /// This daemon promises not to renew under terms below this one.
    renounced: Option<u64>,
    report: RackReport,
}

impl Owner {
    /// new returns the state machine for a rack, before its page is read.
    pub fn new(rack: Name, me: Member, options: Options) -> Owner {
        Owner {
            rack,
            me,
            options,
            page: None,
            step: Step::Idle,
            contacts: BTreeMap::new(),
            model: Model::new(interference::Options::default()),
            evictions: Budget::new(reaction::Options::default()),
            evict: BTreeSet::new(),
            breakers: BTreeMap::new(),
            expiring: BTreeMap::new(),
            dirty: BTreeSet::new(),
            unwritten: Inbox::default(),
            writing: Inbox::default(),
            stale: true,
            pause: Pause::default(),
            swept: None,
            committed: None,
            sole_since: None,
            renounced: None,
            report: RackReport {
                rack,
                renewer: me.vm,
                term: 0,
                change: 0,
                workers: Vec::new(),
                endpoints: Vec::new(),
                pairs: Vec::new(),
            },
        }
    }

    /// step processes one event and returns the effects.
    pub fn step(
        &mut self,
        now: Millis,
        event: Event,
        table: &Table,
        writer: &mut Writer,
    ) -> Vec<Effect> {
        let mut effects = Vec::from_iter(self.pause.record(now, &event));
        match event {
            Event::Tick => {}
            Event::Read(Key::Rack(_), fetched) => {
                self.receive_page(now, fetched, table, &mut effects);
            }
            Event::Read(Key::Homes(_, shard), fetched) => self.receive_homes(shard, fetched),
            Event::Read(_, _) => {}
            Event::Swapped(_, swap) => self.finish_swap(now, swap, table, &mut effects),
            Event::Synced(worker, reply) => self.receive_reply(now, worker, reply, &mut effects),
            Event::Hint(hint) => self.receive_hint(hint, &mut effects),
        }
        self.update_sole_since(now, table);
        self.advance(now, table, writer, &mut effects);
        self.call_workers(now, table, &mut effects);
        self.update_report(now);
        effects
    }

    /// report returns the rack's report to the data centre, if this daemon is
    /// the renewer.
    pub fn report(&self) -> Option<&RackReport> {
        self.renews().then_some(&self.report)
    }

    /// page returns the rack's page as last read or written.
    pub fn page(&self) -> Option<&Rack> {
        self.page.as_ref().map(|(_, page)| page)
    }

    /// backlog returns how many messages, claims and releases are not yet written
    /// to the page.
    pub fn backlog(&self) -> usize {
        self.unwritten.len()
    }

    /// advance requests the next read or swap, if it is due and no pause is left.
    fn advance(
        &mut self,
        now: Millis,
        table: &Table,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        self.sweep(now, table, effects);
        if !self.pause.may_read(now) {
            return;
        }
        if matches!(self.step, Step::Idle) && self.stale {
            self.step = Step::Loading;
            effects.push(Effect::Read(Key::Rack(self.rack)));
            return;
        }
        if !self.pause.may_swap(now) {
            return;
        }
        if self.may_commit(now) && matches!(self.step, Step::Idle) && self.renews() {
            self.read_homes(table, effects);
        }
        self.try_swap(now, table, writer, effects);
    }

    /// sweep has the page read again, and repeats the hints that may have been
    /// lost.
    fn sweep(&mut self, now: Millis, table: &Table, effects: &mut Vec<Effect>) {
        let due = self
            .swept
            .is_none_or(|at| now.since(at) >= self.options.sweep_ms);
        // A daemon that neither renews nor would take over doesn't need the
        // page.
        let concerned = self.renews() || table.preferred(now, self.rack.as_str());
        if !(due && concerned) {
            return;
        }
        self.swept = Some(now);
        self.stale = true;
        if !self.renews() {
            effects.extend(self.renewer_hint());
            return;
        }
        let Some((_, page)) = &self.page else { return };
        if !page.former.is_empty() {
            // A former renewer that does not reach the store learns of this term
            // only by the hint.
            effects.extend(self.renewer_hint());
        }
        effects.extend(self.ended_hints(page.rows.iter()));
    }
}

/// shard_of returns the shard of homes that a row's task belongs to.
fn shard_of(row: &Row, shards: u16) -> u16 {
    stackpier_core::key::shard(row.run.task.job, shards)
}
