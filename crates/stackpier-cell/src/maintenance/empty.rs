// SPDX-License-Identifier: Apache-2.0
//! Emptying a host before it goes down: which of its runs are stopped, and
//! when.

use stackpier_core::Millis;

use crate::{
    Cell, TaskKey,
    arena::{RunKey, WorkerKey},
    run::{Phase, Run},
};

use super::rollout::{HostKey, Stage};

/// EMPTY_MS is how long short tasks on a host get to end by themselves.
const EMPTY_MS: u64 = 2_000;
/// STUCK_MS is how long emptying a host may go on without a run that is stopped: a
/// lasting task takes up to four seconds to be at work elsewhere.
const STUCK_MS: u64 = 8_000;
/// RETRY_MS is the pause before a host that could not be emptied is tried again.
const RETRY_MS: u64 = 8_000;

impl Cell {
    /// empty moves what runs on a host, and orders it down when nothing does.
    pub(super) fn empty(&mut self, key: HostKey, worker: WorkerKey, since: Millis) {
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
        let late = now.since(since) >= EMPTY_MS;
        for run in self.worker(worker).runs.clone() {
            if self.is_to_move(run, late) {
                self.move_away(run);
                self.host_mut(key).progress = now;
            }
        }
        if now.since(self.host(key).progress) >= STUCK_MS {
            self.reopen(key);
        }
    }

    /// reopen lets a host take tasks again that can't be emptied now: what was moved
    /// off it may find room nowhere else, and what is left waits for just that.
    fn reopen(&mut self, key: HostKey) {
        let not_before = self.now.mono.plus(RETRY_MS);
        let host = self.host_mut(key);
        host.stage = Stage::Waiting;
        host.not_before = not_before;
        let text = format!("host {} can't be emptied now", host.name);
        self.log("maintenance", None, text);
    }

    /// is_to_move tells whether a run on a host that is being emptied is to be
    /// stopped now.
    fn is_to_move(&self, key: RunKey, late: bool) -> bool {
        let Some(run) = self.runs.get(key).filter(|run| run.phase == Phase::Running) else {
            return false;
        };
        if run.long_running {
            return self.may_interrupt(key);
        }
        late || self.step_spec(run.step).checkpointing
    }

    /// may_interrupt tells whether a lasting task may be stopped: less of its step's
    /// tasks are away than may be.
    pub(crate) fn may_interrupt(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(key) else {
            return false;
        };
        let Some(most) = self.step_spec(run.step).may_miss else {
            return true;
        };
        let step = self.step_of(run.step);
        let tasks = (step.first_task.0..step.first_task.0 + step.count).map(TaskKey);
        let others = tasks.filter(|task| *task != run.task);
        let away = others.filter(|task| !self.is_at_work(*task)).count();
        (away as u32) < most
    }

    /// is_at_work tells whether a lasting task has a run that works, as far as
    /// its worker says, and is not being stopped.
    fn is_at_work(&self, task: TaskKey) -> bool {
        let runs = self.task(task).runs.iter();
        let mut runs = runs.filter_map(|key| self.runs.get(*key));
        let works = |run: &Run| run.phase == Phase::Running && run.percent >= 100;
        runs.any(|run| works(run) && self.worker(run.worker).is_responsive())
    }

    fn move_away(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let name = self.name(run.task);
        let text = "stopped: its host is to go down for maintenance".to_owned();
        self.log("maintenance", Some(name), text);
        self.stop(key);
    }
}
