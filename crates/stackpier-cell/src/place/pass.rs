// SPDX-License-Identifier: Apache-2.0
//! Passes over the waiting steps, in slices: each call of the decisions goes on where
//! the one before it had spent its ratings.

use stackpier_core::{Millis, Size};

use crate::{
    Cell,
    arena::{StepKey, WorkerKey},
    place::{Budget, Demand, MAX_TRIED, Outcome},
};

/// STALE_MS is how old the order of a pass may be that had to wait for answers to starts:
/// what came since then and is more urgent goes first.
const STALE_MS: u64 = 100;

/// Full is a size for which no worker of a service had room that tasks of a kind may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Full {
    service: u16,
    size: Size,
    /// Whether only workers that are not dedicated to short tasks were allowed.
    shared_only: bool,
    long_running: bool,
    priority: u8,
    /// For how long the first of the tasks had waited.
    waited_ms: u64,
}

impl Full {
    /// of notes that the tasks of a step found no room.
    fn of(demand: &Demand) -> Full {
        Full {
            service: demand.service,
            size: demand.size,
            shared_only: demand.is_shared_only(),
            long_running: demand.long_running,
            priority: demand.priority,
            waited_ms: demand.waited_ms,
        }
    }

    /// is_barred_as tells whether all claims that kept these tasks out hold against others, too.
    fn is_barred_as(&self, demand: &Demand) -> bool {
        let older = !self.long_running || demand.waited_ms > self.waited_ms;
        demand.priority >= self.priority && !(demand.long_running && older)
    }

    /// covers tells whether tasks find no room either: they ask for as much or more, may go to
    /// no other workers, and have no older claim.
    fn covers(&self, demand: &Demand, reservations: bool) -> bool {
        self.service == demand.service
            && self.size.fits(&demand.size)
            && (demand.is_shared_only() || !self.shared_only)
            && (!reservations || self.is_barred_as(demand))
    }
}

/// Room is the most of everything that some worker of a service has free. No worker may
/// have all of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    service: u16,
    most: Size,
}

/// GuaranteedPass is the passes over the steps whose tasks count in a worker's room.
#[derive(Debug)]
pub(crate) struct GuaranteedPass {
    /// The ratings that they may take. With ratings in common, a cell in which many tasks
    /// wait for room would leave none for those that fill.
    pub budget: Budget,
    /// Whether something changed since the last pass began.
    pub due: bool,
    /// When the last pass began.
    began: Millis,
    /// Whether the pass waits for answers to starts.
    held_up: bool,
    /// Steps to look at, the next one last.
    steps: Vec<StepKey>,
    /// Sizes that found no room in this pass.
    full: Vec<Full>,
    /// Whether room is claimed on some worker.
    reservations: bool,
    /// The room of each service when the pass began.
    room: Vec<Room>,
}

/// BestEffortPass is the passes over the steps whose tasks fill.
#[derive(Debug)]
pub(crate) struct BestEffortPass {
    /// The ratings that they may take.
    pub budget: Budget,
    /// Whether something changed since the last pass began.
    pub due: bool,
    /// Whether a pass is under way.
    pub under_way: bool,
    /// When the last pass began.
    pub began: Millis,
    /// Whether the pass waits for answers to starts.
    held_up: bool,
    /// Workers whose serving tasks are to be looked at anew.
    workers: Vec<WorkerKey>,
    /// Steps to look at, the next one last.
    steps: Vec<StepKey>,
    /// What found no worker: tasks alike that ask for as much find none either.
    barred: Vec<Demand>,
    /// How many of these an earlier pass had found, which ended before it had tried all kinds.
    carried: usize,
    /// Steps that starve, the longest waiting last.
    starving: Vec<StepKey>,
    /// What starves and found no worker: what asks for as much room finds none either.
    without_room: Vec<Demand>,
    /// Whether what starves was looked up.
    looked_up: bool,
}

