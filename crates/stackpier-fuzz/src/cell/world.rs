// SPDX-License-Identifier: Apache-2.0
//! The world: time, owners, the store, and messages on their way.

mod calls;
mod faults;
mod handover;
mod jobs;
mod listing;
mod saves;
mod series;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_cell::{Cell, Effect, Event, Info, Now, Options, Queue, RosterEntry, Save, Unsaved};
use stackpier_core::{Millis, Size, Unix, key};
use stackpier_standin::fleet::{Behaviour, Worker};
use stackpier_state::{
    explain,
    job::{Progress, Record, State},
};

use self::calls::Reply;
use super::Oracle;

pub use self::faults::Faults;

/// TICK_MS is the time between two ticks of an owner.
const TICK_MS: u64 = 50;
/// LIMIT_MS is when a call without an answer is given up.
const LIMIT_MS: u64 = 700;
/// CALM_MS is how long the world goes on without new faults at its end.
const CALM_MS: u64 = 60_000;
/// CRASHING_MS is how much longer it goes on if tasks crash workers: three crashes take some 15
/// seconds until they are known, and what ran beside such a task begins anew each time.
const CRASHING_MS: u64 = 30_000;
/// BEHIND_MS bounds how far a worker's wall clock runs behind as it starts.
const BEHIND_MS: u64 = 60_000;
/// START is the wall clock at the beginning.
const START: u64 = 1_000_000_000;
/// WORKERS is the number of workers.
const WORKERS: usize = 6;
/// DATA_CENTRES is the number of data centres, each with as many workers.
const DATA_CENTRES: usize = 3;
/// ATTEMPTS is how many failed runs fail a job.
const ATTEMPTS: u16 = 3;
/// EXTRA_STREAM is the second stream of the seed.
const EXTRA_STREAM: u64 = 1;
/// QUEUE names the only queue.
const QUEUE: &str = "queue";
/// SERVICE names the only service.
const SERVICE: &str = "service";

/// Message is something on its way.
#[derive(Clone, Debug)]
enum Message {
    /// An effect that reaches a worker, and what becomes of the
    /// answer, and when it was sent.
    Arrive(usize, Box<Effect>, Reply, Millis),
    /// An event that reaches an owner.
    Event(usize, Box<Event>),
    /// An owner's tick.
    Tick(usize),
    /// A save that reaches the store.
    Save(usize, Box<Save>, bool),
    /// One transaction of a save that goes in several.
    Part(usize, Box<Save>),
    /// An owner learns whether all transactions of a save were done.
    Parts(usize, u64),
    /// A job is handed in.
    Submit(key::Job),
    /// A job is cancelled.
    Cancel(key::Job),
    /// A second passes, in which faults may begin.
    Second,
    /// A worker is replaced by its next life.
    Revive(usize),
    /// A worker starts again under the id that it had.
    Restart(usize),
    /// The entry of a worker that started again shows.
    Show(Box<Info>),
    /// A worker dies, and its next life begins after some milliseconds.
    Crash(usize, u64),
    /// A life of a worker ends that has drained.
    Leave(usize, String),
    /// A worker's entry is gone.
    Unlist(String),
    /// A data centre is cut off from the others and the store, for some
    /// milliseconds.
    Apart(usize, u64),
    /// A data centre is cut off from the store alone, for some milliseconds.
    Storeless(usize, u64),
    /// An owner in a data centre takes over.
    TakeOver(usize),
    /// The owner of now learns what an earlier one could not save.
    HandOver(Vec<Unsaved>),
}

struct Owner {
    cell: Cell,
    fence: u64,
    data_centre: usize,
    /// When the store last confirmed the ownership.
    confirmed_ms: u64,
    /// When each life of a worker last answered it.
    heard: BTreeMap<String, u64>,
    frozen_until: u64,
    over: bool,
}

#[derive(Default)]
struct Store {
    fence: u64,
    jobs: BTreeMap<key::Job, Record>,
    cancelled: BTreeMap<key::Job, ()>,
    progress: BTreeMap<key::Job, Progress>,
    roster: Vec<RosterEntry>,
    away_until: u64,
}

/// World is one run of the fuzz.
pub struct World {
    now_ms: u64,
    random: ChaCha8Rng,
    /// A second stream of the seed: faults that it draws leave all others where they are.
    extra_random: ChaCha8Rng,
    faults: Faults,
    calm_from: u64,
    messages: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: BTreeMap<u64, Message>,
    sequence: u64,
    owners: Vec<Owner>,
    workers: Vec<Worker>,
    cut_until: Vec<u64>,
    /// Until when each data centre is cut off from the others and the store.
    apart_until: [u64; DATA_CENTRES],
    /// Until when each data centre is cut off from the store alone.
    storeless_until: [u64; DATA_CENTRES],
    /// Until when a series of cuts goes on.
    series_until: u64,
    /// Leases that a later owner renewed past the end that an earlier one
    /// counts, each told once.
    outlived: BTreeSet<(usize, String)>,
    down: Vec<bool>,
    lives: u64,
    behaviours: BTreeMap<key::Job, Vec<Vec<Behaviour>>>,
    store: Store,
    options: Options,
    /// What watches the workers.
    pub oracle: Oracle,
    /// How often each kind of thing happened.
    pub counts: BTreeMap<&'static str, u64>,
}

