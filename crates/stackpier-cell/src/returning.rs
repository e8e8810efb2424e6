// SPDX-License-Identifier: Apache-2.0
//! Long-running tasks that will need capacity once the lease of a silent worker is over. This is
//! known seconds ahead, so that capacity can be freed for them by then.

use stackpier_core::{Millis, Size};

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey, WorkerKey},
    downtime::Cause,
    place::Demand,
    rotation::Waiting,
    run::Run,
    suspension::Suspension,
    worker::Worker,
};

/// RECOVERY_MS is how long the tasks of a dead worker may look for room before it is taken for short
/// and best-effort tasks again: some of them may fit nowhere.
const RECOVERY_MS: u64 = 3_000;

/// Spare is capacity of a worker that is neither allocated nor reserved.
#[derive(Clone, Copy, Debug)]
struct Spare {
    worker: WorkerKey,
    size: Size,
}

impl Cell {
    /// returning returns the long-running tasks on silent workers whose leases are over by the time
    /// at which a run that is stopped now has ended, with the time that they will have waited by
    /// the end of the lease.
    pub(crate) fn returning(&self) -> Vec<Waiting> {
        let mut returning = Vec::new();
        // Without the store these tasks don't start when the lease is over.
        if !self.is_confirmed_lately() {
            return returning;
        }
        for key in self.live_workers() {
            let Some(end) = self.lease_ends_soon(key) else {
                continue;
            };
            let runs = self.worker(key).runs.iter();
            let runs = runs.filter_map(|run| self.runs.get(*run));
            let left_ms = end.since(self.now.mono);
            let waiting = |run: &Run| Waiting {
                step: run.step,
                task: run.task,
                waited_ms: self.absent_ms(run) + left_ms,
                returns: true,
            };
            let returns = |run: &&Run| self.returns_soon(run);
            returning.extend(runs.filter(returns).map(waiting));
        }
        returning
    }

    /// returns_soon reports whether the task of a run on a silent worker will wait for capacity.
    fn returns_soon(&self, run: &Run) -> bool {
        let is_only = self.task(run.task).runs.len() == 1;
        self.rotates(run.step)
            && is_only
            && !run.superseded
            && !self.awaits_crash_check(run.task)
            && !self.job_of(run.task).state.is_final()
    }

    /// absent_ms returns for how long the task of a run on a silent worker is not known to have run.
    pub(crate) fn absent_ms(&self, run: &Run) -> u64 {
        match run.confirmed {
            Some(_) => self.now.mono.since(run.known_at()),
            None => self.wait_ms(run.task),
        }
    }

    /// lease_ends_soon returns the end of the lease of a silent or suspended worker, if a run that is
    /// stopped now may end later.
    fn lease_ends_soon(&self, key: WorkerKey) -> Option<Millis> {
        let worker = self.worker(key);
        let is_silent = worker.silent_since.is_some() || worker.suspension == Suspension::Active;
        let end = self.leases_end(worker).filter(|_| is_silent)?;
        (self.now.mono.plus(self.options.stop_ms) >= end).then_some(end)
    }

    /// awaits_lease_end reports whether a waiting task, of a job of which `may_start_all` holds, waits
    /// only for the lease of a silent worker, which ends soon.
    pub(crate) fn awaits_lease_end(&self, task: TaskKey) -> bool {
        let workers = self.possible_workers(task);
        self.awaits_suspended(task)
            && workers.iter().all(|key| {
                let is_over = !self.worker(*key).is_inherited();
                is_over || self.lease_ends_soon(*key).is_some()
            })
    }

    /// is_recovering reports whether long-running tasks are on workers that have been silent for long
    /// enough to be suspended, may be there by the record of a predecessor, or have just come back from
    /// there and look for room.
    pub(crate) fn is_recovering(&self) -> bool {
        let is_suspended = |worker: &Worker| worker.suspension == Suspension::Active;
        let mut workers = self.live_workers().map(|key| self.worker(key));
        workers.any(|worker| is_suspended(worker) && worker.long_running_milli > 0)
            || self.waiting_steps().any(|step| {
                let mut ready = self.step_of(step).ready.iter();
                ready.any(|task| self.awaits_suspended(*task) || self.has_just_returned(*task))
            })
    }

