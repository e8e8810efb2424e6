// SPDX-License-Identifier: Apache-2.0
//! Passes over the waiting steps, in slices: each call of the decisions goes on where
//! the one before it had spent its ratings.

use stackpier_core::{Millis, Size};

use crate::{
    Cell,
    arena::{StepKey, WorkerKey},
    place::{Budget, Look, MOST_TRIED, Need},
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
    lasting: bool,
    priority: u8,
    /// For how long the first of the tasks had waited.
    waited_ms: u64,
}

impl Full {
    /// of notes that the tasks of a step found no room.
    fn of(need: &Need) -> Full {
        Full {
            service: need.service,
            size: need.size,
            shared_only: need.is_shared_only(),
            lasting: need.lasting,
            priority: need.priority,
            waited_ms: need.waited_ms,
        }
    }

    /// is_barred_as tells whether all claims that kept these tasks out hold against others, too.
    fn is_barred_as(&self, need: &Need) -> bool {
        let older = !self.lasting || need.waited_ms > self.waited_ms;
        need.priority >= self.priority && !(need.lasting && older)
    }

    /// covers tells whether tasks find no room either: they ask for as much or more, may go to
    /// no other workers, and have no older claim.
    fn covers(&self, need: &Need, claims: bool) -> bool {
        self.service == need.service
            && self.size.fits(&need.size)
            && (need.is_shared_only() || !self.shared_only)
            && (!claims || self.is_barred_as(need))
    }
}

/// Room is the most of everything that some worker of a service has free. No worker may
/// have all of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    service: u16,
    most: Size,
}

/// Counted is the passes over the steps whose tasks count in a worker's room.
#[derive(Debug)]
pub(crate) struct Counted {
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
    claims: bool,
    /// The room of each service when the pass began.
    room: Vec<Room>,
}

/// Filling is the passes over the steps whose tasks fill.
#[derive(Debug)]
pub(crate) struct Filling {
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
    barred: Vec<Need>,
    /// How many of these an earlier pass had found, which ended before it had tried all kinds.
    carried: usize,
    /// Steps that starve, the longest waiting last.
    starving: Vec<StepKey>,
    /// What starves and found no worker: what asks for as much room finds none either.
    without_room: Vec<Need>,
    /// Whether what starves was looked up.
    looked_up: bool,
}

impl Counted {
    /// new has nothing to look at.
    pub(crate) fn new(budget: Budget) -> Counted {
        Counted {
            budget,
            due: false,
            began: Millis(0),
            held_up: false,
            steps: Vec::new(),
            full: Vec::new(),
            claims: false,
            room: Vec::new(),
        }
    }

    /// is_full tells whether no worker has room for tasks, as far as the pass knows.
    fn is_full(&self, need: &Need) -> bool {
        let room = self.room.iter().find(|room| room.service == need.service);
        let fits = room.is_some_and(|room| need.size.fits(&room.most));
        !fits || self.full.iter().any(|full| full.covers(need, self.claims))
    }

    /// steps returns the steps that are still to be looked at.
    pub(crate) fn steps(&self) -> &[StepKey] {
        &self.steps
    }
}

