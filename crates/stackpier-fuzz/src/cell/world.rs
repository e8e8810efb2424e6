// SPDX-License-Identifier: Apache-2.0
//! The world: time, messages on their way, and faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_cell::{
    Cell, Effect, Event, Held, Info, Now, Options, Queue, RosterEntry, Save, Started, Stopped,
};
use stackpier_core::{Millis, Size, Unix, key};
use stackpier_standin::fleet::{Behaviour, Worker};
use stackpier_state::job::{Progress, Record, Spec, State, Step};

use super::Oracle;

/// TICK_MS is the time between two ticks of an owner.
const TICK_MS: u64 = 50;
/// LIMIT_MS is when a call without an answer is given up.
const LIMIT_MS: u64 = 700;
/// CALM_MS is how long the world goes on without new faults at its end.
const CALM_MS: u64 = 60_000;
/// START is the wall clock at the beginning.
const START: u64 = 1_000_000_000;
/// WORKERS is the number of workers.
const WORKERS: usize = 6;
/// ATTEMPTS is how many failed runs fail a job.
const ATTEMPTS: u16 = 3;
/// QUEUE names the only queue.
const QUEUE: &str = "queue";
/// SERVICE names the only service.
const SERVICE: &str = "service";

/// Faults are the rates of what goes wrong, in thousandths of the chances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls that never arrive.
    pub lost: u32,
    /// Calls whose answer is lost.
    pub unanswered: u32,
    /// Orders that are carried out seconds later, without an answer.
    pub late: u32,
    /// Chances a second that a worker is cut off for a while.
    pub cuts: u32,
    /// Chances a second that a worker dies and comes back with a new life.
    pub crashes: u32,
    /// Chances a second that another owner takes over.
    pub takeovers: u32,
    /// Chances a second that an owner stands still for a while.
    pub freezes: u32,
    /// Chances a second that a worker hangs or fails everything for a while.
    pub grey: u32,
    /// Chances a second that the store is away for a while.
    pub outages: u32,
    /// Jobs in a thousand that are cancelled.
    pub cancels: u32,
    /// Tasks in a thousand whose every run fails.
    pub poison: u32,
}

impl Faults {
    /// all returns faults of every kind at a rate.
    pub fn all(rate: u32) -> Faults {
        Faults {
            lost: rate,
            unanswered: rate,
            late: rate / 2,
            cuts: rate * 2,
            crashes: rate,
            takeovers: rate * 2,
            freezes: rate * 2,
            grey: rate,
            outages: rate * 2,
            cancels: 50,
            poison: 5,
        }
    }
}

/// Reply tells what becomes of the answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// It comes.
    Comes,
    /// It is lost: the owner gives the call up in time.
    Lost,
    /// The owner has given the call up already.
    TooLate,
}

/// Message is something on its way.
#[derive(Clone, Debug)]
enum Message {
    /// An effect that reaches a worker, and what becomes of the answer.
    Arrive(usize, Box<Effect>, Reply),
    /// An event that reaches an owner.
    Event(usize, Box<Event>),
    /// An owner's tick.
    Tick(usize),
    /// A save that reaches the store.
    Save(usize, Box<Save>, bool),
    /// A job is handed in.
    Submit(key::Job),
    /// A job is cancelled.
    Cancel(key::Job),
    /// A second passes, in which faults may begin.
    Second,
    /// A worker is replaced by its next life.
    Revive(usize),
}

struct Owner {
    cell: Cell,
    fence: u64,
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
    faults: Faults,
    calm_from: u64,
    messages: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: BTreeMap<u64, Message>,
    sequence: u64,
    owners: Vec<Owner>,
    workers: Vec<Worker>,
    cut_until: Vec<u64>,
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
        let mut world = World {
            now_ms: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            faults,
            calm_from: length_ms,
            messages: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            sequence: 0,
            owners: Vec::new(),
            workers: Vec::new(),
            cut_until: vec![0; WORKERS],
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
            let worker = world.new_worker(place);
            world.workers.push(worker);
        }
        world.take_over();
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

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn send(&mut self, after_ms: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .push(Reverse((self.now_ms + after_ms, self.sequence)));
        self.waiting.insert(self.sequence, message);
    }

