// SPDX-License-Identifier: Apache-2.0
//! Empties a host before it goes down: decides which of its runs are stopped,
//! and when.

use stackpier_core::Millis;

use crate::{
    Cell, TaskKey,
    arena::{RunKey, WorkerKey},
    run::{Phase, Run},
};

use super::rollout::{HostKey, Stage};

/// EMPTY_MS is how long tasks without checkpoints on a host get to end by
/// themselves; long-running tasks get no such time.
const EMPTY_MS: u64 = 2_000;
/// STUCK_MS is how long emptying a host may go on without a run being stopped,
/// before the host is reopened: a long-running task takes up to four seconds until
/// it works elsewhere.
const STUCK_MS: u64 = 8_000;
/// RETRY_MS is the pause before a host that could not be emptied is emptied again.
const RETRY_MS: u64 = 8_000;

impl Cell {
    /// empty_host stops runs on a host, and orders the host down when no run is
    /// left.
    pub(super) fn empty_host(&mut self, key: HostKey, worker: WorkerKey, since: Millis) {
        let now = self.now.mono;
        if !self.may_order_down() {
            return;
        }
        if self.worker(worker).runs.is_empty() {
            if now >= self.take_downs_from.max(self.host(key).not_before) {
                self.take_down(key);
            }
            return;
        }
        let overdue = now.since(since) >= EMPTY_MS;
        for run in self.worker(worker).runs.clone() {
            if self.must_stop(run, overdue) {
                self.stop_for_maintenance(run);
                self.host_mut(key).last_stop_at = now;
            }
        }
        if now.since(self.host(key).last_stop_at) >= STUCK_MS {
            self.reopen(key);
        }
    }

    /// reopen lets a host that cannot be emptied now get starts again. A task that
    /// was stopped here may fit nowhere else, and other tasks of its step that are
    /// left here may be stopped only once it works again.
    fn reopen(&mut self, key: HostKey) {
        let not_before = self.now.mono.plus(RETRY_MS);
        let host = self.host_mut(key);
        host.stage = Stage::Waiting;
        host.not_before = not_before;
        let text = format!(
            "host {} cannot be emptied now, trying again later",
            host.name
        );
        self.log("maintenance", None, text);
    }

    /// must_stop reports whether a run on a host that is being emptied must be
    /// stopped now.
    fn must_stop(&self, key: RunKey, overdue: bool) -> bool {
        let Some(run) = self.runs.get(key).filter(|run| run.phase == Phase::Running) else {
            return false;
        };
        if run.long_running {
            return self.may_interrupt(key);
        }
        overdue || self.step_spec(run.step).checkpointing
    }

    /// may_interrupt reports whether a long-running task may be stopped: fewer of
    /// its step's other tasks are missing than the step tolerates.
    pub(crate) fn may_interrupt(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let Some(max_missing) = self.step_spec(run.step).may_miss else {
            return true;
        };
        let others = self
            .tasks_of_step(run.step)
            .filter(|task| *task != run.task);
        let missing = others.filter(|task| !self.is_working(*task)).count();
        (missing as u32) < max_missing
    }

    /// is_working reports whether a long-running task has a run that works, by the
    /// last report of a worker that answers, and that is not being stopped.
    fn is_working(&self, task: TaskKey) -> bool {
        let runs = self.task(task).runs.iter();
        let mut runs = runs.filter_map(|key| self.runs.get(*key));
        let works = |run: &Run| {
            run.phase == Phase::Running && run.percent >= 100 && !self.may_be_stopping(run)
        };
        runs.any(|run| works(run) && self.worker(run.worker).is_responsive())
    }

    /// may_be_stopping reports whether a predecessor may have ordered a run to stop: reports show
    /// it as long as it has not ended.
    fn may_be_stopping(&self, run: &Run) -> bool {
        let ended_by = run.since.plus(self.options.stop_ms);
        run.number < self.first_run() && self.worker(run.worker).report_requested_at <= ended_by
    }

    fn stop_for_maintenance(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let name = self.name(run.task);
        let text = "stopped: its host goes down for maintenance".to_owned();
        self.log("maintenance", Some(name), text);
        self.stop(key);
    }
}
