// SPDX-License-Identifier: Apache-2.0
//! The simulation: the clock, the owner, the store, and the messages between them.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_cell::{
    Cell, Effect, Event, Now, Queue, Renewal, RosterEntry, Save, TaskName, assignment, downtime,
    suspension,
};
use stackpier_core::{Millis, Unix, key};
use stackpier_standin::fleet::Worker;
use stackpier_state::job::{Progress, Record};

use super::{
    Violation,
    oracle::{Cluster, Oracle},
    workload::{Fault, TARGET_MS, Workload},
};

/// SERVICE is the name of the only service.
pub(super) const SERVICE: &str = "service";
/// QUEUE is the name of the only queue.
const QUEUE: &str = "queue";
/// TICK_MS is the time between two ticks of an owner, and between two looks at the workers.
const TICK_MS: u64 = 50;
/// STEP_MS is the step of the clock.
const STEP_MS: u64 = 5;
/// VACANT_MS is the time from the end of an owner until the next one has read the cell.
const VACANT_MS: u64 = 750;
/// UNLISTED_MS is how long the list of workers shows a lost worker.
const UNLISTED_MS: u64 = 4_500;
/// START_UNIX_MS is the wall-clock time at which the simulation starts.
const START_UNIX_MS: u64 = 1_000_000_000;
/// DRAIN_MS is the time from the announcement of a worker that it drains until it leaves.
const DRAIN_MS: u64 = 8_000;
/// CALLS_STREAM is the number of the random stream for how long calls take.
const CALLS_STREAM: u64 = 1;
/// MAX_LOG_LINES is how many of the last log lines are kept for the trace of a violation.
const MAX_LOG_LINES: usize = 600;

/// LOG_PARTS is the parts of the owner whose log lines are kept.
const LOG_PARTS: [&str; 3] = ["wait", "placement", "summary"];

/// Message is a scheduled event.
#[derive(Debug)]
pub(super) enum Message {
    /// A call of the owner with this fence reaches a worker.
    Arrive(u64, Box<Effect>),
    /// An event reaches the owner with this fence.
    Event(u64, Box<Event>),
    /// A save of the owner with this fence reaches the store.
    Save(u64, Box<Save>),
    /// A write of assignments of the owner with this fence reaches the store.
    Assign(u64, Box<assignment::Write>),
    /// A job is submitted.
    Submit(usize),
    /// A fault begins.
    Fault(Fault),
    /// A daemon becomes the owner; the value tells until when an earlier one may still act.
    TakeOver(u64),
    /// The list of workers no longer shows this worker.
    Unlist(usize),
    /// A worker that has drained leaves.
    Leave(usize),
}

/// WaitingRenewal is a lease renewal that waits at a worker for the end of a run.
pub(super) struct WaitingRenewal {
    pub fence: u64,
    pub renewal: Renewal,
    pub sent: Millis,
    pub due_ms: u64,
}

#[derive(Default)]
struct Store {
    jobs: BTreeMap<key::Job, Record>,
    progress: BTreeMap<key::Job, Progress>,
    roster: Vec<RosterEntry>,
    suspensions: suspension::Record,
    /// When the suspended workers were saved.
    suspended_at: u64,
    downtimes: downtime::Record,
    /// When the downtimes were saved.
    downtimes_at: u64,
    assignments: HashMap<key::Job, assignment::Record>,
}

/// Simulation is one run of the fuzz.
pub struct Simulation {
    pub(super) now_ms: u64,
    pub(super) random: ChaCha8Rng,
    /// What was drawn for the seed.
    pub workload: Workload,
    pub(super) workers: Vec<Worker>,
    /// Whether each worker is lost.
    pub(super) lost: Vec<bool>,
    listed: Vec<bool>,
    pub(super) waiting: Vec<WaitingRenewal>,
    messages: BTreeMap<(u64, u64), Message>,
    sequence: u64,
    /// The owner; none between two owners.
    owner: Option<Cell>,
    pub(super) fence: u64,
    store: Store,
    log: VecDeque<String>,
    oracle: Oracle,
    /// Whether a wait was too long.
    violated: bool,
    /// How many starts of the owner have no answer yet.
    pub(super) unanswered_starts: u64,
    /// How often each situation occurred.
    pub counts: BTreeMap<&'static str, u64>,
}

fn queue() -> Queue {
    Queue {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target_ms: 500,
        guarded: true,
        advised: false,
    }
}

impl Simulation {
    /// new returns the simulation of a seed.
    pub fn new(seed: u64) -> Simulation {
        Simulation::with_workload(seed, Workload::draw(seed))
    }

