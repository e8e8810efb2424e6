// SPDX-License-Identifier: Apache-2.0
//! Placement: assigns waiting tasks to workers.
//!
//! Guaranteed tasks go first, by priority and rank; they are packed, so that whole workers stay
//! free of serving tasks. Best-effort tasks follow: each goes where the model expects the least
//! harm to serving tasks, and waits while the expected harm is too high everywhere.

mod best_effort;
mod budget;
mod candidate;
mod gang;
mod idle;
mod pass;
mod starvation;
mod stats;

use std::{cmp::Reverse, collections::BinaryHeap};

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
    idle::Pass as IdlePass,
    pass::{BestEffortPass, GuaranteedPass},
    stats::Stats as PlacementStats,
};

/// BEST_EFFORT_GAP_MS is the shortest time between the starts of two passes over best-effort
/// tasks.
const BEST_EFFORT_GAP_MS: u64 = 40;
/// MAX_REJECTED is how many kinds of best-effort tasks may find no worker before a pass ends. The
/// next pass continues with the kinds after them.
const MAX_REJECTED: usize = 40;
/// LONG_RUNNING_FIRST_MS is how long a long-running task waits before it goes ahead of all
/// others of its priority: client accounts count it as lost from six seconds after its last run.
const LONG_RUNNING_FIRST_MS: u64 = 3_000;
/// TRUST_MS is how long a task that may fail only once more waits for a worker with a recent
/// success, before it goes to one without recent faults. After twice this time it goes to any
/// worker.
const TRUST_MS: u64 = 1_500;

/// Position is the position of a step in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub priority: u8,
    rank: Rank,
}

/// Rank orders the steps of one priority. Jobs with the fewest tasks left come first: more of
/// them end while their results have value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Long-running tasks that have waited; since when the first of them has. On a nearly full
    /// cell, capacity for one comes free only where another one ends, and small tasks would
    /// split it up if they went first.
    LongRunning(Millis),
    /// The result of its job will have value.
    Valuable {
        /// The tasks left of the job.
        left: u64,
        /// Whether the job misses its deadline. Late jobs are not put behind all others: with few
        /// tasks left they end soon, and while they wait they only come closer to their expiry.
        late: bool,
    },
    /// Its job has expired; the latest start that would have met the deadline. It goes last.
    Expired(u64),
}

/// Outcome is the outcome of a placement attempt for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// No worker can take a task.
    NoWorker,
    /// Something other than a lack of workers prevents a start.
    Blocked,
    /// At least one task was placed.
    Placed,
}

impl Cell {
    /// place starts waiting tasks that find a worker. It continues the passes that are under
    /// way, or begins new ones.
    pub(crate) fn place(&mut self) {
        if !self.may_place() {
            return;
        }
        let is_due = std::mem::take(&mut self.placement_due);
        if is_due {
            self.guaranteed_pass.due = true;
            self.best_effort_pass.due = true;
        }
        self.guaranteed_pass.budget.begin_call(self.now.mono);
        self.best_effort_pass.budget.begin_call(self.now.mono);
        if !self.flow.is_full() {
            self.end_stale_passes();
        }
        if !self.place_idle() {
            self.place_guaranteed();
            self.place_best_effort();
        }
        if is_due {
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
            // Idle steps come first where capacity has come free.
            self.begin_idle();
            if self.continue_idle() {
                return;
            }
            self.begin_best_effort();
        }
        self.continue_best_effort();
    }

    /// take_queue removes the steps of a queue that a pass may try, and returns them in the order of
    /// placement. It drops those that have nothing to place. Steps whose tasks all wait for an earlier
    /// owner's leases stay in the queue: a new owner has hundreds of them, and each try looks at all
    /// workers.
    fn take_queue(&mut self, best_effort: bool) -> Vec<StepKey> {
        let queue = match best_effort {
            true => std::mem::take(&mut self.best_effort_queue),
            false => std::mem::take(&mut self.guaranteed_queue),
        };
        let inherited_may_start = self.may_start_inherited();
        let mut keyed = Vec::with_capacity(queue.len());
        for step in queue {
            if self.has_nothing_to_place(step) {
                self.step_mut(step).queued = false;
            } else if !inherited_may_start && self.awaits_leases(step) {
                self.enqueue(step, best_effort);
            } else {
                keyed.push((self.position_of(step), step));
            }
        }
        keyed.sort_unstable();
        keyed.into_iter().map(|(_, step)| step).collect()
    }

