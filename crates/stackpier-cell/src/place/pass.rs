// SPDX-License-Identifier: Apache-2.0
//! Passes over the waiting steps. A pass may take several calls of `Cell::step`: each continues
//! where the previous one had used up its ratings.

use stackpier_core::{Millis, Size};

use crate::{
    Cell,
    arena::{StepKey, WorkerKey},
    place::{Budget, Demand, MAX_REJECTED, Outcome},
};

/// STALE_MS is the maximum age of a pass that waits for answers to starts. Then a new pass
/// begins, so that more urgent tasks that became ready meanwhile go first.
const STALE_MS: u64 = 100;

/// Rejection describes tasks for which no worker of a service had free capacity, so that the
/// pass skips tasks that would find none either.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    service: u16,
    size: Size,
    /// Whether workers that are dedicated to short tasks were excluded.
    without_dedicated: bool,
    long_running: bool,
    priority: u8,
    /// How long the first of the tasks had waited.
    waited_ms: u64,
}

impl Rejection {
    /// of records that the tasks of a step found no free capacity.
    fn of(demand: &Demand) -> Rejection {
        Rejection {
            service: demand.service,
            size: demand.size,
            without_dedicated: demand.excludes_dedicated(),
            long_running: demand.long_running,
            priority: demand.priority,
            waited_ms: demand.waited_ms,
        }
    }

    /// is_blocked_alike reports whether all reservations that kept the rejected tasks out keep
    /// others out, too.
    fn is_blocked_alike(&self, demand: &Demand) -> bool {
        let older = !self.long_running || demand.waited_ms > self.waited_ms;
        demand.priority >= self.priority && !(demand.long_running && older)
    }

    /// covers reports whether the tasks of a demand find no free capacity either: they require
    /// at least as much, may use no other workers, and are kept out by the same reservations.
    fn covers(&self, demand: &Demand, has_reservations: bool) -> bool {
        self.service == demand.service
            && self.size.fits(&demand.size)
            && (demand.excludes_dedicated() || !self.without_dedicated)
            && (!has_reservations || self.is_blocked_alike(demand))
    }
}

/// Headroom is the maximum of each resource that is free on any worker of a service. No single
/// worker may have all of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    service: u16,
    max_free: Size,
}

/// GuaranteedPass holds the state of the passes over steps with guaranteed tasks.
#[derive(Debug)]
pub(crate) struct GuaranteedPass {
    /// The ratings that the passes may use. Best-effort tasks have their own: from a shared
    /// budget, a cell in which many guaranteed tasks wait would leave none for them.
    pub budget: Budget,
    /// Whether something changed since the last pass began.
    pub due: bool,
    /// When the last pass began.
    began: Millis,
    /// Whether the pass waits for answers to starts.
    awaits_answers: bool,
    /// Whether passes end before they have tried all steps, as answers to starts take too long.
    pub ends_early: bool,
    /// Steps still to be tried, the next one last.
    steps: Vec<StepKey>,
    /// What found no free capacity in this pass.
    rejections: Vec<Rejection>,
    /// Whether capacity is reserved on any worker.
    has_reservations: bool,
    /// The headroom of each service when the pass began.
    headroom: Vec<Headroom>,
}

/// BestEffortPass holds the state of the passes over steps with best-effort tasks.
#[derive(Debug)]
pub(crate) struct BestEffortPass {
    /// The ratings that the passes may use.
    pub budget: Budget,
    /// Whether something changed since the last pass began.
    pub due: bool,
    /// Whether a pass is under way.
    pub under_way: bool,
    /// When the last pass began.
    pub began: Millis,
    /// Whether the pass waits for answers to starts.
    awaits_answers: bool,
    /// Workers whose predictions are still to be refreshed.
    workers: Vec<WorkerKey>,
    /// Steps still to be tried, the next one last.
    steps: Vec<StepKey>,
    /// Demands that found no worker: similar ones that require at least as much find none
    /// either.
    rejected: Vec<Demand>,
    /// How many of these come from an earlier pass that ended before it had tried all kinds.
    carried_over: usize,
}

impl GuaranteedPass {
    /// new returns a pass with nothing to try.
    pub(crate) fn new(budget: Budget) -> GuaranteedPass {
        GuaranteedPass {
            budget,
            due: false,
            began: Millis(0),
            awaits_answers: false,
            ends_early: false,
            steps: Vec::new(),
            rejections: Vec::new(),
            has_reservations: false,
            headroom: Vec::new(),
        }
    }

