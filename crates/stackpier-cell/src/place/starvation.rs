// SPDX-License-Identifier: Apache-2.0
//! Starving steps: no step waits forever while workers have free capacity.
//!
//! Limits that protect other tasks keep best-effort tasks from workers: expected harm to serving
//! tasks, memory kept free, processors in use. Each is an estimate or a margin that may stay in
//! force forever, and the model learns nothing of a task that does not run. So a step that has had
//! nothing running for a long time gets one task started regardless of these limits, where the
//! least harm is expected. From then on its pace protects the serving tasks, as that of any other
//! best-effort run does.
//!
//! The passes over such steps are in `idle`.

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey},
    worker::Worker,
};

use super::{Demand, Outcome};

/// STARVED_MS is how long a ready step may have nothing running while half of its service is
/// unused, and a long-running one at any load: client accounts count a job as lost from three
/// seconds on.
const STARVED_MS: u64 = 2_000;
/// LOADED_STARVED_MS is the same limit for other steps while more than half is in use. Capacity
/// comes and goes then, and a start regardless of the limits harms other tasks.
const LOADED_STARVED_MS: u64 = 20_000;
/// SETTLE_MS is the shortest time between two such starts on a worker. Reports cover the last
/// half second, so the effect of one start is seen before the next.
const SETTLE_MS: u64 = 600;

/// PRIOR_WAIT_MS is how long a task of an inherited job is assumed to have waited under a
/// predecessor.
const PRIOR_WAIT_MS: u64 = 3_000;

/// MAX_IDLE_CANDIDATES is among how many suitable workers the one for an idle step is chosen: the work
/// for each of hundreds of steps does not grow with the cell while most workers are free.
const MAX_IDLE_CANDIDATES: usize = 32;

/// MILLI is the number of thousandths in a whole.
const MILLI: u64 = 1_000;

/// Load sums up the processors of workers, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    capacity: i64,
    allocated: i64,
    used: i64,
}

impl Load {
    /// is_half_free reports whether at least half of the processors are not allocated, or not
    /// in use.
    fn is_half_free(&self) -> bool {
        self.allocated.min(self.used) * 2 <= self.capacity
    }
}

/// Service is a service whose load was summed up already.
#[derive(Clone, Copy, Debug)]
struct Service {
    number: u16,
    half_free: bool,
}

impl Cell {
    /// find_idle returns the steps that have had nothing running for so long that one of their tasks
    /// goes first, the longest waiting last. Guaranteed long-running tasks have their own place in the
    /// order: see `Rank::LongRunning`.
    pub(super) fn find_idle(&mut self) -> Vec<StepKey> {
        if !self.is_enabled(Mechanism::Starving) {
            return Vec::new();
        }
        let inherited_may_start = self.may_start_inherited();
        let mut services: Vec<Service> = Vec::new();
        let mut idle: Vec<StepKey> = self.queued().collect();
        self.best_effort_pass.budget.spend(idle.len());
        idle.retain(|step| {
            self.is_idle(*step) && (inherited_may_start || !self.awaits_leases(*step))
        });
        idle.retain(|step| {
            let demand = self.demand(*step);
            demand.is_some_and(|demand| self.may_go_first(&demand, &mut services))
        });
        idle.sort_by_key(|step| self.idle_ms(*step));
        idle
    }

    /// is_idle reports whether a step has had nothing running for long.
    pub(super) fn is_idle(&self, step: StepKey) -> bool {
        self.idle_ms(step) >= STARVED_MS
    }

    /// may_go_first reports whether one task of an idle step goes before other steps. While more than
    /// half of a service is in use, that would take the capacity of others. Passes over guaranteed
    /// steps try all of these themselves unless they end early.
    fn may_go_first(&self, demand: &Demand, services: &mut Vec<Service>) -> bool {
        if demand.best_effort {
            return self.may_relax(demand, services);
        }
        self.guaranteed_pass.ends_early
            && !demand.long_running
            && self.is_half_free(demand.service, services)
    }

    /// idle_ms returns how long a step with tasks to place has had nothing running, zero if
    /// something runs. Long-running tasks are counted one by one, so for these it is the
    /// longest wait.
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