    /// priority_of returns the priority of a step's queue; zero is the most urgent.
    pub(crate) fn priority_of(&self, step: StepKey) -> u8 {
        let job = self.job(self.step_of(step).job);
        let queue = self.queues.get(&job.queue);
        queue.map_or(u8::MAX, |queue| queue.priority)
    }

    /// position_of returns the position of a step in the order of placement: its priority, then
    /// its rank.
    pub(crate) fn position_of(&self, step: StepKey) -> Position {
        Position {
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
        let latest_start = job.objective.0.saturating_sub(entry.chain_ms);
        let left = match self.is_enabled(Mechanism::FewestLeft) {
            _ if job.goes_first => 0,
            true => u64::from(job.left),
            false => latest_start,
        };
        let has_value = job.expires_at.0.saturating_sub(entry.chain_ms) >= now;
        if has_value || !self.is_enabled(Mechanism::ExpiredLast) {
            let late = latest_start < now;
            Rank::Valuable { left, late }
        } else {
            Rank::Expired(latest_start)
        }
    }

    /// has_nothing_to_place reports whether a step has no ready tasks, or its job has ended,
    /// which may be since the pass began.
    fn has_nothing_to_place(&self, step: StepKey) -> bool {
        let entry = self.step_of(step);
        entry.ready.is_empty() || self.job(entry.job).state.is_final()
    }

    fn requeue_step(&mut self, step: StepKey, best_effort: bool) {
        if self.has_nothing_to_place(step) {
            self.step_mut(step).queued = false;
            return;
        }
        self.enqueue(step, best_effort);
    }

    /// enqueue adds a step to its queue.
    pub(crate) fn enqueue(&mut self, step: StepKey, best_effort: bool) {
        let queue = if best_effort {
            &mut self.best_effort_queue
        } else {
            &mut self.guaranteed_queue
        };
        queue.push(step);
    }

    /// place_step starts as many ready tasks of a step as find a worker.
    fn place_step(&mut self, demand: &Demand) -> Outcome {
        let all_may_start = self.may_start_all(self.step_of(demand.step).job);
        if !all_may_start && self.count_startable_given(demand.step, all_may_start) == 0 {
            return Outcome::Blocked;
        }
        if demand.gang {
            if demand.advised {
                self.request_advice(demand);
            }
            let placed = self.place_gang(demand);
            return if placed {
                Outcome::Placed
            } else {
                Outcome::Blocked
            };
        }
        let mut candidates = self.candidates(demand);
        let mut outcome = if candidates.is_empty() {
            Outcome::NoWorker
        } else {
            Outcome::Blocked
        };
        let mut left = Vec::new();
        let mut lacks_worker = false;
        let mut ready = std::mem::take(&mut self.step_mut(demand.step).ready);
        if demand.long_running {
            ready.sort_by_cached_key(|task| Reverse(self.wait_ms(*task)));
        }
        for task in ready {
            if self.task(task).done || !self.task(task).ready {
                continue;
            }
            if !self.may_start_given(task, all_may_start) {
                outcome = outcome.max(Outcome::Blocked);
                left.push(task);
                continue;
            }
            let now = self.now.mono;
            self.task_mut(task).startable_at.get_or_insert(now);
            if self.flow.is_full() {
                lacks_worker = true;
                outcome = outcome.max(Outcome::Blocked);
                left.push(task);
                continue;
            }
            match self.pick_worker(task, demand, &mut candidates) {
                Some(worker) => {
                    self.task_mut(task).ready = false;
                    self.start(task, worker);
                    outcome = Outcome::Placed;
                }
                None => {
                    lacks_worker = true;
                    left.push(task);
                }
            }
        }
        if demand.advised && lacks_worker {
            self.request_advice(demand);
            outcome = outcome.max(Outcome::Blocked);
        }
        self.step_mut(demand.step).ready.append(&mut left);
        outcome
    }

    /// pick_worker returns the best worker for a task of a step. Tasks that never failed and are
    /// not suspected of crashing workers are interchangeable and take the best of `candidates`,
    /// the workers rated once for the step. For any other task the workers are rated again.
    fn pick_worker(
        &self,
        task: TaskKey,
        demand: &Demand,
        candidates: &mut BinaryHeap<Candidate>,
    ) -> Option<WorkerKey> {
        let entry = self.task(task);
        let special = !entry.failed_on.is_empty() || entry.suspect.is_some();
        let differs = special || self.may_have_ended(task) || self.needs_assigned(task);
        if differs || entry.not_before > self.now.mono {
            return self.find_worker(task, demand);
        }
        if let Some(worker) = self.reserved_worker(task)
            && self.rate_worker(demand, worker).is_ok()
        {
            return Some(worker);
        }
        let mut kept_for_others = Vec::new();
        let mut found = None;
        while let Some(best) = candidates.pop() {
            if self.is_kept_for_other(best.worker, task) {
                kept_for_others.push(best);
                continue;
            }
            // The score may be out of date: tasks may have started there since.
            let Ok(score) = self.rate_worker(demand, best.worker) else {
                continue;
            };
            let candidate = Candidate { score, ..best };
            let overtaken = candidates.peek().is_some_and(|next| *next > candidate);
            candidates.push(candidate);
            if !overtaken {
                found = Some(best.worker);
                break;
            }
        }
        candidates.extend(kept_for_others);
        found
    }

    /// find_worker returns the best worker for one task. A task that is suspected of crashing
    /// workers goes only to a worker that has just answered.
    pub(crate) fn find_worker(&self, task: TaskKey, demand: &Demand) -> Option<WorkerKey> {
        let mut candidates = self.candidates_for(task, demand);
        if self.task(task).suspect.is_some() {
            candidates.retain(|candidate| self.has_just_answered(candidate.worker));
        }
        let own = self.reserved_worker(task);
        if candidates
            .iter()
            .any(|candidate| Some(candidate.worker) == own)
        {
            return own;
        }
        let best = candidates.into_iter().max();
        best.map(|best| best.worker)
    }

    /// find_worker_unverified returns the best worker for one task, even if the task is
    /// suspected of crashing workers and the worker has not just answered.
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
        let needs_assigned = self.needs_assigned(task);
        candidates.retain(|candidate| {
            let worker = candidate.worker;
            (!needs_assigned || self.is_assigned(task, worker))
                && !self.runs_on(task, worker)
                && !self.is_kept_for_other(worker, task)
        });
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

    /// may_start_now reports whether a waiting task waits for nothing but a worker.
    pub(crate) fn may_start_now(&self, key: TaskKey) -> bool {
        let job = self.step_of(self.task(key).step).job;
        self.may_start_now_given(key, self.may_start_all(job))
    }

    /// may_start_now_given does the same, if it is known whether `may_start_all` holds for the job.
    pub(crate) fn may_start_now_given(&self, key: TaskKey, all_may_start: bool) -> bool {
        let task = self.task(key);
        task.ready
            && !task.done
            && task.not_before <= self.now.mono
            && !self.must_wait(key)
            && self.may_start_given(key, all_may_start)
    }

    /// must_wait reports whether a task may not start now, whatever capacity is free.
    fn must_wait(&self, task: TaskKey) -> bool {
        self.awaits_crash_check(task) || self.may_have_ended(task)
    }

    fn runs_on(&self, task: TaskKey, key: WorkerKey) -> bool {
        let runs = self.task(task).runs.iter();
        let mut runs = runs.filter_map(|run| self.runs.get(*run));
        runs.any(|run| run.worker == key)
    }

    /// trusts reports whether a worker's health is good enough for a task: one that may fail
    /// only once more goes where work recently succeeded. See [`TRUST_MS`].
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