    /// rules_out reports whether no worker has free capacity for the tasks of a demand, as far as
    /// the pass knows.
    fn rules_out(&self, demand: &Demand) -> bool {
        let headroom = self
            .headroom
            .iter()
            .find(|headroom| headroom.service == demand.service);
        let fits = headroom.is_some_and(|headroom| demand.size.fits(&headroom.max_free));
        !fits
            || self
                .rejections
                .iter()
                .any(|rejection| rejection.covers(demand, self.has_reservations))
    }

    /// steps returns the steps that are still to be tried.
    pub(crate) fn steps(&self) -> &[StepKey] {
        &self.steps
    }

    /// retain removes the steps that are not to be tried any more.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&StepKey) -> bool) {
        self.steps.retain(is_kept);
    }
}

impl BestEffortPass {
    /// new returns a pass with nothing to try.
    pub(crate) fn new(budget: Budget) -> BestEffortPass {
        BestEffortPass {
            budget,
            due: false,
            under_way: false,
            began: Millis(0),
            awaits_answers: false,
            workers: Vec::new(),
            steps: Vec::new(),
            rejected: Vec::new(),
            carried_over: 0,
        }
    }

    /// steps returns the steps that are still to be tried.
    pub(crate) fn steps(&self) -> &[StepKey] {
        &self.steps
    }

    /// retain removes the steps that are not to be tried any more.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&StepKey) -> bool) {
        self.steps.retain(is_kept);
    }

    /// has_reached_limit reports whether as many kinds as a pass may try have found no worker.
    fn has_reached_limit(&self) -> bool {
        self.rejected.len() - self.carried_over >= MAX_REJECTED
    }

    /// reset_rejected prepares the rejected demands for a new pass. Those of the previous pass
    /// are kept if it ended at its limit, so that the new one continues with other kinds.
    fn reset_rejected(&mut self) {
        if !self.has_reached_limit() {
            self.rejected.clear();
        }
        self.carried_over = self.rejected.len();
    }
}

impl Cell {
    /// begin_guaranteed begins a pass over steps with guaranteed tasks.
    pub(super) fn begin_guaranteed(&mut self) {
        let mut steps = self.take_queue(false);
        self.guaranteed_pass.budget.spend(steps.len());
        steps.reverse();
        let headroom = if steps.is_empty() {
            Vec::new()
        } else {
            self.compute_headroom()
        };
        let has_reservations = self
            .live_workers()
            .any(|key| self.worker(key).reservation.is_some());
        self.guaranteed_pass.due = false;
        self.guaranteed_pass.began = self.now.mono;
        self.guaranteed_pass.awaits_answers = false;
        self.guaranteed_pass.steps = steps;
        self.guaranteed_pass.rejections.clear();
        self.guaranteed_pass.has_reservations = has_reservations;
        self.guaranteed_pass.headroom = headroom;
        self.placement.guaranteed_began += 1;
    }

    /// compute_headroom returns the headroom of each service.
    fn compute_headroom(&self) -> Vec<Headroom> {
        let mut headrooms: Vec<Headroom> = Vec::new();
        for worker in self.live_workers().map(|key| self.worker(key)) {
            let free = worker.free();
            let service = worker.service;
            match headrooms
                .iter_mut()
                .find(|headroom| headroom.service == service)
            {
                Some(headroom) => headroom.max_free = headroom.max_free.max_each(&free),
                None => headrooms.push(Headroom {
                    service,
                    max_free: free,
                }),
            }
        }
        self.guaranteed_pass.budget.spend(self.workers.len());
        headrooms
    }

    /// end_stale_passes ends passes that have waited too long for answers to starts, so that the
    /// next ones begin with what is most urgent by then.
    pub(super) fn end_stale_passes(&mut self) {
        let now = self.now.mono;
        if self.guaranteed_pass.awaits_answers && now.since(self.guaranteed_pass.began) >= STALE_MS
        {
            let left = std::mem::take(&mut self.guaranteed_pass.steps);
            self.guaranteed_queue.extend(left);
            self.guaranteed_pass.due = true;
            self.guaranteed_pass.ends_early = true;
        }
        if self.best_effort_pass.awaits_answers
            && now.since(self.best_effort_pass.began) >= STALE_MS
        {
            let left = std::mem::take(&mut self.best_effort_pass.steps);
            self.best_effort_queue.extend(left);
            self.best_effort_pass.under_way = false;
            self.placement.ended_early += 1;
            self.best_effort_pass.due = true;
        }
    }