    /// wait_ms returns how long a task has had no run, also while it was not known that its last run
    /// had ended.
    pub(crate) fn wait_ms(&self, key: TaskKey) -> u64 {
        let (task, now) = (self.task(key), self.now.mono);
        if let Some(downtime) = task.downtime {
            return downtime.ms(now);
        }
        if let Some(absent_ms) = self.absent_since_release_ms(key) {
            return absent_ms;
        }
        let step = self.step_of(task.step);
        let prior_ms = match self.job(step.job).inherited {
            true => PRIOR_WAIT_MS,
            false => 0,
        };
        now.since(step.ready_since) + prior_ms
    }

    /// step_wait_ms returns the longest wait of a step's ready tasks.
    pub(crate) fn step_wait_ms(&self, key: StepKey) -> u64 {
        let ready = self.step_of(key).ready.iter();
        ready.map(|task| self.wait_ms(*task)).max().unwrap_or(0)
    }

    /// is_starving reports whether a step has had nothing running for so long that one of its
    /// tasks may start regardless of the limits that protect other tasks.
    pub(crate) fn is_starving(&self, demand: &Demand) -> bool {
        self.may_relax(demand, &mut Vec::new())
    }

    /// may_relax reports the same as `is_starving`, and keeps the loads that it sums up in
    /// `services`.
    fn may_relax(&self, demand: &Demand, services: &mut Vec<Service>) -> bool {
        let idle_ms = self.idle_ms(demand.step);
        let unconditional_ms = if demand.long_running {
            STARVED_MS
        } else {
            LOADED_STARVED_MS
        };
        if idle_ms >= unconditional_ms {
            return true;
        }
        idle_ms >= STARVED_MS && self.is_half_free(demand.service, services)
    }

    fn is_half_free(&self, number: u16, services: &mut Vec<Service>) -> bool {
        let known = services.iter().find(|service| service.number == number);
        if let Some(service) = known {
            return service.half_free;
        }
        let half_free = self.sum_load(number).is_half_free();
        services.push(Service { number, half_free });
        half_free
    }

    /// sum_load sums up the available workers of a service.
    fn sum_load(&self, service: u16) -> Load {
        let live = self.live_workers().map(|key| self.worker(key));
        let mut total = Load::default();
        for worker in live.filter(|worker| worker.service == service && self.is_available(worker)) {
            total.capacity += i64::from(worker.info.capacity.milli_cores);
            total.allocated += i64::from(worker.allocated.milli_cores);
            total.used += self.used_milli(worker);
        }
        total
    }

    /// used_milli returns the processors that the runs on a worker are assumed to use, in
    /// thousandths of a core.
    fn used_milli(&self, worker: &Worker) -> i64 {
        let serving =
            u64::from(worker.long_running_milli) * u64::from(self.options.serving_usage_milli);
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let others = runs.filter(|run| !run.long_running);
        let cores: f64 = others.map(|run| run.cores(self.now.mono)).sum();
        (serving / MILLI) as i64 + (cores * MILLI as f64) as i64
    }

    /// is_settled reports whether the last start on a worker regardless of the limits is long
    /// enough ago for its effect to be seen.
    pub(super) fn is_settled(&self, worker: &Worker) -> bool {
        let last = worker.relaxed_start_at;
        last.is_none_or(|at| self.now.mono.since(at) >= SETTLE_MS)
    }

    /// place_one starts one task of a step, or its gang.
    pub(super) fn place_one(&mut self, demand: &Demand) -> Outcome {
        if demand.gang || !self.may_start_any(demand.step) {
            return self.place_step(demand);
        }
        let now = self.now.mono;
        let mut ready = self.step_of(demand.step).ready.iter().copied();
        let Some(task) = ready.find(|task| self.may_start_now(*task)) else {
            return Outcome::Blocked;
        };
        // A task that may not go everywhere chooses among all workers, and what keeps it from them
        // keeps no other one from them.
        let entry = self.task(task);
        let special =
            !entry.failed_on.is_empty() || !entry.failed_runs.is_empty() || entry.suspect.is_some();
        let mut demand = *demand;
        if !special {
            demand.max_candidates = MAX_IDLE_CANDIDATES;
        }
        let Some(worker) = self.find_worker(task, &demand) else {
            if demand.advised {
                // The relaxed demand also asks about workers that the limits had excluded.
                self.request_advice(&demand);
            }
            return match special {
                true => Outcome::Blocked,
                false => Outcome::NoWorker,
            };
        };
        self.unqueue(task);
        if demand.relaxed {
            self.worker_mut(worker).relaxed_start_at = Some(now);
        }
        self.start(task, worker);
        Outcome::Placed
    }
}