    fn new_worker(&mut self, place: usize) -> Worker {
        self.lives += 1;
        let info = Info {
            id: format!("w{place}-{}", self.lives),
            service: SERVICE.to_owned(),
            address: format!("address-{place}"),
            data_centre: "dc".to_owned(),
            capacity: Size {
                milli_cores: 8_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            rack: format!("r{}", place / 2),
            draining: false,
            remaining_ms: None,
        };
        let offset = self.between(1_000, 1_000_000);
        Worker::new(info, offset, self.now_ms)
    }

    fn plan_jobs(&mut self, length_ms: u64) {
        let count = length_ms / 400;
        for number in 0..count {
            let job = key::Job(number + 1);
            let spec = self.new_spec(job);
            self.oracle.specs.insert(job, spec);
            let at = self.between(500, length_ms);
            self.send(at, Message::Submit(job));
            if self.random.random_range(0..1_000) < self.faults.cancels {
                let after = self.between(0, 3_000);
                self.send(at + after, Message::Cancel(job));
            }
        }
    }

    fn new_spec(&mut self, job: key::Job) -> Spec {
        let mut steps = Vec::new();
        let mut behaviours = Vec::new();
        for number in 0..self.between(1, 3) {
            let step = self.new_step(number as u16);
            behaviours.push(self.new_behaviours(&step));
            steps.push(step);
        }
        self.behaviours.insert(job, behaviours);
        Spec {
            payload: String::new(),
            steps,
            schedule: None,
        }
    }

    fn new_step(&mut self, number: u16) -> Step {
        let fills = self.random.random_bool(0.5);
        Step {
            count: self.between(1, 5) as u32,
            size: Size {
                milli_cores: self.between(500, 3_000) as u32,
                memory_mib: self.between(500, 4_000) as u32,
                accelerators: 0,
            },
            estimate_ms: self.between(100, 2_500) as u32,
            after: if number > 0 {
                vec![number - 1]
            } else {
                Vec::new()
            },
            checkpointing: self.random.random_bool(0.5),
            fills,
            most_per_worker: self.random.random_bool(0.3).then_some(2),
            image: format!("image-{}", self.between(0, 3)),
            ..Step::default()
        }
    }

    fn new_behaviours(&mut self, step: &Step) -> Vec<Behaviour> {
        let mut size = step.size;
        if step.fills {
            size.milli_cores = 0;
        }
        let behaviour = |fails| Behaviour {
            work_ms: u64::from(step.estimate_ms),
            fails,
            size,
            saves: step.checkpointing,
            ..Behaviour::default()
        };
        let poison = self.faults.poison;
        let mut fails = || self.random.random_range(0..1_000) < poison;
        (0..step.count).map(|_| behaviour(fails())).collect()
    }

    fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms + 1),
            unix: Unix(START + self.now_ms),
        }
    }

    /// take_over makes a new owner, which reads the store. Earlier owners go
    /// on until they learn of it.
    fn take_over(&mut self) {
        self.count("takeover");
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
            frozen_until: 0,
            over: false,
        });
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
        let delay = self.between(1, 5);
        match effect {
            Effect::Note(_) | Effect::Ask(_) => {}
            Effect::Deposed => self.owners[place].over = true,
            Effect::Confirm => self.confirm(place, delay),
            Effect::Save(save) => {
                let (lost, away) = (
                    self.chance(self.faults.lost),
                    self.now_ms < self.store.away_until,
                );
                if lost || away {
                    self.send(
                        LIMIT_MS,
                        Message::Event(place, Box::new(Event::Saved(false))),
                    );
                } else {
                    let unanswered = self.chance(self.faults.unanswered);
                    self.send(delay, Message::Save(place, Box::new(save), unanswered));
                }
            }
            order => self.order(place, order, delay),
        }
    }

    fn confirm(&mut self, place: usize, delay: u64) {
        if self.now_ms < self.store.away_until {
            self.owners[place].cell.confirm_failed();
        } else if self.owners[place].fence == self.store.fence {
            let sent = self.now().mono;
            self.send(
                delay,
                Message::Event(place, Box::new(Event::Confirmed(sent))),
            );
        } else {
            self.owners[place].over = true;
        }
    }

    fn order(&mut self, place: usize, order: Effect, delay: u64) {
        let hold = matches!(order, Effect::Hold(_));
        if self.chance(self.faults.lost) {
            self.count("lost call");
            self.silence(place, &order);
        } else if !hold && self.chance(self.faults.late) {
            self.count("late order");
            self.silence(place, &order);
            let late = self.between(2_000, 12_000);
            self.send(
                late,
                Message::Arrive(place, Box::new(order), Reply::TooLate),
            );
        } else {
            let lost = self.chance(self.faults.unanswered);
            let reply = if lost { Reply::Lost } else { Reply::Comes };
            self.send(delay, Message::Arrive(place, Box::new(order), reply));
        }
    }

    /// silence tells an owner, in time, that a call got no answer.
    fn silence(&mut self, place: usize, order: &Effect) {
        let event = match order {
            Effect::Start(start) => Event::Started {
                run: start.order.key,
                outcome: Started::Silent,
            },
            Effect::Stop(stop) => Event::Stopped {
                run: stop.order.key,
                outcome: Stopped::Silent,
            },
            Effect::Hold(hold) => Event::Held {
                worker: hold.worker,
                sent: self.now().mono,
                outcome: Held::Silent,
            },
            _ => return,
        };
        self.send(LIMIT_MS, Message::Event(place, Box::new(event)));
    }

    fn arrive(&mut self, place: usize, order: Effect, reply: Reply) {
        let Some(target) = self.target(&order) else {
            return;
        };
        if self.down[target] || self.now_ms < self.cut_until[target] {
            if reply != Reply::TooLate {
                self.silence(place, &order);
            }
            return;
        }
        // The sending time of a hold is when it left, a few milliseconds ago.
        let sent = Millis(self.now().mono.0.saturating_sub(5));
        let event = match &order {
            Effect::Start(start) => Event::Started {
                run: start.order.key,
                outcome: self.begin(target, start),
            },
            Effect::Stop(stop) => Event::Stopped {
                run: stop.order.key,
                outcome: self.workers[target].stop(self.now_ms, stop),
            },
            Effect::Pace(pace) => {
                self.workers[target].pace(self.now_ms, pace);
                return;
            }
            Effect::Hold(hold) => {
                let outcome = self.workers[target].hold(self.now_ms, hold);
                self.oracle.note(&mut self.workers[target]);
                Event::Held {
                    worker: hold.worker,
                    sent,
                    outcome,
                }
            }
            _ => return,
        };
        match reply {
            Reply::Comes => {
                let delay = self.between(1, 5);
                self.send(delay, Message::Event(place, Box::new(event)));
            }
            Reply::Lost => {
                self.count("lost answer");
                self.silence(place, &order);
            }
            Reply::TooLate => {}
        }
    }

    fn target(&self, order: &Effect) -> Option<usize> {
        let address = match order {
            Effect::Start(start) => &start.order.address,
            Effect::Stop(stop) => &stop.order.address,
            Effect::Pace(pace) => &pace.order.address,
            Effect::Hold(hold) => &hold.address,
            _ => return None,
        };
        self.workers
            .iter()
            .position(|worker| worker.info.address == *address)
    }

    fn begin(&mut self, target: usize, start: &stackpier_cell::Start) -> Started {
        let task = start.order.task;
        let steps = &self.behaviours[&task.job];
        let behaviour = steps[usize::from(task.step)][task.index as usize];
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
        }
        let before = self.workers[target].runs.len();
        let outcome = self.workers[target].start(self.now_ms, start, behaviour);
        if self.workers[target].runs.len() > before {
            self.count("start");
            let up: Vec<Worker> = (0..WORKERS)
                .filter(|place| !self.down[*place])
                .map(|place| self.workers[place].clone())
                .collect();
            let place = up
                .iter()
                .position(|worker| worker.info.id == self.workers[target].info.id);
            if let Some(place) = place {
                self.oracle.started(self.now_ms, start, place, &up);
            }
        }
        outcome
    }

    fn save(&mut self, place: usize, save: Save, unanswered: bool) {
        if self.owners[place].fence != self.store.fence {
            self.owners[place].over = true;
            return;
        }
        for (job, progress) in save.jobs {
            self.store.progress.insert(job, progress);
        }
        if let Some(roster) = save.roster {
            self.store.roster = roster;
        }
        let delay = if unanswered {
            LIMIT_MS
        } else {
            self.between(1, 5)
        };
        let event = Event::Saved(!unanswered);
        self.send(delay, Message::Event(place, Box::new(event)));
    }

    fn submit(&mut self, job: key::Job) {
        let record = Record {
            queue: QUEUE.to_owned(),
            spec: self.oracle.specs[&job].clone(),
            fence: self.store.fence,
            accepted_ms: START + self.now_ms,
        };
        self.store.jobs.insert(job, record.clone());
        let place = self.owners.len() - 1;
        let event = Event::Accepted {
            job,
            record: Box::new(record),
            progress: None,
            cancelled: false,
        };
        self.feed(place, event);
    }

    fn cancel(&mut self, job: key::Job) {
        if self.store.jobs.contains_key(&job) {
            self.count("cancel");
            self.store.cancelled.insert(job, ());
            let place = self.owners.len() - 1;
            self.feed(place, Event::Cancelled(job));
        }
    }

    /// second lets faults begin.
    fn second(&mut self) {
        for place in 0..WORKERS {
            if self.chance(self.faults.cuts) {
                self.count("cut");
                self.cut_until[place] = self.now_ms + self.between(200, 9_000);
            }
            if self.chance(self.faults.crashes) && !self.down[place] {
                self.crash(place);
            }
            let grey = self.chance(self.faults.grey);
            let hangs = self.random.random_bool(0.5);
            let worker = &mut self.workers[place];
            worker.advance(self.now_ms);
            worker.hangs = grey && hangs;
            worker.grey = grey && !hangs;
        }
        if self.chance(self.faults.takeovers) {
            self.take_over();
        }
        if self.chance(self.faults.freezes) {
            self.count("freeze");
            let until = self.now_ms + self.between(500, 9_000);
            if let Some(owner) = self.owners.last_mut() {
                owner.frozen_until = until;
            }
        }
        if self.chance(self.faults.outages) {
            self.count("outage");
            self.store.away_until = self.now_ms + self.between(500, 8_000);
        }
        self.check_shown();
        self.send(1_000, Message::Second);
    }

    fn crash(&mut self, place: usize) {
        self.count("crash");
        self.down[place] = true;
        self.workers[place].advance(self.now_ms);
        self.oracle.lose(&self.workers[place]);
        self.workers[place].runs.clear();
        self.workers[place].ends.clear();
        let after = self.between(500, 6_000);
        self.send(after, Message::Revive(place));
        let id = self.workers[place].info.id.clone();
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Unlisted(id));
    }

    fn revive(&mut self, place: usize) {
        self.workers[place] = self.new_worker(place);
        self.down[place] = false;
        let info = self.workers[place].info.clone();
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Listed(info));
    }

    /// check_shown compares the states that the owner would show.
    fn check_shown(&mut self) {
        let Some(owner) = self.owners.last() else {
            return;
        };
        for job in self.store.jobs.keys() {
            if let Some(state) = owner.cell.state(*job) {
                self.oracle.shown(self.now_ms, *job, state, &self.workers);
            }
        }
    }

    /// run lets the world go to its end, or to the first broken promise.
    pub fn run(&mut self) {
        let end = self.calm_from + CALM_MS;
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
            Message::Arrive(place, order, reply) => self.arrive(place, *order, reply),
            Message::Event(place, event) => self.feed(place, *event),
            Message::Tick(place) => {
                self.feed(place, Event::Tick);
                if !self.owners[place].over {
                    self.send(TICK_MS, Message::Tick(place));
                }
            }
            Message::Save(place, save, unanswered) => self.save(place, *save, unanswered),
            Message::Submit(job) => self.submit(job),
            Message::Cancel(job) => self.cancel(job),
            Message::Second => self.second(),
            Message::Revive(place) => self.revive(place),
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
    pub fn explain(&self, job: key::Job) -> Vec<String> {
        let owner = self.owners.last();
        owner.map_or(Vec::new(), |owner| owner.cell.explain(job))
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
