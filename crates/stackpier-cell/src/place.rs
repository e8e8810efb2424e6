// SPDX-License-Identifier: Apache-2.0
//! Placement: which waiting task goes to which worker.
//!
//! Tasks that count in a worker's room go first, by priority and slack; they
//! are packed, so that whole workers stay free of serving tasks. Tasks that
//! fill follow: each goes where the model expects the least harm to serving
//! tasks, and waits where it would do too much.

mod budget;
mod fill;
mod gang;
mod offer;
mod pass;
mod starvation;

use std::collections::BinaryHeap;

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey, WorkerKey},
    ends::SICK_FAILURES,
};

use offer::Choice;

pub(crate) use {
    budget::Budget,
    offer::Need,
    pass::{Counted, Filling},
};

/// FILL_GAP_MS is the least time between two looks at the filling tasks.
const FILL_GAP_MS: u64 = 40;
/// MOST_TRIED is how many kinds of filling tasks may find no worker before a pass ends. The
/// next one goes on with the kinds after them.
const MOST_TRIED: usize = 40;
/// LASTING_MS is how long a task that lasts waits until it goes before all others of
/// its priority: users count it as lost from six seconds after its last run.
const LASTING_MS: u64 = 3_000;
/// TRUST_MS is how long a task that has only one failure left waits for a
/// worker that lately did work, before it goes to one that has not failed; it
/// waits as long again before it goes to any.
const TRUST_MS: u64 = 1_500;

/// Place is the place of a step in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub priority: u8,
    turn: Turn,
}

/// Turn is when a step's turn comes among those of its priority. Jobs with the fewest
/// tasks left come first in it: more of them end while they are still of use. By their
/// age, late jobs earned 0.008 of a day's worth less, the mean of fifty days.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Turn {
    /// Tasks that last and have waited; since when the first of them has. Room for one is
    /// rare where most is taken: it comes where another one ends, and narrow tasks would
    /// share it out.
    Lasting(Millis),
    /// It can be in time; the tasks left of its job.
    InTime(u64),
    /// It can't be in time any more, and is still of use; the tasks left of its job.
    Late(u64),
    /// It is of no use any more; when it should have started. Ahead of what is late, it
    /// cost 0.015 of a day's worth, the mean of 23 heavy days.
    Hopeless(u64),
}

/// Look is the outcome of a look for workers for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Look {
    /// No worker has room for a task.
    Full,
    /// Something else than room stands in the way.
    Barred,
    /// At least one task was placed.
    Placed,
}

impl Cell {
    /// place starts the waiting tasks that find a worker, or goes on with that.
    pub(crate) fn place(&mut self) {
        if !self.has_authority() {
            return;
        }
        let wanted = std::mem::take(&mut self.place_wanted);
        if wanted {
            self.counted.due = true;
            self.fills.due = true;
        }
        self.counted.budget.renew(self.now.mono);
        self.fills.budget.renew(self.now.mono);
        if !self.flow.is_full() {
            self.end_stale();
        }
        self.place_counted();
        self.place_filling();
        if wanted {
            self.ask_for_suspects();
        }
    }

    fn place_counted(&mut self) {
        if self.counted.steps().is_empty() {
            if !self.counted.due || self.counted.budget.is_spent() {
                return;
            }
            self.begin_counted();
        }
        self.go_on_counted();
    }

    fn place_filling(&mut self) {
        if !self.fills.under_way {
            let soon = self.now.mono.since(self.fills.began) < FILL_GAP_MS;
            if !self.fills.due || soon {
                return;
            }
            self.begin_filling();
        }
        self.go_on_filling();
    }

    /// sorted returns the steps of a queue in the order of placement, without
    /// those that have nothing to place.
    fn sorted(&mut self, queue: Vec<StepKey>) -> Vec<StepKey> {
        let mut keyed = Vec::with_capacity(queue.len());
        for step in queue {
            if self.has_nothing_left(step) {
                self.step_mut(step).queued = false;
                continue;
            }
            keyed.push((self.order_of(step), step));
        }
        keyed.sort_unstable();
        keyed.into_iter().map(|(_, step)| step).collect()
    }