impl GuaranteedPass {
    /// new has nothing to look at.
    pub(crate) fn new(budget: Budget) -> GuaranteedPass {
        GuaranteedPass {
            budget,
            due: false,
            began: Millis(0),
            held_up: false,
            steps: Vec::new(),
            full: Vec::new(),
            reservations: false,
            room: Vec::new(),
        }
    }

    /// is_full tells whether no worker has room for tasks, as far as the pass knows.
    fn is_full(&self, demand: &Demand) -> bool {
        let room = self.room.iter().find(|room| room.service == demand.service);
        let fits = room.is_some_and(|room| demand.size.fits(&room.most));
        !fits
            || self
                .full
                .iter()
                .any(|full| full.covers(demand, self.reservations))
    }

    /// steps returns the steps that are still to be looked at.
    pub(crate) fn steps(&self) -> &[StepKey] {
        &self.steps
    }
}

impl BestEffortPass {
    /// new has nothing to look at.
    pub(crate) fn new(budget: Budget) -> BestEffortPass {
        BestEffortPass {
            budget,
            due: false,
            under_way: false,
            began: Millis(0),
            held_up: false,
            workers: Vec::new(),
            steps: Vec::new(),
            barred: Vec::new(),
            carried: 0,
            starving: Vec::new(),
            without_room: Vec::new(),
            looked_up: false,
        }
    }

    /// steps returns the steps that are still to be looked at.
    pub(crate) fn steps(&self) -> &[StepKey] {
        &self.steps
    }

    /// has_tried_most tells whether the pass has tried as many kinds as it may.
    fn has_tried_most(&self) -> bool {
        self.barred.len() - self.carried >= MAX_TRIED
    }

    /// begin_barred begins a pass with the kinds that need not be tried: none, unless the one
    /// before it ended early.
    fn begin_barred(&mut self) {
        if !self.has_tried_most() {
            self.barred.clear();
        }
        self.carried = self.barred.len();
    }
}

impl Cell {
    /// begin_guaranteed begins a pass over what waits for room.
    pub(super) fn begin_guaranteed(&mut self) {
        let queue = std::mem::take(&mut self.guaranteed_queue);
        let mut steps = self.sorted(queue);
        self.guaranteed_pass.budget.spend(steps.len());
        steps.reverse();
        let room = if steps.is_empty() {
            Vec::new()
        } else {
            self.room()
        };
        let reservations = self
            .live_workers()
            .any(|key| self.worker(key).reservation.is_some());
        self.guaranteed_pass.due = false;
        self.guaranteed_pass.began = self.now.mono;
        self.guaranteed_pass.held_up = false;
        self.guaranteed_pass.steps = steps;
        self.guaranteed_pass.full.clear();
        self.guaranteed_pass.reservations = reservations;
        self.guaranteed_pass.room = room;
    }

    /// room returns the room of each service.
    fn room(&self) -> Vec<Room> {
        let mut rooms: Vec<Room> = Vec::new();
        for worker in self.live_workers().map(|key| self.worker(key)) {
            let free = worker.free();
            let service = worker.service;
            match rooms.iter_mut().find(|room| room.service == service) {
                Some(room) => room.most = room.most.max_each(&free),
                None => rooms.push(Room {
                    service,
                    most: free,
                }),
            }
        }
        self.guaranteed_pass.budget.spend(self.workers.len());
        rooms
    }

    /// end_stale ends passes that waited for answers to starts for long, so that the
    /// next ones begin with what is most urgent by now.
    pub(super) fn end_stale(&mut self) {
        let now = self.now.mono;
        if self.guaranteed_pass.held_up && now.since(self.guaranteed_pass.began) >= STALE_MS {
            let left = std::mem::take(&mut self.guaranteed_pass.steps);
            self.guaranteed_queue.extend(left);
            self.guaranteed_pass.due = true;
        }
        if self.best_effort_pass.held_up && now.since(self.best_effort_pass.began) >= STALE_MS {
            let left = std::mem::take(&mut self.best_effort_pass.steps);
            self.best_effort_queue.extend(left);
            self.best_effort_pass.starving.clear();
            self.best_effort_pass.under_way = false;
            self.best_effort_pass.due = true;
        }
    }

