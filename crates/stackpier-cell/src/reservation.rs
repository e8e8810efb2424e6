// SPDX-License-Identifier: Apache-2.0
//! Reservations: capacity on a worker that is kept for one waiting step.
//!
//! A large task finds no worker with enough free capacity while smaller ones take each piece
//! that is freed, and a job of many tasks stays last in the order of placement while others
//! have fewer left. So capacity that is freed soon is reserved for steps that have waited for
//! a long time, and other tasks may use only what is left beside it. A reservation expires
//! after a short time, so that nothing is kept for tasks that start elsewhere.

use std::{cmp::Reverse, collections::HashSet};

use stackpier_core::{Millis, Size};

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey, WorkerKey},
    place::Demand,
    worker::Worker,
};

/// RESERVATION_MS is how long a reservation lasts: as long as a stop, or most short tasks,
/// take.
const RESERVATION_MS: u64 = 1_500;
/// RESERVABLE_DIVISOR sets the part of the workers used by short tasks, one in this many, that may
/// be reserved for these. The others go to whatever is first in the order of placement.
const RESERVABLE_DIVISOR: usize = 2;
/// MAX_RESERVING_STEPS is how many steps may reserve capacity at a time.
const MAX_RESERVING_STEPS: usize = 32;

/// Reservation is capacity that is kept for a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    step: StepKey,
    /// The task of the step that it is kept for, if it is for one of them alone.
    task: Option<TaskKey>,
    priority: u8,
    size: Size,
    long_running: bool,
    /// How long the first of the step's tasks had waited.
    waited_ms: u64,
    until: Millis,
}

/// Quota is how many more workers of a service may be reserved for short tasks.
struct Quota {
    service: u16,
    left: usize,
}

impl Reservation {
    /// applies_to reports whether tasks of a step must leave the capacity free. Those of a
    /// more urgent queue need not, nor do long-running ones of the same priority that have
    /// waited longer than the short tasks for which it is kept.
    fn applies_to(&self, demand: &Demand) -> bool {
        let urgent = demand.priority < self.priority;
        let older = !self.long_running && demand.long_running && demand.waited_ms > self.waited_ms;
        self.step != demand.step && !urgent && !(older && demand.priority == self.priority)
    }
}

impl Reservation {
    /// size returns the capacity that is kept.
    pub(crate) fn size(&self) -> Size {
        self.size
    }
}

impl Cell {
    /// unreserved returns the capacity of a worker that is free for a step's tasks.
    pub(crate) fn unreserved(&self, worker: &Worker, demand: &Demand) -> Size {
        let free = worker.free();
        match worker.reservation {
            Some(reservation) if reservation.applies_to(demand) => free.minus(&reservation.size),
            _ => free,
        }
    }

    /// kept_for returns the task that capacity on a worker is kept for, if it is for one alone that has
    /// no run yet.
    fn kept_for(&self, worker: &Worker) -> Option<TaskKey> {
        let task = worker.reservation?.task?;
        (self.task(task).ready || self.returns(task)).then_some(task)
    }

    /// is_kept_for_other reports whether capacity on a worker is kept for another task of the same
    /// step.
    pub(crate) fn is_kept_for_other(&self, worker: WorkerKey, task: TaskKey) -> bool {
        let kept_for = self.kept_for(self.worker(worker));
        kept_for.is_some_and(|other| other != task && self.task(other).step == self.task(task).step)
    }

    /// is_kept_quiet reports whether a worker is kept free of starts for a task of another step that
    /// may start only where nothing else has just begun.
    pub(crate) fn is_kept_quiet(&self, worker: &Worker, demand: &Demand) -> bool {
        let is_urgent = |reservation: Reservation| demand.priority < reservation.priority;
        let kept_for = self.kept_for(worker);
        kept_for.is_some_and(|task| {
            let task = self.task(task);
            task.step != demand.step && task.suspect.is_some()
        }) && !worker.reservation.is_some_and(is_urgent)
    }

