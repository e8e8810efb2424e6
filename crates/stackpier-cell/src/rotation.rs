// SPDX-License-Identifier: Apache-2.0
//! Rotation: long-running tasks get time slices where there is not enough capacity for all.
//!
//! A long-running task may be interrupted for a few seconds only. One that has waited for most
//! of these replaces the one that has run longest. It prefers a worker that serves the same
//! image, so that what the model has learnt of the tasks there stays valid. The capacity is
//! reserved for it until it starts. For the tasks of a silent worker, this begins shortly before its
//! lease is over.

use std::cmp::Reverse;

use stackpier_core::{Millis, key};

use crate::{
    Cell, Mechanism, TaskName,
    arena::{RunKey, StepKey, TaskKey, WorkerKey},
    dedicated::DEDICATED_WAIT_MS,
    place::Demand,
};

/// REPLACE_AFTER_MS is how long a long-running task waits before it replaces another one. Client
/// accounts allow six seconds, of which a stop takes up to 0.9 and its report and the start up to one.
const REPLACE_AFTER_MS: u64 = 3_500;
/// REPLACE_ANY_AFTER_MS is how long it waits before it may replace any other one: of another
/// image, or of its own step.
const REPLACE_ANY_AFTER_MS: u64 = 4_000;
/// URGENT_MS is how long it waits before it gets a time slice at once.
const URGENT_MS: u64 = 5_000;
/// SPREAD_DIVISOR spreads time slices from [`REPLACE_AFTER_MS`] to [`URGENT_MS`]: at a time, one in
/// this many of all waiting tasks gets one. Else all that were stopped together would be again.
const SPREAD_DIVISOR: usize = 10;
/// MAX_WAITING is for how many waiting tasks runs are preempted at a time.
const MAX_WAITING: usize = 32;
/// MAX_CONSIDERED is for how many of them free capacity is looked for at a time.
const MAX_CONSIDERED: usize = 4 * MAX_WAITING;
/// MIN_RUN_MS is how long a long-running task runs at least before it is preempted, as it may
/// have been preempted before.
pub(crate) const MIN_RUN_MS: u64 = 6_000;

/// INDEX_FACTOR is the fractional part of the golden ratio, in 2^-64: its multiples are spread
/// evenly, however few there are.
const INDEX_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

/// assumed_slice_ms returns how long an adopted run goes on at least before it is preempted, if no
/// predecessor has saved that. The ages of such runs are assumed to be spread evenly up to
/// [`MIN_RUN_MS`]: if all were assumed to be zero, no task would make way for that long, and hundreds
/// at once then. A later owner assumes the same for the same run.
pub(crate) fn assumed_slice_ms(task: TaskName, number: u32) -> u64 {
    let offset = key::weight(&number.to_le_bytes(), task.job.0);
    let place = offset.wrapping_add(u64::from(task.index).wrapping_mul(INDEX_FACTOR));
    ((place >> 32) * MIN_RUN_MS) >> 32
}

/// Waiting is a long-running task that waits for capacity, or is about to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub step: StepKey,
    pub task: TaskKey,
    /// How long it has had no run, or will have had none when it may start.
    pub waited_ms: u64,
    /// Whether it may start only once the lease of a silent worker is over.
    pub returns: bool,
}

impl Waiting {
    /// is_urgent reports whether a task gets a time slice at once, however many others do.
    fn is_urgent(&self) -> bool {
        self.returns || self.waited_ms >= URGENT_MS
    }
}

/// Victim is a run that a waiting task may replace.
#[derive(Clone, Copy, Debug)]
struct Victim {
    run: RunKey,
    worker: WorkerKey,
    slice_end: Millis,
}

