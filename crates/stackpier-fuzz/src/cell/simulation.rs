// SPDX-License-Identifier: Apache-2.0
//! The simulation: time, owners, workers, the store, and scheduled messages.

mod assignments;
mod calls;
mod cancelling;
mod cordons;
mod downtimes;
mod draining;
mod draw;
mod faults;
mod following;
mod handover;
mod jobs;
mod listing;
mod query;
mod release;
mod saves;
mod series;
mod takeover;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackpier_cell::{
    Cell, Effect, Event, Info, Now, Options, Queue, RosterEntry, Save, Unsaved, assignment,
    downtime, footprint::Footprint, release::Record as Released, suspension,
};
use stackpier_core::{Millis, Size, Unix, key};
use stackpier_standin::fleet::{Behaviour, Worker};
use stackpier_state::{
    explain,
    job::{Progress, Record, State},
};

use self::{
    assignments::Assign,
    calls::Reply,
    following::{Change, View, Watch},
};
use super::Oracle;

pub use self::faults::Faults;

/// TICK_MS is the time between two ticks of an owner.
const TICK_MS: u64 = 50;
/// CALL_TIMEOUT_MS is the time after which a call without an answer has failed.
const CALL_TIMEOUT_MS: u64 = 700;
/// RECOVERY_MS is how long the simulation runs on after the period in which faults begin.
const RECOVERY_MS: u64 = 60_000;
/// CRASH_RECOVERY_MS is how much longer it runs on if tasks crash workers: it takes about 15
/// seconds until three crashes are detected, and each restarts the other tasks of that worker.
const CRASH_RECOVERY_MS: u64 = 30_000;
/// MAX_CLOCK_LAG_MS is how far a worker's wall clock may be behind when it starts.
const MAX_CLOCK_LAG_MS: u64 = 60_000;
/// START_UNIX_MS is the wall-clock time at which the simulation starts.
pub(super) const START_UNIX_MS: u64 = 1_000_000_000;
/// WORKERS is the number of workers.
const WORKERS: usize = 6;
/// DATA_CENTRES is the number of data centres. Each has the same number of workers.
const DATA_CENTRES: usize = 3;
/// ATTEMPTS is the number of failed runs of a task that fails its job.
const ATTEMPTS: u16 = 3;
/// EXTRA_STREAM is the number of the second random stream of the seed.
const EXTRA_STREAM: u64 = 1;
/// WATCH_STREAM is the number of the random stream for how owners follow the store.
const WATCH_STREAM: u64 = 2;
/// LONG_RUNNING_STREAM is the number of the random stream for long-running tasks.
const LONG_RUNNING_STREAM: u64 = 3;
/// REPEATED_STREAM is the number of the random stream for repeated jobs and ids that are used again.
const REPEATED_STREAM: u64 = 4;
/// QUEUE is the name of the only queue.
const QUEUE: &str = "queue";
/// SERVICE is the name of the only service.
const SERVICE: &str = "service";

/// Message is a scheduled event: a call, an answer, a submission or a fault.
#[derive(Clone, Debug)]
enum Message {
    /// An order of an owner reaches a worker: the owner, the order, what
    /// happens to the answer, and when the order was sent.
    Arrive(usize, Box<Effect>, Reply, Millis),
    /// An event that reaches an owner.
    Event(usize, Box<Event>),
    /// An owner performs its periodic work.
    Tick(usize),
    /// A save reaches the store; `true` if its answer is lost.
    Save(usize, Box<Save>, bool),
    /// A write of assignments reaches the store, with the fate of its answer.
    Assign(usize, Box<Assign>),
    /// One transaction of a save that is split into several.
    SavePart(usize, Box<Save>),
    /// An owner, still with this fence, learns that all transactions of a save
    /// were committed.
    SavePartsDone(usize, u64),
    /// A job is submitted.
    Submit(key::Job),
    /// A job is cancelled.
    Cancel(key::Job),
    /// A second has passed: faults may begin.
    Second,
    /// A worker is replaced by its next incarnation, with another id.
    Replace(usize),
    /// A worker restarts with the same id.
    Restart(usize),
    /// The entry of a restarted worker appears in the list of workers.
    List(Box<Info>),
    /// A worker crashes; its next incarnation starts after some milliseconds.
    Crash(usize, u64),
    /// An incarnation of a worker exits, as it has drained.
    Leave(usize, String),
    /// A worker's entry disappears from the list.
    Unlist(String),
    /// A data centre is cut off from the others and the store, for some
    /// milliseconds.
    Isolate(usize, u64),
    /// A data centre is cut off from the store alone, for some milliseconds.
    IsolateFromStore(usize, u64),
    /// A new owner in a data centre takes over.
    TakeOver(usize),
    /// The current owner receives what a predecessor could not save.
    HandOver(Vec<Unsaved>),
    /// The current owner receives what a predecessor has left on workers.
    HandOverRuns(Box<Released>),
    /// An owner asks earlier ones whether they have stopped acting.
    Query(usize),
    /// An owner reads which data centres are cordoned.
    Cordons(usize),
    /// A new owner reads the cell.
    Load(usize),
    /// An owner has read the cell, and had requested the jobs at this time.
    Loaded(usize, Millis),
    /// An owner watches the jobs in the store.
    Watch(usize),
    /// The store answers an owner's watch, sent at this time, that has waited for changes.
    WatchEnds(usize, Millis),
    /// The answer to a watch, sent at this time, reaches an owner, with that many changes of the
    /// store's history.
    Watched(usize, Millis, usize),
    /// An owner reads the list of workers.
    ReadWorkers(usize),
    /// An owner learns, from a list requested at this time, that the workers with these ids drain.
    Draining(usize, Millis, Vec<String>),
}

