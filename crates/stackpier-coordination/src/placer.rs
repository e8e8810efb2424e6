// SPDX-License-Identifier: Apache-2.0
//! The placer of a shard of homes: keeps the homes in line with the accepted
//! intents, claims places for waiting tasks, and moves tasks on whose runs
//! ended.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, Name, Size, key};
use stackpier_protocol::peer::{Hint, RackReport};
use stackpier_state::{
    Page, Revision,
    catalogue::Catalogue,
    homes::{Claim, End, Home, Place, Shard},
    intent::{Kind, Object},
    page::{ABSENT, Fetched, Key, Swapped},
    rack::{Phase, Rack},
    work::{Class, Run, Work},
};

use crate::{
    effect::{Effect, Event, Note, Writer},
    membership::Table,
    policy::{Candidate, choose},
};

/// Options are the times and counts a placer goes by.
#[derive(Clone, Copy, Debug)]
pub struct Options {
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
            commit_ms: 250,
            sweep_ms: 10_000,
            shards: 8,
        }
    }
}

/// View is what a placer sees beside its own page.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Daemons and workers.
    pub table: &'a Table,
    /// The accepted intents.
    pub catalogue: &'a Catalogue,
    /// The newest report of each rack.
    pub racks: &'a BTreeMap<Name, RackReport>,
}

#[derive(Clone, Debug)]
enum Step {
    Idle,
    Loading,
    Reading(Reading),
    Swapping(Box<Shard>),
}

/// Reading collects the pages of racks whose runs may have ended.
#[derive(Clone, Debug)]
struct Reading {
    waiting: BTreeSet<Name>,
    got: BTreeMap<Name, Rack>,
}

/// Placer is the machine for one shard of a data centre's homes.
#[derive(Debug)]
pub struct Placer {
    shard: u16,
    options: Options,
    page: Option<(Revision, Shard)>,
    step: Step,
    dirty: BTreeSet<Name>,
    stale: bool,
    swept: Option<Millis>,
    committed: Option<Millis>,
}

impl Placer {
    /// new starts the machine for a shard with nothing known.
    pub fn new(shard: u16, options: Options) -> Placer {
        Placer {
            shard,
            options,
            page: None,
            step: Step::Idle,
            dirty: BTreeSet::new(),
            stale: true,
            swept: None,
            committed: None,
        }
    }

    /// page returns the shard as last read or written.
    pub fn page(&self) -> Option<&Shard> {
        self.page.as_ref().map(|(_, page)| page)
    }