impl Cell {
    /// check_rotation preempts the tasks that have run longest in favour of those that have
    /// waited longest.
    pub(crate) fn check_rotation(&mut self) {
        if !self.is_enabled(Mechanism::Rotation) || !self.may_place() || self.flow.is_full() {
            return;
        }
        let mut waiting = self.waiting_long_running();
        waiting.extend(self.returning());
        let mut left = waiting.len() / SPREAD_DIVISOR + 1;
        let waiting = self.without_room(waiting);
        if waiting.is_empty() {
            return;
        }
        let mut victims = self.find_victims();
        let mut without_victim: Vec<StepKey> = Vec::new();
        for waiting in waiting.into_iter().take(MAX_WAITING) {
            if without_victim.contains(&waiting.step) {
                continue;
            }
            if !waiting.is_urgent() {
                if left == 0 {
                    return;
                }
                left -= 1;
            }
            if !self.rotate(waiting, &mut victims) {
                without_victim.push(waiting.step);
            }
        }
    }

    /// without_room returns those of some waiting tasks that have waited for long enough to replace
    /// others, and that no capacity is free or reserved for, the longest waiting first.
    fn without_room(&mut self, mut waiting: Vec<Waiting>) -> Vec<Waiting> {
        let reserved = self.reserved_tasks();
        waiting.retain(|waiting| {
            waiting.waited_ms >= REPLACE_AFTER_MS && !reserved.contains(&waiting.task)
        });
        waiting.sort_by_key(|waiting| (Reverse(waiting.waited_ms), waiting.task));
        waiting.truncate(MAX_CONSIDERED);
        self.without_spare(waiting)
    }

    /// rotates reports whether the tasks of a step get time slices.
    pub(crate) fn rotates(&self, step: StepKey) -> bool {
        let spec = self.step_spec(step);
        spec.long_running && !spec.best_effort && !spec.gang
    }

    /// waiting_long_running returns the long-running tasks that wait for nothing but capacity, or
    /// also for the lease of a silent worker, which ends soon.
    fn waiting_long_running(&self) -> Vec<Waiting> {
        let mut waiting = Vec::new();
        for step in self.waiting_steps() {
            let all_may_start = self.may_start_all(self.step_of(step).job);
            for task in &self.step_of(step).ready {
                let returns = all_may_start && self.awaits_lease_end(*task);
                if returns || self.may_start_now_given(*task, all_may_start) {
                    waiting.push(Waiting {
                        step,
                        task: *task,
                        waited_ms: self.wait_ms(*task),
                        returns,
                    });
                }
            }
        }
        waiting
    }