    /// priority_of returns the priority of a step's queue: zero is the most urgent.
    pub(crate) fn priority_of(&self, step: StepKey) -> u8 {
        let job = self.job(self.step_of(step).job);
        let queue = self.queues.get(&job.queue);
        queue.map_or(u8::MAX, |queue| queue.priority)
    }

    /// order_of returns the place of a step in the order: its priority, then its turn.
    pub(crate) fn order_of(&self, step: StepKey) -> Place {
        Place {
            priority: self.priority_of(step),
            turn: self.turn_of(step),
        }
    }

    pub(crate) fn turn_of(&self, step: StepKey) -> Turn {
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let now = self.now.mono.0;
        let first = self.has(Mechanism::LastingFirst) && self.shape(step).lasting;
        let waited_ms = if first { self.step_wait_ms(step) } else { 0 };
        if waited_ms >= LASTING_MS {
            return Turn::Lasting(Millis(now.saturating_sub(waited_ms)));
        }
        let latest = job.objective.0.saturating_sub(entry.chain_ms);
        let left = match self.has(Mechanism::FewestLeft) {
            true => u64::from(job.left),
            false => latest,
        };
        if latest >= now || !self.has(Mechanism::LateLast) {
            return Turn::InTime(left);
        }
        let useful = job.worthless.0.saturating_sub(entry.chain_ms) >= now;
        if useful || !self.has(Mechanism::HopelessLast) {
            Turn::Late(left)
        } else {
            Turn::Hopeless(latest)
        }
    }

    /// has_nothing_left tells whether a step has nothing to place: it may have ended since
    /// its pass began.
    fn has_nothing_left(&self, step: StepKey) -> bool {
        let entry = self.step_of(step);
        entry.ready.is_empty() || self.job(entry.job).state.is_final()
    }

    fn requeue_step(&mut self, step: StepKey, fills: bool) {
        if self.has_nothing_left(step) {
            self.step_mut(step).queued = false;
            return;
        }
        self.enqueue(step, fills);
    }

    /// enqueue puts a step into its queue.
    pub(crate) fn enqueue(&mut self, step: StepKey, fills: bool) {
        let queue = if fills {
            &mut self.filling
        } else {
            &mut self.waiting
        };
        queue.push(step);
    }

    /// place_step places what it can of a step.
    fn place_step(&mut self, need: &Need) -> Look {
        if !self.may_start(self.step_of(need.step).job) {
            return Look::Barred;
        }
        if need.gang {
            if need.advised {
                self.ask(need);
            }
            let placed = self.place_gang(need);
            return if placed { Look::Placed } else { Look::Barred };
        }
        let mut choices = self.choices(need);
        let mut look = if choices.is_empty() {
            Look::Full
        } else {
            Look::Barred
        };
        let mut left = Vec::new();
        let ready = std::mem::take(&mut self.step_mut(need.step).ready);
        for task in ready {
            if self.task(task).done || !self.task(task).ready {
                continue;
            }
            if self.flow.is_full() {
                look = look.max(Look::Barred);
                left.push(task);
                continue;
            }
            match self.worker_for(task, need, &mut choices) {
                Some(worker) => {
                    self.task_mut(task).ready = false;
                    self.start(task, worker);
                    look = Look::Placed;
                }
                None => left.push(task),
            }
        }
        if need.advised && !left.is_empty() {
            self.ask(need);
            look = look.max(Look::Barred);
        }
        self.step_mut(need.step).ready.append(&mut left);
        look
    }

