// SPDX-License-Identifier: Apache-2.0
//! One run of the placement experiment, second by second.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::{
    breaker::{self, Breaker},
    history::History,
    interference::{self, LEAST_REPORTED, Model, Pair, Sample},
    policy::{self, Candidate, choose},
    reaction::{self, Action, Budget, Suspect, Watch},
};
use stackpier_core::{
    Millis, Name, Size,
    key::{Attempt, Job as JobKey, Task as TaskKey},
};
use stackpier_protocol::sync::Clock;
use stackpier_state::work::{Class, Run, Work};

use super::{
    model::{
        CANCELS, CAPACITY, FAILING, Job, LAG_S, LENGTH_S, REPLICAS, SAMPLE_EVERY_S, SERVICE_SIZE,
        SERVICES, Season, Truth, WORKERS, WORKERS_PER_RACK, jobs, kind_name, rack_name,
        service_name, worker_name,
    },
    policy::Kind,
};

/// BASE_MS is the latency of a request alone, half fixed and half exponential.
const BASE_MS: f64 = 10.0;
/// MICROS turns milliseconds into the histogram's unit.
const MICROS: f64 = 1_000.0;
/// MAX_MICROS is the histogram's highest value.
const MAX_MICROS: u64 = 10_000_000;
/// FAILS_AFTER_S is how long a start on a failing worker takes to fail.
const FAILS_AFTER_S: u64 = 5;
/// THROTTLED is the speed of a throttled task, and its share of interference.
const THROTTLED: f64 = 0.5;
/// RESUME_S is the work lost by an eviction.
const RESUME_S: f64 = 5.0;
/// SAMPLE_NOISE is the standard noise of a slowdown sample.
const SAMPLE_NOISE: f64 = 0.05;
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

#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: usize,
    run: Run,
    done_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: usize,
    run: Run,
    done_s: f64,
    throttled: bool,
    /// When it fails, on a worker that fails what it starts.
    fails_s: Option<u64>,
}

struct Worker {
    services: Vec<usize>,
    batch: Vec<Running>,
    history: History,
    watch: Watch,
    breaker: Breaker,
}

/// Shape is all of a job that the choice of a worker goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Shape {
    kind: usize,
    milli_cores: u32,
}

impl Shape {
    fn of(job: &Job) -> Shape {
        Shape {
            kind: job.kind,
            milli_cores: job.size.milli_cores,
        }
    }
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

    /// learn takes the samples that have arrived and reacts to them.
    fn learn(&mut self, now: u64) {
        while self
            .samples
            .front()
            .is_some_and(|sample| sample.sampled_s + LAG_S <= now)
        {
            let Some(sample) = self.samples.pop_front() else {
                return;
            };
            match self.kind {
                Kind::Ours => self.react(now, sample),
                Kind::EvictOnBreach if sample.slowdown > reaction::Options::default().high => {
                    let newest = self.workers[sample.worker].batch.last().copied();
                    if let Some(task) = newest {
                        self.evict(sample.worker, task.run);
                    }
                }
                _ => {}
            }
        }
    }

    fn react(&mut self, now: u64, sample: Observation) {
        let worker = &mut self.workers[sample.worker];
        let victim = service_name(sample.service);
        if let Some(neighbours) = worker.history.at(Clock(sample.sampled_s * 1_000)) {
            self.model.observe(&Sample {
                victim,
                neighbours,
                load: sample.load,
                slowdown: sample.slowdown,
            });
        }
        let suspects: Vec<Suspect> = worker
            .batch
            .iter()
            .map(|task| Suspect {
                run: task.run,
                blame: self
                    .model
                    .estimate(pair(victim, self.jobs[task.job].kind))
                    .mean
                    * sample.load,
            })
            .collect();
        let budget = &mut self.budgets[sample.worker / WORKERS_PER_RACK];
        let options = reaction::Options::default();
        let now = Millis(now * 1_000);
        match worker
            .watch
            .sample(now, sample.slowdown, &suspects, options, budget)
        {
            Some(Action::Throttle(run)) => self.throttle(sample.worker, run, true),
            Some(Action::Release(run)) => self.throttle(sample.worker, run, false),
            Some(Action::Evict(run)) => self.evict(sample.worker, run),
            None => {}
        }
    }

