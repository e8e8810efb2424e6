// SPDX-License-Identifier: Apache-2.0
//! The owner of a rack: commits claimed runs to the rack's page, renews the
//! leases of its workers, and records how runs end.
//!
//! What keeps a task from running in two places: a claim moves only after the
//! rack's page shows its run as ended, so what a revision of the homes claims
//! stands until then; the page remembers by which revision ended rows were
//! dropped, and takes no claim of an earlier one; a run ends in the page only
//! with evidence from its worker or from its lapsed lease.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, Name, key::Boot};
use stackpier_protocol::{
    peer::{Claims, Endpoint, Hint, RackReport, Renounced, WorkerReport, claims_sum},
    platform::Standing,
    sync::{Call, Clock, Ended, Reply, Start, Usage},
};
use stackpier_state::{
    Page, Revision,
    holders::Member,
    homes,
    page::{ABSENT, Fetched, Key, Swapped},
    rack::{Condition, Phase, Rack, Row, Worker},
    work::{Class, Outcome, Run},
};

use crate::{
    breaker::{self, Breaker},
    effect::{Effect, Event, Note, Writer},
    history::History,
    interference::{self, LEAST_REPORTED, Model, Pair, Sample},
    membership::Table,
    placer::URGENT_SPEEDUP,
    reaction::{self, Action, Budget, Suspect, Watch},
};

