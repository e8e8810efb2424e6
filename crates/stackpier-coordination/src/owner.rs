// SPDX-License-Identifier: Apache-2.0
//! The owner of a rack: commits claimed runs to the rack's page, renews the
//! leases of its workers, and records how runs end.
//!
//! What keeps a task from running in two places: a claim moves only after the
//! rack's page shows its run as ended, so what a revision of the homes claims
//! stands until then; the page remembers by which revision ended rows were
//! dropped, and takes no claim of an earlier one; a run ends in the page only
//! with evidence from its worker or from its lapsed lease.

mod calls;
mod learn;
mod report;
mod revise;
mod words;

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, Name, key::Boot};
use stackpier_protocol::{
    peer::{Claims, RackReport, Renounced},
    sync::Clock,
};
use stackpier_state::{
    Page, Revision,
    holders::Member,
    homes,
    page::{ABSENT, Fetched, Key, Swapped},
    rack::{Phase, Rack, Renewer, Row},
    work::{Outcome, Run},
};

use crate::{
    breaker::{self, Breaker},
    effect::{Effect, Event, Note, Writer},
    history::History,
    interference::{self, Model},
    interval::interval_ms,
    membership::Table,
    reaction::{self, Budget, Watch},
};

/// NO_SLOWDOWN_MILLI is the slowdown of a task that runs as if alone.
const NO_SLOWDOWN_MILLI: u32 = 1_000;
/// WORKER_BREAKER takes a worker that fails what it starts out of placement.
const WORKER_BREAKER: breaker::Options = breaker::Options {
    failures: 3,
    pause_ms: 10_000,
    longest_ms: 600_000,
};

/// Options are the times and counts an owner goes by.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of a worker's lease.
    pub lease_ms: u64,
    /// Time added to a lease before it counts as lapsed, for clock drift.
    pub drift_ms: u64,
    /// Time between two calls to a worker.
    pub sync_ms: u64,
    /// Shortest time between two commits of the page.
    pub commit_ms: u64,
    /// Time between two looks at everything, hinted or not.
    pub sweep_ms: u64,
    /// Count of shards of homes in the data centre.
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

/// Contact is what the owner knows of one boot of a worker at first hand.
#[derive(Clone, Debug, Default)]
struct Contact {
    boot: Boot,
    clock: Clock,
    heard: Millis,
    running: BTreeSet<Run>,
    ended: BTreeMap<Run, Outcome>,
    calling: bool,
    called: Option<Millis>,
    slowdown_milli: u32,
    history: History,
    /// Clock of the newest usage sample that was learnt from.
    sampled: Clock,
    watch: Watch,
}

/// Step is what the owner waits for.
#[derive(Clone, Debug)]
enum Step {
    Idle,
    Loading,
    Reading(Reading),
    Swapping(Box<Rack>),
}

/// Reading collects shards of homes.
#[derive(Clone, Debug)]
struct Reading {
    waiting: BTreeSet<u16>,
    got: Snapshots,
}

/// Snapshots are shards of homes with the revisions they were read at.
type Snapshots = BTreeMap<u16, (Revision, homes::Shard)>;

/// Owner is the machine for one rack.
#[derive(Debug)]
pub struct Owner {
    rack: Name,
    me: Member,
    options: Options,
    page: Option<(Revision, Rack)>,
    step: Step,
    contacts: BTreeMap<Name, Contact>,
    /// What is learnt of batch work beside services.
    model: Model,
    evictions: Budget,
    /// Runs to be stopped for the sake of services.
    evict: BTreeSet<Run>,
    breakers: BTreeMap<Name, Breaker>,
    /// Runs that a swap on its way ends because their worker's lease lapsed.
    /// The worker's lease is not renewed before the page shows them as ended:
    /// else such a run could start while the swap is under way.
    lapsing: BTreeMap<Name, BTreeSet<Run>>,
    dirty: BTreeSet<u16>,
    /// Words of placers not yet written to the page.
    told: Vec<Claims>,
    /// Those of them that the swap on its way writes.
    taken: Vec<Claims>,
    stale: bool,
    swept: Option<Millis>,
    committed: Option<Millis>,
    /// Since when nobody but this daemon can renew, under its current term.
    sole_since: Option<(u64, Millis)>,
    renounced: Option<u64>,
    report: RackReport,
}

impl Owner {
    /// new starts the machine for a rack with nothing known.
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
            lapsing: BTreeMap::new(),
            dirty: BTreeSet::new(),
            told: Vec::new(),
            taken: Vec::new(),
            stale: true,
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