    fn throttle(&mut self, worker: usize, run: Run, throttled: bool) {
        let batch = &mut self.workers[worker].batch;
        if let Some(task) = batch.iter_mut().find(|task| task.run == run) {
            task.throttled = throttled;
        }
    }

    fn evict(&mut self, worker: usize, run: Run) {
        let batch = &mut self.workers[worker].batch;
        let Some(place) = batch.iter().position(|task| task.run == run) else {
            return;
        };
        let task = batch.remove(place);
        self.outcome.evictions += 1;
        self.wait_again(task.job, run, (task.done_s - RESUME_S).max(0.0));
    }

    fn wait_again(&mut self, job: usize, run: Run, done_s: f64) {
        let run = Run {
            attempt: run.attempt.next(),
            ..run
        };
        self.waiting.push(Waiting { job, run, done_s });
    }

    fn place(&mut self, now: u64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        if self.kind.by_deadline() {
            waiting.sort_by_key(|task| (self.jobs[task.job].deadline_s, task.run));
        }
        self.free = (0..WORKERS).map(|worker| self.free_now(worker)).collect();
        // What finds no worker once finds none later in the same second.
        let mut unfit: BTreeSet<Shape> = BTreeSet::new();
        for task in waiting {
            let shape = Shape::of(&self.jobs[task.job]);
            let chosen = match unfit.contains(&shape) {
                true => None,
                false => self.choose(now, task.job),
            };
            match chosen {
                Some(worker) => self.start(now, worker, task),
                None => {
                    unfit.insert(shape);
                    self.waiting.push(task);
                }
            }
        }
    }

    fn free_now(&self, worker: usize) -> Size {
        let found = &self.workers[worker];
        let services: Size = found.services.iter().map(|_| SERVICE_SIZE).sum();
        let batch: Size = found
            .batch
            .iter()
            .map(|task| self.jobs[task.job].size)
            .sum();
        CAPACITY.minus(&(services + batch))
    }

    fn choose(&self, now: u64, job: usize) -> Option<usize> {
        let size = self.jobs[job].size;
        if !(0..WORKERS).any(|worker| size.fits(&self.free[worker])) {
            return None;
        }
        let fits = |worker: &usize| size.fits(&self.free[*worker]);
        if !self.kind.chooses() {
            let mut fitting = (0..WORKERS).filter(fits);
            return match self.kind {
                Kind::BestFit => fitting.min_by_key(|worker| self.free[*worker].milli_cores),
                _ => fitting.next(),
            };
        }
        let now_ms = Millis(now * 1_000);
        let ready = |worker: &usize| self.workers[*worker].breaker.ready(now_ms);
        let candidates: Vec<Candidate> = (0..WORKERS)
            .filter(ready)
            .map(|worker| self.candidate(now, worker, self.jobs[job].kind))
            .collect();
        let options = policy::Options::default();
        let chosen = choose(&work(&self.jobs[job]), &candidates, options)?;
        (0..WORKERS).find(|worker| worker_name(*worker) == chosen.worker)
    }

    fn candidate(&self, now: u64, worker: usize, kind: usize) -> Candidate {
        let excess = |service: &usize| match self.kind {
            Kind::Oracle => self.truth.excess(*service, kind, now),
            _ => self.known(pair(service_name(*service), kind)),
        };
        let total: f64 = self.workers[worker].services.iter().map(excess).sum();
        Candidate {
            rack: rack_name(worker),
            worker: worker_name(worker),
            capacity: CAPACITY,
            free: self.free[worker],
            slowdown_milli: 1_000,
            excess_milli: (total * 1_000.0) as u32,
            same_on_rack: 0,
            same_on_worker: 0,
        }
    }

