// SPDX-License-Identifier: Apache-2.0
//! Starving steps: none waits without an end while workers have room.
//!
//! Filling tasks are kept from workers by bounds that protect others: expected harm
//! to serving tasks, memory kept free, processors in use. Each is an estimate or a
//! margin that may never give way, and what a task would do is not learnt as long as
//! it does not run. So a step that has had nothing running for long gets one task
//! started in spite of them, where the least harm is expected. From then on the
//! paces protect the serving tasks, as they do beside any other.

use std::cmp::Reverse;

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey},
    worker::Worker,
};

use super::{Demand, Outcome};

/// STARVED_MS is how long a step may have nothing running, though its turn has come,
/// while half of its service is unused: users call a job lost from three seconds on.
const STARVED_MS: u64 = 2_000;
/// LOADED_STARVED_MS is the same while more is in use. Room comes and goes then, and
/// what starts in spite of the bounds costs others: with two seconds here, too, 0.01 to
/// 0.02 of a day's worth, means of twenty days on each of two deployments.
const LOADED_STARVED_MS: u64 = 20_000;
/// SETTLE_MS is the least time between two such starts on a worker: reports show what
/// the last half second was like, so that the effect of one is seen before the next.
const SETTLE_MS: u64 = 600;

/// EARLIER_MS is how long a task is taken to have waited under an earlier owner.
const EARLIER_MS: u64 = 3_000;

/// MILLI is the number of thousandths in a whole.
const MILLI: u64 = 1_000;

/// Load sums up the processors of workers, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    capacity: i64,
    reserved: i64,
    used: i64,
}

impl Load {
    /// is_half_free tells whether half of the processors or more are not reserved, or
    /// not in use.
    fn is_half_free(&self) -> bool {
        self.reserved.min(self.used) * 2 <= self.capacity
    }
}

/// Service is one whose load was summed up in this look.
#[derive(Clone, Copy, Debug)]
struct Service {
    number: u16,
    half_free: bool,
}

impl Cell {
    /// starving returns the steps that starve, the longest waiting last. One task of each
    /// that finds a worker starts. They come after all that the bounds allow, as steps
    /// that waited for long are late in any case: done first it gave 0.003 and 0.006 less
    /// mean worth on six days of two deployments, within the noise of single plays.
    pub(super) fn starving(&mut self) -> Vec<StepKey> {
        if !self.is_enabled(Mechanism::Starving) {
            return Vec::new();
        }
        let mut services: Vec<Service> = Vec::new();
        let mut idle = self.best_effort_queue.clone();
        idle.retain(|step| self.idle_ms(*step) >= STARVED_MS);
        idle.retain(|step| {
            let demand = self.demand(*step);
            demand.is_some_and(|demand| self.gives_way(&demand, &mut services))
        });
        idle.sort_by_key(|step| Reverse(self.step_of(*step).idle_since));
        idle
    }

    /// idle_ms returns for how long a step with tasks to place has had nothing
    /// running, zero if something runs. Each task that lasts has its own turn, so of
    /// these it is the longest wait.
    pub(crate) fn idle_ms(&self, key: StepKey) -> u64 {
        if self.step_spec(key).long_running {
            return self.step_wait_ms(key);
        }
        let step = self.step_of(key);
        if step.runs > 0 || step.ready.is_empty() {
            return 0;
        }
        self.now.mono.since(step.idle_since)
    }

    /// wait_ms returns for how long a task has waited to be placed.
    pub(crate) fn wait_ms(&self, key: TaskKey) -> u64 {
        let task = self.task(key);
        let step = self.step_of(task.step);
        let inherited = self.job(step.job).inherited;
        let waited_ms = self.now.mono.since(task.ended.unwrap_or(step.released));
        match task.ended {
            None if inherited => waited_ms + EARLIER_MS,
            _ => waited_ms,
        }
    }

    /// step_wait_ms returns for how long the first of a step's tasks has waited.
    pub(crate) fn step_wait_ms(&self, key: StepKey) -> u64 {
        let ready = self.step_of(key).ready.iter();
        ready.map(|task| self.wait_ms(*task)).max().unwrap_or(0)
    }

    /// is_starving tells whether a step has had nothing running for so long that the
    /// bounds that protect others give way for one of its tasks.
    pub(crate) fn is_starving(&self, demand: &Demand) -> bool {
        self.gives_way(demand, &mut Vec::new())
    }

    /// gives_way tells the same, and keeps the loads that it sums up.
    fn gives_way(&self, demand: &Demand, services: &mut Vec<Service>) -> bool {
        let idle_ms = self.idle_ms(demand.step);
        let always_ms = if demand.long_running {
            STARVED_MS
        } else {
            LOADED_STARVED_MS
        };
        if idle_ms >= always_ms {
            return true;
        }
        idle_ms >= STARVED_MS && self.is_half_free(demand.service, services)
    }

    fn is_half_free(&self, number: u16, services: &mut Vec<Service>) -> bool {
        let known = services.iter().find(|service| service.number == number);
        if let Some(service) = known {
            return service.half_free;
        }
        let half_free = self.load_of(number).is_half_free();
        services.push(Service { number, half_free });
        half_free
    }

    /// load_of sums up the workers of a service that may get starts.
    fn load_of(&self, service: u16) -> Load {
        let live = self.live_workers().map(|key| self.worker(key));
        let mut total = Load::default();
        for worker in live.filter(|worker| worker.service == service && self.is_available(worker)) {
            total.capacity += i64::from(worker.info.capacity.milli_cores);
            total.reserved += i64::from(worker.allocated.milli_cores);
            total.used += self.used_milli(worker);
        }
        total
    }

    /// used_milli returns the processors that the runs on a worker are taken to use.
    fn used_milli(&self, worker: &Worker) -> i64 {
        let serving =
            u64::from(worker.long_running_milli) * u64::from(self.options.serving_usage_milli);
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let others = runs.filter(|run| !run.long_running);
        let cores: f64 = others.map(|run| run.cores(self.now.mono)).sum();
        (serving / MILLI) as i64 + (cores * MILLI as f64) as i64
    }

    /// is_settled tells whether the effect of the last start in spite of the bounds
    /// on a worker has been seen.
    pub(super) fn is_settled(&self, worker: &Worker) -> bool {
        let last = worker.relaxed_start_at;
        last.is_none_or(|at| self.now.mono.since(at) >= SETTLE_MS)
    }

    /// place_one starts a task of a step, or its gang.
    pub(super) fn place_one(&mut self, demand: &Demand) -> Outcome {
        if demand.gang || !self.may_start(self.step_of(demand.step).job) {
            return self.place_step(demand);
        }
        let now = self.now.mono;
        let mut ready = self.step_of(demand.step).ready.iter().copied();
        let Some(task) = ready.find(|task| self.may_start_now(*task)) else {
            return Outcome::Barred;
        };
        let Some(worker) = self.find_worker(task, demand) else {
            if demand.advised {
                // Also about workers that the bounds kept it from.
                self.request_advice(demand);
            }
            return Outcome::Full;
        };
        self.unqueue(task);
        self.worker_mut(worker).relaxed_start_at = Some(now);
        self.start(task, worker);
        Outcome::Placed
    }
}