    /// step takes one event and returns what to do.
    pub fn step(
        &mut self,
        now: Millis,
        event: Event,
        view: View<'_>,
        writer: &mut Writer,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Read(Key::Homes(..), fetched) => self.loaded(fetched),
            Event::Read(Key::Rack(rack), fetched) => self.rack_read(rack, fetched),
            Event::Swapped(_, swap) => self.swapped(swap, view, &mut effects),
            Event::Hint(Hint::Ended { shard, rack }) if shard == self.shard => {
                self.dirty.insert(rack);
            }
            Event::Tick | Event::Read(..) | Event::Synced(..) | Event::Hint(_) => {}
        }
        self.advance(now, view, writer, &mut effects);
        effects
    }

    fn loaded(&mut self, fetched: Fetched) {
        if !matches!(self.step, Step::Loading) {
            return;
        }
        self.step = Step::Idle;
        match fetched {
            Fetched::Found(revision, Page::Homes(page)) => self.page = Some((revision, page)),
            Fetched::Absent => self.page = Some((ABSENT, Shard::default())),
            Fetched::Found(..) | Fetched::Failed => return,
        }
        self.stale = false;
    }

    fn rack_read(&mut self, rack: Name, fetched: Fetched) {
        let Step::Reading(reading) = &mut self.step else {
            return;
        };
        if !reading.waiting.remove(&rack) {
            return;
        }
        match fetched {
            Fetched::Found(_, Page::Rack(page)) => {
                reading.got.insert(rack, page);
            }
            Fetched::Absent => {}
            Fetched::Found(..) | Fetched::Failed => {
                self.dirty.insert(rack);
            }
        }
    }

    fn swapped(&mut self, swap: Swapped, view: View<'_>, effects: &mut Vec<Effect>) {
        let Step::Swapping(next) = std::mem::replace(&mut self.step, Step::Idle) else {
            return;
        };
        let Swapped::Won(revision) = swap else {
            // Nothing is believed of an unclear write before it is read back.
            self.stale = true;
            self.sweep_racks(view);
            return;
        };
        let old = self.page.replace((revision, *next)).map(|(_, page)| page);
        self.tell_racks(&old.unwrap_or_default(), effects);
    }

    /// tell_racks hints each rack whose claims have changed.
    fn tell_racks(&self, old: &Shard, effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        let before: BTreeMap<key::Task, &Home> = old
            .homes
            .iter()
            .map(|home| (home.work.task, home))
            .collect();
        let mut racks = BTreeSet::new();
        for home in &page.homes {
            let was = before.get(&home.work.task).copied();
            if was == Some(home) {
                continue;
            }
            racks.extend(was.and_then(Home::claim).map(|claim| claim.rack));
            racks.extend(home.claim().map(|claim| claim.rack));
            let new = was.and_then(Home::claim).is_none();
            if let Some(claim) = home.claim().filter(|_| new) {
                effects.push(Effect::Note(Note::Claimed(home.run(), claim.worker)));
            }
        }
        let shard = self.shard;
        let hint = |rack| Effect::Hint(Hint::Homes { shard, rack });
        effects.extend(racks.into_iter().map(hint));
    }

    fn advance(
        &mut self,
        now: Millis,
        view: View<'_>,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        let item = format!("homes/{}/{}", view.table.data_centre(), self.shard);
        let mine = view.table.preferred(now, &item);
        if !mine {
            // Another daemon normally does this; start afresh if that changes.
            if matches!(self.step, Step::Idle) {
                self.stale = true;
            }
            return;
        }
        self.sweep(now, view);
        if matches!(self.step, Step::Idle) && self.stale {
            self.step = Step::Loading;
            effects.push(Effect::Read(Key::Homes(
                view.table.data_centre(),
                self.shard,
            )));
            return;
        }
        let may_commit = self
            .committed
            .is_none_or(|at| now.since(at) >= self.options.commit_ms);
        if matches!(self.step, Step::Idle) && may_commit {
            self.read_racks(effects);
        }
        self.try_swap(now, may_commit, view, writer, effects);
    }

    fn sweep(&mut self, now: Millis, view: View<'_>) {
        let due = |at| now.since(at) >= self.options.sweep_ms;
        if self.swept.is_some_and(|at| !due(at)) {
            return;
        }
        self.swept = Some(now);
        self.stale = true;
        self.sweep_racks(view);
    }

    fn sweep_racks(&mut self, view: View<'_>) {
        let claims = self.page.iter().flat_map(|(_, page)| &page.homes);
        let claimed: Vec<Name> = claims.filter_map(Home::claim).map(|c| c.rack).collect();
        self.dirty.extend(claimed);
        if self.page.is_none() {
            self.dirty.extend(view.table.racks());
        }
    }

    fn read_racks(&mut self, effects: &mut Vec<Effect>) {
        if self.dirty.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.dirty);
        let read = |rack: &Name| Effect::Read(Key::Rack(*rack));
        effects.extend(waiting.iter().map(read));
        self.step = Step::Reading(Reading {
            waiting,
            got: BTreeMap::new(),
        });
    }

    fn try_swap(
        &mut self,
        now: Millis,
        may_commit: bool,
        view: View<'_>,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        let empty = BTreeMap::new();
        let racks = match &self.step {
            Step::Idle if may_commit => &empty,
            Step::Reading(reading) if reading.waiting.is_empty() => &reading.got,
            _ => return,
        };
        let Some((revision, page)) = &self.page else {
            return;
        };
        let mut next = page.clone();
        release(racks, &mut next);
        self.reconcile(view, &mut next);
        place(view, &mut next, effects);
        let unchanged = next == *page;
        let revision = *revision;
        self.step = Step::Idle;
        if unchanged {
            return;
        }
        next.write = writer.number();
        self.committed = Some(now);
        let page = Page::Homes(next.clone());
        self.step = Step::Swapping(Box::new(next));
        let key = Key::Homes(view.table.data_centre(), self.shard);
        effects.push(Effect::Swap(key, revision, page));
    }

    /// reconcile makes homes for wanted tasks and marks those no longer
    /// wanted.
    fn reconcile(&self, view: View<'_>, next: &mut Shard) {
        let data_centre = view.table.data_centre();
        let mut places: BTreeMap<key::Task, usize> = BTreeMap::new();
        for (place, home) in next.homes.iter().enumerate() {
            places.insert(home.work.task, place);
        }
        let mut wanted = BTreeMap::new();
        for object in view.catalogue.objects() {
            let job = object.job.within(data_centre);
            if key::shard(job, self.options.shards) != self.shard {
                continue;
            }
            let count = match object.cancelled {
                true => 0,
                false => object.intent.tasks(data_centre),
            };
            wanted.insert(job, count);
            for index in 0..count {
                let work = work(object, key::Task { job, index });
                match places.get(&work.task) {
                    Some(place) => want(&mut next.homes[*place], work),
                    None => next.homes.push(Home::new(work)),
                }
            }
        }
        for home in &mut next.homes {
            let task = home.work.task;
            let shrunk = wanted
                .get(&task.job)
                .is_some_and(|count| task.index >= *count);
            if shrunk || superseded(view.catalogue, home) {
                unwant(home);
            }
        }
    }
}