    /// continue_guaranteed tries the steps of the pass until the ratings are used up or too
    /// many starts await answers.
    pub(super) fn continue_guaranteed(&mut self) {
        self.guaranteed_pass.awaits_answers = self.flow.is_full();
        while !self.guaranteed_pass.budget.is_spent()
            && !self.flow.is_full()
            && let Some(step) = self.guaranteed_pass.steps.pop()
        {
            self.try_guaranteed(step);
            if self.flow.is_full() {
                self.guaranteed_pass.steps.push(step);
            } else {
                self.requeue_step(step, false);
            }
        }
        self.guaranteed_pass.awaits_answers |= self.flow.is_full();
        self.guaranteed_pass.ends_early &= !self.guaranteed_pass.steps.is_empty();
    }

    fn try_guaranteed(&mut self, step: StepKey) {
        self.placement.guaranteed_tried += 1;
        self.guaranteed_pass.budget.spend_try();
        if self.has_nothing_to_place(step) {
            return;
        }
        let Some(demand) = self.demand(step) else {
            return;
        };
        let reserved = self.guaranteed_pass.has_reservations && self.reservations_of(step) > 0;
        if !reserved && self.guaranteed_pass.rules_out(&demand) {
            return;
        }
        if self.place_step(&demand) == Outcome::NoWorker && demand.needs_only_capacity() {
            self.forecaster.record_shortage(self.now.mono, &demand);
            self.guaranteed_pass.rejections.push(Rejection::of(&demand));
        }
    }

    /// begin_best_effort begins a pass over steps with best-effort tasks.
    pub(super) fn begin_best_effort(&mut self) {
        let mut steps = self.take_queue(true);
        self.best_effort_pass.budget.spend(steps.len());
        steps.reverse();
        let workers = if steps.is_empty() {
            Vec::new()
        } else {
            self.collect_live_workers()
        };
        let pass = &mut self.best_effort_pass;
        pass.due = false;
        pass.under_way = true;
        pass.began = self.now.mono;
        pass.awaits_answers = false;
        pass.workers = workers;
        pass.steps = steps;
        pass.reset_rejected();
        self.placement.began += 1;
    }

    /// continue_best_effort continues the pass until it is complete, the ratings are used up or
    /// too many starts await answers.
    pub(super) fn continue_best_effort(&mut self) {
        self.best_effort_pass.awaits_answers |= self.flow.is_full();
        while !self.best_effort_pass.budget.is_spent() && !self.flow.is_full() {
            if let Some(worker) = self.best_effort_pass.workers.pop() {
                self.refresh_predictions(worker);
            } else if let Some(step) = self.best_effort_pass.steps.pop() {
                self.try_best_effort(step);
            } else {
                self.complete_best_effort();
                return;
            }
        }
        let full = self.flow.is_full();
        let spent = self.best_effort_pass.budget.is_spent();
        self.best_effort_pass.awaits_answers |= full;
        self.placement.full += u32::from(full);
        self.placement.spent += u32::from(spent);
    }

    fn complete_best_effort(&mut self) {
        let now = self.now.mono;
        let pass = &mut self.best_effort_pass;
        pass.under_way = false;
        let took_ms = now.since(pass.began);
        self.placement.completed += 1;
        self.idle_pass.record_complete_pass();
        self.placement.longest_ms = self.placement.longest_ms.max(took_ms);
    }

    fn refresh_predictions(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.long_running_milli > 0 || !worker.predictions.is_empty() {
            self.update_predictions(key);
            self.best_effort_pass
                .budget
                .spend(self.worker(key).predictions.len());
        }
    }

    fn try_best_effort(&mut self, step: StepKey) {
        self.placement.tried += 1;
        self.best_effort_pass.budget.spend_try();
        if !self.has_nothing_to_place(step)
            && !self.best_effort_pass.has_reached_limit()
            && let Some(demand) = self.demand(step)
            && !self
                .best_effort_pass
                .rejected
                .iter()
                .any(|earlier| demand.is_ruled_out_by(earlier))
            && self.place_step(&demand) == Outcome::NoWorker
            && demand.needs_only_capacity()
        {
            self.forecaster.record_shortage(self.now.mono, &demand);
            self.best_effort_pass.rejected.push(demand);
        }
        if self.flow.is_full() {
            self.best_effort_pass.steps.push(step);
        } else {
            self.requeue_step(step, true);
        }
    }
}
