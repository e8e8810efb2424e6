// SPDX-License-Identifier: Apache-2.0
//! Placement: which waiting task goes to which worker.
//!
//! Tasks that count in a worker's room go first, by priority and slack; they
//! are packed, so that whole workers stay free of serving tasks. Tasks that
//! fill follow: each goes where the model expects the least harm to serving
//! tasks, and waits where it would do too much.

mod best_effort;
mod budget;
mod candidate;
mod gang;
mod pass;
mod starvation;

use std::collections::BinaryHeap;

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{StepKey, TaskKey, WorkerKey},
    ends::LAST_FAILURES,
};

use candidate::Candidate;

pub(crate) use {
    budget::Budget,
    candidate::Demand,
    pass::{BestEffortPass, GuaranteedPass},
};

/// BEST_EFFORT_GAP_MS is the least time between two looks at the filling tasks.
const BEST_EFFORT_GAP_MS: u64 = 40;
/// MAX_TRIED is how many kinds of filling tasks may find no worker before a pass ends. The
/// next one goes on with the kinds after them.
const MAX_TRIED: usize = 40;
/// LONG_RUNNING_FIRST_MS is how long a task that lasts waits until it goes before all others of
/// its priority: users count it as lost from six seconds after its last run.
const LONG_RUNNING_FIRST_MS: u64 = 3_000;
/// TRUST_MS is how long a task that has only one failure left waits for a
/// worker that lately did work, before it goes to one that has not failed; it
/// waits as long again before it goes to any.
const TRUST_MS: u64 = 1_500;

/// Place is the place of a step in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub priority: u8,
    rank: Rank,
}

/// Rank is when a step's turn comes among those of its priority. Jobs with the fewest
/// tasks left come first in it: more of them end while they are still of use. By their
/// age, late jobs earned 0.008 of a day's worth less, the mean of fifty days.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Tasks that last and have waited; since when the first of them has. Room for one is
    /// rare where most is taken: it comes where another one ends, and narrow tasks would
    /// share it out.
    LongRunning(Millis),
    /// It can be in time; the tasks left of its job.
    InTime(u64),
    /// It can't be in time any more, and is still of use; the tasks left of its job.
    Late(u64),
    /// It is of no use any more; when it should have started. Ahead of what is late, it
    /// cost 0.015 of a day's worth, the mean of 23 heavy days.
    Expired(u64),
}

