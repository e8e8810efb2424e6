// SPDX-License-Identifier: Apache-2.0
//! The discrete-event simulation of a scenario: client accounts, the owner's decisions and the
//! workers act on each other in order of simulated time.

mod calls;
mod clients;
mod sampling;

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
    deployment::{Deployment, Role, SERVICE, image_name},
    fault::{Fault, TimedFault, worker_range},
    ground_truth::GroundTruth,
    job::Job,
    outcome::{EventKind, Outcome},
};

/// TICK_MS is the time between two ticks of the owner.
const TICK_MS: u64 = 50;
/// START_UNIX_MS is the wall clock at the beginning of a scenario.
const START_UNIX_MS: u64 = 1_000_000_000;
/// FENCE is the fencing token of the only owner.
const FENCE: u64 = 1;
/// FINISH_MS is how long a simulation continues after the last arrival, so that jobs can end.
const FINISH_MS: u64 = 14_000;
/// KNOWN_VARIANCE is the variance of pairs that the owner knows from the beginning.
const KNOWN_VARIANCE: f32 = 0.000_001;

/// Scenario describes what is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The deployment.
    pub deployment: Deployment,
    /// The faults and bursts.
    pub timed_faults: Vec<TimedFault>,
    /// The owner's options.
    pub options: Options,
    /// Whether the owner knows the pairs from the beginning.
    pub known_pairs: bool,
    /// How workers list their ended runs.
    pub listing: Listing,
}

/// ScheduledEvent is an entry of the simulation's schedule.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    /// The owner's periodic tick.
    Tick,
    /// The serving tasks are sampled.
    Sample,
    /// Serving jobs are credited the value that they earned.
    CreditServing,
    /// A job of the kind with this index arrives, and the next arrival is scheduled.
    Arrive(usize),
    /// A client account submits a job, for the first time or again.
    Send(u64),
    /// A client account cancels a job.
    Cancel(u64),
    /// A call reaches its worker.
    Deliver(Box<Effect>),
    /// A start order reaches its worker after the call has timed out.
    DeliverLate(Box<Effect>),
    /// A lease renewal that waited since this time is answered.
    Answer(Box<stackpier_cell::Renewal>, u64),
    /// An event reaches the owner.
    Event(Box<Event>),
    /// A confirmation of the ownership by the store has timed out.
    ConfirmFailed,
}

/// Simulation holds the state of a scenario while it is simulated.
pub struct Simulation {
    now_ms: u64,
    random: ChaCha8Rng,
    scenario: Scenario,
    ground_truth: GroundTruth,
    cell: Cell,
    workers: Vec<Worker>,
    upcoming: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled_events: BTreeMap<u64, ScheduledEvent>,
    sequence: u64,
    jobs: BTreeMap<u64, Job>,
    outcome: Outcome,
}