    /// is_kept_for_long_running reports whether capacity on a worker is kept for a long-running task.
    pub(crate) fn is_kept_for_long_running(&self, worker: &Worker) -> bool {
        worker
            .reservation
            .is_some_and(|reservation| reservation.long_running)
    }

    /// reserved_tasks returns the tasks that capacity is kept for.
    pub(crate) fn reserved_tasks(&self) -> HashSet<TaskKey> {
        let workers = self.live_workers();
        let reservations = workers.filter_map(|key| self.worker(key).reservation);
        reservations
            .filter_map(|reservation| reservation.task)
            .collect()
    }

    /// reserved_worker returns the worker on which capacity is kept for a task.
    pub(crate) fn reserved_worker(&self, task: TaskKey) -> Option<WorkerKey> {
        if self.reservations_of(self.task(task).step) == 0 {
            return None;
        }
        self.live_workers().find(|key| {
            let reservation = self.worker(*key).reservation;
            reservation.is_some_and(|reservation| reservation.task == Some(task))
        })
    }

    /// reserve keeps capacity on a worker for a step, or for one of its tasks, in place of an earlier
    /// reservation.
    pub(crate) fn reserve(&mut self, worker: WorkerKey, demand: &Demand, task: Option<TaskKey>) {
        self.release_reservation(worker);
        let until = self.now.mono.plus(RESERVATION_MS);
        self.worker_mut(worker).reservation = Some(Reservation {
            step: demand.step,
            task,
            priority: demand.priority,
            size: demand.size,
            long_running: demand.long_running,
            waited_ms: demand.waited_ms,
            until,
        });
        self.step_mut(demand.step).reservations += 1;
    }

    /// release_reservation ends the reservation on a worker, if there is one.
    pub(crate) fn release_reservation(&mut self, worker: WorkerKey) {
        if let Some(reservation) = self.worker_mut(worker).reservation.take() {
            self.step_mut(reservation.step).reservations -= 1;
        }
    }

    /// consume_reservation ends the reservation of a task's step on a worker, as the task
    /// starts there.
    pub(crate) fn consume_reservation(&mut self, worker: WorkerKey, task: TaskKey) {
        let step = self.task(task).step;
        let reservation = self.worker(worker).reservation;
        if reservation.is_some_and(|reservation| reservation.step == step) {
            self.release_reservation(worker);
        }
        if let Some(worker) = self.reserved_worker(task) {
            self.release_reservation(worker);
        }
    }

    /// reservations_of returns on how many workers a step has reserved capacity.
    pub(crate) fn reservations_of(&self, step: StepKey) -> usize {
        self.step_of(step).reservations as usize
    }

    /// end_reservations ends reservations that have expired, those of steps that have nothing to
    /// place, and those on workers that get no starts until they expire.
    fn end_reservations(&mut self) {
        let now = self.now.mono;
        for key in self.collect_live_workers() {
            let reservation = self.worker(key).reservation;
            let has_ended = |reservation: Reservation| {
                let step = reservation.step;
                let waits = match reservation.task {
                    Some(_) => self.kept_for(self.worker(key)).is_some(),
                    None => !self.step_of(step).ready.is_empty(),
                };
                let is_useless = self.is_blocked_at(self.worker(key), reservation.until);
                reservation.until <= now || !waits || is_useless
            };
            if reservation.is_some_and(has_ended) {
                self.release_reservation(key);
            }
        }
    }

    /// update_reservations reserves capacity for the short tasks that have waited longest, on
    /// some of the workers that short tasks use.
    pub(crate) fn update_reservations(&mut self) {
        self.end_reservations();
        if !self.is_enabled(Mechanism::Reservations) || !self.has_authority() {
            return;
        }
        let mut quotas = Vec::new();
        for step in self.find_waiting_short_steps() {
            self.reserve_for(step, &mut quotas);
        }
    }