impl Filling {
    /// new has nothing to look at.
    pub(crate) fn new(budget: Budget) -> Filling {
        Filling {
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
        self.barred.len() - self.carried >= MOST_TRIED
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
    /// begin_counted begins a pass over what waits for room.
    pub(super) fn begin_counted(&mut self) {
        let queue = std::mem::take(&mut self.waiting);
        let mut steps = self.sorted(queue);
        self.counted.budget.spend(steps.len());
        steps.reverse();
        let room = if steps.is_empty() {
            Vec::new()
        } else {
            self.room()
        };
        let claims = self.live().any(|key| self.worker(key).claim.is_some());
        self.counted.due = false;
        self.counted.began = self.now.mono;
        self.counted.held_up = false;
        self.counted.steps = steps;
        self.counted.full.clear();
        self.counted.claims = claims;
        self.counted.room = room;
    }

    /// room returns the room of each service.
    fn room(&self) -> Vec<Room> {
        let mut rooms: Vec<Room> = Vec::new();
        for worker in self.live().map(|key| self.worker(key)) {
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
        self.counted.budget.spend(self.workers.len());
        rooms
    }

    /// end_stale ends passes that waited for answers to starts for long, so that the
    /// next ones begin with what is most urgent by now.
    pub(super) fn end_stale(&mut self) {
        let now = self.now.mono;
        if self.counted.held_up && now.since(self.counted.began) >= STALE_MS {
            let left = std::mem::take(&mut self.counted.steps);
            self.waiting.extend(left);
            self.counted.due = true;
        }
        if self.fills.held_up && now.since(self.fills.began) >= STALE_MS {
            let left = std::mem::take(&mut self.fills.steps);
            self.filling.extend(left);
            self.fills.starving.clear();
            self.fills.under_way = false;
            self.fills.due = true;
        }
    }

    /// go_on_counted looks at the steps of the pass until the ratings are spent or too
    /// many starts are on their way.
    pub(super) fn go_on_counted(&mut self) {
        self.counted.held_up = self.flow.is_full();
        while !self.counted.budget.is_spent()
            && !self.flow.is_full()
            && let Some(step) = self.counted.steps.pop()
        {
            self.look_at_counted(step);
            if self.flow.is_full() {
                self.counted.steps.push(step);
            } else {
                self.requeue_step(step, false);
            }
        }
        self.counted.held_up |= self.flow.is_full();
    }

    fn look_at_counted(&mut self, step: StepKey) {
        if self.has_nothing_left(step) {
            return;
        }
        let Some(need) = self.need(step) else {
            return;
        };
        let claimed = self.counted.claims && self.claims_of(step) > 0;
        if !claimed && self.counted.is_full(&need) {
            return;
        }
        if self.place_step(&need) == Look::Full && need.is_plain() {
            self.counted.full.push(Full::of(&need));
        }
    }

    /// begin_filling begins a pass over what fills.
    pub(super) fn begin_filling(&mut self) {
        let queue = std::mem::take(&mut self.filling);
        let mut steps = self.sorted(queue);
        self.fills.budget.spend(steps.len());
        steps.reverse();
        let workers = if steps.is_empty() {
            Vec::new()
        } else {
            self.live_now()
        };
        let fills = &mut self.fills;
        fills.due = false;
        fills.under_way = true;
        fills.began = self.now.mono;
        fills.held_up = false;
        fills.workers = workers;
        fills.steps = steps;
        fills.begin_barred();
        fills.without_room.clear();
        fills.looked_up = false;
    }

    /// go_on_filling goes on with the pass until the ratings are spent or it is over.
    pub(super) fn go_on_filling(&mut self) {
        self.fills.held_up |= self.flow.is_full();
        while !self.fills.budget.is_spent() && !self.flow.is_full() {
            if let Some(worker) = self.fills.workers.pop() {
                self.renew_outlooks(worker);
            } else if let Some(step) = self.fills.steps.pop() {
                self.look_at_filling(step);
            } else if !self.fills.looked_up {
                self.fills.looked_up = true;
                self.fills.starving = self.starving();
            } else if let Some(step) = self.fills.starving.pop() {
                self.look_at_starving(step);
            } else {
                self.fills.under_way = false;
                return;
            }
        }
        self.fills.held_up |= self.flow.is_full();
    }

    fn renew_outlooks(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        if worker.lasting_milli > 0 || !worker.outlooks.is_empty() {
            self.look_ahead_on(key);
            self.fills.budget.spend(self.worker(key).outlooks.len());
        }
    }

    fn look_at_filling(&mut self, step: StepKey) {
        if !self.has_nothing_left(step)
            && !self.fills.has_tried_most()
            && let Some(need) = self.need(step)
            && !self
                .fills
                .barred
                .iter()
                .any(|earlier| need.asks_no_less(earlier))
            && self.place_step(&need) == Look::Full
            && need.is_plain()
        {
            self.fills.barred.push(need);
        }
        if self.flow.is_full() {
            self.fills.steps.push(step);
        } else {
            self.requeue_step(step, true);
        }
    }

    fn look_at_starving(&mut self, step: StepKey) {
        if self.has_nothing_left(step) {
            return;
        }
        let Some(need) = self.need(step) else {
            return;
        };
        let need = need.unbounded();
        let without_room = &self.fills.without_room;
        if without_room.iter().any(|earlier| need.is_as_large(earlier)) {
            return;
        }
        if self.place_one(&need) == Look::Full && need.is_plain() {
            self.fills.without_room.push(need);
        }
    }
}