/// simulate runs a scenario with a seed and returns its outcome.
pub fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario.clone(), seed);
    let end = scenario.deployment.length_ms + FINISH_MS;
    while let Some((at, scheduled)) = simulation.pop_next() {
        if at > end {
            break;
        }
        simulation.now_ms = at;
        simulation.handle(scheduled);
    }
    simulation.into_outcome()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let images = |role: Role| {
            let kinds = scenario
                .deployment
                .kinds
                .iter()
                .filter(|kind| kind.role == role);
            kinds.map(|kind| kind.images).sum()
        };
        let counts = (images(Role::Serving), images(Role::BestEffort));
        let ground_truth = GroundTruth::draw(
            &mut random,
            scenario.deployment.serving,
            scenario.deployment.pairs,
            counts,
        );
        let now = Now {
            mono: Millis(1),
            unix: Unix(START_UNIX_MS),
        };
        let workers = (0..scenario.deployment.workers).map(|index| {
            let mut worker = Worker::new(info(&scenario.deployment, index), 5_000, 1);
            worker.listing = scenario.listing;
            worker
        });
        let mut simulation = Simulation {
            now_ms: 1,
            random,
            cell: Cell::new(scenario.options, FENCE, now, 0),
            workers: workers.collect(),
            ground_truth,
            scenario,
            upcoming: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            sequence: 0,
            jobs: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        simulation.start();
        simulation
    }

    /// start reports the queues and the workers to the owner, and schedules the first events.
    fn start(&mut self) {
        if self.scenario.known_pairs {
            let snapshot = self.known_pairs();
            self.cell.restore_model(&snapshot);
        }
        let queues = self
            .scenario
            .deployment
            .kinds
            .iter()
            .map(|kind| kind.queue());
        self.feed_owner(Event::Queues(queues.collect()));
        for index in 0..self.workers.len() {
            let info = self.workers[index].info.clone();
            self.feed_owner(Event::Listed(info));
        }
        self.schedule_arrivals();
        self.schedule(TICK_MS, ScheduledEvent::Tick);
        self.schedule(sampling::SAMPLE_MS, ScheduledEvent::Sample);
        self.schedule(sampling::CREDIT_MS, ScheduledEvent::CreditServing);
    }

    /// known_pairs returns the real coefficients of all pairs, in the form of a model that a
    /// predecessor saved.
    fn known_pairs(&self) -> ModelSnapshot {
        let kind_of = |role: Role| {
            self.scenario
                .deployment
                .kinds
                .iter()
                .find(|kind| kind.role == role)
        };
        let (Some(serving), Some(best_effort)) =
            (kind_of(Role::Serving), kind_of(Role::BestEffort))
        else {
            return ModelSnapshot::default();
        };
        let estimate = |serving_image: usize, best_effort_image: usize| SavedEstimate {
            mean: self
                .ground_truth
                .coefficient(serving_image, best_effort_image) as f32,
            variance: KNOWN_VARIANCE,
        };
        let serving_row = |serving_image: usize| ServingImage {
            image: image_name(serving, serving_image),
            pairs: (0..best_effort.images)
                .map(|best_effort_image| {
                    (
                        image_name(best_effort, best_effort_image),
                        estimate(serving_image, best_effort_image),
                    )
                })
                .collect(),
        };
        ModelSnapshot {
            serving: (0..serving.images).map(serving_row).collect(),
            periods: Vec::new(),
        }
    }

    fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms),
            unix: Unix(START_UNIX_MS + self.now_ms),
        }
    }

    fn schedule(&mut self, after_ms: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.upcoming
            .push(Reverse((self.now_ms + after_ms, self.sequence)));
        self.scheduled_events.insert(self.sequence, scheduled);
    }

    fn pop_next(&mut self) -> Option<(u64, ScheduledEvent)> {
        let Reverse((at, number)) = self.upcoming.pop()?;
        let scheduled = self.scheduled_events.remove(&number)?;
        Some((at, scheduled))
    }

    fn handle(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Tick => self.tick(),
            ScheduledEvent::Sample => self.sample(),
            ScheduledEvent::CreditServing => self.credit_serving_jobs(),
            ScheduledEvent::Arrive(kind) => self.arrive(kind),
            ScheduledEvent::Send(job) => self.submit(job),
            ScheduledEvent::Cancel(job) => self.cancel(job),
            ScheduledEvent::Deliver(effect) => self.deliver(*effect),
            ScheduledEvent::DeliverLate(effect) => self.deliver_late(*effect),
            ScheduledEvent::Answer(renewal, sent_ms) => self.answer_renewal(&renewal, sent_ms),
            ScheduledEvent::Event(event) => self.feed_owner(*event),
            ScheduledEvent::ConfirmFailed => self.cell.confirm_failed(),
        }
    }

    /// feed_owner passes an event to the owner and executes the effects that it returns.
    fn feed_owner(&mut self, event: Event) {
        let event_kind = EventKind::from(&event);
        let began = Instant::now();
        let effects = self.cell.step(self.now(), event);
        let took = began.elapsed();
        let ratings = self.cell.ratings() - self.outcome.ratings;
        self.outcome.ratings += ratings;
        self.outcome.max_ratings = self.outcome.max_ratings.max(ratings);
        self.outcome
            .step_times
            .entry(event_kind)
            .or_default()
            .push(took);
        for effect in effects {
            self.execute_effect(effect);
        }
    }

    fn tick(&mut self) {
        self.apply_faults();
        self.feed_owner(Event::Tick);
        self.record_finished_jobs();
        let idle = self.cell.longest_wait_ms();
        self.outcome.longest_idle_ms = self.outcome.longest_idle_ms.max(idle);
        self.schedule(TICK_MS, ScheduledEvent::Tick);
    }

    /// active_faults returns the faults that are active now.
    fn active_faults(&self) -> impl Iterator<Item = Fault> + '_ {
        let is_active = |timed_fault: &&TimedFault| timed_fault.is_active(self.now_ms);
        self.scenario
            .timed_faults
            .iter()
            .filter(is_active)
            .map(|timed_fault| timed_fault.fault)
    }

    /// apply_faults sets the workers' speeds and faults to the ones active now.
    fn apply_faults(&mut self) {
        let active_faults: Vec<Fault> = self.active_faults().collect();
        let (count, now_ms) = (self.workers.len(), self.now_ms);
        for worker in &mut self.workers {
            worker.advance(now_ms);
            worker.speed_percent = 100;
            worker.hangs = false;
            worker.fails_all = false;
        }
        for fault in active_faults {
            match fault {
                Fault::Slow(share, percent) => {
                    let slow = worker_range(count, 0, share);
                    let slow = self.workers.iter_mut().rev().take(slow.len());
                    slow.for_each(|worker| worker.speed_percent = percent);
                }
                Fault::Errors(share) => {
                    let grey = worker_range(count, count / 2, share);
                    self.workers[grey]
                        .iter_mut()
                        .for_each(|worker| worker.fails_all = true);
                }
                Fault::Hang(share) => {
                    let still = worker_range(count, count / 2, share);
                    self.workers[still]
                        .iter_mut()
                        .for_each(|worker| worker.hangs = true);
                }
                _ => {}
            }
        }
    }

    /// is_cut reports whether the owner cannot reach a worker.
    fn is_cut(&self, index: usize) -> bool {
        let count = self.workers.len();
        self.active_faults().any(|fault| match fault {
            Fault::Cut(share) => worker_range(count, 0, share).contains(&index),
            _ => false,
        })
    }

    fn is_store_unavailable(&self) -> bool {
        self.active_faults().any(|fault| fault == Fault::StoreAway)
    }
}

/// info returns the description of a worker, by its index.
fn info(deployment: &Deployment, index: usize) -> Info {
    let rack = format!("r{}", index / deployment.per_rack);
    Info {
        id: format!("w{index}"),
        started_at: None,
        service: SERVICE.to_owned(),
        address: index.to_string(),
        data_centre: "dc".to_owned(),
        capacity: deployment.capacity,
        labels: vec![rack.clone()],
        rack,
        host: format!("h{index}"),
        draining: false,
        remaining_ms: None,
    }
}