/// Outcome is the outcome of a look for workers for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
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
            self.guaranteed_pass.due = true;
            self.best_effort_pass.due = true;
        }
        self.guaranteed_pass.budget.renew(self.now.mono);
        self.best_effort_pass.budget.renew(self.now.mono);
        if !self.flow.is_full() {
            self.end_stale();
        }
        self.place_guaranteed();
        self.place_best_effort();
        if wanted {
            self.poll_for_suspects();
        }
    }

    fn place_guaranteed(&mut self) {
        if self.guaranteed_pass.steps().is_empty() {
            if !self.guaranteed_pass.due || self.guaranteed_pass.budget.is_spent() {
                return;
            }
            self.begin_guaranteed();
        }
        self.continue_guaranteed();
    }

    fn place_best_effort(&mut self) {
        if !self.best_effort_pass.under_way {
            let soon = self.now.mono.since(self.best_effort_pass.began) < BEST_EFFORT_GAP_MS;
            if !self.best_effort_pass.due || soon {
                return;
            }
            self.begin_best_effort();
        }
        self.continue_best_effort();
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
            rank: self.rank_of(step),
        }
    }

    pub(crate) fn rank_of(&self, step: StepKey) -> Rank {
        let entry = self.step_of(step);
        let job = self.job(entry.job);
        let now = self.now.mono.0;
        let first =
            self.is_enabled(Mechanism::LongRunningFirst) && self.step_spec(step).long_running;
        let waited_ms = if first { self.step_wait_ms(step) } else { 0 };
        if waited_ms >= LONG_RUNNING_FIRST_MS {
            return Rank::LongRunning(Millis(now.saturating_sub(waited_ms)));
        }
        let latest = job.objective.0.saturating_sub(entry.chain_ms);
        let left = match self.is_enabled(Mechanism::FewestLeft) {
            true => u64::from(job.left),
            false => latest,
        };
        if latest >= now || !self.is_enabled(Mechanism::LateLast) {
            return Rank::InTime(left);
        }
        let useful = job.expires_at.0.saturating_sub(entry.chain_ms) >= now;
        if useful || !self.is_enabled(Mechanism::ExpiredLast) {
            Rank::Late(left)
        } else {
            Rank::Expired(latest)
        }
    }

    /// has_nothing_left tells whether a step has nothing to place: it may have ended since
    /// its pass began.
    fn has_nothing_left(&self, step: StepKey) -> bool {
        let entry = self.step_of(step);
        entry.ready.is_empty() || self.job(entry.job).state.is_final()
    }

    fn requeue_step(&mut self, step: StepKey, best_effort: bool) {
        if self.has_nothing_left(step) {
            self.step_mut(step).queued = false;
            return;
        }
        self.enqueue(step, best_effort);
    }

    /// enqueue puts a step into its queue.
    pub(crate) fn enqueue(&mut self, step: StepKey, best_effort: bool) {
        let queue = if best_effort {
            &mut self.best_effort_queue
        } else {
            &mut self.guaranteed_queue
        };
        queue.push(step);
    }

    /// place_step places what it can of a step.
    fn place_step(&mut self, demand: &Demand) -> Outcome {
        if !self.may_start(self.step_of(demand.step).job) {
            return Outcome::Barred;
        }
        if demand.gang {
            if demand.advised {
                self.request_advice(demand);
            }
            let placed = self.place_gang(demand);
            return if placed {
                Outcome::Placed
            } else {
                Outcome::Barred
            };
        }
        let mut candidates = self.candidates(demand);
        let mut outcome = if candidates.is_empty() {
            Outcome::Full
        } else {
            Outcome::Barred
        };
        let mut left = Vec::new();
        let ready = std::mem::take(&mut self.step_mut(demand.step).ready);
        for task in ready {
            if self.task(task).done || !self.task(task).ready {
                continue;
            }
            if self.flow.is_full() {
                outcome = outcome.max(Outcome::Barred);
                left.push(task);
                continue;
            }
            match self.worker_for(task, demand, &mut candidates) {
                Some(worker) => {
                    self.task_mut(task).ready = false;
                    self.start(task, worker);
                    outcome = Outcome::Placed;
                }
                None => left.push(task),
            }
        }
        if demand.advised && !left.is_empty() {
            self.request_advice(demand);
            outcome = outcome.max(Outcome::Barred);
        }
        self.step_mut(demand.step).ready.append(&mut left);
        outcome
    }

    /// worker_for returns the best worker for a task of a step. Tasks that
    /// never failed and are not suspected of crashes are alike and take the first of `candidates`.
    fn worker_for(
        &self,
        task: TaskKey,
        demand: &Demand,
        candidates: &mut BinaryHeap<Candidate>,
    ) -> Option<WorkerKey> {
        let entry = self.task(task);
        let special = !entry.failed_on.is_empty() || entry.suspect.is_some();
        let differs = special || self.may_have_ended(task);
        if differs || entry.not_before > self.now.mono {
            return self.find_worker(task, demand);
        }
        while let Some(best) = candidates.pop() {
            // A worker may have filled up since it was rated.
            let Ok(score) = self.rate_worker(demand, best.worker) else {
                continue;
            };
            let candidate = Candidate { score, ..best };
            let passed = candidates.peek().is_some_and(|next| *next > candidate);
            candidates.push(candidate);
            if !passed {
                return Some(best.worker);
            }
        }
        None
    }

    /// find_worker returns the best worker for one task. A suspect goes only to one that has
    /// just answered.
    pub(crate) fn find_worker(&self, task: TaskKey, demand: &Demand) -> Option<WorkerKey> {
        let mut candidates = self.candidates_for(task, demand);
        if self.task(task).suspect.is_some() {
            candidates.retain(|candidate| self.has_just_answered(candidate.worker));
        }
        let best = candidates.into_iter().max();
        best.map(|best| best.worker)
    }

    /// find_worker_unverified returns the best worker for one task, when ever it answered.
    pub(crate) fn find_worker_unverified(
        &self,
        task: TaskKey,
        demand: &Demand,
    ) -> Option<WorkerKey> {
        let best = self.candidates_for(task, demand).into_iter().max();
        best.map(|best| best.worker)
    }

    /// candidates_for returns the workers that one task may start on.
    fn candidates_for(&self, task: TaskKey, demand: &Demand) -> Vec<Candidate> {
        if self.now.mono < self.task(task).not_before || self.must_wait(task) {
            return Vec::new();
        }
        let mut candidates = self.candidates(demand).into_vec();
        // A copy goes to another worker than the first run.
        candidates.retain(|candidate| !self.runs_on(task, candidate.worker));
        let failed_on = &self.task(task).failed_on;
        let other = candidates
            .iter()
            .any(|candidate| !failed_on.contains(&candidate.worker));
        let suits = |candidate: &Candidate| {
            let failed = failed_on.contains(&candidate.worker);
            !(failed && other)
                && self.trusts(task, candidate.worker)
                && self.may_start_isolated(task, candidate.worker)
        };
        candidates.into_iter().filter(suits).collect()
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
        self.awaits_crash_check(task) || self.may_have_ended(task)
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
        if failures == 0 || !self.is_enabled(Mechanism::Trust) {
            return true;
        }
        let job = self.step_of(self.task(task).step).job;
        let left = self.attempts(job).saturating_sub(failures);
        let waited = self.now.mono.since(self.task(task).failed_at);
        let health = self.worker(key).health;
        left > LAST_FAILURES
            || health.has_recent_success()
            || waited >= TRUST_MS && !health.has_recent_faults()
            || waited >= 2 * TRUST_MS
    }
}