struct Owner {
    cell: Cell,
    fence: u64,
    data_centre: usize,
    /// When the store last confirmed the ownership.
    confirmed_ms: u64,
    /// When each incarnation of a worker last sent it a report.
    last_contact: BTreeMap<String, u64>,
    frozen_until: u64,
    /// When it took over.
    began_ms: u64,
    /// Earlier owners that have answered it that they have stopped acting.
    stopped: BTreeSet<usize>,
    /// Whether it has learnt of its successor.
    ended: bool,
    /// The cordoned data centres that it knows of.
    cordons: Option<BTreeSet<usize>>,
    view: View,
}

#[derive(Default)]
struct Store {
    fence: u64,
    jobs: BTreeMap<key::Job, Record>,
    cancelled: BTreeMap<key::Job, ()>,
    progress: BTreeMap<key::Job, Progress>,
    roster: Vec<RosterEntry>,
    suspensions: suspension::Record,
    /// When the suspended workers were saved.
    suspended_at: u64,
    downtimes: downtime::Record,
    /// When the downtimes were saved.
    downtimes_at: u64,
    assignments: HashMap<key::Job, assignment::Record>,
    /// How often the assignments of each job were written.
    assignment_revisions: HashMap<key::Job, u64>,
    release: Option<Released>,
    /// When the cell was released.
    released_at: u64,
    unavailable_until: u64,
    /// All writes to the jobs.
    history: Vec<Change>,
    watches: Vec<Watch>,
}

/// Simulation is one run of the fuzz: all processes, the messages between them, and the oracle.
pub struct Simulation {
    now_ms: u64,
    random: ChaCha8Rng,
    /// A second random stream of the seed: its draws don't change the other faults of a seed.
    extra_random: ChaCha8Rng,
    /// A third random stream of the seed, for how owners follow the store.
    watch_random: ChaCha8Rng,
    /// A fourth random stream of the seed, for long-running tasks and their assignments.
    long_running_random: ChaCha8Rng,
    /// A fifth random stream of the seed, for repeated jobs and ids that are used again.
    repeated_random: ChaCha8Rng,
    faults: Faults,
    faults_until: u64,
    deliveries: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Message>,
    sequence: u64,
    owners: Vec<Owner>,
    workers: Vec<Worker>,
    cut_until: Vec<u64>,
    /// The end of each data centre's isolation from the others and the store.
    isolated_until: [u64; DATA_CENTRES],
    /// The end of each data centre's isolation from the store alone.
    store_unreachable_until: [u64; DATA_CENTRES],
    /// The end of the current series of cuts.
    series_until: u64,
    /// Leases that a successor renewed past the end that an earlier owner
    /// assumes, so that each is counted once.
    outlived_leases: BTreeSet<(usize, String)>,
    down: Vec<bool>,
    /// When each worker last announced that it drains.
    drains_since: [u64; WORKERS],
    incarnations: u64,
    behaviours: BTreeMap<key::Job, Vec<Vec<Behaviour>>>,
    store: Store,
    /// The data centres that are cordoned now.
    cordons: BTreeSet<usize>,
    options: Options,
    /// The checks of workers and reported states.
    pub oracle: Oracle,
    /// How often each situation occurred.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Simulation {
    /// new returns a simulation with faults in the first `length_ms`.
    pub fn new(seed: u64, faults: Faults, length_ms: u64) -> Simulation {
        let options = Options {
            max_lease_ms: 6_000,
            ..Options::default()
        };
        Simulation::with_options(seed, faults, length_ms, options)
    }