/// work returns what a worker needs to know of a task.
fn work(object: &Object, task: key::Task) -> Work {
    let (class, run_time_ms) = match &object.intent.kind {
        Kind::Service(_) => (Class::Service, 0),
        Kind::Batch(batch) => (Class::Batch, batch.run_time_ms),
    };
    Work {
        task,
        name: object.intent.name,
        generation: object.generation,
        class,
        size: object.intent.size,
        run_time_ms,
    }
}

/// superseded tells whether a later job has taken the name of a home's job.
fn superseded(catalogue: &Catalogue, home: &Home) -> bool {
    let object = catalogue.object(home.work.name);
    object.is_some_and(|object| object.generation > home.work.generation)
}

/// want brings a home in line with its intent.
fn want(home: &mut Home, work: Work) {
    home.unwanted = false;
    match home.place {
        Place::Pending => home.work = work,
        Place::Ended(End::Cancelled) if work.class == Class::Service => {
            home.work = work;
            home.place = Place::Pending;
            home.attempt = home.attempt.next();
        }
        Place::Claimed(_) | Place::Ended(_) => {}
    }
}

/// unwant ends a waiting task and asks to stop a claimed one.
fn unwant(home: &mut Home) {
    home.unwanted = true;
    match &mut home.place {
        Place::Pending => home.place = Place::Ended(End::Cancelled),
        Place::Claimed(claim) => claim.stop = true,
        Place::Ended(_) => {}
    }
}

/// release moves homes on whose claimed run has ended on its rack's page.
fn release(racks: &BTreeMap<Name, Rack>, next: &mut Shard) {
    let mut ended: BTreeMap<(Name, Run), stackpier_state::work::Outcome> = BTreeMap::new();
    for (rack, page) in racks {
        for row in &page.rows {
            if let Phase::Ended(outcome) = row.phase {
                ended.insert((*rack, row.run), outcome);
            }
        }
    }
    for home in &mut next.homes {
        let Some(claim) = home.claim() else { continue };
        if let Some(outcome) = ended.get(&(claim.rack, home.run())) {
            home.release(*outcome);
        }
    }
}