    /// has_just_returned reports whether a task waits since its worker was presumed to have ended.
    fn has_just_returned(&self, task: TaskKey) -> bool {
        let downtime = self.task(task).downtime;
        downtime.is_some_and(|downtime| {
            downtime.cause == Cause::Died && downtime.known_ms(self.now.mono) < RECOVERY_MS
        })
    }

    /// has_waiting_long_running reports whether long-running tasks wait for nothing but capacity.
    pub(crate) fn has_waiting_long_running(&self) -> bool {
        let mut steps = self.waiting_steps();
        steps.any(|step| {
            let all_may_start = self.may_start_all(self.step_of(step).job);
            let mut ready = self.step_of(step).ready.iter();
            ready.any(|task| self.may_start_now_given(*task, all_may_start))
        })
    }

    /// waiting_steps returns the steps of long-running tasks that get time slices and of which some
    /// have no run.
    pub(crate) fn waiting_steps(&self) -> impl Iterator<Item = StepKey> + '_ {
        self.queued().filter(|step| self.rotates(*step))
    }

    /// returns reports whether a task without a run may start only once the lease of a silent worker
    /// is over.
    pub(crate) fn returns(&self, task: TaskKey) -> bool {
        let runs = self.task(task).runs.iter();
        let mut runs = runs.filter_map(|run| self.runs.get(*run));
        let is_silent = |run: &Run| self.worker(run.worker).silent_since.is_some();
        runs.any(is_silent) || self.task(task).ready && self.awaits_suspended(task)
    }

    /// without_spare returns some waiting tasks without those that may not start yet and for which
    /// capacity is free. It reserves that: nothing has to be stopped for them.
    pub(crate) fn without_spare(&mut self, mut waiting: Vec<Waiting>) -> Vec<Waiting> {
        if !waiting.iter().any(|waiting| waiting.returns) {
            return waiting;
        }
        let mut spares = self.spares();
        let sizes = spares.iter().map(|spare| spare.size);
        let max_free = sizes.fold(Size::default(), |max, free| max.max_each(&free));
        waiting.retain(|waiting| {
            let demand = self.demand(waiting.step).filter(|_| waiting.returns);
            let demand = demand.filter(|demand| demand.size.fits(&max_free));
            !demand.is_some_and(|demand| self.take_spare(&demand, waiting.task, &mut spares))
        });
        waiting
    }

    /// spares returns the spare capacity of all workers that tasks may start on.
    fn spares(&self) -> Vec<Spare> {
        let spare = |key: WorkerKey| {
            let worker = self.worker(key);
            let reserved = worker.reservation.map(|reservation| reservation.size());
            Spare {
                worker: key,
                size: worker.free().minus(&reserved.unwrap_or_default()),
            }
        };
        let usable = |key: &WorkerKey| self.is_usable_after_stop(self.worker(*key));
        self.live_workers().filter(usable).map(spare).collect()
    }

    /// is_usable_after_stop reports whether tasks may start on a worker by the time at which a run
    /// that is stopped now has ended.
    pub(crate) fn is_usable_after_stop(&self, worker: &Worker) -> bool {
        let stopped_at = self.now.mono.plus(self.options.stop_ms);
        self.is_available(worker) && !self.is_blocked_at(worker, stopped_at)
    }

    /// is_blocked_at reports whether failures keep starts off a worker at a time.
    pub(crate) fn is_blocked_at(&self, worker: &Worker, at: Millis) -> bool {
        self.is_enabled(Mechanism::Health) && worker.health.is_blocked_at(at)
    }

    /// take_spare takes capacity for one task, and reserves it unless the worker has a reservation.
    fn take_spare(&mut self, demand: &Demand, task: TaskKey, spares: &mut [Spare]) -> bool {
        let suits = |spare: &Spare| {
            let worker = self.worker(spare.worker);
            demand.size.fits(&spare.size)
                && self.check_eligibility(demand, spare.worker).is_ok()
                && self.admits_long_running(worker, demand)
                && demand.meets_rack(worker)
                && !self.is_isolated_for_other(spare.worker, task)
        };
        let Some(spare) = spares.iter_mut().find(|spare| suits(spare)) else {
            return false;
        };
        spare.size = spare.size.minus(&demand.size);
        let worker = spare.worker;
        if self.worker(worker).reservation.is_none() {
            self.reserve(worker, demand, Some(task));
        }
        true
    }
}
