// SPDX-License-Identifier: Apache-2.0
//! Dedicated workers: whole workers for short tasks while these find no room.
//!
//! Where tasks that last want more room than there is, they take every hole that is large
//! enough, and what is left are pieces in which no large short task fits. A short task is
//! worth several times as much for each core and second. So workers are dedicated to short
//! tasks, as many as those that wait in vain ask for: tasks that last are stopped there, as
//! far as their steps can miss them, and share the other workers among themselves (see
//! `rotation`). A dedicated worker on which no short task runs any more is given back.

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{RunKey, StepKey, WorkerKey},
    place::{Demand, Rank},
    rotation::MIN_RUN_MS,
    run::{Phase, Run},
    worker::{Presence, Worker},
};

/// WAITED_MS is how long a short task waits until it counts: room comes and goes with
/// tasks of half a second.
const WAITED_MS: u64 = 200;
/// UNUSED_MS is how long a worker stays dedicated on which no short task runs.
const UNUSED_MS: u64 = 2_500;
/// BORROWED_MS is how long a task that lasts waits until it may start on a dedicated worker,
/// as it found no other: users count it as lost from nine seconds after its last run if there
/// was room meanwhile, wherever it came and went.
const BORROWED_MS: u64 = 7_000;
/// MAX_PART is the part of a service's workers, one in so many, that may be dedicated.
const MAX_PART: usize = 4;

/// LENT_PART is the part of a dedicated worker, one in so many, that tasks that last may borrow.
const LENT_PART: u32 = 2;

/// Dedication tells that a worker is kept for short tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dedication {
    /// When a short task last ran there.
    used: Millis,
    /// The priority of the queue that it was dedicated to.
    priority: u8,
}

/// Shortage is what short tasks wait for that may go to the same workers.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// What the first of the steps asks for.
    demand: Demand,
    /// Processors, in thousandths of a core.
    milli_cores: u64,
}

impl Shortage {
    fn is_alike(&self, demand: &Demand) -> bool {
        self.demand.service == demand.service
            && self.demand.priority == demand.priority
            && self.demand.labelled == demand.labelled
    }
}

impl Cell {
    /// update_dedicated_workers dedicates workers to short tasks, or gives them back.
    pub(crate) fn update_dedicated_workers(&mut self) {
        if !self.is_enabled(Mechanism::Dedicated) || !self.has_authority() {
            return;
        }
        self.give_back();
        for shortage in self.shortages() {
            self.dedicate(&shortage);
        }
        for key in self.dedicated_workers() {
            self.preempt_long_running(key);
        }
    }

    fn dedicated_workers(&self) -> Vec<WorkerKey> {
        let dedicated = |key: &WorkerKey| self.worker(*key).dedicated.is_some();
        self.live_workers().filter(dedicated).collect()
    }

    /// give_back ends the dedication of workers that short tasks do not use.
    fn give_back(&mut self) {
        let now = self.now.mono;
        for key in self.dedicated_workers() {
            let runs_short = self.runs_short(key);
            let dedicated = &mut self.worker_mut(key).dedicated;
            if let Some(dedication) = dedicated.as_mut().filter(|_| runs_short) {
                dedication.used = now;
            }
            *dedicated = dedicated.filter(|dedication| now.since(dedication.used) < UNUSED_MS);
        }
    }

    /// runs_short tells whether a short task runs on a worker.
    pub(crate) fn runs_short(&self, key: WorkerKey) -> bool {
        let runs = self.worker(key).runs.iter();
        let mut runs = runs.filter_map(|run| self.runs.get(*run));
        runs.any(|run| !run.long_running && !run.best_effort)
    }

    /// shortages returns what short tasks of each service wait for beyond what is free, or will
    /// be, on its dedicated workers.
    fn shortages(&mut self) -> Vec<Shortage> {
        let mut shortages: Vec<Shortage> = Vec::new();
        let waits = |step: &StepKey| self.has_waiting_short_tasks(*step);
        let waiting: Vec<StepKey> = self.queued().filter(waits).collect();
        for step in waiting {
            let Some(demand) = self.demand(step) else {
                continue;
            };
            let ready = self.step_of(step).ready.iter();
            let tasks = ready.filter(|task| self.may_start_now(**task)).count();
            let milli_cores = tasks as u64 * u64::from(demand.size.milli_cores);
            let alike = |other: &&mut Shortage| other.is_alike(&demand);
            match shortages.iter_mut().find(alike) {
                Some(shortage) => shortage.milli_cores += milli_cores,
                None => shortages.push(Shortage {
                    demand,
                    milli_cores,
                }),
            }
        }
        for shortage in &mut shortages {
            let coming = self.coming_milli(shortage.demand.service);
            shortage.milli_cores = shortage.milli_cores.saturating_sub(coming);
        }
        shortages
    }

    /// coming_milli returns the processors, in thousandths of a core, that are free on a
    /// service's dedicated workers, or will be.
    fn coming_milli(&self, service: u16) -> u64 {
        let workers = self.dedicated_workers().into_iter();
        let workers = workers.map(|key| self.worker(key));
        let workers = workers.filter(|worker| worker.service == service);
        let coming = workers.map(|worker| worker.free().milli_cores + worker.long_running_milli);
        coming.map(u64::from).sum()
    }