    /// find_waiting_short_steps returns the steps whose short tasks wait for nothing but
    /// capacity, the most urgent queue first, then the longest wait.
    fn find_waiting_short_steps(&self) -> Vec<StepKey> {
        let waits = |step: &StepKey| {
            let mut ready = self.step_of(*step).ready.iter();
            self.has_waiting_short_tasks(*step) && ready.any(|task| self.may_start_now(*task))
        };
        let mut steps: Vec<StepKey> = self.queued().filter(waits).collect();
        steps.sort_by_cached_key(|step| {
            let position = self.position_of(*step);
            let waited_ms = self.step_wait_ms(*step);
            (position.priority, Reverse(waited_ms), position, *step)
        });
        steps.truncate(MAX_RESERVING_STEPS);
        steps
    }

    /// reserve_for reserves a worker for each task of a step, up to the limit for short tasks
    /// of its service. It keeps what is left of these limits in `quotas`: each reservation for a
    /// short task is on a worker that counts for the limit and has no reservation yet.
    fn reserve_for(&mut self, step: StepKey, quotas: &mut Vec<Quota>) {
        let Some(demand) = self.demand(step) else {
            return;
        };
        let tasks = self.count_startable(step);
        let quota = self.quota(demand.service, quotas);
        let wanted = tasks.saturating_sub(self.reservations_of(step));
        for _ in 0..wanted.min(quota.left) {
            if !self.reserve_soonest(&demand, None) {
                return;
            }
            quota.left -= 1;
        }
    }

    /// quota returns what is left of the limit of a service.
    fn quota<'a>(&self, service: u16, quotas: &'a mut Vec<Quota>) -> &'a mut Quota {
        let known = quotas.iter().position(|quota| quota.service == service);
        let position = known.unwrap_or_else(|| {
            let left = self.reservations_left(service);
            quotas.push(Quota { service, left });
            quotas.len() - 1
        });
        &mut quotas[position]
    }

    /// reservations_left returns how many more workers of a service may be reserved for short
    /// tasks.
    fn reservations_left(&self, service: u16) -> usize {
        let workers = self
            .live_workers()
            .filter(|key| self.worker(*key).service == service);
        let used: Vec<WorkerKey> = workers.filter(|key| self.hosts_short_tasks(*key)).collect();
        let reservations = used
            .iter()
            .filter(|key| self.worker(**key).reservation.is_some());
        (used.len() / RESERVABLE_DIVISOR)
            .max(1)
            .saturating_sub(reservations.count())
    }

    /// hosts_short_tasks reports whether a worker is dedicated to short tasks, or runs no
    /// long-running ones.
    fn hosts_short_tasks(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        worker.dedicated.is_some() || worker.long_running_milli == 0
    }

    /// reserve_soonest reserves the worker that has the most free processors already, of those
    /// where a step's task fits once short tasks have ended. It reports whether there was one.
    pub(crate) fn reserve_soonest(&mut self, demand: &Demand, task: Option<TaskKey>) -> bool {
        let suits = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.reservation.is_none()
                && self.will_fit(worker, demand)
                && (demand.long_running || self.hosts_short_tasks(*key))
                && self.admits_long_running(worker, demand)
                && demand.meets_rack(worker)
                && self.check_eligibility(demand, *key).is_ok()
        };
        let free = |key: &WorkerKey| self.worker(*key).free().milli_cores;
        let Some(worker) = self.live_workers().filter(suits).max_by_key(free) else {
            return false;
        };
        self.reserve(worker, demand, task);
        true
    }

    /// will_fit reports whether a task fits on a worker once all short tasks have ended
    /// there; on a dedicated worker, once all tasks have.
    fn will_fit(&self, worker: &Worker, demand: &Demand) -> bool {
        let remaining_milli = match worker.dedicated {
            Some(_) => 0,
            None => worker.long_running_milli,
        };
        let available_milli = worker
            .info
            .capacity
            .milli_cores
            .saturating_sub(remaining_milli);
        demand.size.milli_cores <= available_milli && demand.size.fits(&worker.info.capacity)
    }
}