    /// known returns what placers are told of a pair: nothing below a least
    /// excess.
    fn known(&self, pair: Pair) -> f64 {
        let mean = self.model.estimate(pair).mean;
        if mean >= LEAST_REPORTED { mean } else { 0.0 }
    }

    fn start(&mut self, now: u64, worker: usize, task: Waiting) {
        self.outcome.started += 1;
        let third = LENGTH_S / 3;
        let failing = FAILING.contains(&worker) && (third..2 * third).contains(&now);
        self.free[worker] = self.free[worker].minus(&self.jobs[task.job].size);
        self.workers[worker].batch.push(Running {
            job: task.job,
            run: task.run,
            done_s: task.done_s,
            throttled: false,
            fails_s: failing.then_some(now + FAILS_AFTER_S),
        });
    }

    /// serve draws the services' latencies, and samples of their slowdown.
    fn serve(&mut self, now: u64) {
        let load = self.season.load(now);
        for number in 0..WORKERS {
            self.record(now, number);
            for place in 0..self.workers[number].services.len() {
                let service = self.workers[number].services[place];
                let slowdown = 1.0 + load * self.excess(now, number, service);
                let varying = -(1.0 - self.rng.random::<f64>()).ln();
                let latency = BASE_MS * slowdown * (0.5 + 0.5 * varying);
                self.outcome
                    .latency
                    .saturating_record((latency * MICROS) as u64);
                if (now + number as u64).is_multiple_of(SAMPLE_EVERY_S) {
                    let noise = self.rng.random_range(-SAMPLE_NOISE..SAMPLE_NOISE);
                    self.samples.push_back(Observation {
                        worker: number,
                        service,
                        sampled_s: now,
                        load,
                        slowdown: slowdown + noise,
                    });
                }
            }
        }
    }

    fn record(&mut self, now: u64, number: usize) {
        let mut by_kind: BTreeMap<Name, u32> = BTreeMap::new();
        for task in &self.workers[number].batch {
            *by_kind
                .entry(kind_name(self.jobs[task.job].kind))
                .or_default() += 1;
        }
        self.workers[number]
            .history
            .record(Clock(now * 1_000), by_kind);
    }

    fn excess(&self, now: u64, worker: usize, service: usize) -> f64 {
        let share = |task: &Running| if task.throttled { THROTTLED } else { 1.0 };
        let batch = self.workers[worker].batch.iter();
        batch
            .map(|task| self.truth.excess(service, self.jobs[task.job].kind, now) * share(task))
            .sum()
    }

    /// fail ends the starts that fail now.
    fn fail(&mut self, now: u64) {
        for number in 0..WORKERS {
            let fails = |task: &Running| task.fails_s == Some(now);
            let failed: Vec<Running> = self.workers[number]
                .batch
                .extract_if(.., |task| fails(task))
                .collect();
            for task in failed {
                self.outcome.failed_starts += 1;
                self.workers[number]
                    .breaker
                    .failed(Millis(now * 1_000), true);
                self.wait_again(task.job, task.run, task.done_s);
            }
        }
    }

    fn progress(&mut self, now: u64) {
        let (jobs, outcome) = (&self.jobs, &mut self.outcome);
        for worker in &mut self.workers {
            let mut finished = false;
            worker.batch.retain_mut(|task| {
                task.done_s += if task.throttled { THROTTLED } else { 1.0 };
                let job = &jobs[task.job];
                let done = task.done_s >= job.run_s;
                outcome.finished += u64::from(done);
                outcome.in_time += u64::from(done && now <= job.deadline_s);
                finished |= done;
                !done
            });
            if finished {
                worker.breaker.succeeded();
            }
        }
    }
}

fn pair(victim: Name, kind: usize) -> Pair {
    Pair {
        victim,
        neighbour: kind_name(kind),
    }
}

fn work(job: &Job) -> Work {
    Work {
        task: TaskKey {
            job: JobKey(0),
            index: 0,
        },
        name: kind_name(job.kind),
        generation: 1,
        class: Class::Batch,
        urgent: false,
        size: job.size,
        run_time_ms: (job.run_s * 1_000.0) as u64,
    }
}
