// SPDX-License-Identifier: Apache-2.0
//! Rotation: tasks that last take turns where there is not room for all of them.
//!
//! A task that lasts may be away for some seconds only. Once one has waited for most of
//! these, it takes the place of the one that has run for longest: on a worker that serves the
//! same image if there is one, so that what is learnt of the tasks there goes on to hold. The
//! room is claimed for it until it starts.

use std::cmp::Reverse;

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{RunKey, StepKey, TaskKey, WorkerKey},
    place::Demand,
};

/// TURN_MS is how long a task that lasts waits before it takes another one's place.
const TURN_MS: u64 = 4_500;
/// ANY_MS is how long it waits before that may be any one: beside another image, or of its
/// own step.
const ANY_MS: u64 = 5_000;
/// MAX_TURNS is how many waiting tasks are given a turn at a time.
const MAX_TURNS: usize = 32;
/// MIN_RUN_MS is how long a task that lasts has run at least before it is stopped for others:
/// it was stopped before, perhaps.
pub(crate) const MIN_RUN_MS: u64 = 6_000;

/// Waiting is a task that lasts and waits for room.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    step: StepKey,
    task: TaskKey,
    waited_ms: u64,
}

/// Victim is a run whose place a waiting task may take.
#[derive(Clone, Copy, Debug)]
struct Victim {
    run: RunKey,
    since: Millis,
}

impl Cell {
    /// check_rotation stops tasks that have run for longest in favour of those that have waited
    /// for longest.
    pub(crate) fn check_rotation(&mut self) {
        if !self.is_enabled(Mechanism::Rotation) || !self.has_authority() || self.flow.is_full() {
            return;
        }
        let waiting = self.waiting_long_running();
        if waiting.is_empty() {
            return;
        }
        let mut victims = self.rotation_victims();
        let mut without_victim: Vec<StepKey> = Vec::new();
        for waiting in waiting {
            let tried = without_victim.contains(&waiting.step);
            if !tried && !self.rotate(waiting, &mut victims) {
                without_victim.push(waiting.step);
            }
        }
    }

    /// waiting_long_running returns the tasks that last and wait for nothing but room, the longest
    /// waiting first, without those that room is claimed for.
    fn waiting_long_running(&self) -> Vec<Waiting> {
        let takes_turns = |step: &StepKey| {
            let shape = self.step_spec(*step);
            shape.long_running && !shape.best_effort && !shape.gang
        };
        let long_running = self.queued().filter(takes_turns);
        let mut waiting = Vec::new();
        for step in long_running {
            let reservations = self.reservations_of(step);
            let ready = self.step_of(step).ready.iter();
            let ready = ready.filter(|task| self.may_start_now(**task));
            let waits = ready.map(|task| Waiting {
                step,
                task: *task,
                waited_ms: self.wait_ms(*task),
            });
            let due = waits.filter(|waiting| waiting.waited_ms >= TURN_MS);
            waiting.extend(due.skip(reservations));
        }
        waiting.sort_by_key(|waiting| (Reverse(waiting.waited_ms), waiting.task));
        waiting.truncate(MAX_TURNS);
        waiting
    }

    /// rotation_victims returns the runs that may be stopped by now, the longest running first.
    fn rotation_victims(&self) -> Vec<Victim> {
        let shared = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.dedicated.is_none() && worker.reservation.is_none() && self.is_available(worker)
        };
        let runs = self.live_workers().filter(shared);
        let runs = runs.flat_map(|key| self.long_running_on(key));
        let victim = |key: RunKey| {
            let run = self.runs.get(key)?;
            let alone = !run.best_effort && !self.step_spec(run.step).gang;
            (alone && self.may_preempt_long_running(key)).then_some(Victim {
                run: key,
                since: run.since,
            })
        };
        let mut victims: Vec<Victim> = runs.filter_map(victim).collect();
        victims.sort_by_key(|victim| victim.since);
        victims
    }

    /// rotate stops a run in favour of a waiting task, and tells whether one makes room for it.
    fn rotate(&mut self, waiting: Waiting, victims: &mut Vec<Victim>) -> bool {
        let Some(demand) = self.demand(waiting.step) else {
            return false;
        };
        let Some(found) = self.find_victim(&demand, waiting.waited_ms, victims) else {
            return demand.uses_dedicated && self.reserve_soonest(&demand);
        };
        let run = victims.remove(found).run;
        let Some((task, worker)) = self.runs.get(run).map(|run| (run.task, run.worker)) else {
            return false;
        };
        victims.retain(|other| {
            let other = self.runs.get(other.run);
            other.is_some_and(|other| other.worker != worker)
        });
        let text = format!(
            "stopped: a task of job {} has waited for {} ms",
            self.job_of(waiting.task).id,
            waiting.waited_ms
        );
        let name = self.name(task);
        self.log("rotation", Some(name), text);
        self.stop(run);
        self.reserve(worker, &demand);
        true
    }

    /// find_victim returns the position of the candidate whose place a waiting task takes.
    fn find_victim(&self, demand: &Demand, waited_ms: u64, victims: &[Victim]) -> Option<usize> {
        let alike = |victim: &Victim| {
            let run = self.runs.get(victim.run);
            run.is_some_and(|run| run.image == demand.image && run.step != demand.step)
        };
        let makes_room = |victim: &Victim| self.makes_room(demand, victim.run);
        let best = victims
            .iter()
            .position(|victim| alike(victim) && makes_room(victim));
        if best.is_some() || waited_ms < ANY_MS {
            return best;
        }
        victims.iter().position(makes_room)
    }

    /// makes_room tells whether a waiting task could start in the place of a run.
    fn makes_room(&self, demand: &Demand, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let worker = self.worker(run.worker);
        let room = worker
            .info
            .capacity
            .minus(&worker.allocated.minus(&run.guaranteed_size()));
        demand.size.fits(&room)
            && demand.priority <= self.priority_of(run.step)
            && demand.is_near(worker)
            && self.check_eligibility(demand, run.worker).is_ok()
            && self.may_interrupt(key)
    }
}