    /// with_options is [`Self::new`] with other options of the cell.
    pub fn with_options(seed: u64, faults: Faults, length_ms: u64, options: Options) -> Simulation {
        let stream = |number| {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(number);
            random
        };
        let mut simulation = Simulation {
            now_ms: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            extra_random: stream(EXTRA_STREAM),
            watch_random: stream(WATCH_STREAM),
            long_running_random: stream(LONG_RUNNING_STREAM),
            repeated_random: stream(REPEATED_STREAM),
            faults,
            faults_until: length_ms,
            deliveries: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            owners: Vec::new(),
            workers: Vec::new(),
            cut_until: vec![0; WORKERS],
            isolated_until: [0; DATA_CENTRES],
            store_unreachable_until: [0; DATA_CENTRES],
            series_until: 0,
            outlived_leases: BTreeSet::new(),
            down: vec![false; WORKERS],
            drains_since: [0; WORKERS],
            incarnations: 0,
            behaviours: BTreeMap::new(),
            store: Store::default(),
            cordons: BTreeSet::new(),
            options,
            oracle: Oracle::new(usize::from(ATTEMPTS)),
            counts: BTreeMap::new(),
        };
        for index in 0..WORKERS {
            let id = simulation.next_id(index);
            let worker = simulation.new_worker(index, id);
            simulation.workers.push(worker);
        }
        simulation.take_over(0);
        simulation.plan_jobs(length_ms);
        simulation.send(1_000, Message::Second);
        simulation
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// send schedules a message.
    fn send(&mut self, after_ms: u64, message: Message) {
        self.sequence += 1;
        self.deliveries
            .push(Reverse((self.now_ms + after_ms, self.sequence)));
        self.pending.insert(self.sequence, message);
    }

    /// next_id returns an id that no incarnation had before.
    fn next_id(&mut self, index: usize) -> String {
        self.incarnations += 1;
        format!("w{index}-{}", self.incarnations)
    }

    /// draw_start_time draws when an incarnation started, by its own wall clock, which may be
    /// behind that of the previous incarnation.
    fn draw_start_time(&mut self) -> Option<Unix> {
        if self.faults.restarts == 0 {
            return None;
        }
        let lag_ms = self.draw_extra_range(0, MAX_CLOCK_LAG_MS);
        Some(Unix(START_UNIX_MS + self.now_ms - lag_ms))
    }

    fn new_worker(&mut self, index: usize, id: String) -> Worker {
        let info = Info {
            id,
            started_at: self.draw_start_time(),
            service: SERVICE.to_owned(),
            address: format!("address-{index}"),
            data_centre: format!("dc-{}", series::data_centre_of(index)),
            capacity: Size {
                milli_cores: 8_000,
                memory_mib: 64_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            rack: format!("r{}", index / 2),
            host: format!("h{index}"),
            draining: false,
            remaining_ms: None,
        };
        let offset = self.draw_range(1_000, 1_000_000);
        let mut worker = Worker::new(info, offset, self.now_ms);
        worker.listing = self.draw_listing();
        worker
    }

    fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms + 1),
            unix: Unix(START_UNIX_MS + self.now_ms),
        }
    }

    /// deliver passes an event to an owner and executes the effects that it returns. An owner that
    /// is still reading the cell ignores it.
    fn deliver(&mut self, index: usize, event: Event) {
        if self.owners[index].ended || !self.owners[index].view.installed {
            return;
        }
        if self.now_ms < self.owners[index].frozen_until {
            // A frozen owner receives the event when it continues.
            let wait = self.owners[index].frozen_until - self.now_ms;
            self.send(wait, Message::Event(index, Box::new(event)));
            return;
        }
        let now = self.now();
        self.record_cordons(index, &event);
        for effect in self.owners[index].cell.step(now, event) {
            self.execute(index, effect);
        }
    }

    /// execute carries out an effect of an owner.
    fn execute(&mut self, index: usize, effect: Effect) {
        // Zero for calls within a data centre, which take less than a millisecond.
        let delay = self.draw_range(0, 4);
        match effect {
            Effect::Log(_)
            | Effect::Resumed(_)
            | Effect::RequestAdvice(_)
            | Effect::TakeDown(_) => {}
            Effect::Deposed => self.end_owner(index),
            Effect::Confirm => self.confirm(index, delay),
            Effect::Save(save) => self.send_save(index, save, delay),
            Effect::Assign(write) => self.send_assignments(index, write),
            Effect::Start(start) => {
                self.check_cordons(index, &start);
                self.send_order(index, Effect::Start(start), delay);
            }
            order => self.send_order(index, order, delay),
        }
    }

    /// confirm asks the store whether an owner still owns the cell.
    fn confirm(&mut self, index: usize, delay: u64) {
        if !self.reaches_store(index) {
            self.owners[index].cell.confirm_failed();
        } else if self.owners[index].fence == self.store.fence {
            self.owners[index].confirmed_ms = self.now_ms;
            let sent = self.now().mono;
            self.send(
                delay,
                Message::Event(index, Box::new(Event::Confirmed(sent))),
            );
        } else {
            self.end_owner(index);
        }
    }

    /// check_reported_states checks the job states that an owner reports, also one that was
    /// replaced and does not know it yet.
    fn check_reported_states(&mut self, index: usize) {
        let owner = &self.owners[index];
        if owner.ended || !owner.view.installed || self.now_ms < owner.frozen_until {
            return;
        }
        for job in self.store.jobs.keys() {
            if let Some(state) = owner.cell.state(*job) {
                self.oracle
                    .check_reported(self.now_ms, *job, state, &self.workers);
            }
        }
    }

    /// run runs the simulation to its end or to the first violation.
    pub fn run(&mut self) {
        let crash_recovery_ms = if self.faults.crashing > 0 {
            CRASH_RECOVERY_MS
        } else {
            0
        };
        let end = self.faults_until + RECOVERY_MS + crash_recovery_ms;
        while let Some(Reverse((at, sequence))) = self.deliveries.pop() {
            if at > end || self.oracle.violation.is_some() {
                return;
            }
            self.now_ms = at;
            let Some(message) = self.pending.remove(&sequence) else {
                continue;
            };
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Arrive(index, order, reply, sent) => self.arrive(index, *order, reply, sent),
            Message::Event(index, event) => self.deliver(index, *event),
            Message::Tick(index) => {
                self.check_store(index);
                self.deliver(index, Event::Tick);
                self.check_reported_states(index);
                self.count_outlived_leases(index);
                if !self.owners[index].ended {
                    self.send(TICK_MS, Message::Tick(index));
                }
            }
            Message::Save(index, save, unanswered) => self.save(index, *save, unanswered),
            Message::Assign(index, assign) => self.assign(index, *assign),
            Message::SavePart(index, save) => {
                self.commit(index, *save);
            }
            Message::SavePartsDone(index, fence) => {
                if fence == self.store.fence {
                    self.deliver(index, Event::Saved(true));
                }
            }
            Message::Leave(index, incarnation) => self.end_drained(index, &incarnation),
            Message::Submit(job) => self.submit(job),
            Message::Cancel(job) => self.cancel(job),
            Message::Second => self.begin_faults(),
            Message::Replace(index) => self.replace(index),
            Message::Restart(index) => self.restart(index),
            Message::List(info) => self.list(*info),
            Message::Crash(index, back_ms) => self.crash(index, back_ms),
            Message::Unlist(id) => self.unlist(id),
            Message::Isolate(data_centre, ms) => self.isolate(data_centre, ms),
            Message::IsolateFromStore(data_centre, ms) => {
                self.store_unreachable_until[data_centre] = self.now_ms + ms;
            }
            Message::TakeOver(data_centre) => self.take_over(data_centre),
            Message::HandOver(unsaved) => self.deliver_handover(unsaved),
            Message::HandOverRuns(record) => self.deliver_runs(*record),
            Message::Query(index) => self.query_earlier_owners(index),
            Message::Cordons(index) => self.read_cordons(index),
            Message::Load(index) => self.load(index),
            Message::Loaded(index, requested) => self.finish_load(index, requested),
            Message::Watch(index) => self.watch(index),
            Message::WatchEnds(index, sent) => self.end_watch(index, sent),
            Message::Watched(index, sent, until) => self.finish_watch(index, sent, until),
            Message::ReadWorkers(index) => self.read_workers(index),
            Message::Draining(index, sent, draining) => self.show_draining(index, sent, draining),
        }
    }

    /// unfinished returns the jobs that are not in a final state, with the state
    /// that the newest owner reports.
    pub fn unfinished(&self) -> Vec<(key::Job, Option<State>)> {
        let Some(owner) = self.owners.last() else {
            return Vec::new();
        };
        let state = |job: &key::Job| (*job, owner.cell.state(*job));
        let open = |(_, state): &(key::Job, Option<State>)| !state.is_some_and(State::is_final);
        // The owner does not show jobs any more that it is about to remove.
        let is_over = |job: &&key::Job| {
            let progress = self.store.progress.get(*job);
            progress.is_some_and(|progress| progress.state.is_final())
        };
        let jobs = self.store.jobs.keys().filter(|job| !is_over(job));
        jobs.map(state).filter(open).collect()
    }

    /// footprint returns the memory that the newest owner's cell takes.
    pub fn footprint(&self) -> Footprint {
        let owner = self.owners.last();
        owner.map_or_else(Footprint::default, |owner| owner.cell.footprint())
    }

    /// explain returns the newest owner's explanation of a job's open tasks.
    pub fn explain(&mut self, job: key::Job) -> Option<explain::Job> {
        self.owners.last_mut()?.cell.explain(job)
    }

    /// states counts the jobs in each state that the newest owner reports.
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