/// place claims workers for the waiting tasks, services first.
fn place(view: View<'_>, next: &mut Shard, effects: &mut Vec<Effect>) {
    let mut waiting: Vec<usize> = (0..next.homes.len())
        .filter(|place| next.homes[*place].place == Place::Pending)
        .collect();
    if waiting.is_empty() {
        return;
    }
    waiting.sort_by_key(|place| order(view.catalogue, &next.homes[*place]));
    let mut candidates = candidates(view, next);
    for place in waiting {
        let home = &mut next.homes[place];
        let same = same(&candidates, &home.work);
        match choose(&home.work, &same) {
            Some(chosen) => {
                home.place = Place::Claimed(Claim {
                    rack: chosen.rack,
                    worker: chosen.worker,
                    stop: false,
                });
                take(&mut candidates, &chosen, &home.work);
            }
            None => effects.push(Effect::Note(Note::Unplaced(home.run()))),
        }
    }
}

/// Order sorts waiting tasks: services, then priority, then deadline.
type Order = (bool, u16, u64, key::Task);

fn order(catalogue: &Catalogue, home: &Home) -> Order {
    let object = catalogue.object(home.work.name);
    let priority = object.map_or(0, |object| object.intent.priority);
    let deadline = match object.map(|object| &object.intent.kind) {
        Some(Kind::Batch(batch)) => batch.deadline.0,
        Some(Kind::Service(_)) | None => 0,
    };
    let batch = home.work.class == Class::Batch;
    (batch, u16::MAX - priority, deadline, home.work.task)
}

/// Offer is a candidate with the tasks of this shard already on it.
struct Offer {
    candidate: Candidate,
    names: Vec<Name>,
}

fn candidates(view: View<'_>, next: &Shard) -> Vec<Offer> {
    let mut offers = Vec::new();
    for report in view.racks.values() {
        for worker in &report.workers {
            if view.table.standing(worker.worker)
                != Some(stackpier_protocol::platform::Standing::Live)
            {
                continue;
            }
            offers.push(Offer {
                candidate: Candidate {
                    rack: report.rack,
                    worker: worker.worker,
                    capacity: worker.capacity,
                    free: worker.free,
                    slowdown_milli: worker.slowdown_milli,
                    same_on_rack: 0,
                    same_on_worker: 0,
                },
                names: Vec::new(),
            });
        }
    }
    for home in &next.homes {
        let Some(claim) = home.claim() else { continue };
        let found = offers
            .iter_mut()
            .find(|offer| offer.candidate.worker == claim.worker);
        if let Some(offer) = found {
            offer.names.push(home.work.name);
        }
    }
    offers
}

/// same fills in how many tasks of the same intent each candidate has.
fn same(offers: &[Offer], work: &Work) -> Vec<Candidate> {
    let count = |offer: &Offer| {
        offer
            .names
            .iter()
            .filter(|name| **name == work.name)
            .count()
    };
    let mut racks: BTreeMap<Name, u32> = BTreeMap::new();
    for offer in offers {
        *racks.entry(offer.candidate.rack).or_default() += count(offer) as u32;
    }
    let filled = |offer: &Offer| Candidate {
        same_on_worker: count(offer) as u32,
        same_on_rack: racks.get(&offer.candidate.rack).copied().unwrap_or(0),
        ..offer.candidate
    };
    offers.iter().map(filled).collect()
}

fn take(offers: &mut [Offer], chosen: &Candidate, work: &Work) {
    let found = offers
        .iter_mut()
        .find(|offer| offer.candidate.worker == chosen.worker);
    if let Some(offer) = found {
        let free: Size = offer.candidate.free;
        offer.candidate.free = free.minus(&work.size);
        offer.names.push(work.name);
    }
}