    /// has_waiting_short_tasks tells whether short tasks of a step that are still of use wait for room.
    pub(crate) fn has_waiting_short_tasks(&self, key: StepKey) -> bool {
        let shape = self.step_spec(key);
        !shape.best_effort
            && !shape.long_running
            && !shape.gang
            && self.step_wait_ms(key) >= WAITED_MS
            && !matches!(self.rank_of(key), Rank::Expired(_))
    }

    /// dedicate dedicates as many workers as a shortage asks for, those first that are cleared
    /// soonest.
    fn dedicate(&mut self, shortage: &Shortage) {
        let largest = self.largest_milli().max(1);
        let wanted = shortage.milli_cores.div_ceil(largest) as usize;
        if wanted == 0 {
            return;
        }
        let demand = &shortage.demand;
        let of_service = |key: &WorkerKey| self.worker(*key).service == demand.service;
        let workers = self.live_workers().filter(of_service).count();
        let dedicated = self.dedicated_workers().into_iter().filter(of_service);
        let left = (workers / MAX_PART).saturating_sub(dedicated.count());
        let candidates = self
            .live_workers()
            .filter(|key| self.may_be_dedicated(*key, demand));
        let mut candidates: Vec<(u32, u32, WorkerKey)> = candidates
            .map(|key| {
                let kept = self.unclearable_milli(key, demand.priority);
                (kept, self.worker(key).long_running_milli, key)
            })
            .filter(|(kept, _, key)| kept * 2 <= self.worker(*key).info.capacity.milli_cores)
            .collect();
        candidates.sort_unstable();
        for (_, _, key) in candidates.into_iter().take(wanted.min(left)) {
            self.dedicate_to(key, demand.priority);
        }
    }

    fn dedicate_to(&mut self, key: WorkerKey, priority: u8) {
        let used = self.now.mono;
        self.worker_mut(key).dedicated = Some(Dedication { used, priority });
        let worker = self.worker(key);
        let text = format!(
            "worker {} is dedicated to short tasks, {} thousandths of a core last there",
            worker.info.id, worker.long_running_milli
        );
        self.log("dedicated", None, text);
    }

    fn may_be_dedicated(&self, key: WorkerKey, demand: &Demand) -> bool {
        let worker = self.worker(key);
        worker.dedicated.is_none()
            && self.check_eligibility(demand, key).is_ok()
            && !worker.evacuated
            && worker.presence == Presence::Contacted
            && worker.rostered
            && self.is_available(worker)
            && !worker.health.has_recent_faults()
    }

    /// unclearable_milli returns the processors of a worker's tasks that last and can't be
    /// stopped now for short tasks of a priority, in thousandths of a core.
    fn unclearable_milli(&self, key: WorkerKey, priority: u8) -> u32 {
        let runs = self.long_running_on(key).into_iter();
        let kept = runs.filter(|run| !self.may_clear(*run, priority));
        let kept = kept.filter_map(|run| self.runs.get(run));
        kept.map(|run| run.size.milli_cores).sum()
    }

    /// may_preempt_long_running tells whether a task that lasts may be stopped for others: it has run
    /// for a while, and its step can miss it.
    pub(crate) fn may_preempt_long_running(&self, key: RunKey) -> bool {
        let now = self.now.mono;
        let settled = |run: &Run| run.phase == Phase::Running && now.since(run.since) >= MIN_RUN_MS;
        self.runs.get(key).is_some_and(settled) && self.may_interrupt(key)
    }

    /// may_clear tells whether a task that lasts may be stopped for short tasks of a priority.
    fn may_clear(&self, key: RunKey, priority: u8) -> bool {
        let run = self.runs.get(key);
        let as_urgent = run.is_some_and(|run| self.priority_of(run.step) >= priority);
        as_urgent && self.may_preempt_long_running(key)
    }

    /// preempt_long_running stops the tasks that last on a worker, those that their steps can miss.
    fn preempt_long_running(&mut self, worker: WorkerKey) {
        let Some(dedication) = self.worker(worker).dedicated else {
            return;
        };
        for key in self.long_running_on(worker) {
            if self.may_clear(key, dedication.priority) {
                let run = self.runs.get(key).expect("the run works");
                let name = self.name(run.task);
                let text = "stopped: its worker is dedicated to short tasks".to_owned();
                self.log("dedicated", Some(name), text);
                self.stop(key);
            }
        }
    }

    /// admits_long_running tells whether tasks that last may start on a worker as far as short tasks
    /// are concerned.
    pub(crate) fn admits_long_running(&self, worker: &Worker, demand: &Demand) -> bool {
        if worker.dedicated.is_none() || !demand.long_running {
            return true;
        }
        let lent = worker.long_running_milli + demand.size.milli_cores;
        let within = lent * LENT_PART <= worker.info.capacity.milli_cores;
        demand.uses_dedicated && (within || worker.long_running_milli == 0)
    }

    /// may_use_dedicated tells whether tasks of a step that lasts may start on dedicated workers.
    pub(crate) fn may_use_dedicated(&self, step: StepKey) -> bool {
        self.step_wait_ms(step) >= BORROWED_MS
    }
}