    /// find_victims returns the runs that may be preempted now, the longest running first.
    fn find_victims(&self) -> Vec<Victim> {
        let shared = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.dedicated.is_none()
                && worker.reservation.is_none()
                && self.is_usable_after_stop(worker)
        };
        let runs = self.live_workers().filter(shared);
        let runs = runs.flat_map(|key| self.long_running_on(key));
        let victim = |key: RunKey| {
            let run = self.runs.get(key)?;
            let eligible = !run.best_effort && !self.step_spec(run.step).gang;
            (eligible && self.may_preempt_long_running(key)).then_some(Victim {
                run: key,
                worker: run.worker,
                slice_end: run.slice_end(),
            })
        };
        let mut victims: Vec<Victim> = runs.filter_map(victim).collect();
        victims.sort_by_key(|victim| victim.slice_end);
        victims
    }

    /// rotate preempts runs in favour of a waiting task. If none qualify, a task that may
    /// use dedicated workers reserves one. It reports whether either was possible.
    fn rotate(&mut self, waiting: Waiting, victims: &mut Vec<Victim>) -> bool {
        let Some(demand) = self.demand(waiting.step) else {
            return false;
        };
        let found = self.pick_victims(&demand, &waiting, victims);
        let Some(worker) = found
            .first()
            .and_then(|run| Some(self.runs.get(*run)?.worker))
        else {
            let uses_dedicated = waiting.waited_ms >= DEDICATED_WAIT_MS;
            let demand = Demand {
                uses_dedicated,
                ..demand
            };
            return uses_dedicated && self.reserve_soonest(&demand, Some(waiting.task));
        };
        victims.retain(|victim| victim.worker != worker);
        for run in found {
            self.preempt(run, &waiting);
        }
        self.reserve(worker, &demand, Some(waiting.task));
        true
    }

    /// preempt stops a run in favour of a waiting task.
    fn preempt(&mut self, run: RunKey, waiting: &Waiting) {
        let text = format!(
            "stopped: a task of job {} has waited for {} ms",
            self.job_of(waiting.task).id,
            waiting.waited_ms
        );
        let name = self.runs.get(run).map(|run| run.name);
        self.log("rotation", name, text);
        self.stop(run);
    }

    /// pick_victims returns the runs that a waiting task replaces, all on one worker.
    fn pick_victims(&self, demand: &Demand, waiting: &Waiting, victims: &[Victim]) -> Vec<RunKey> {
        let same_image = |victim: &Victim| {
            let run = self.runs.get(victim.run);
            run.is_some_and(|run| run.image == demand.image && run.step != demand.step)
        };
        let frees_capacity = |victim: &&Victim| self.frees_capacity(demand, waiting, victim);
        let mut of_image = victims.iter().filter(|victim| same_image(victim));
        if let Some(best) = of_image.find(frees_capacity) {
            return vec![best.run];
        }
        if waiting.waited_ms < REPLACE_ANY_AFTER_MS {
            return Vec::new();
        }
        match victims.iter().find(frees_capacity) {
            Some(victim) => vec![victim.run],
            None => self.pick_together(demand, waiting, victims),
        }
    }

    /// pick_together returns the fewest runs of one worker in place of which a task could start that
    /// is too large for the place of any single one.
    fn pick_together(&self, demand: &Demand, waiting: &Waiting, victims: &[Victim]) -> Vec<RunKey> {
        let mut workers: Vec<WorkerKey> = victims.iter().map(|victim| victim.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        let found = workers.into_iter().filter_map(|worker| {
            let victims = victims.iter().filter(|victim| victim.worker == worker);
            self.free_together(demand, waiting, worker, victims)
        });
        found.min_by_key(Vec::len).unwrap_or_default()
    }

    /// free_together returns the runs among those of one worker in place of which a waiting task
    /// could start, if there are enough. It takes one of each step, as another one of the same step
    /// may not be missing, too.
    fn free_together<'a>(
        &self,
        demand: &Demand,
        waiting: &Waiting,
        worker: WorkerKey,
        victims: impl Iterator<Item = &'a Victim>,
    ) -> Option<Vec<RunKey>> {
        if !self.suits(demand, waiting, worker) {
            return None;
        }
        let mut free = self.worker(worker).free();
        let (mut steps, mut chosen) = (Vec::new(), Vec::new());
        for victim in victims.filter(|victim| self.may_replace(demand, victim)) {
            let run = self.runs.get(victim.run)?;
            if !steps.contains(&run.step) {
                steps.push(run.step);
                chosen.push(victim.run);
                free += run.guaranteed_size();
            }
            if demand.size.fits(&free) {
                return Some(chosen);
            }
        }
        None
    }

    /// frees_capacity reports whether a waiting task could start in place of a run.
    fn frees_capacity(&self, demand: &Demand, waiting: &Waiting, victim: &Victim) -> bool {
        let Some(run) = self.runs.get(victim.run) else {
            return false;
        };
        let worker = self.worker(victim.worker);
        let free_after = worker
            .info
            .capacity
            .minus(&worker.allocated.minus(&run.guaranteed_size()));
        demand.size.fits(&free_after)
            && self.may_replace(demand, victim)
            && self.suits(demand, waiting, victim.worker)
    }

    /// may_replace reports whether a run may be preempted in favour of a step's tasks.
    fn may_replace(&self, demand: &Demand, victim: &Victim) -> bool {
        let run = self.runs.get(victim.run);
        let is_not_more_urgent =
            run.is_some_and(|run| demand.priority <= self.priority_of(run.step));
        is_not_more_urgent && self.may_interrupt(victim.run)
    }

    /// suits reports whether a waiting task could start on a worker that had the capacity.
    fn suits(&self, demand: &Demand, waiting: &Waiting, worker: WorkerKey) -> bool {
        demand.meets_rack(self.worker(worker))
            && self.check_eligibility(demand, worker).is_ok()
            && !self.is_isolated_for_other(worker, waiting.task)
    }
}