    /// worker_for returns the best worker for a task of a step. Tasks that
    /// never failed and are not suspected of crashes are alike and take the first of `choices`.
    fn worker_for(
        &self,
        task: TaskKey,
        need: &Need,
        choices: &mut BinaryHeap<Choice>,
    ) -> Option<WorkerKey> {
        let entry = self.task(task);
        let special = !entry.failed_on.is_empty() || entry.suspect.is_some();
        let differs = special || self.may_have_ended(task);
        if differs || entry.not_before > self.now.mono {
            return self.find_room(task, need);
        }
        while let Some(best) = choices.pop() {
            // A worker may have filled up since it was rated.
            let Ok(score) = self.offer(need, best.worker) else {
                continue;
            };
            let choice = Choice { score, ..best };
            let passed = choices.peek().is_some_and(|next| *next > choice);
            choices.push(choice);
            if !passed {
                return Some(best.worker);
            }
        }
        None
    }

    /// find_room returns the best worker for one task. A suspect goes only to one that has
    /// just answered.
    pub(crate) fn find_room(&self, task: TaskKey, need: &Need) -> Option<WorkerKey> {
        let mut choices = self.choices_of(task, need);
        if self.task(task).suspect.is_some() {
            choices.retain(|choice| self.has_just_answered(choice.worker));
        }
        let best = choices.into_iter().max();
        best.map(|best| best.worker)
    }

    /// find_room_unasked returns the best worker for one task, when ever it answered.
    pub(crate) fn find_room_unasked(&self, task: TaskKey, need: &Need) -> Option<WorkerKey> {
        let best = self.choices_of(task, need).into_iter().max();
        best.map(|best| best.worker)
    }

    /// choices_of returns the workers that one task may start on.
    fn choices_of(&self, task: TaskKey, need: &Need) -> Vec<Choice> {
        if self.now.mono < self.task(task).not_before || self.must_wait(task) {
            return Vec::new();
        }
        let mut choices = self.choices(need).into_vec();
        // A copy goes to another worker than the first run.
        choices.retain(|choice| !self.runs_on(task, choice.worker));
        let failed_on = &self.task(task).failed_on;
        let other = choices
            .iter()
            .any(|choice| !failed_on.contains(&choice.worker));
        let suits = |choice: &Choice| {
            let failed = failed_on.contains(&choice.worker);
            !(failed && other)
                && self.trusts(task, choice.worker)
                && self.suits_isolation(task, choice.worker)
        };
        choices.into_iter().filter(suits).collect()
    }

    /// may_start_now tells whether a waiting task waits for nothing but a worker.
    pub(crate) fn may_start_now(&self, key: TaskKey) -> bool {
        let task = self.task(key);
        task.ready
            && !task.done
            && task.not_before <= self.now.mono
            && !self.must_wait(key)
            && self.may_start(self.step_of(task.step).job)
    }

    /// must_wait tells whether a task may not start now, whatever room there is.
    fn must_wait(&self, task: TaskKey) -> bool {
        self.is_held_back(task) || self.may_have_ended(task)
    }

    fn runs_on(&self, task: TaskKey, key: WorkerKey) -> bool {
        let runs = self.task(task).runs.iter();
        let mut runs = runs.filter_map(|run| self.runs.get(*run));
        runs.any(|run| run.worker == key)
    }

    /// trusts tells whether a worker's standing is good enough for a task: one
    /// that has only a failure left goes where work was lately done.
    fn trusts(&self, task: TaskKey, key: WorkerKey) -> bool {
        let failures = self.task(task).failed_runs.len() as u16;
        if failures == 0 || !self.has(Mechanism::Trust) {
            return true;
        }
        let job = self.step_of(self.task(task).step).job;
        let left = self.attempts(job).saturating_sub(failures);
        let waited = self.now.mono.since(self.task(task).failed_at);
        let health = self.worker(key).health;
        left > SICK_FAILURES
            || health.is_proved()
            || waited >= TRUST_MS && !health.is_suspect()
            || waited >= 2 * TRUST_MS
    }
}