impl World {
    /// new builds a world that has faults for `length_ms`.
    pub fn new(seed: u64, faults: Faults, length_ms: u64) -> World {
        let mut extra_random = ChaCha8Rng::seed_from_u64(seed);
        extra_random.set_stream(EXTRA_STREAM);
        let mut world = World {
            now_ms: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            extra_random,
            faults,
            calm_from: length_ms,
            messages: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            sequence: 0,
            owners: Vec::new(),
            workers: Vec::new(),
            cut_until: vec![0; WORKERS],
            apart_until: [0; DATA_CENTRES],
            storeless_until: [0; DATA_CENTRES],
            series_until: 0,
            outlived: BTreeSet::new(),
            down: vec![false; WORKERS],
            lives: 0,
            behaviours: BTreeMap::new(),
            store: Store::default(),
            options: Options {
                max_lease_ms: 6_000,
                ..Options::default()
            },
            oracle: Oracle::new(usize::from(ATTEMPTS)),
            counts: BTreeMap::new(),
        };
        for place in 0..WORKERS {
            let id = world.next_id(place);
            let worker = world.new_worker(place, id);
            world.workers.push(worker);
        }
        world.take_over(0);
        world.plan_jobs(length_ms);
        world.send(1_000, Message::Second);
        world
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.now_ms < self.calm_from && self.random.random_range(0..1_000) < thousandths
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        self.random.random_range(low..=high)
    }

    /// extra_chance draws from the second stream.
    fn extra_chance(&mut self, thousandths: u32) -> bool {
        self.now_ms < self.calm_from
            && thousandths > 0
            && self.extra_random.random_range(0..1_000) < thousandths
    }

