// SPDX-License-Identifier: Apache-2.0
//! Starts that are deferred until the store has recorded them.
//!
//! Those of suspects wait for one save, usually less than 50 ms. If the save fails, they are sent
//! anyway, and later ones do not wait until a save has succeeded again: tasks must be able to start
//! while the store is unavailable.
//!
//! Those of long-running tasks wait until the store has the task assigned to the worker. They are
//! never sent before, and given up if that takes long.
//!
//! A save may take so long that the last confirmation of the ownership is too old for the start. The
//! start is then held until the store, asked again, has confirmed the ownership.

use crate::{
    Cell,
    arena::{RunKey, TaskKey, WorkerKey},
    run::{Phase, Run},
};

/// MAX_HELD_MS is how long a start is held at most, twice the age that a confirmation may have: the
/// capacity of its worker is kept for it meanwhile.
const MAX_HELD_MS: u64 = 1_600;
/// MAX_UNASSIGNED_MS is how long a start waits for its assignment at most, while the store answers
/// slowly. It waits for [`MAX_HELD_MS`] if the store does not answer.
const MAX_UNASSIGNED_MS: u64 = 5_000;

impl Cell {
    /// is_sent reports whether the start of a run no longer waits for a save.
    pub(crate) fn is_sent(&self, key: RunKey) -> bool {
        let run = self.runs.get(key);
        run.is_some_and(|run| !run.is_deferred())
    }

    /// send_deferred sends the starts whose save has been attempted, except those that are held.
    pub(crate) fn send_deferred(&mut self) {
        for key in std::mem::take(&mut self.saver.deferred) {
            let run = self.runs.get(key).filter(|run| run.is_deferred());
            if run.is_none() {
                self.flow.record_answered(key);
            } else if self.awaits_save(key) {
                self.saver.deferred.push(key);
            } else if self.awaits_assignment(key) || self.is_held(key) {
                self.hold(key);
                self.saver.deferred.push(key);
            } else {
                self.send_or_requeue(key);
            }
        }
    }

    /// awaits_save reports whether the save that a start waits for has not been attempted.
    fn awaits_save(&self, key: RunKey) -> bool {
        let save = self.runs.get(key).and_then(|run| run.after_save);
        save.is_some_and(|save| !self.saver.has_attempted(save))
    }

    /// awaits_assignment reports whether a start waits for its assignment, unless it has waited for
    /// too long or is not to be sent any more.
    fn awaits_assignment(&self, key: RunKey) -> bool {
        let now = self.now.mono;
        let run = self.runs.get(key);
        run.is_some_and(|run| {
            // Another worker may be assigned already.
            let limit_ms = match self.needs_assigned(run.task) {
                true => MAX_HELD_MS,
                false => MAX_UNASSIGNED_MS,
            };
            run.unassigned
                && run.phase == Phase::Starting
                && now.since(run.since) < limit_ms
                && !self.is_assigned(run.task, run.worker)
        })
    }

    /// holds_starts reports whether starts are held until the store confirms the ownership.
    pub(crate) fn holds_starts(&self) -> bool {
        let mut deferred = self.saver.deferred.iter();
        deferred.any(|key| !self.awaits_save(*key) && !self.awaits_assignment(*key))
    }

    /// is_held reports whether a start whose save is done may lack only a recent confirmation. It
    /// is held no longer once the store counts as unavailable, or has been slow for too long.
    fn is_held(&self, key: RunKey) -> bool {
        let now = self.now.mono;
        let run = self.runs.get(key);
        let expired = |run: &Run| {
            let since = run.held_since;
            since.is_some_and(|since| now.since(since) >= MAX_HELD_MS)
        };
        let starting = run.filter(|run| run.phase == Phase::Starting && !expired(run));
        let has_store = self.has_store() && !self.saver.has_failed();
        has_store
            && !self.is_confirmed_lately()
            && starting.is_some_and(|run| !self.may_still_start(key, run.task))
    }

    /// hold records that a start is held. It does not count as in flight meanwhile.
    fn hold(&mut self, key: RunKey) {
        let now = self.now.mono;
        if let Some(run) = self.runs.get_mut(key)
            && run.held_since.is_none()
        {
            run.held_since = Some(now);
            self.flow.record_answered(key);
        }
    }

    /// send_or_requeue sends a deferred start, or requeues it if its worker must not run it any
    /// more.
    fn send_or_requeue(&mut self, key: RunKey) {
        let now = self.now.mono;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.phase != Phase::Starting {
            // The run is being stopped, and its start was never sent.
            self.flow.record_answered(key);
            return;
        }
        run.after_save = None;
        run.unassigned = false;
        run.since = now;
        run.progressed_at = now;
        let (task, worker, held) = (run.task, run.worker, run.held_since.is_some());
        let lease_ms = self.options.lease_ms;
        let refusal = if !self.is_assigned(task, worker) {
            "the store does not have its task assigned to its worker"
        } else if !self.knows_jobs() {
            "its job may have been cancelled meanwhile"
        } else if !self.knows_workers() {
            "its worker may have begun to drain meanwhile"
        } else if !self.may_still_take(worker, key) {
            "its worker may not take it any more"
        } else if !self.may_still_start(key, task) {
            "a run or an end that this owner does not know of is possible"
        } else if let Some(deadline_ms) = self.worker_mut(worker).lease(now, lease_ms) {
            if held {
                self.flow
                    .record_sent(now, key, self.job_of(task).payload.len());
            }
            self.begin_isolation(key, task, worker);
            self.send_start(key, deadline_ms);
            self.renew_with_wait(worker);
            return;
        } else {
            "its worker has not answered"
        };
        self.log_refused(task, worker, refusal);
        self.flow.record_answered(key);
        self.requeue_unstarted(key);
    }

    /// log_refused logs why a start was not sent after its save.
    fn log_refused(&mut self, task: TaskKey, worker: WorkerKey, refusal: &str) {
        let text = format!(
            "start on worker {} is not sent after its save: {refusal}; the store confirmed the \
             ownership {} ms ago",
            self.worker(worker).info.id,
            self.store_silent_ms()
        );
        self.log("order", Some(self.name(task)), text);
    }

    /// may_still_start reports whether a task may still start after the save. The save may have
    /// outlasted the confirmations on which the decision to start relied, and a successor may have
    /// acknowledged the end of the task in the meantime.
    fn may_still_start(&self, key: RunKey, task: TaskKey) -> bool {
        let others = self.task(task).runs.iter().filter(|other| **other != key);
        let mut others = others.filter_map(|other| self.runs.get(*other));
        !self.may_have_ended(task) && self.may_start(task) && others.all(|run| self.is_current(run))
    }

    /// may_still_take reports whether a worker may still take the run that it was chosen for: it
    /// answers, is not leaving, and has no isolated start of another step.
    fn may_still_take(&self, key: WorkerKey, run: RunKey) -> bool {
        let worker = self.worker(key);
        let step = |run: RunKey| self.runs.get(run).map(|run| run.step);
        // Members of a gang are isolated together.
        let isolated = worker.isolation.map(|isolation| isolation.run);
        let own = isolated.is_some_and(|isolated| step(isolated) == step(run));
        let quiet = own || worker.allows_other_starts(self.now.mono);
        quiet && self.is_available(worker) && self.has_authority()
    }
}
