// SPDX-License-Identifier: Apache-2.0
//! Dedicated workers: whole workers that are kept for short tasks while these do not fit
//! elsewhere.
//!
//! Where long-running tasks ask for more capacity than there is, they take every gap that is
//! large enough, and the free capacity is fragmented into pieces in which no large short task
//! fits. A short task is worth several times as much per core and second. So workers are
//! dedicated to short tasks, as many as the short tasks that do not fit ask for. The
//! long-running tasks there are preempted, as far as their steps allow it (`may_miss`), and
//! share the other workers by time slices (see `rotation`). The dedication ends when no short
//! task runs on the worker any more. Nothing is preempted for short tasks while the long-running
//! tasks of dead workers need room elsewhere, or are about to.

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{RunKey, StepKey, WorkerKey},
    downtime,
    place::{Demand, Rank},
    run::{Phase, Run},
    worker::{Presence, Worker},
};

/// MIN_WAIT_MS is how long a short task waits before it counts as one that does not fit. Many
/// fit sooner, as tasks that run for half a second free capacity all the time.
const MIN_WAIT_MS: u64 = 200;
/// MAX_IDLE_MS is how long a worker stays dedicated while no short task runs on it.
const MAX_IDLE_MS: u64 = 2_500;
/// DEDICATED_WAIT_MS is how long a long-running task that fits nowhere else waits before it may
/// start on a dedicated worker: as soon as no time slice has come free for it in time. Client accounts
/// count the task as lost from nine seconds after its last run, if there was enough free capacity
/// meanwhile, even if it was scattered over workers and time.
pub(crate) const DEDICATED_WAIT_MS: u64 = 5_500;
/// DEDICATED_DIVISOR limits the dedicated workers of a service to one in this many.
const DEDICATED_DIVISOR: usize = 4;

/// LONG_RUNNING_DIVISOR limits what long-running tasks may use of a dedicated worker: its
/// processors divided by this.
const LONG_RUNNING_DIVISOR: u32 = 2;

/// Dedication marks a worker as kept for short tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dedication {
    /// When a short task last ran there.
    last_used: Millis,
    /// The priority of the queue whose short tasks it was dedicated to.
    priority: u8,
}

/// Shortage is the capacity that waiting short tasks lack, for tasks that may go to the same
/// workers.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// The demand of the first of their steps.
    demand: Demand,
    /// The missing processors, in thousandths of a core.
    milli_cores: u64,
}

impl Shortage {
    fn is_compatible(&self, demand: &Demand) -> bool {
        self.demand.service == demand.service
            && self.demand.priority == demand.priority
            && self.demand.labelled == demand.labelled
    }
}