    fn extra_between(&mut self, low: u64, high: u64) -> u64 {
        self.extra_random.random_range(low..=high)
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn send(&mut self, after_ms: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .push(Reverse((self.now_ms + after_ms, self.sequence)));
        self.waiting.insert(self.sequence, message);
    }

    /// next_id returns an id that no worker had.
    fn next_id(&mut self, place: usize) -> String {
        self.lives += 1;
        format!("w{place}-{}", self.lives)
    }

    /// new_start draws when a life was started, by its wall clock: it may run behind that of
    /// the life before.
    fn new_start(&mut self) -> Option<Unix> {
        if self.faults.restarts == 0 {
            return None;
        }
        let behind_ms = self.extra_between(0, BEHIND_MS);
        Some(Unix(START + self.now_ms - behind_ms))
    }

    fn new_worker(&mut self, place: usize, id: String) -> Worker {
        let info = Info {
            id,
            started_at: self.new_start(),
            service: SERVICE.to_owned(),
            address: format!("address-{place}"),
            data_centre: format!("dc-{}", series::data_centre_of(place)),
            capacity: Size {
                milli_cores: 8_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            rack: format!("r{}", place / 2),
            host: format!("h{place}"),
            draining: false,
            remaining_ms: None,
        };
        let offset = self.between(1_000, 1_000_000);
        let mut worker = Worker::new(info, offset, self.now_ms);
        worker.listing = self.new_listing();
        worker
    }

    fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms + 1),
            unix: Unix(START + self.now_ms),
        }
    }

    /// take_over makes a new owner in a data centre, which reads the store.
    /// Earlier owners go on until they learn of it.
    fn take_over(&mut self, data_centre: usize) {
        self.count("takeover");
        self.oracle.took_over(self.now_ms);
        let predecessor = self.store.fence > 0;
        self.store.fence += 1;
        let fence = self.store.fence;
        let mut cell = Cell::new(self.options, fence, self.now(), predecessor);
        let place = self.owners.len();
        self.store
            .roster
            .iter()
            .for_each(|entry| cell.add_roster(entry));
        self.owners.push(Owner {
            cell,
            fence,
            data_centre,
            confirmed_ms: self.now_ms,
            heard: BTreeMap::new(),
            frozen_until: 0,
            over: false,
        });
        self.ask_earlier();
        self.feed(place, Event::Queues(vec![queue()]));
        for (job, record) in self.store.jobs.clone() {
            let event = Event::Accepted {
                job,
                record: Box::new(record),
                progress: self.store.progress.get(&job).cloned().map(Box::new),
                cancelled: self.store.cancelled.contains_key(&job),
            };
            self.feed(place, event);
        }
        for worker in 0..WORKERS {
            if !self.down[worker] {
                let info = self.workers[worker].info.clone();
                self.feed(place, Event::Listed(info));
            }
        }
        self.send(TICK_MS, Message::Tick(place));
    }

    /// feed gives an owner an event and sends what it decides on its way.
    fn feed(&mut self, place: usize, event: Event) {
        if self.owners[place].over {
            return;
        }
        if self.now_ms < self.owners[place].frozen_until {
            // It takes the event in once it wakes.
            let wait = self.owners[place].frozen_until - self.now_ms;
            self.send(wait, Message::Event(place, Box::new(event)));
            return;
        }
        let now = self.now();
        for effect in self.owners[place].cell.step(now, event) {
            self.carry(place, effect);
        }
    }

    fn carry(&mut self, place: usize, effect: Effect) {
        // Calls within a data centre take less than a millisecond.
        let delay = self.between(0, 4);
        match effect {
            Effect::Log(_) | Effect::RequestAdvice(_) | Effect::TakeDown(_) => {}
            Effect::Deposed => self.end_owner(place),
            Effect::Confirm => self.confirm(place, delay),
            Effect::Save(save) => self.send_save(place, save, delay),
            order => self.order(place, order, delay),
        }
    }

    fn confirm(&mut self, place: usize, delay: u64) {
        if !self.has_store(place) {
            self.owners[place].cell.confirm_failed();
        } else if self.owners[place].fence == self.store.fence {
            self.owners[place].confirmed_ms = self.now_ms;
            let sent = self.now().mono;
            self.send(
                delay,
                Message::Event(place, Box::new(Event::Confirmed(sent))),
            );
        } else {
            self.end_owner(place);
        }
    }

    /// check_shown takes in the states that an owner shows, also one that was replaced and
    /// does not know it.
    fn check_shown(&mut self, place: usize) {
        let owner = &self.owners[place];
        if owner.over || self.now_ms < owner.frozen_until {
            return;
        }
        for job in self.store.jobs.keys() {
            if let Some(state) = owner.cell.state(*job) {
                self.oracle.shown(self.now_ms, *job, state, &self.workers);
            }
        }
    }

    /// run lets the world go to its end, or to the first broken promise.
    pub fn run(&mut self) {
        let crashing_ms = if self.faults.crashing > 0 {
            CRASHING_MS
        } else {
            0
        };
        let end = self.calm_from + CALM_MS + crashing_ms;
        while let Some(Reverse((at, sequence))) = self.messages.pop() {
            if at > end || self.oracle.broken.is_some() {
                return;
            }
            self.now_ms = at;
            let Some(message) = self.waiting.remove(&sequence) else {
                continue;
            };
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Arrive(place, order, reply, sent) => self.arrive(place, *order, reply, sent),
            Message::Event(place, event) => self.feed(place, *event),
            Message::Tick(place) => {
                self.feed(place, Event::Tick);
                self.check_shown(place);
                self.count_outlived(place);
                if !self.owners[place].over {
                    self.send(TICK_MS, Message::Tick(place));
                }
            }
            Message::Save(place, save, unanswered) => self.save(place, *save, unanswered),
            Message::Part(place, save) => {
                self.keep(place, *save);
            }
            Message::Parts(place, fence) => {
                if fence == self.store.fence {
                    self.feed(place, Event::Saved(true));
                }
            }
            Message::Leave(place, life) => self.leave(place, &life),
            Message::Submit(job) => self.submit(job),
            Message::Cancel(job) => self.cancel(job),
            Message::Second => self.second(),
            Message::Revive(place) => self.revive(place),
            Message::Restart(place) => self.restart(place),
            Message::Show(info) => self.show(*info),
            Message::Crash(place, back_ms) => self.crash(place, back_ms),
            Message::Unlist(id) => self.unlist(id),
            Message::Apart(data_centre, ms) => self.set_apart(data_centre, ms),
            Message::Storeless(data_centre, ms) => {
                self.storeless_until[data_centre] = self.now_ms + ms;
            }
            Message::TakeOver(data_centre) => self.take_over(data_centre),
            Message::HandOver(unsaved) => self.hand_over(unsaved),
        }
    }

    /// unfinished returns the jobs that are not in a final state, with what
    /// the owner says of them.
    pub fn unfinished(&self) -> Vec<(key::Job, Option<State>)> {
        let Some(owner) = self.owners.last() else {
            return Vec::new();
        };
        let state = |job: &key::Job| (*job, owner.cell.state(*job));
        let open = |(_, state): &(key::Job, Option<State>)| !state.is_some_and(State::is_final);
        self.store.jobs.keys().map(state).filter(open).collect()
    }

    /// explain returns what the owner says of a job's open tasks.
    pub fn explain(&mut self, job: key::Job) -> Option<explain::Job> {
        self.owners.last_mut()?.cell.explain(job)
    }

    /// states counts the final states of all jobs.
    pub fn states(&self) -> BTreeMap<String, usize> {
        let mut states = BTreeMap::new();
        if let Some(owner) = self.owners.last() {
            for job in self.store.jobs.keys() {
                let state = format!("{:?}", owner.cell.state(*job));
                *states.entry(state).or_default() += 1;
            }
        }
        states
    }
}

fn queue() -> Queue {
    Queue {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        attempts: ATTEMPTS,
        stretch: 2.0,
        target_ms: 500,
        guarded: true,
        advised: false,
    }
}