    /// with_workload returns the simulation of a seed with another workload.
    pub fn with_workload(seed: u64, workload: Workload) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(CALLS_STREAM);
        let workers = workload.workers.iter().cloned();
        let workers: Vec<Worker> = workers.map(|info| Worker::new(info, 5_000, 0)).collect();
        let mut simulation = Simulation {
            now_ms: 0,
            random,
            lost: vec![false; workers.len()],
            listed: vec![true; workers.len()],
            oracle: Oracle::new(),
            workers,
            waiting: Vec::new(),
            messages: BTreeMap::new(),
            sequence: 0,
            owner: None,
            fence: 0,
            store: Store::default(),
            log: VecDeque::new(),
            violated: false,
            unanswered_starts: 0,
            counts: BTreeMap::new(),
            workload,
        };
        simulation.send(0, Message::TakeOver(0));
        for (job, submission) in simulation.workload.submissions.clone().iter().enumerate() {
            simulation.send(submission.at_ms, Message::Submit(job));
        }
        for (at_ms, fault) in simulation.workload.faults.clone() {
            simulation.send(at_ms, Message::Fault(fault));
        }
        simulation
    }

    /// run runs the simulation, and returns the first wait that was too long.
    pub fn run(&mut self) -> Option<Violation> {
        let mut first = None;
        while self.now_ms < self.workload.length_ms {
            self.now_ms += STEP_MS;
            self.deliver_due();
            self.answer_waiting_renewals();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.set_tails();
                self.feed(self.fence, Event::Tick);
                self.count_limit();
                first = self.observe(first);
            }
        }
        first
    }

    /// longest_ms returns the longest wait of something that could have run.
    pub fn longest_ms(&self) -> u64 {
        self.oracle.longest_ms
    }

    /// log returns the last log lines before the first violation that concern placement.
    pub fn log(&self) -> impl Iterator<Item = &String> {
        self.log.iter()
    }

    pub(super) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// count_limit counts whether as many starts are in flight as the owner may have.
    fn count_limit(&mut self) {
        if self.unanswered_starts >= self.workload.max_starts {
            self.count("starts in flight at their limit");
        }
    }

    /// send schedules a message.
    pub(super) fn send(&mut self, after_ms: u64, message: Message) {
        self.sequence += 1;
        let at_ms = self.now_ms + after_ms.max(1);
        self.messages.insert((at_ms, self.sequence), message);
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let message = entry.remove();
            self.deliver(message);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Arrive(fence, effect) => self.carry_out(fence, &effect),
            Message::Event(fence, event) => self.feed(fence, *event),
            Message::Save(fence, save) => self.save(fence, *save),
            Message::Assign(fence, write) => self.assign(fence, *write),
            Message::Submit(job) => self.submit(job),
            Message::Fault(Fault::Kill) => self.end_owner(self.workload.options.authority_ms),
            Message::Fault(Fault::Exit) => self.end_owner(0),
            Message::Fault(Fault::LoseWorker(place)) => self.lose_worker(place),
            Message::Fault(Fault::Drain(place)) => self.drain(place),
            Message::TakeOver(acting_ms) => self.take_over(acting_ms),
            Message::Unlist(place) => self.unlist(place),
            Message::Leave(place) => {
                self.lost[place] = true;
                self.unlist(place);
            }
        }
    }

    /// assign stores a write of assignments, unless another daemon owns the cell by now.
    fn assign(&mut self, fence: u64, write: assignment::Write) {
        if fence != self.fence || self.owner.is_none() {
            return;
        }
        self.store.assignments.extend(write.jobs);
        self.feed(fence, Event::Assigned(true));
    }

    fn unlist(&mut self, place: usize) {
        self.listed[place] = false;
        let id = self.workers[place].info.id.clone();
        self.feed(self.fence, Event::Unlisted(id));
    }

    pub(super) fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms + 1),
            unix: Unix(START_UNIX_MS + self.now_ms),
        }
    }

    /// feed passes an event to the owner with this fence, if it still acts.
    pub(super) fn feed(&mut self, fence: u64, event: Event) {
        let now = self.now();
        let answers_start = matches!(event, Event::Started { .. });
        let Some(cell) = self.owner.as_mut().filter(|_| fence == self.fence) else {
            return;
        };
        let effects = cell.step(now, event);
        self.unanswered_starts -= u64::from(answers_start);
        for effect in effects {
            self.execute(effect);
        }
    }

    pub(super) fn record_log(&mut self, part: &str, subject: Option<TaskName>, text: &str) {
        if self.violated || !LOG_PARTS.contains(&part) {
            return;
        }
        if self.log.len() == MAX_LOG_LINES {
            self.log.pop_front();
        }
        let subject = subject.map(|name| format!(" {name}")).unwrap_or_default();
        self.log
            .push_back(format!("{:>6} {part}{subject} {text}", self.now_ms));
    }

    fn submit(&mut self, job: usize) {
        let record = Record {
            queue: queue(),
            spec: self.workload.submissions[job].spec.clone(),
            fence: self.fence,
            accepted_ms: self.now().unix.0,
        };
        let job = key::Job(job as u64);
        self.store.jobs.insert(job, record);
        self.accept(job);
    }

    /// accept passes a job and its saved progress to the owner.
    fn accept(&mut self, job: key::Job) {
        let event = Event::Accepted {
            job,
            record: Box::new(self.store.jobs[&job].clone()),
            progress: self.store.progress.get(&job).cloned().map(Box::new),
            cancelled: false,
        };
        self.feed(self.fence, event);
    }

    /// save commits what the owner saves. A replaced owner saves nothing.
    fn save(&mut self, fence: u64, save: Save) {
        if fence != self.fence {
            return;
        }
        self.store.progress.extend(save.jobs);
        if let Some(roster) = save.roster {
            self.store.roster = roster;
        }
        if let Some(record) = save.suspensions {
            self.store.suspensions = record;
            self.store.suspended_at = self.now_ms;
        }
        if let Some(record) = save.downtimes {
            if !record.entries.is_empty() {
                self.count("downtimes");
            }
            self.store.downtimes = record;
            self.store.downtimes_at = self.now_ms;
        }
        self.send(1, Message::Event(fence, Box::new(Event::Saved(true))));
    }

    fn lose_worker(&mut self, place: usize) {
        self.count("lost worker");
        self.lost[place] = true;
        self.oracle.record_fault(self.now_ms, true);
        self.send(UNLISTED_MS, Message::Unlist(place));
    }

    fn drain(&mut self, place: usize) {
        self.count("drain");
        let info = &mut self.workers[place].info;
        info.draining = true;
        info.remaining_ms = Some(DRAIN_MS);
        let listed = Event::Listed(info.clone());
        self.feed(self.fence, listed);
        self.send(DRAIN_MS, Message::Leave(place));
    }

    fn end_owner(&mut self, acting_ms: u64) {
        self.owner = None;
        self.oracle.record_fault(self.now_ms, false);
        self.send(VACANT_MS, Message::TakeOver(acting_ms));
    }

    fn take_over(&mut self, acting_ms: u64) {
        self.oracle.record_fault(self.now_ms, false);
        if self.fence > 0 {
            self.count("takeover");
        }
        self.fence += 1;
        self.unanswered_starts = 0;
        let mut cell = Cell::new(self.workload.options, self.fence, self.now(), acting_ms);
        for entry in &self.store.roster {
            cell.add_roster(entry);
        }
        let age_ms = self.now_ms - self.store.suspended_at;
        cell.restore_suspensions(&self.store.suspensions, age_ms);
        let age_ms = self.now_ms - self.store.downtimes_at;
        cell.restore_downtimes(&self.store.downtimes, age_ms);
        if !self.store.downtimes.entries.is_empty() {
            self.count("takeover with downtimes");
        }
        cell.restore_assignments(self.store.assignments.clone());
        self.owner = Some(cell);
        self.feed(self.fence, Event::Queues(vec![queue()]));
        for place in 0..self.workers.len() {
            if self.listed[place] {
                let info = self.workers[place].info.clone();
                self.feed(self.fence, Event::Listed(info));
            }
        }
        for job in self.store.jobs.keys().copied().collect::<Vec<_>>() {
            self.accept(job);
        }
    }

    /// set_tails sets the tail latencies of serving tasks by what runs beside them.
    fn set_tails(&mut self) {
        for worker in &mut self.workers {
            let beside: f64 = worker.runs.iter().map(best_effort_cores).sum();
            for run in &mut worker.runs {
                let step = &self.workload.submissions[run.task.job.0 as usize]
                    .spec
                    .steps[usize::from(run.task.step)];
                if step.target_ms > 0 {
                    let per_core = self.workload.tail_per_core[image_number(&step.image)];
                    let raised = beside * per_core;
                    run.set_tail(self.workload.tail_ms + (raised as u32).min(TARGET_MS * 4));
                }
            }
        }
    }

    /// observe looks at the workers, and returns the first violation.
    fn observe(&mut self, first: Option<Violation>) -> Option<Violation> {
        for (worker, lost) in self.workers.iter_mut().zip(&self.lost) {
            if !lost {
                worker.advance(self.now_ms);
            }
        }
        let cluster = Cluster {
            now_ms: self.now_ms,
            workers: &self.workers,
            lost: &self.lost,
            jobs: &self.store.jobs,
            progress: &self.store.progress,
        };
        let (waits, overdue) = self.oracle.observe(&cluster);
        if waits {
            self.count("something waits that could run");
        }
        if first.is_some() || overdue.is_none() {
            return first;
        }
        self.violated = true;
        let waiting = overdue?;
        let job = waiting.task.job;
        let explained = self.owner.as_mut().and_then(|cell| cell.explain(job));
        let open = explained.map(|job| format!("{:?}", job.tasks.first()));
        Some(Violation {
            at_ms: self.now_ms,
            waiting,
            explained: open.unwrap_or_default(),
        })
    }

    /// draw_ms draws a time.
    pub(super) fn draw_ms(&mut self, low: u64, high: u64) -> u64 {
        self.random.random_range(low..=high)
    }
}

/// best_effort_cores returns the cores that a run uses beyond its size.
fn best_effort_cores(run: &stackpier_standin::fleet::Run) -> f64 {
    f64::from(run.behaviour().best_effort_milli) * f64::from(run.pace) / 100_000.0
}

/// image_number returns the number at the end of an image's name.
fn image_number(image: &str) -> usize {
    let (_, number) = image.rsplit_once('-').expect("a numbered image");
    number.parse().expect("a number")
}