    /// continue_guaranteed looks at the steps of the pass until the ratings are spent or too
    /// many starts are on their way.
    pub(super) fn continue_guaranteed(&mut self) {
        self.guaranteed_pass.held_up = self.flow.is_full();
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
        self.guaranteed_pass.held_up |= self.flow.is_full();
    }

    fn try_guaranteed(&mut self, step: StepKey) {
        if self.has_nothing_left(step) {
            return;
        }
        let Some(demand) = self.demand(step) else {
            return;
        };
        let reserved = self.guaranteed_pass.reservations && self.reservations_of(step) > 0;
        if !reserved && self.guaranteed_pass.is_full(&demand) {
            return;
        }
        if self.place_step(&demand) == Outcome::Full && demand.is_plain() {
            self.guaranteed_pass.full.push(Full::of(&demand));
        }
    }

    /// begin_best_effort begins a pass over what fills.
    pub(super) fn begin_best_effort(&mut self) {
        let queue = std::mem::take(&mut self.best_effort_queue);
        let mut steps = self.sorted(queue);
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
        pass.held_up = false;
        pass.workers = workers;
        pass.steps = steps;
        pass.begin_barred();
        pass.without_room.clear();
        pass.looked_up = false;
    }

    /// continue_best_effort goes on with the pass until the ratings are spent or it is over.
    pub(super) fn continue_best_effort(&mut self) {
        self.best_effort_pass.held_up |= self.flow.is_full();
        while !self.best_effort_pass.budget.is_spent() && !self.flow.is_full() {
            if let Some(worker) = self.best_effort_pass.workers.pop() {
                self.renew_predictions(worker);
            } else if let Some(step) = self.best_effort_pass.steps.pop() {
                self.try_best_effort(step);
            } else if !self.best_effort_pass.looked_up {
                self.best_effort_pass.looked_up = true;
                self.best_effort_pass.starving = self.starving();
            } else if let Some(step) = self.best_effort_pass.starving.pop() {
                self.try_starving(step);
            } else {
                self.best_effort_pass.under_way = false;
                return;
            }
        }
        self.best_effort_pass.held_up |= self.flow.is_full();
    }

    fn renew_predictions(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.long_running_milli > 0 || !worker.predictions.is_empty() {
            self.update_predictions(key);
            self.best_effort_pass
                .budget
                .spend(self.worker(key).predictions.len());
        }
    }

    fn try_best_effort(&mut self, step: StepKey) {
        if !self.has_nothing_left(step)
            && !self.best_effort_pass.has_tried_most()
            && let Some(demand) = self.demand(step)
            && !self
                .best_effort_pass
                .barred
                .iter()
                .any(|earlier| demand.asks_no_less(earlier))
            && self.place_step(&demand) == Outcome::Full
            && demand.is_plain()
        {
            self.best_effort_pass.barred.push(demand);
        }
        if self.flow.is_full() {
            self.best_effort_pass.steps.push(step);
        } else {
            self.requeue_step(step, true);
        }
    }

    fn try_starving(&mut self, step: StepKey) {
        if self.has_nothing_left(step) {
            return;
        }
        let Some(demand) = self.demand(step) else {
            return;
        };
        let demand = demand.relaxed();
        let without_room = &self.best_effort_pass.without_room;
        if without_room
            .iter()
            .any(|earlier| demand.is_as_large(earlier))
        {
            return;
        }
        if self.place_one(&demand) == Outcome::Full && demand.is_plain() {
            self.best_effort_pass.without_room.push(demand);
        }
    }
}
