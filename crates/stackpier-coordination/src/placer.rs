// SPDX-License-Identifier: Apache-2.0
//! The placer of a shard of homes: keeps the homes in line with the accepted
//! intents, claims places for waiting tasks, and moves tasks on whose runs
//! ended.

mod claim;

use std::collections::BTreeMap;

use stackpier_core::{Millis, Name, key};
use stackpier_protocol::peer::{Claims, Hint, RackReport, claims_sum};
use stackpier_state::{
    Page, Revision,
    catalogue::Catalogue,
    homes::{End, Home, Place, Shard},
    intent::{Kind, Object, URGENT_PRIORITY},
    page::{ABSENT, Fetched, Key, Swapped},
    work::{Class, Outcome, Run, Work},
};

use crate::{
    effect::{Effect, Event, Note, Writer},
    interval::interval_ms,
    membership::Table,
    policy,
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

/// item returns what the choice of a shard's placer goes by, see
/// [`Table::chosen`].
pub fn item(data_centre: Name, shard: u16) -> String {
    format!("homes/{data_centre}/{shard}")
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
    Swapping(Box<Shard>),
}

/// Ends are runs that ended on racks, and how.
type Ends = BTreeMap<(Name, Run), Outcome>;

/// Placer is the machine for one shard of a data centre's homes.
#[derive(Debug)]
pub struct Placer {
    shard: u16,
    options: Options,
    page: Option<(Revision, Shard)>,
    step: Step,
    /// Ended runs not yet written to the page.
    told: Ends,
    /// Those of them that the swap on its way writes.
    taken: Ends,
    stale: bool,
    swept: Option<Millis>,
    committed: Option<Millis>,
    /// The intents and the page that the last look was at.
    seen: Option<Seen>,
    /// Whether tasks wait for a worker, and when that was tried last.
    waiting: Option<Millis>,
    /// Whether an accepted intent is urgent and may not be on the page yet.
    urgent: bool,
}

/// Seen is what a look at the shard went by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    changes: u64,
    revision: Revision,
}