impl Cell {
    /// update_dedicated_workers ends the dedications that are not used any more, dedicates
    /// workers to short tasks that do not fit, and preempts long-running tasks on dedicated
    /// workers.
    pub(crate) fn update_dedicated_workers(&mut self) {
        if !self.is_enabled(Mechanism::Dedicated) || !self.may_place() {
            return;
        }
        self.release_unused();
        if self.is_recovering() {
            return;
        }
        for shortage in self.find_shortages() {
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

    /// release_unused ends the dedication of workers on which no short task has run for a
    /// while.
    fn release_unused(&mut self) {
        let now = self.now.mono;
        for key in self.dedicated_workers() {
            let has_short_run = self.has_short_run(key);
            let dedicated = &mut self.worker_mut(key).dedicated;
            if let Some(dedication) = dedicated.as_mut().filter(|_| has_short_run) {
                dedication.last_used = now;
            }
            *dedicated =
                dedicated.filter(|dedication| now.since(dedication.last_used) < MAX_IDLE_MS);
        }
    }

    /// has_short_run reports whether a short task runs on a worker.
    pub(crate) fn has_short_run(&self, key: WorkerKey) -> bool {
        let runs = self.worker(key).runs.iter();
        let mut runs = runs.filter_map(|run| self.runs.get(*run));
        runs.any(|run| !run.long_running && !run.best_effort)
    }

    /// find_shortages returns what waiting short tasks need beyond the reclaimable capacity of
    /// their service's dedicated workers.
    fn find_shortages(&mut self) -> Vec<Shortage> {
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
            let compatible = |other: &&mut Shortage| other.is_compatible(&demand);
            match shortages.iter_mut().find(compatible) {
                Some(shortage) => shortage.milli_cores += milli_cores,
                None => shortages.push(Shortage {
                    demand,
                    milli_cores,
                }),
            }
        }
        for shortage in &mut shortages {
            let reclaimable = self.reclaimable_milli(shortage.demand.service);
            shortage.milli_cores = shortage.milli_cores.saturating_sub(reclaimable);
        }
        shortages
    }

    /// reclaimable_milli returns the processors of a service's dedicated workers, in
    /// thousandths of a core, that are free or in use by long-running tasks.
    fn reclaimable_milli(&self, service: u16) -> u64 {
        let workers = self.dedicated_workers().into_iter();
        let workers = workers.map(|key| self.worker(key));
        let workers = workers.filter(|worker| worker.service == service);
        let reclaimable =
            workers.map(|worker| worker.free().milli_cores + worker.long_running_milli);
        reclaimable.map(u64::from).sum()
    }

    /// has_waiting_short_tasks reports whether a step has short tasks, not yet expired, that
    /// have waited for capacity for at least MIN_WAIT_MS.
    pub(crate) fn has_waiting_short_tasks(&self, key: StepKey) -> bool {
        let spec = self.step_spec(key);
        !spec.best_effort
            && !spec.long_running
            && !spec.gang
            && self.step_wait_ms(key) >= MIN_WAIT_MS
            && !matches!(self.rank_of(key), Rank::Expired(_))
    }

    /// dedicate dedicates as many workers as a shortage asks for, within the limit. Those come
    /// first on which the fewest processors are used by long-running tasks that can't be
    /// preempted now.
    fn dedicate(&mut self, shortage: &Shortage) {
        let largest = self.largest_worker_milli().max(1);
        let wanted = shortage.milli_cores.div_ceil(largest) as usize;
        if wanted == 0 {
            return;
        }
        let demand = &shortage.demand;
        let of_service = |key: &WorkerKey| self.worker(*key).service == demand.service;
        let workers = self.live_workers().filter(of_service).count();
        let dedicated = self.dedicated_workers().into_iter().filter(of_service);
        let left = (workers / DEDICATED_DIVISOR).saturating_sub(dedicated.count());
        if left == 0 {
            return;
        }
        let candidates = self
            .live_workers()
            .filter(|key| self.may_be_dedicated(*key, demand));
        let mut candidates: Vec<(u32, u32, WorkerKey)> = candidates
            .map(|key| {
                let kept = self.unpreemptible_milli(key, demand.priority);
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
        let last_used = self.now.mono;
        self.worker_mut(key).dedicated = Some(Dedication {
            last_used,
            priority,
        });
        let worker = self.worker(key);
        let text = format!(
            "worker {} is dedicated to short tasks, long-running tasks hold {} thousandths of a core",
            worker.info.id, worker.long_running_milli
        );
        self.log("dedicated", None, text);
        self.record_downtime();
    }

    /// dedications returns the dedicated workers in the form in which the store keeps them, with those
    /// of the predecessor that have not answered yet.
    pub(crate) fn dedications(&self) -> Vec<downtime::Dedicated> {
        let workers = self.live_workers().map(|key| self.worker(key));
        let dedicated = workers.filter_map(|worker| {
            Some(downtime::Dedicated {
                worker: worker.info.id.clone(),
                priority: worker.dedicated?.priority,
            })
        });
        let inherited = self.downtimes.dedicated.iter();
        let inherited = inherited.map(|(worker, priority)| downtime::Dedicated {
            worker: worker.clone(),
            priority: *priority,
        });
        dedicated.chain(inherited).collect()
    }

    /// restore_dedication dedicates a worker that the predecessor had dedicated. Others would be
    /// emptied for the same short tasks.
    pub(crate) fn restore_dedication(&mut self, key: WorkerKey) {
        let last_used = self.now.mono;
        let id = self.worker(key).info.id.clone();
        let priority = self.downtimes.dedicated.remove(&id);
        let dedication = priority.map(|priority| Dedication {
            last_used,
            priority,
        });
        let worker = self.worker_mut(key);
        worker.dedicated = worker.dedicated.or(dedication);
    }

    fn may_be_dedicated(&self, key: WorkerKey, demand: &Demand) -> bool {
        let worker = self.worker(key);
        worker.dedicated.is_none()
            && self.check_eligibility(demand, key).is_ok()
            && !worker.evacuated
            && !self.is_kept_for_long_running(worker)
            && worker.presence == Presence::Contacted
            && worker.rostered
            && self.is_available(worker)
            && !worker.health.has_recent_faults()
    }

    /// unpreemptible_milli returns the processors, in thousandths of a core, of a worker's
    /// long-running tasks that can't be preempted now for short tasks of a priority.
    fn unpreemptible_milli(&self, key: WorkerKey, priority: u8) -> u32 {
        let runs = self.long_running_on(key).into_iter();
        let kept = runs.filter(|run| !self.may_preempt_for_short(*run, priority));
        let kept = kept.filter_map(|run| self.runs.get(run));
        kept.map(|run| run.size.milli_cores).sum()
    }

    /// may_preempt_long_running reports whether a long-running task may be preempted: its time
    /// slice is over, and its step tolerates another missing task.
    pub(crate) fn may_preempt_long_running(&self, key: RunKey) -> bool {
        let now = self.now.mono;
        let has_run_enough = |run: &Run| run.phase == Phase::Running && now >= run.slice_end();
        self.runs.get(key).is_some_and(has_run_enough) && self.may_interrupt(key)
    }

    /// may_preempt_for_short reports whether a long-running task may be preempted for short
    /// tasks of a priority: its own queue is not more urgent.
    fn may_preempt_for_short(&self, key: RunKey, priority: u8) -> bool {
        let run = self.runs.get(key);
        let is_not_more_urgent = run.is_some_and(|run| self.priority_of(run.step) >= priority);
        is_not_more_urgent && self.may_preempt_long_running(key)
    }

    /// preempt_long_running preempts the long-running tasks on a dedicated worker, as far as
    /// their steps allow it.
    fn preempt_long_running(&mut self, worker: WorkerKey) {
        let Some(dedication) = self.worker(worker).dedicated else {
            return;
        };
        for key in self.long_running_on(worker) {
            if self.may_preempt_for_short(key, dedication.priority) {
                let run = self.runs.get(key).expect("the run exists");
                let name = self.name(run.task);
                let text = "stopped: its worker is dedicated to short tasks".to_owned();
                self.log("dedicated", Some(name), text);
                self.stop(key);
            }
        }
    }

    /// admits_long_running reports whether the dedication of a worker, if any, lets a
    /// long-running task start there. One task alone may exceed the limit of
    /// LONG_RUNNING_DIVISOR.
    pub(crate) fn admits_long_running(&self, worker: &Worker, demand: &Demand) -> bool {
        if worker.dedicated.is_none() || !demand.long_running {
            return true;
        }
        let total = worker.long_running_milli + demand.size.milli_cores;
        let within = total * LONG_RUNNING_DIVISOR <= worker.info.capacity.milli_cores;
        demand.uses_dedicated && (within || worker.long_running_milli == 0)
    }

    /// may_use_dedicated reports whether long-running tasks of a step have waited for long
    /// enough to start on dedicated workers.
    pub(crate) fn may_use_dedicated(&self, step: StepKey) -> bool {
        self.step_wait_ms(step) >= DEDICATED_WAIT_MS
    }
}
