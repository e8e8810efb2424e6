// SPDX-License-Identifier: Apache-2.0
//! Isolated starts: those of suspects, apart from others, so that a crash shows its cause.

use stackpier_core::Millis;

use super::{MIN_CRASHES, PROVED_MS, QUIET_MS};
use crate::{
    Cell,
    arena::{RunKey, TaskKey, WorkerKey},
    worker::Worker,
};

/// PATIENCE_MS is how long a task that two workers crashed under waits for a worker on
/// which every run is proved, before it takes one that was quiet for [`QUIET_MS`].
const PATIENCE_MS: u64 = 2_000;

/// ANSWERED_MS is how long ago a worker must have answered to take the start of a suspect. One
/// that is gone is known to be silent only after up to 0.7 s, and a start that it does not
/// answer would count against the suspect.
const ANSWERED_MS: u64 = 200;

/// ASK_MS is the time between two rounds of questions for suspects: an answer takes a few
/// milliseconds.
const ASK_MS: u64 = 50;

/// ASKED is for how many suspects a round asks: each question rates all workers, and without
/// a bound those for 300 suspects on 240 workers left a VM of 0.12 cores no time to place
/// anything else. On 540 workers a round takes a tenth of what such a VM may do meanwhile.
const ASKED: usize = 8;

/// Isolation is a start of a suspect on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    pub run: RunKey,
    /// Until when nothing else starts there.
    pub until: Millis,
}

impl Worker {
    /// allows_other_starts tells whether no isolated start there holds others up.
    pub(crate) fn allows_other_starts(&self, now: Millis) -> bool {
        self.isolation
            .is_none_or(|isolation| now >= isolation.until)
    }
}

impl Cell {
    /// begin_isolation keeps other starts off a worker on which a suspect has just started.
    pub(crate) fn begin_isolation(&mut self, run: RunKey, task: TaskKey, worker: WorkerKey) {
        let Some(suspect) = &self.task(task).suspect else {
            return;
        };
        let until = match suspect.lives.len() {
            0 | 1 => self.now.mono.plus(QUIET_MS),
            // Until the run is proved or over.
            _ => Millis(u64::MAX),
        };
        self.worker_mut(worker).isolation = Some(Isolation { run, until });
    }

    /// may_start_isolated tells whether a worker may take the isolated start of a suspect:
    /// a crash must not be the fault of another run there.
    pub(crate) fn may_start_isolated(&self, task: TaskKey, key: WorkerKey) -> bool {
        let entry = self.task(task);
        let Some(suspect) = &entry.suspect else {
            return true;
        };
        let now = self.now.mono;
        let waited = entry.ended.map_or(0, |at| now.since(at));
        let strict = suspect.lives.len() >= MIN_CRASHES - 1 && waited < PATIENCE_MS;
        let quiet_ms = if strict { PROVED_MS } else { QUIET_MS };
        let began_before = |run: &RunKey| {
            let run = self.runs.get(*run);
            run.is_none_or(|run| now.since(run.since) >= quiet_ms)
        };
        let worker = self.worker(key);
        worker.isolation.is_none() && self.unproved_runs(key).iter().all(began_before)
    }

    /// has_just_answered tells whether a worker was there a moment ago.
    pub(crate) fn has_just_answered(&self, key: WorkerKey) -> bool {
        let clock = self.worker(key).clock;
        clock.is_some_and(|clock| self.now.mono.since(clock.at) < ANSWERED_MS)
    }

    /// has_waiting_suspects tells whether suspects wait to be placed.
    pub(crate) fn has_waiting_suspects(&self) -> bool {
        self.suspects.iter().any(|task| self.task(*task).ready)
    }

    /// poll_for_suspects asks the workers that suspects would go to, first for those for which
    /// that is longest ago: idle workers answer only now and then.
    pub(crate) fn poll_for_suspects(&mut self) {
        let now = self.now.mono;
        if now.since(self.polled_for_suspects) < ASK_MS || self.guaranteed_pass.budget.is_spent() {
            return;
        }
        self.polled_for_suspects = now;
        let mut waiting: Vec<TaskKey> = self.suspects.clone();
        waiting.retain(|task| self.task(*task).ready);
        waiting.sort_by_key(|task| {
            self.task(*task)
                .suspect
                .as_ref()
                .map(|suspect| suspect.asked)
        });
        waiting.truncate(ASKED);
        for task in waiting {
            self.poll_for(task);
        }
    }

    fn poll_for(&mut self, task: TaskKey) {
        let (now, step) = (self.now.mono, self.task(task).step);
        if let Some(suspect) = self.task_mut(task).suspect.as_mut() {
            suspect.asked = now;
        }
        if !self.may_start(self.step_of(step).job) {
            return;
        }
        let demand = self.demand(step);
        let worker = demand.and_then(|demand| self.find_worker_unverified(task, &demand));
        if let Some(worker) = worker.filter(|key| !self.has_just_answered(*key)) {
            self.renew_now(worker);
        }
    }
}
