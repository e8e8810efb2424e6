// SPDX-License-Identifier: Apache-2.0
//! One run of the placement experiment, second by second.

mod place;
mod react;
mod serve;

use std::collections::VecDeque;

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::{
    breaker::{self, Breaker},
    history::History,
    interference::{self, Model, Pair},
    reaction::{self, Budget, Watch},
};
use stackpier_core::{
    Name, Size,
    key::{Attempt, Job as JobKey, Task as TaskKey},
};
use stackpier_state::work::Run;

use super::{
    model::{
        CANCELS, Job, LENGTH_S, REPLICAS, SERVICES, Season, Truth, WORKERS, WORKERS_PER_RACK, jobs,
        kind_name,
    },
    policy::Kind,
};

/// MICROS turns milliseconds into the histogram's unit.
const MICROS: f64 = 1_000.0;
/// MAX_MICROS is the histogram's highest value.
const MAX_MICROS: u64 = 10_000_000;
/// WORKER_BREAKER is the owners' breaker.
const WORKER_BREAKER: breaker::Options = breaker::Options {
    failures: 3,
    pause_ms: 10_000,
    longest_ms: 600_000,
};

/// Outcome is what came out of a run.
pub struct Outcome {
    latency: Histogram<u64>,
    /// Tasks that finished.
    pub finished: u64,
    /// Tasks that finished by their deadline.
    pub in_time: u64,
    /// Starts.
    pub started: u64,
    /// Evictions.
    pub evictions: u64,
    /// Starts that failed at once.
    pub failed_starts: u64,
}

impl Outcome {
    /// percentile returns a percentile of the services' latency in
    /// milliseconds.
    pub fn percentile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / MICROS
    }
}

/// Waiting is a task that waits for a worker.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: usize,
    run: Run,
    done_s: f64,
}

/// Running is a task on a worker.
#[derive(Clone, Copy, Debug)]
struct Running {
    job: usize,
    run: Run,
    done_s: f64,
    throttled: bool,
    /// When it fails, on a worker that fails what it starts.
    fails_s: Option<u64>,
}

/// Worker is a worker with its replicas, by service, and what its owner keeps
/// of it.
struct Worker {
    services: Vec<usize>,
    batch: Vec<Running>,
    history: History,
    watch: Watch,
    breaker: Breaker,
}

/// Observation is a usage sample on its way.
#[derive(Clone, Copy, Debug)]
struct Observation {
    worker: usize,
    service: usize,
    sampled_s: u64,
    load: f64,
    slowdown: f64,
}

/// World is all of a run.
struct World {
    kind: Kind,
    season: Season,
    rng: ChaCha8Rng,
    truth: Truth,
    jobs: Vec<Job>,
    cancelled: Vec<bool>,
    next: usize,
    workers: Vec<Worker>,
    /// What is left on each worker, within one second.
    free: Vec<Size>,
    waiting: Vec<Waiting>,
    samples: VecDeque<Observation>,
    model: Model,
    budgets: Vec<Budget>,
    outcome: Outcome,
}

/// simulate runs one policy in one season.
pub fn simulate(kind: Kind, season: Season, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let truth = Truth::new(&mut rng);
    let jobs = jobs(&mut rng);
    let racks = WORKERS / WORKERS_PER_RACK;
    let mut world = World {
        kind,
        season,
        truth,
        cancelled: vec![false; jobs.len()],
        jobs,
        rng,
        next: 0,
        workers: (0..WORKERS).map(worker).collect(),
        free: Vec::new(),
        waiting: Vec::new(),
        samples: VecDeque::new(),
        model: Model::new(interference::Options::default()),
        budgets: vec![Budget::new(reaction::Options::default()); racks],
        outcome: Outcome {
            latency: histogram(),
            finished: 0,
            in_time: 0,
            started: 0,
            evictions: 0,
            failed_starts: 0,
        },
    };
    for now in 0..LENGTH_S {
        world.step(now);
    }
    world.outcome
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).unwrap_or_else(|error| panic!("{error}"))
}

/// worker spreads the replicas of all services over the workers.
fn worker(number: usize) -> Worker {
    let slots = (0..SERVICES * REPLICAS).filter(|slot| slot % WORKERS == number);
    Worker {
        services: slots
            .map(|slot| (slot / REPLICAS + slot) % SERVICES)
            .collect(),
        batch: Vec::new(),
        history: History::default(),
        watch: Watch::default(),
        breaker: Breaker::new(WORKER_BREAKER),
    }
}

impl World {
    fn step(&mut self, now: u64) {
        self.arrive(now);
        if CANCELS.contains(&now) {
            self.cancel();
        }
        self.learn(now);
        self.place(now);
        self.serve(now);
        self.fail(now);
        self.progress(now);
    }

    fn arrive(&mut self, now: u64) {
        while self.next < self.jobs.len() && self.jobs[self.next].arrives_s <= now {
            let job = self.next;
            self.next += 1;
            let tasks = 0..self.jobs[job].tasks as u32;
            self.waiting.extend(tasks.map(|index| Waiting {
                job,
                run: Run {
                    task: TaskKey {
                        job: JobKey(job as u64),
                        index,
                    },
                    attempt: Attempt(1),
                },
                done_s: 0.0,
            }));
        }
    }

    fn cancel(&mut self) {
        for job in (0..self.next).step_by(3) {
            self.cancelled[job] = true;
        }
        let cancelled = &self.cancelled;
        self.waiting.retain(|task| !cancelled[task.job]);
        for worker in &mut self.workers {
            worker.batch.retain(|task| !cancelled[task.job]);
        }
    }

    fn wait_again(&mut self, job: usize, run: Run, done_s: f64) {
        let run = Run {
            attempt: run.attempt.next(),
            ..run
        };
        self.waiting.push(Waiting { job, run, done_s });
    }
}

/// pair names a service and a kind of job beside it.
fn pair(victim: Name, kind: usize) -> Pair {
    Pair {
        victim,
        neighbour: kind_name(kind),
    }
}
