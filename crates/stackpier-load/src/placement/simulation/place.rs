// SPDX-License-Identifier: Apache-2.0
//! The choice of workers for the tasks that wait.

use std::collections::BTreeSet;

use stackpier_coordination::{
    interference::{LEAST_REPORTED, Pair},
    policy::{self, Candidate, choose},
};
use stackpier_core::{
    Millis, Size,
    key::{Job as JobKey, Task as TaskKey},
};
use stackpier_state::work::{Class, Work};

use super::{
    super::{
        model::{
            CAPACITY, FAILING, Job, LENGTH_S, SERVICE_SIZE, WORKERS, kind_name, rack_name,
            service_name, worker_name,
        },
        policy::Kind,
    },
    Running, Waiting, World, pair,
};

/// FAILS_AFTER_S is how long a start on a failing worker takes to fail.
const FAILS_AFTER_S: u64 = 5;

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

impl World {
    pub(super) fn place(&mut self, now: u64) {
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
}

/// work is what placers know of a job's task.
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