    /// step takes one event and returns what to do.
    pub fn step(
        &mut self,
        now: Millis,
        event: Event,
        table: &Table,
        writer: &mut Writer,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => {}
            Event::Read(Key::Rack(_), fetched) => self.loaded(now, fetched, &mut effects),
            Event::Read(Key::Homes(_, shard), fetched) => self.homes_read(shard, fetched),
            Event::Read(_, _) => {}
            Event::Swapped(_, swap) => self.swapped(now, swap, table, &mut effects),
            Event::Synced(worker, reply) => self.synced(now, worker, reply, &mut effects),
            Event::Hint(hint) => self.hinted(hint),
        }
        self.note_sole(now, table);
        self.advance(now, table, writer, &mut effects);
        self.call_workers(now, table, &mut effects);
        self.update_report(now);
        effects
    }

    /// renews tells whether this daemon is the rack's renewer, by the page it
    /// last saw.
    pub fn renews(&self) -> bool {
        let renewer = self.page.as_ref().and_then(|(_, page)| page.renewer);
        renewer.is_some_and(|renewer| renewer.boot == self.me.boot)
    }

    /// report returns the word for the data centre, if this daemon renews.
    pub fn report(&self) -> Option<&RackReport> {
        self.renews().then_some(&self.report)
    }

    /// renounced returns the promise not to renew, if one is due.
    pub fn renounced(&self) -> Option<Renounced> {
        self.renounced.map(|below| Renounced {
            rack: self.rack,
            below,
        })
    }

    /// page returns the rack's page as last read or written.
    pub fn page(&self) -> Option<&Rack> {
        self.page.as_ref().map(|(_, page)| page)
    }

    /// give_up lets another daemon take the rack over, for a planned stop.
    pub fn give_up(&mut self) {
        if let Some(renewer) = self.page().and_then(|page| page.renewer)
            && renewer.boot == self.me.boot
        {
            self.renounced = Some(renewer.term + 1);
        }
    }

    /// heard_renounced takes another daemon's promise not to renew.
    pub fn heard_renounced(&mut self, from: Member, below: u64) {
        let Some((_, page)) = &mut self.page else {
            return;
        };
        let done = |old: &Renewer| old.boot == from.boot && old.term < below;
        page.former.retain(|old| !done(old));
    }

    fn loaded(&mut self, now: Millis, fetched: Fetched, effects: &mut Vec<Effect>) {
        if !matches!(self.step, Step::Loading) {
            return;
        }
        self.step = Step::Idle;
        match fetched {
            Fetched::Found(revision, Page::Rack(page)) => self.adopt(now, revision, page, effects),
            Fetched::Absent => self.page = Some((ABSENT, Rack::empty())),
            Fetched::Found(..) | Fetched::Failed => return,
        }
        self.stale = false;
    }

    /// adopt takes a newer page that another daemon may have written.
    fn adopt(&mut self, now: Millis, revision: Revision, page: Rack, effects: &mut Vec<Effect>) {
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
        if renews && !self.renews() {
            // A lost reply hid that our own take-over was written.
            self.sole_since = page.former.is_empty().then_some((term, now));
            self.contacts.clear();
        }
        self.page = Some((revision, page));
    }

    fn homes_read(&mut self, shard: u16, fetched: Fetched) {
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

    fn swapped(&mut self, now: Millis, swap: Swapped, table: &Table, effects: &mut Vec<Effect>) {
        let Step::Swapping(next) = std::mem::replace(&mut self.step, Step::Idle) else {
            return;
        };
        let Swapped::Won(revision) = swap else {
            // Nothing is believed of an unclear write before it is read back.
            self.stale = true;
            self.told.append(&mut self.taken);
            return;
        };
        self.taken.clear();
        let before = self.page.replace((revision, *next));
        let old = before.map_or_else(Rack::empty, |(_, page)| page);
        self.note_changes(now, &old, table, effects);
    }

    fn note_changes(&mut self, now: Millis, old: &Rack, table: &Table, effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        let mut ended = Vec::new();
        for row in &page.rows {
            let before = old.row(row.run).map(|row| row.phase);
            match row.phase {
                Phase::Ended(outcome) if before != Some(row.phase) => {
                    effects.push(Effect::Note(Note::Ended(row.run, outcome)));
                    ended.push(*row);
                }
                Phase::Running if before.is_none() => {
                    effects.push(Effect::Note(Note::Committed(row.run, row.worker)));
                }
                _ => {}
            }
        }
        for row in &ended {
            let breaker = self.breakers.entry(row.worker);
            let breaker = breaker.or_insert_with(|| Breaker::new(WORKER_BREAKER));
            match row.phase {
                Phase::Ended(Outcome::Failed) => breaker.failed(now, true),
                Phase::Ended(Outcome::Finished | Outcome::Stopped(_)) => breaker.succeeded(),
                Phase::Ended(_) | Phase::Running | Phase::Stopping => {}
            }
        }
        let rack = self.rack;
        effects.extend(self.ended_hints(ended.iter()));
        let renewer = page.renewer.filter(|renewer| old.renewer != Some(*renewer));
        if let Some(renewer) = renewer {
            self.contacts.clear();
            self.lapsing.clear();
            self.dirty.extend(0..self.options.shards);
            self.renounced = None;
            self.sole_since = None;
            self.note_sole(now, table);
            effects.push(Effect::Note(Note::TookOver(rack, renewer.term)));
            effects.extend(self.renewer_hint());
        }
    }

    /// note_sole notes the moment from which no former renewer can renew.
    fn note_sole(&mut self, now: Millis, table: &Table) {
        let Some((_, page)) = &mut self.page else {
            return;
        };
        let gone = |old: &Renewer| table.gone(member(*old));
        // What this very process sent under an earlier term quotes clock
        // readings that it got before now, so it is no other renewer.
        let me = self.me.boot;
        page.former.retain(|old| old.boot != me && !gone(old));
        let Some(renewer) = page.renewer else { return };
        let known = self
            .sole_since
            .is_some_and(|(term, _)| term == renewer.term);
        if renewer.boot == self.me.boot && page.former.is_empty() && !known {
            self.sole_since = Some((renewer.term, now));
        }
    }

    fn advance(
        &mut self,
        now: Millis,
        table: &Table,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        self.sweep(now, table, effects);
        if matches!(self.step, Step::Idle) && self.stale {
            self.step = Step::Loading;
            effects.push(Effect::Read(Key::Rack(self.rack)));
            return;
        }
        if self.may_commit(now) && matches!(self.step, Step::Idle) && self.renews() {
            self.read_homes(table, effects);
        }
        self.try_swap(now, table, writer, effects);
    }

    fn sweep(&mut self, now: Millis, table: &Table, effects: &mut Vec<Effect>) {
        let due = self
            .swept
            .is_none_or(|at| now.since(at) >= self.options.sweep_ms);
        // A daemon that neither renews nor would take over need not look.
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
        effects.extend(self.ended_hints(page.rows.iter()));
    }

    /// may_commit tells whether the interval between commits has passed, which
    /// is shorter while urgent work waits.
    fn may_commit(&self, now: Millis) -> bool {
        let mut claimed = self.told.iter().flat_map(|claims| &claims.claimed);
        let urgent = claimed.any(|home| home.work.urgent);
        let interval = interval_ms(self.options.commit_ms, urgent);
        self.committed.is_none_or(|at| now.since(at) >= interval)
    }

    fn read_homes(&mut self, table: &Table, effects: &mut Vec<Effect>) {
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

    fn try_swap(
        &mut self,
        now: Millis,
        table: &Table,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        let empty = BTreeMap::new();
        let homes = match &self.step {
            Step::Idle if self.may_commit(now) => &empty,
            Step::Reading(reading) if reading.waiting.is_empty() => &reading.got,
            _ => return,
        };
        let Some((revision, page)) = &self.page else {
            return;
        };
        let lapsing = self.lapsed_runs(now, page);
        let mut next = page.clone();
        self.revise(now, table, homes, &mut next, effects);
        let differing = self.differing(&next);
        self.dirty.extend(differing);
        self.taken = std::mem::take(&mut self.told);
        let unchanged = next == *page;
        let revision = *revision;
        self.step = Step::Idle;
        if unchanged {
            return;
        }
        next.write = writer.number();
        for (worker, runs) in lapsing {
            self.lapsing.entry(worker).or_default().extend(runs);
        }
        self.committed = Some(now);
        let page = Page::Rack(next.clone());
        self.step = Step::Swapping(Box::new(next));
        effects.push(Effect::Swap(Key::Rack(self.rack), revision, page));
    }
}

/// member returns the daemon that a renewer is.
fn member(renewer: Renewer) -> Member {
    Member {
        vm: renewer.vm,
        boot: renewer.boot,
    }
}

/// shard_of returns the shard of homes that a row's task belongs to.
fn shard_of(row: &Row, shards: u16) -> u16 {
    stackpier_core::key::shard(row.run.task.job, shards)
}
