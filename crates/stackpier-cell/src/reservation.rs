// SPDX-License-Identifier: Apache-2.0
//! Claims: room on a worker that is kept for one waiting step.
//!
//! A task that asks for much finds no worker with as much free as long as smaller ones take
//! each piece that comes free, and a job of many tasks is last in the order of placement as
//! long as others have fewer left. So room that comes free soon is claimed for what has waited
//! for long; others start there only beside it. A claim lasts for a short time, so that room
//! is not kept for what starts elsewhere.

use std::cmp::Reverse;

use stackpier_core::{Millis, Size};

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey, WorkerKey},
    place::Demand,
    worker::Worker,
};

/// RESERVATION_MS is how long a claim lasts: as long as a stop, or most short tasks, take.
const RESERVATION_MS: u64 = 1_500;
/// USED_PART is the part of the workers that short tasks use, one in so many, that they may
/// claim: the others go to whatever is first in the order of placement.
const USED_PART: usize = 2;
/// MAX_STEPS is how many steps claim room at a time.
const MAX_STEPS: usize = 32;

/// Reservation is room that is kept for a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    step: StepKey,
    priority: u8,
    size: Size,
    long_running: bool,
    /// For how long the step's task had waited.
    waited_ms: u64,
    until: Millis,
}

impl Reservation {
    /// holds_against tells whether tasks of a step must leave the room free. Those of a more
    /// urgent queue need not, nor those of one as urgent that last and have waited for longer
    /// than a short one.
    fn holds_against(&self, demand: &Demand) -> bool {
        let urgent = demand.priority < self.priority;
        let older = !self.long_running && demand.long_running && demand.waited_ms > self.waited_ms;
        self.step != demand.step && !urgent && !(older && demand.priority == self.priority)
    }
}

impl Worker {
    /// unreserved returns what is free for a step's tasks.
    pub(crate) fn unreserved(&self, demand: &Demand) -> Size {
        let free = self.free();
        match self.reservation {
            Some(reservation) if reservation.holds_against(demand) => free.minus(&reservation.size),
            _ => free,
        }
    }
}

impl Cell {
    /// reserve keeps room on a worker for a step, in place of an earlier claim.
    pub(crate) fn reserve(&mut self, worker: WorkerKey, demand: &Demand) {
        self.release_reservation(worker);
        let until = self.now.mono.plus(RESERVATION_MS);
        self.worker_mut(worker).reservation = Some(Reservation {
            step: demand.step,
            priority: demand.priority,
            size: demand.size,
            long_running: demand.long_running,
            waited_ms: demand.waited_ms,
            until,
        });
        self.step_mut(demand.step).reservations += 1;
    }

    /// release_reservation ends the claim on a worker, if there is one.
    fn release_reservation(&mut self, worker: WorkerKey) {
        if let Some(reservation) = self.worker_mut(worker).reservation.take() {
            self.step_mut(reservation.step).reservations -= 1;
        }
    }

    /// consume_reservation ends the claim of a task's step on a worker, as the task starts there.
    pub(crate) fn consume_reservation(&mut self, worker: WorkerKey, task: TaskKey) {
        let step = self.task(task).step;
        let reservation = self.worker(worker).reservation;
        if reservation.is_some_and(|reservation| reservation.step == step) {
            self.release_reservation(worker);
        }
    }

    /// reservations_of returns how many workers a step has claimed.
    pub(crate) fn reservations_of(&self, step: StepKey) -> usize {
        self.step_of(step).reservations as usize
    }

    /// end_reservations ends those that are old, and those of steps that have nothing to place.
    fn end_reservations(&mut self) {
        let now = self.now.mono;
        for key in self.collect_live_workers() {
            let reservation = self.worker(key).reservation;
            let over = |reservation: Reservation| {
                reservation.until <= now || self.step_of(reservation.step).ready.is_empty()
            };
            if reservation.is_some_and(over) {
                self.release_reservation(key);
            }
        }
    }

    /// update_reservations claims room for the short tasks that have waited for longest, on some of
    /// the workers that short tasks use.
    pub(crate) fn update_reservations(&mut self) {
        self.end_reservations();
        if !self.is_enabled(Mechanism::Reservations) || !self.has_authority() {
            return;
        }
        for step in self.waiting_short() {
            self.reserve_for(step);
        }
    }

    /// waiting_short returns the steps whose short tasks wait for nothing but room, the most
    /// urgent queue first, then the longest wait.
    fn waiting_short(&self) -> Vec<StepKey> {
        let waits = |step: &StepKey| {
            let mut ready = self.step_of(*step).ready.iter();
            self.has_waiting_short_tasks(*step) && ready.any(|task| self.may_start_now(*task))
        };
        let mut steps: Vec<StepKey> = self.queued().filter(waits).collect();
        steps.sort_by_cached_key(|step| {
            let place = self.order_of(*step);
            let waited_ms = self.step_wait_ms(*step);
            (place.priority, Reverse(waited_ms), place, *step)
        });
        steps.truncate(MAX_STEPS);
        steps
    }

    /// reserve_for claims a worker for each task of a step, as far as short tasks of its service
    /// may.
    fn reserve_for(&mut self, step: StepKey) {
        let Some(demand) = self.demand(step) else {
            return;
        };
        let tasks = self.step_of(step).ready.len();
        let left = self.reservations_left(demand.service);
        let wanted = tasks.saturating_sub(self.reservations_of(step)).min(left);
        for _ in 0..wanted {
            if !self.reserve_soonest(&demand) {
                return;
            }
        }
    }

    /// reservations_left returns how many more workers of a service short tasks may claim.
    fn reservations_left(&self, service: u16) -> usize {
        let workers = self
            .live_workers()
            .filter(|key| self.worker(*key).service == service);
        let used: Vec<WorkerKey> = workers.filter(|key| self.is_for_short(*key)).collect();
        let reservations = used
            .iter()
            .filter(|key| self.worker(**key).reservation.is_some());
        (used.len() / USED_PART)
            .max(1)
            .saturating_sub(reservations.count())
    }

    /// is_for_short tells whether a worker runs no tasks that last, or is to run none.
    fn is_for_short(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        worker.dedicated.is_some() || worker.long_running_milli == 0
    }

    /// reserve_soonest claims the worker that has most room for a step's task already, of those
    /// where enough will come free as short tasks end. It tells whether there was one.
    pub(crate) fn reserve_soonest(&mut self, demand: &Demand) -> bool {
        let suits = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.reservation.is_none()
                && self.comes_free(worker, demand)
                && (demand.long_running || self.is_for_short(*key))
                && self.admits_long_running(worker, demand)
                && demand.is_near(worker)
                && self.check_eligibility(demand, *key).is_ok()
        };
        let free = |key: &WorkerKey| self.worker(*key).free().milli_cores;
        let Some(worker) = self.live_workers().filter(suits).max_by_key(free) else {
            return false;
        };
        self.reserve(worker, demand);
        true
    }

    /// comes_free tells whether a worker has room for a task once all short tasks have ended
    /// there, and all others on a dedicated one.
    fn comes_free(&self, worker: &Worker, demand: &Demand) -> bool {
        let stays = match worker.dedicated {
            Some(_) => 0,
            None => worker.long_running_milli,
        };
        let milli = worker.info.capacity.milli_cores.saturating_sub(stays);
        demand.size.milli_cores <= milli && demand.size.fits(&worker.info.capacity)
    }
}
