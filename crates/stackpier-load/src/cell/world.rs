// SPDX-License-Identifier: Apache-2.0
//! The course of a day: what happens, in order of time, between client accounts, the
//! owner's decisions and the workers.

mod calls;
mod clients;
mod watch;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Instant,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackpier_cell::{
    Cell, Effect, Event, Info, ModelSnapshot, Now, Options, SavedEstimate, ServingImage,
};
use stackpier_core::{Millis, Unix};
use stackpier_standin::fleet::{Worker, listing::Listing};

use super::{
    fault::{Fault, Trouble, part},
    job::Job,
    outcome::{Outcome, Told},
    site::{Role, SERVICE, Site, image_name},
    truth::Truth,
};

/// TICK_MS is the time between two ticks of the owner.
const TICK_MS: u64 = 50;
/// START is the wall clock when a day begins.
const START: u64 = 1_000_000_000;
/// FENCE is the fence of the only owner.
const FENCE: u64 = 1;
/// FINISH_MS is how long a day goes on after its traffic, so that jobs can end.
const FINISH_MS: u64 = 14_000;
/// KNOWN_VARIANCE is the variance of pairs that the owner is told.
const KNOWN_VARIANCE: f32 = 0.000_001;

/// Day is what is played.
#[derive(Clone, Debug)]
pub struct Day {
    /// The deployment.
    pub site: Site,
    /// Its faults and bursts.
    pub troubles: Vec<Trouble>,
    /// The owner's options.
    pub options: Options,
    /// Whether the owner knows the pairs from the beginning.
    pub known_pairs: bool,
    /// How workers list their ends.
    pub listing: Listing,
}

/// Happening is something that will happen.
#[derive(Clone, Debug)]
enum Happening {
    /// The owner's tick.
    Tick,
    /// What serves is looked at.
    Sample,
    /// Serving jobs earn what they did.
    Pay,
    /// A job of a kind, by its place, arrives, and the next one is drawn.
    Arrive(usize),
    /// A client account sends a job, again perhaps.
    Send(u64),
    /// A client account cancels a job.
    Cancel(u64),
    /// A call reaches its worker.
    Deliver(Box<Effect>),
    /// A start reaches its worker long after it was given up.
    DeliverLate(Box<Effect>),
    /// A hold that waited is answered.
    Answer(Box<stackpier_cell::Renewal>, u64),
    /// An event reaches the owner.
    Event(Box<Event>),
    /// A question to the store was not answered.
    ConfirmFailed,
}

/// World is a day while it is played.
pub struct World {
    now_ms: u64,
    random: ChaCha8Rng,
    day: Day,
    truth: Truth,
    cell: Cell,
    workers: Vec<Worker>,
    order: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    sequence: u64,
    jobs: BTreeMap<u64, Job>,
    outcome: Outcome,
}

/// play plays a day.
pub fn play(day: &Day, seed: u64) -> Outcome {
    let mut world = World::new(day.clone(), seed);
    let end = day.site.length_ms + FINISH_MS;
    while let Some((at, happening)) = world.next() {
        if at > end {
            break;
        }
        world.now_ms = at;
        world.happen(happening);
    }
    world.close()
}

