// SPDX-License-Identifier: Apache-2.0
//! Isolated starts: a suspect starts apart from other runs, so that a crash shows its cause.

use stackpier_core::Millis;

use super::{CLEAR_AFTER_MS, MIN_CRASHES, QUIET_MS};
use crate::{
    Cell,
    arena::{RunKey, TaskKey, WorkerKey},
    worker::Worker,
};

/// MAX_STRICT_WAIT_MS is how long a task under which two workers have crashed waits for a worker on
/// which every run is cleared or older than [`CLEAR_AFTER_MS`], before it accepts one on which
/// nothing has begun for [`QUIET_MS`].
const MAX_STRICT_WAIT_MS: u64 = 2_000;

/// ANSWERED_MS is how recently a worker must have answered to take the start of a suspect. A worker
/// that is gone is found silent only after up to 0.7 s, and a start sent to it in that time would
/// count against the suspect.
const ANSWERED_MS: u64 = 200;

/// POLL_GAP_MS is the time between two rounds of polls for suspects. An answer takes a few
/// milliseconds.
const POLL_GAP_MS: u64 = 50;

/// MAX_POLLED is the number of suspects that one round polls workers for. Each poll rates all
/// workers: without a limit, the polls for 300 suspects on 240 workers left a VM of 0.12 cores no
/// time to place anything else. With the limit, a round on 540 workers takes a tenth of the work
/// that such a VM can do between rounds.
const MAX_POLLED: usize = 8;

/// Isolation is the start of a suspect that keeps other starts off a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    pub run: RunKey,
    /// Until when no other run may start there.
    pub until: Millis,
}

impl Worker {
    /// allows_other_starts reports whether no isolated start on the worker keeps others off it.
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
        let until = match suspect.incarnations.len() {
            0 | 1 => self.now.mono.plus(QUIET_MS),
            // Until the run is cleared or has ended.
            _ => Millis(u64::MAX),
        };
        self.worker_mut(worker).isolation = Some(Isolation { run, until });
    }

    /// may_start_isolated reports whether a worker may take the isolated start of a suspect: no
    /// other run there may be a possible cause of a crash.
    pub(crate) fn may_start_isolated(&self, task: TaskKey, key: WorkerKey) -> bool {
        let entry = self.task(task);
        let Some(suspect) = &entry.suspect else {
            return true;
        };
        let now = self.now.mono;
        let strict = suspect.incarnations.len() >= MIN_CRASHES - 1
            && self.known_wait_ms(task) < MAX_STRICT_WAIT_MS;
        let quiet_ms = if strict { CLEAR_AFTER_MS } else { QUIET_MS };
        let began_before = |run: &RunKey| {
            let run = self.runs.get(*run);
            run.is_none_or(|run| now.since(run.since) >= quiet_ms)
        };
        let worker = self.worker(key);
        worker.isolation.is_none() && self.uncleared_runs(key).iter().all(began_before)
    }

    /// known_wait_ms returns for how long this owner has known that a task waits after a run. Of an
    /// earlier job that is since the owner read it, if it has seen no run end.
    fn known_wait_ms(&self, task: TaskKey) -> u64 {
        let (entry, now) = (self.task(task), self.now.mono);
        let step = self.step_of(entry.step);
        match entry.downtime {
            Some(downtime) => downtime.known_ms(now),
            None if self.job(step.job).inherited => now.since(step.ready_since),
            None => 0,
        }
    }

    /// is_isolated_for_other reports whether a task that is suspected of crashing workers may not start
    /// on a worker for now, as another one has just started there.
    pub(crate) fn is_isolated_for_other(&self, worker: WorkerKey, task: TaskKey) -> bool {
        self.task(task).suspect.is_some() && self.worker(worker).isolation.is_some()
    }

    /// has_just_answered reports whether a worker has answered within [`ANSWERED_MS`].
    pub(crate) fn has_just_answered(&self, key: WorkerKey) -> bool {
        let clock = self.worker(key).clock;
        clock.is_some_and(|clock| self.now.mono.since(clock.at) < ANSWERED_MS)
    }

    /// has_waiting_suspects reports whether suspects wait to be placed.
    pub(crate) fn has_waiting_suspects(&self) -> bool {
        self.suspects.iter().any(|task| self.task(*task).ready)
    }

    /// poll_for_suspects polls the workers that waiting suspects would start on, because idle
    /// workers answer only occasionally. The suspects that were polled for longest ago come first.
    pub(crate) fn poll_for_suspects(&mut self) {
        let now = self.now.mono;
        if now.since(self.polled_for_suspects) < POLL_GAP_MS
            || self.guaranteed_pass.budget.is_spent()
        {
            return;
        }
        self.polled_for_suspects = now;
        let mut waiting: Vec<TaskKey> = self.suspects.clone();
        waiting.retain(|task| self.task(*task).ready);
        waiting.sort_by_key(|task| {
            self.task(*task)
                .suspect
                .as_ref()
                .map(|suspect| suspect.polled_at)
        });
        waiting.truncate(MAX_POLLED);
        for task in waiting {
            self.poll_for(task);
        }
    }

    fn poll_for(&mut self, task: TaskKey) {
        let (now, step) = (self.now.mono, self.task(task).step);
        if let Some(suspect) = self.task_mut(task).suspect.as_mut() {
            suspect.polled_at = now;
        }
        if !self.may_start(task) {
            return;
        }
        let demand = self.demand(step);
        let worker = demand.and_then(|demand| self.find_worker_unverified(task, &demand));
        if let Some(worker) = worker.filter(|key| !self.has_just_answered(*key)) {
            self.renew_now(worker);
        }
    }
}