/// NO_SLOWDOWN_MILLI is the slowdown of a task that runs as if alone.
const NO_SLOWDOWN_MILLI: u32 = 1_000;
/// WORKER_BREAKER takes a worker that fails what it starts out of placement.
const WORKER_BREAKER: breaker::Options = breaker::Options {
    failures: 3,
    pause_ms: 10_000,
    longest_ms: 600_000,
};
/// URGENT_GAP_MS is the shortest time between two calls to a worker.
const URGENT_GAP_MS: u64 = 20;
/// QUIET_SYNCS is the count of missed calls after which a worker is offered
/// no new tasks.
const QUIET_SYNCS: u64 = 3;

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
        let done = |old: &stackpier_state::rack::Renewer| old.boot == from.boot && old.term < below;
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
        let mine = |renewer: stackpier_state::rack::Renewer| renewer.boot == self.me.boot;
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

    fn hinted(&mut self, hint: Hint) {
        match hint {
            Hint::Claims(claims) if claims.rack == self.rack => self.hear(claims),
            Hint::TakenOver {
                rack,
                renewer,
                term,
            } if rack == self.rack => self.hear_renewer(renewer, term),
            _ => {}
        }
    }

    /// hear_renewer has the page read again if it concerns this daemon: it may
    /// have lost the rack, or won it by a swap whose answer was lost.
    fn hear_renewer(&mut self, renewer: Member, term: u64) {
        let known = self.page().and_then(|page| page.renewer);
        let newer = term > known.map_or(0, |renewer| renewer.term);
        let concerned = self.renews() || renewer.boot == self.me.boot;
        self.stale |= newer && concerned;
    }

    /// renewer_hint tells all daemons whom the page names as renewer.
    fn renewer_hint(&self) -> Option<Effect> {
        let renewer = self.page()?.renewer?;
        Some(Effect::Hint(Hint::TakenOver {
            rack: self.rack,
            renewer: Member {
                vm: renewer.vm,
                boot: renewer.boot,
            },
            term: renewer.term,
        }))
    }

    /// hear takes a placer's word, or reads its shard if the word is older than
    /// what the page was settled by.
    fn hear(&mut self, claims: Claims) {
        let Some((_, page)) = &self.page else { return };
        if claims.revision < page.settled_by(claims.shard) {
            self.dirty.insert(claims.shard);
        } else if self.renews() {
            self.told.push(claims);
        }
    }

    /// differing returns the shards whose claims differ from the page's rows
    /// even after their placers' words were taken: some word was lost.
    fn differing(&self, next: &Rack) -> BTreeSet<u16> {
        let mut sums = BTreeMap::new();
        for claims in &self.told {
            let newest = sums
                .entry(claims.shard)
                .or_insert((claims.revision, claims.sum));
            if claims.revision >= newest.0 {
                *newest = (claims.revision, claims.sum);
            }
        }
        let here = |shard: u16| {
            let rows = next.rows.iter();
            let ours = rows.filter(move |row| shard_of(row, self.options.shards) == shard);
            claims_sum(ours.map(|row| row.run))
        };
        let differs = sums
            .iter()
            .filter(|(shard, (_, sum))| here(**shard) != *sum);
        differs.map(|(shard, _)| *shard).collect()
    }

    /// ended_hints tells the placers of shards which of their runs ended.
    fn ended_hints<'a>(&self, rows: impl Iterator<Item = &'a Row>) -> Vec<Effect> {
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

    fn synced(
        &mut self,
        now: Millis,
        worker: Name,
        reply: Option<Reply>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(contact) = self.contacts.get_mut(&worker) else {
            return;
        };
        contact.calling = false;
        let Some(reply) = reply else { return };
        if contact.boot == reply.boot && reply.clock < contact.clock {
            return;
        }
        contact.boot = reply.boot;
        contact.clock = reply.clock;
        contact.heard = now;
        contact.running = reply.running.into_iter().collect();
        contact.ended = reply
            .ended
            .into_iter()
            .map(|e| (e.run, e.outcome))
            .collect();
        let slowest = reply.usage.iter().map(|usage| usage.slowdown_milli).max();
        contact.slowdown_milli = slowest.unwrap_or(NO_SLOWDOWN_MILLI);
        self.learn(now, worker, &reply.usage, effects);
    }

    /// learn matches usage samples with what ran when they were taken, and
    /// reacts to services that are slowed down.
    fn learn(&mut self, now: Millis, worker: Name, usage: &[Usage], effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        let Some(contact) = self.contacts.get_mut(&worker) else {
            return;
        };
        let rows = || {
            page.rows
                .iter()
                .filter(|row| contact.running.contains(&row.run))
        };
        let batch = || rows().filter(|row| row.work.class == Class::Batch);
        let mut by_job: BTreeMap<Name, u32> = BTreeMap::new();
        batch().for_each(|row| *by_job.entry(row.work.name).or_default() += 1);
        contact.history.record(contact.clock, by_job);
        let news = usage.iter().filter(|usage| usage.sampled > contact.sampled);
        let mut worst: Option<Victim> = None;
        for usage in news {
            let row = rows().find(|row| row.run == usage.run);
            let Some(row) = row.filter(|row| row.work.class == Class::Service) else {
                continue;
            };
            let Some(neighbours) = contact.history.at(usage.sampled) else {
                continue;
            };
            let victim = Victim::new(row, usage);
            self.model.observe(&Sample {
                victim: victim.name,
                neighbours,
                load: victim.load,
                slowdown: victim.slowdown,
            });
            if worst.is_none_or(|worst| worst.slowdown < victim.slowdown) {
                worst = Some(victim);
            }
        }
        let newest = usage.iter().map(|usage| usage.sampled).max();
        contact.sampled = newest.map_or(contact.sampled, |newest| contact.sampled.max(newest));
        let Some(worst) = worst else { return };
        let suspect = |row: &Row| {
            let pair = Pair {
                victim: worst.name,
                neighbour: row.work.name,
            };
            Suspect {
                run: row.run,
                blame: self.model.estimate(pair).mean * worst.load,
            }
        };
        let suspects: Vec<Suspect> = batch().map(suspect).collect();
        let options = reaction::Options::default();
        let budget = &mut self.evictions;
        let action = contact
            .watch
            .sample(now, worst.slowdown, &suspects, options, budget);
        if let Some(Action::Evict(run)) = action {
            self.evict.insert(run);
        }
        effects.extend(action.map(|action| Effect::Note(Note::Reacted(action, worker))));
    }

    /// note_sole notes the moment from which no former renewer can renew.
    fn note_sole(&mut self, now: Millis, table: &Table) {
        let Some((_, page)) = &mut self.page else {
            return;
        };
        let gone = |old: &stackpier_state::rack::Renewer| {
            table.gone(Member {
                vm: old.vm,
                boot: old.boot,
            })
        };
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
        let interval = match urgent {
            true => self.options.commit_ms / URGENT_SPEEDUP,
            false => self.options.commit_ms,
        };
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

    /// revise brings a copy of the page up to what is known.
    fn revise(
        &self,
        now: Millis,
        table: &Table,
        homes: &Snapshots,
        next: &mut Rack,
        effects: &mut Vec<Effect>,
    ) {
        if !self.renews() {
            self.revise_renewer(now, table, next);
            return;
        }
        self.revise_workers(table, next);
        for run in self.lapsing.values().flatten() {
            next.end(*run, Outcome::Lost);
        }
        for run in &self.evict {
            next.stop(*run);
        }
        for (worker, contact) in &self.contacts {
            self.revise_contact(now, *worker, contact, next, effects);
        }
        for (shard, (revision, page)) in homes {
            self.settle_shard(now, *shard, *revision, page, next);
        }
        for claims in &self.told {
            self.settle_claims(now, claims, next);
        }
    }

    /// revise_renewer takes the rack over if it has no living renewer.
    fn revise_renewer(&self, now: Millis, table: &Table, next: &mut Rack) {
        let alive = next.renewer.is_some_and(|renewer| {
            table.alive(
                now,
                Member {
                    vm: renewer.vm,
                    boot: renewer.boot,
                },
            )
        });
        if !alive && !table.stopping() && table.preferred(now, self.rack.as_str()) {
            next.take_over(self.me.vm, self.me.boot);
        }
    }

    /// revise_workers brings the rack's workers in line with the list.
    fn revise_workers(&self, table: &Table, next: &mut Rack) {
        for vm in table.workers(self.rack) {
            if next.worker(vm.name).is_none() && vm.standing != Standing::Gone {
                next.workers.push(Worker {
                    name: vm.name,
                    boot: Boot::default(),
                    capacity: vm.capacity,
                    condition: Condition::Up,
                });
            }
        }
        let names: Vec<Name> = next.workers.iter().map(|worker| worker.name).collect();
        for name in names {
            match table.standing(name) {
                Some(Standing::Leaving) => set_leaving(next, name),
                Some(Standing::Gone) => set_gone(next, name),
                Some(Standing::Live) | None => {}
            }
        }
        let rows = &next.rows;
        let used = |name: Name| rows.iter().any(|row| row.worker == name);
        next.workers
            .retain(|worker| worker.condition != Condition::Gone || used(worker.name));
    }

    /// revise_contact records what a worker said, or that its lease lapsed.
    fn revise_contact(
        &self,
        now: Millis,
        name: Name,
        contact: &Contact,
        next: &mut Rack,
        effects: &mut Vec<Effect>,
    ) {
        let Some(worker) = next.worker(name).copied() else {
            return;
        };
        if contact.boot != Boot::default() && contact.boot != worker.boot {
            next.end_all(name);
            if let Some(worker) = next.worker_mut(name) {
                worker.boot = contact.boot;
            }
            effects.push(Effect::Note(Note::Rebooted(name)));
            return;
        }
        for (run, outcome) in &contact.ended {
            next.end(*run, *outcome);
        }
        if self.lapsed(now, contact) && next.end_all(name) {
            effects.push(Effect::Note(Note::Lapsed(name)));
        }
    }

    /// lapsed_runs returns the open runs on workers whose lease has lapsed.
    fn lapsed_runs(&self, now: Millis, page: &Rack) -> BTreeMap<Name, BTreeSet<Run>> {
        let lapsed = self
            .contacts
            .iter()
            .filter(|(_, contact)| self.lapsed(now, contact));
        let runs = |name: Name| page.live(name).map(|row| row.run).collect();
        lapsed.map(|(name, _)| (*name, runs(*name))).collect()
    }

    /// lapsed tells whether every lease that anybody may have renewed at a
    /// worker is over.
    fn lapsed(&self, now: Millis, contact: &Contact) -> bool {
        let Some((_, sole)) = self.sole_since else {
            return false;
        };
        let last = sole.max(contact.heard);
        now.since(last) > self.options.lease_ms + self.options.drift_ms
    }

    /// settle_shard commits the claims of a shard, marks stops, and drops
    /// ended rows whose home has moved on.
    fn settle_shard(
        &self,
        now: Millis,
        shard: u16,
        revision: Revision,
        page: &homes::Shard,
        next: &mut Rack,
    ) {
        if revision < next.settled_by(shard) {
            return;
        }
        for home in &page.homes {
            self.settle_home(now, home, next);
        }
        let shards = self.options.shards;
        let moved = |row: &Row| shard_of(row, shards) == shard && !page.claimed(row.run, self.rack);
        next.drop_rows(shard, revision, moved);
    }

    /// settle_claims does the same by a placer's word.
    fn settle_claims(&self, now: Millis, claims: &Claims, next: &mut Rack) {
        if claims.revision < next.settled_by(claims.shard) {
            return;
        }
        for home in &claims.claimed {
            self.settle_home(now, home, next);
        }
        let released = |row: &Row| claims.released.contains(&row.run);
        next.drop_rows(claims.shard, claims.revision, released);
    }

    fn settle_home(&self, now: Millis, home: &homes::Home, next: &mut Rack) {
        let claim = home.claim().filter(|claim| claim.rack == self.rack);
        let Some(claim) = claim else { return };
        let run = home.run();
        if next.row(run).is_some() {
            if claim.stop {
                next.stop(run);
            }
            return;
        }
        let mut row = Row {
            run,
            work: home.work,
            worker: claim.worker,
            checkpoint: home.checkpoint,
            phase: Phase::Running,
        };
        let lapsed = self
            .contacts
            .get(&claim.worker)
            .is_some_and(|c| self.lapsed(now, c));
        if claim.stop || lapsed || next.commit(row).is_err() {
            row.phase = Phase::Ended(Outcome::Refused);
            next.rows.push(row);
        }
    }

    fn call_workers(&mut self, now: Millis, table: &Table, effects: &mut Vec<Effect>) {
        if !self.renews() {
            self.contacts.clear();
            self.lapsing.clear();
            self.told.clear();
            return;
        }
        let Some((_, page)) = &self.page else { return };
        let Some(term) = page.renewer.map(|renewer| renewer.term) else {
            return;
        };
        if self.renounced.is_some_and(|below| term < below) {
            return;
        }
        let open = |worker: Name, run: &Run| page.live(worker).any(|row| row.run == *run);
        self.lapsing
            .retain(|worker, runs| runs.iter().any(|run| open(*worker, run)));
        for worker in page
            .workers
            .iter()
            .filter(|w| w.condition != Condition::Gone)
        {
            if table.vm(worker.name).is_none() {
                continue;
            }
            let contact = self.contacts.entry(worker.name).or_insert_with(|| Contact {
                heard: now,
                ..Contact::default()
            });
            let wait = self.options.sync_ms;
            let due = contact.called.is_none_or(|at| now.since(at) >= wait);
            let gap = contact
                .called
                .is_none_or(|at| now.since(at) >= URGENT_GAP_MS);
            let urgent = gap && urgent(page, worker, contact);
            if contact.calling || !(due || urgent) {
                continue;
            }
            contact.calling = true;
            contact.called = Some(now);
            let open = |run: &Run| {
                page.row(*run)
                    .is_some_and(|row| row.phase == Phase::Running)
            };
            self.evict.retain(open);
            let mut call = call(page, worker, contact, term, self.options.lease_ms);
            if self.lapsing.contains_key(&worker.name) {
                call = probe(&call);
            }
            effects.push(Effect::Sync(worker.name, call));
        }
    }

    fn update_report(&mut self, now: Millis) {
        let Some((_, page)) = &self.page else { return };
        let workers = page
            .workers
            .iter()
            .filter_map(|worker| self.worker_report(now, page, worker));
        let endpoints = page.rows.iter().filter_map(|row| self.endpoint(page, row));
        let next = RackReport {
            rack: self.rack,
            renewer: self.me.vm,
            term: page.renewer.map_or(0, |renewer| renewer.term),
            change: self.report.change,
            workers: workers.collect(),
            endpoints: endpoints.collect(),
            pairs: self.model.report(LEAST_REPORTED),
        };
        if next != self.report {
            self.report = next;
            self.report.change += 1;
        }
    }

    fn worker_report(&self, now: Millis, page: &Rack, worker: &Worker) -> Option<WorkerReport> {
        let contact = self.contacts.get(&worker.name)?;
        let quiet = now.since(contact.heard) > QUIET_SYNCS * self.options.sync_ms;
        let broken = self
            .breakers
            .get(&worker.name)
            .is_some_and(|b| !b.ready(now));
        if quiet || broken {
            return None;
        }
        Some(WorkerReport {
            worker: worker.name,
            capacity: worker.capacity,
            free: page.free(worker.name)?,
            slowdown_milli: contact.slowdown_milli,
        })
    }

    fn endpoint(&self, page: &Rack, row: &Row) -> Option<Endpoint> {
        let up = page.worker(row.worker)?.condition == Condition::Up;
        let runs = self.contacts.get(&row.worker)?.running.contains(&row.run);
        let serves = row.work.class == Class::Service && row.phase == Phase::Running;
        (up && runs && serves).then_some(Endpoint {
            service: row.work.name,
            worker: row.worker,
            run: row.run,
        })
    }
}

/// Victim is a service task as one usage sample shows it.
#[derive(Clone, Copy, Debug)]
struct Victim {
    name: Name,
    load: f64,
    slowdown: f64,
}

impl Victim {
    fn new(row: &Row, usage: &Usage) -> Victim {
        let size = f64::from(row.work.size.milli_cores.max(1));
        Victim {
            name: row.work.name,
            load: (f64::from(usage.milli_cores) / size).min(1.0),
            slowdown: f64::from(usage.slowdown_milli) / f64::from(NO_SLOWDOWN_MILLI),
        }
    }
}

/// shard_of returns the shard of homes that a row's task belongs to.
fn shard_of(row: &Row, shards: u16) -> u16 {
    stackpier_core::key::shard(row.run.task.job, shards)
}

fn set_leaving(next: &mut Rack, name: Name) {
    if let Some(worker) = next.worker_mut(name)
        && worker.condition == Condition::Up
    {
        worker.condition = Condition::Leaving;
    }
    let runs: Vec<Run> = next.live(name).map(|row| row.run).collect();
    for run in runs {
        next.stop(run);
    }
}

fn set_gone(next: &mut Rack, name: Name) {
    if let Some(worker) = next.worker_mut(name) {
        worker.condition = Condition::Gone;
    }
    next.end_all(name);
}

/// urgent tells whether a worker has runs to start or stop.
fn urgent(page: &Rack, worker: &Worker, contact: &Contact) -> bool {
    if contact.boot != worker.boot || contact.called.is_some_and(|at| at > contact.heard) {
        return false;
    }
    page.live(worker.name).any(|row| match row.phase {
        Phase::Running => to_start(row, contact),
        Phase::Stopping => !contact.ended.contains_key(&row.run),
        Phase::Ended(_) => false,
    })
}

/// probe asks a worker for its reply and has no effect there.
fn probe(call: &Call) -> Call {
    Call {
        boot: Boot::default(),
        start: Vec::new(),
        stop: Vec::new(),
        throttle: Vec::new(),
        forget: Vec::new(),
        ..*call
    }
}

fn to_start(row: &Row, contact: &Contact) -> bool {
    !contact.running.contains(&row.run) && !contact.ended.contains_key(&row.run)
}

/// call builds the call to a worker from the page and the last reply.
fn call(page: &Rack, worker: &Worker, contact: &Contact, term: u64, lease_ms: u64) -> Call {
    let mut call = Call {
        boot: Boot::default(),
        term,
        clock: contact.clock,
        lease_ms,
        start: Vec::new(),
        stop: Vec::new(),
        throttle: contact.watch.throttled().iter().copied().collect(),
        forget: Vec::new(),
    };
    if contact.boot != worker.boot || worker.boot == Boot::default() {
        return call;
    }
    call.boot = worker.boot;
    for row in page.live(worker.name) {
        match row.phase {
            Phase::Running if to_start(row, contact) => call.start.push(Start {
                run: row.run,
                work: row.work,
                checkpoint: row.checkpoint,
            }),
            Phase::Stopping => call.stop.push(row.run),
            Phase::Running | Phase::Ended(_) => {}
        }
    }
    let open = |run: &Run| {
        page.row(*run)
            .is_some_and(|row| !matches!(row.phase, Phase::Ended(_)))
    };
    call.forget = contact
        .ended
        .keys()
        .filter(|run| !open(run))
        .copied()
        .collect();
    call
}