impl Placer {
    /// new starts the machine for a shard with nothing known.
    pub fn new(shard: u16, options: Options) -> Placer {
        Placer {
            shard,
            options,
            page: None,
            step: Step::Idle,
            told: Ends::new(),
            taken: Ends::new(),
            stale: true,
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
            Event::Swapped(_, swap) => self.swapped(swap, &mut effects),
            Event::Hint(Hint::Ended { shard, rack, ended }) if shard == self.shard => {
                let ends = ended.iter().map(|e| ((rack, e.run), e.outcome));
                self.told.extend(ends);
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

    fn swapped(&mut self, swap: Swapped, effects: &mut Vec<Effect>) {
        let Step::Swapping(next) = std::mem::replace(&mut self.step, Step::Idle) else {
            return;
        };
        let Swapped::Won(revision) = swap else {
            // Nothing is believed of an unclear write before it is read back.
            self.stale = true;
            self.seen = None;
            self.told.append(&mut self.taken);
            return;
        };
        self.taken.clear();
        let old = self.page.replace((revision, *next)).map(|(_, page)| page);
        self.tell_racks(&old.unwrap_or_default(), effects);
    }

    /// tell_racks tells each rack what changed of its claims.
    fn tell_racks(&self, old: &Shard, effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        let before: BTreeMap<key::Task, &Home> = old
            .homes
            .iter()
            .map(|home| (home.work.task, home))
            .collect();
        let mut racks: BTreeMap<Name, Claims> = BTreeMap::new();
        for home in &page.homes {
            let was = before.get(&home.work.task).copied();
            if was == Some(home) {
                continue;
            }
            if let Some((run, claim)) = was.and_then(|was| Some((was.run(), was.claim()?)))
                && !page.claimed(run, claim.rack)
            {
                self.claims(&mut racks, claim.rack).released.push(run);
            }
            if let Some(claim) = home.claim() {
                self.claims(&mut racks, claim.rack).claimed.push(*home);
                if was.and_then(Home::claim).is_none() {
                    effects.push(Effect::Note(Note::Claimed(home.run(), claim.worker)));
                }
            }
        }
        self.send_claims(racks, effects);
    }

    /// claims returns the word to a rack, made on first use.
    fn claims<'a>(&self, racks: &'a mut BTreeMap<Name, Claims>, rack: Name) -> &'a mut Claims {
        let revision = self.page.as_ref().map_or(ABSENT, |(revision, _)| *revision);
        racks.entry(rack).or_insert_with(|| Claims {
            shard: self.shard,
            rack,
            revision,
            claimed: Vec::new(),
            released: Vec::new(),
            sum: 0,
        })
    }

    /// send_claims fills in the sums and sends the words.
    fn send_claims(&self, racks: BTreeMap<Name, Claims>, effects: &mut Vec<Effect>) {
        let Some((_, page)) = &self.page else { return };
        for (rack, mut claims) in racks {
            let here = |home: &&Home| home.claim().is_some_and(|claim| claim.rack == rack);
            claims.sum = claims_sum(page.homes.iter().filter(here).map(Home::run));
            effects.push(Effect::Hint(Hint::Claims(claims)));
        }
    }

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
            // Another daemon normally does this; start afresh if that changes.
            if matches!(self.step, Step::Idle) {
                self.stale = true;
            }
            return;
        }
        self.sweep(now, view, effects);
        if matches!(self.step, Step::Idle) && self.stale {
            self.step = Step::Loading;
            effects.push(Effect::Read(Key::Homes(
                view.table.data_centre(),
                self.shard,
            )));
            return;
        }
        if self
            .seen
            .is_none_or(|seen| seen.changes != view.catalogue.changes())
        {
            let urgent = |object: &Object| object.intent.priority >= URGENT_PRIORITY;
            self.urgent = view.catalogue.objects().any(urgent);
        }
        let may_commit = self
            .committed
            .is_none_or(|at| now.since(at) >= self.interval_ms());
        self.try_swap(now, may_commit, view, writer, effects);
    }

    /// interval_ms is the shortest time between two commits: shorter while urgent
    /// work waits.
    fn interval_ms(&self) -> u64 {
        let waits = |home: &Home| home.work.urgent && home.place == Place::Pending;
        let urgent = self.page().is_some_and(|page| page.homes.iter().any(waits));
        interval_ms(self.options.commit_ms, urgent || self.urgent)
    }

    /// sweep reads the page again, and tells each rack the sum of its claims,
    /// which shows a word that was lost.
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
        // The sum does not show stops, so they are told again until done.
        let claimed = page
            .homes
            .iter()
            .filter_map(|home| Some((home, home.claim()?)));
        for (home, claim) in claimed.filter(|(_, claim)| claim.stop) {
            self.claims(&mut racks, claim.rack).claimed.push(*home);
        }
        self.send_claims(racks, effects);
    }

    fn try_swap(
        &mut self,
        now: Millis,
        may_commit: bool,
        view: View<'_>,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        if !(may_commit && matches!(self.step, Step::Idle)) {
            return;
        }
        let Some((revision, page)) = &self.page else {
            return;
        };
        let seen = Seen {
            changes: view.catalogue.changes(),
            revision: *revision,
        };
        let retry = self
            .waiting
            .is_some_and(|at| now.since(at) >= self.options.commit_ms);
        if self.seen == Some(seen) && self.told.is_empty() && !retry {
            return;
        }
        self.seen = Some(seen);
        self.urgent = false;
        let mut next = page.clone();
        release(&self.told, &mut next);
        self.reconcile(view, &mut next);
        claim::place(view, self.options.policy, &mut next, effects);
        let waits = next.homes.iter().any(|home| home.place == Place::Pending);
        self.waiting = waits.then_some(now);
        self.taken = std::mem::take(&mut self.told);
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
        urgent: object.intent.priority >= URGENT_PRIORITY,
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
fn release(ends: &Ends, next: &mut Shard) {
    if ends.is_empty() {
        return;
    }
    for home in &mut next.homes {
        let Some(claim) = home.claim() else { continue };
        if let Some(outcome) = ends.get(&(claim.rack, home.run())) {
            home.release(*outcome);
        }
    }
}