impl World {
    fn new(day: Day, seed: u64) -> World {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let images = |role: Role| {
            let kinds = day.site.kinds.iter().filter(|kind| kind.role == role);
            kinds.map(|kind| kind.images).sum()
        };
        let counts = (images(Role::Serving), images(Role::Filling));
        let truth = Truth::draw(&mut random, day.site.serving, day.site.pairs, counts);
        let now = Now {
            mono: Millis(1),
            unix: Unix(START),
        };
        let workers = (0..day.site.workers).map(|place| {
            let mut worker = Worker::new(info(&day.site, place), 5_000, 1);
            worker.listing = day.listing;
            worker
        });
        let mut world = World {
            now_ms: 1,
            random,
            cell: Cell::new(day.options, FENCE, now, false),
            workers: workers.collect(),
            truth,
            day,
            order: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            sequence: 0,
            jobs: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        if self.day.known_pairs {
            let memory = self.known_pairs();
            self.cell.restore_model(&memory);
        }
        let queues = self.day.site.kinds.iter().map(|kind| kind.queue());
        self.feed(Event::Queues(queues.collect()));
        for place in 0..self.workers.len() {
            let info = self.workers[place].info.clone();
            self.feed(Event::Listed(info));
        }
        self.plan_arrivals();
        self.send(TICK_MS, Happening::Tick);
        self.send(watch::SAMPLE_MS, Happening::Sample);
        self.send(watch::PAY_MS, Happening::Pay);
    }

    /// known_pairs returns the truth of all pairs as an earlier owner's memory.
    fn known_pairs(&self) -> ModelSnapshot {
        let of = |role: Role| self.day.site.kinds.iter().find(|kind| kind.role == role);
        let (Some(serving), Some(filling)) = (of(Role::Serving), of(Role::Filling)) else {
            return ModelSnapshot::default();
        };
        let term = |one: usize, other: usize| SavedEstimate {
            mean: self.truth.coefficient(one, other) as f32,
            variance: KNOWN_VARIANCE,
        };
        let row = |one: usize| ServingImage {
            image: image_name(serving, one),
            pairs: (0..filling.images)
                .map(|other| (image_name(filling, other), term(one, other)))
                .collect(),
        };
        ModelSnapshot {
            serving: (0..serving.images).map(row).collect(),
            periods: Vec::new(),
        }
    }

    fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms),
            unix: Unix(START + self.now_ms),
        }
    }

    fn send(&mut self, after_ms: u64, happening: Happening) {
        self.sequence += 1;
        self.order
            .push(Reverse((self.now_ms + after_ms, self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    fn next(&mut self) -> Option<(u64, Happening)> {
        let Reverse((at, number)) = self.order.pop()?;
        let happening = self.happenings.remove(&number)?;
        Some((at, happening))
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => self.tick(),
            Happening::Sample => self.sample(),
            Happening::Pay => self.pay(),
            Happening::Arrive(kind) => self.arrive(kind),
            Happening::Send(job) => self.hand_in(job),
            Happening::Cancel(job) => self.cancel(job),
            Happening::Deliver(effect) => self.deliver(*effect),
            Happening::DeliverLate(effect) => self.deliver_late(*effect),
            Happening::Answer(hold, sent_ms) => self.answer_hold(&hold, sent_ms),
            Happening::Event(event) => self.feed(*event),
            Happening::ConfirmFailed => self.cell.confirm_failed(),
        }
    }

    /// feed gives the owner an event and carries out what it decides.
    fn feed(&mut self, event: Event) {
        let told = Told::from(&event);
        let began = Instant::now();
        let effects = self.cell.step(self.now(), event);
        let took = began.elapsed();
        let ratings = self.cell.ratings() - self.outcome.ratings;
        self.outcome.ratings += ratings;
        self.outcome.most_ratings = self.outcome.most_ratings.max(ratings);
        self.outcome.step_times.entry(told).or_default().push(took);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn tick(&mut self) {
        self.apply_troubles();
        self.feed(Event::Tick);
        self.see_ends();
        let idle = self.cell.longest_wait_ms();
        self.outcome.longest_idle_ms = self.outcome.longest_idle_ms.max(idle);
        self.send(TICK_MS, Happening::Tick);
    }

    /// is_on returns the faults that go on now.
    fn faults(&self) -> impl Iterator<Item = Fault> + '_ {
        let on = |trouble: &&Trouble| trouble.is_on(self.now_ms);
        self.day
            .troubles
            .iter()
            .filter(on)
            .map(|trouble| trouble.fault)
    }

    /// apply_troubles sets how each worker works now.
    fn apply_troubles(&mut self) {
        let faults: Vec<Fault> = self.faults().collect();
        let (count, now_ms) = (self.workers.len(), self.now_ms);
        for worker in &mut self.workers {
            worker.advance(now_ms);
            worker.speed_percent = 100;
            worker.hangs = false;
            worker.fails_all = false;
        }
        for fault in faults {
            match fault {
                Fault::Slow(share, percent) => {
                    let slow = part(count, 0, share);
                    let slow = self.workers.iter_mut().rev().take(slow.len());
                    slow.for_each(|worker| worker.speed_percent = percent);
                }
                Fault::Errors(share) => {
                    let grey = part(count, count / 2, share);
                    self.workers[grey]
                        .iter_mut()
                        .for_each(|worker| worker.fails_all = true);
                }
                Fault::Hang(share) => {
                    let still = part(count, count / 2, share);
                    self.workers[still]
                        .iter_mut()
                        .for_each(|worker| worker.hangs = true);
                }
                _ => {}
            }
        }
    }

    /// is_cut tells whether a worker is out of the owner's reach.
    fn is_cut(&self, place: usize) -> bool {
        let count = self.workers.len();
        self.faults().any(|fault| match fault {
            Fault::Cut(share) => part(count, 0, share).contains(&place),
            _ => false,
        })
    }

    fn store_is_away(&self) -> bool {
        self.faults().any(|fault| fault == Fault::StoreAway)
    }
}

/// info describes a worker.
fn info(site: &Site, place: usize) -> Info {
    let rack = format!("r{}", place / site.per_rack);
    Info {
        id: format!("w{place}"),
        started_at: None,
        service: SERVICE.to_owned(),
        address: place.to_string(),
        data_centre: "dc".to_owned(),
        capacity: site.capacity,
        labels: vec![rack.clone()],
        rack,
        host: format!("h{place}"),
        draining: false,
        remaining_ms: None,
    }
}
