// SPDX-License-Identifier: Apache-2.0
//! Runs that stand still or lag: moved, or started a second time where copies
//! are allowed.

use crate::{
    Cell, Mechanism,
    arena::{RunKey, TaskKey},
    run::{Phase, Run},
    takeover::MAX_CONFIRMATION_AGE_MS,
};

/// MIN_LAG_MS is the least time by which a run lags before a copy starts.
const MIN_LAG_MS: u64 = 400;
/// START_MS is how long a lasting task may take to be at work.
const START_MS: u64 = 4_000;

impl Cell {
    /// check_runs moves runs that stand still and sends stops again.
    pub(crate) fn check_runs(&mut self) {
        for key in self.runs_now() {
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            match run.phase {
                Phase::Stopping => self.stop(key),
                Phase::Running => self.check_stall(key),
                Phase::Starting | Phase::Unsure(_) => {}
            }
        }
    }

    /// runs_now returns all runs as a list, for loops that change them.
    fn runs_now(&self) -> Vec<RunKey> {
        let workers = self.workers.iter();
        workers.flat_map(|worker| worker.runs.clone()).collect()
    }

    /// check_stall moves a run whose progress stands still, by the last report of its worker.
    /// The time since then counts for nothing: without authority no reports are asked for, and
    /// runs that got on all the while were stopped.
    fn check_stall(&mut self, key: RunKey) {
        let now = self.now.mono;
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let worker = self.worker(run.worker);
        let estimate = u64::from(self.step_spec(run.step).estimate_ms);
        // One percent of a long task takes long by itself.
        let limit = self.options.stall_ms + estimate / 10;
        let limit = if run.long_running { START_MS } else { limit };
        let heard = worker.is_responsive();
        let reported = worker.clock.map_or(run.progressed_at, |clock| clock.at);
        let still_ms = reported.since(run.progressed_at);
        let at_work = run.long_running && run.percent >= 100;
        if !self.is_enabled(Mechanism::Stall)
            || !heard
            || at_work
            || run.pace < 100
            || still_ms < limit
        {
            return;
        }
        let (worker, task) = (run.worker, run.task);
        if run.pace_unknown {
            self.mark_pace_unconfirmed(key);
            return;
        }
        let text = format!("stopped: no progress at {}% for {still_ms} ms", run.percent);
        self.log("stall", Some(self.name(task)), text);
        self.worker_mut(worker).health.record_stall(now);
        self.record_failure_on(task, worker);
        self.stop(key);
    }

    /// check_copies readies a second run of tasks that lag, where copies are
    /// allowed.
    pub(crate) fn check_copies(&mut self) {
        for key in self.runs_now() {
            if let Some(task) = self.lagging(key) {
                self.copy(task);
            }
        }
    }

    fn lagging(&self, key: RunKey) -> Option<TaskKey> {
        let run = self.runs.get(key)?;
        let shape = self.step_spec(run.step);
        let task = self.task(run.task);
        let alone = task.runs.len() == 1 && !task.done && !task.ready;
        let goes_on = run.phase == Phase::Running && !self.job_of(run.task).state.is_final();
        if !self.is_enabled(Mechanism::Copies)
            || !shape.speculative
            || !alone
            || !goes_on
            || shape.long_running
            || shape.gang
        {
            return None;
        }
        let estimate = u64::from(shape.estimate_ms);
        let limit = estimate * self.options.speculate_percent / 100;
        let late = self.now.mono.since(run.since) > limit.max(estimate + MIN_LAG_MS);
        let expected = self.now.mono.since(run.since) * 100 / estimate.max(1);
        let lags = u64::from(run.percent) * 2 < expected;
        (late && lags && self.is_current(run)).then_some(run.task)
    }

    /// is_current tells whether no later owner can have noted the end of a run some time ago:
    /// its worker has just answered this owner, so that it had met no later one, or the store
    /// has just confirmed the ownership. What is not heard of would seem to lag.
    pub(crate) fn is_current(&self, run: &Run) -> bool {
        let answered = self.worker(run.worker).clock.map(|clock| clock.at);
        let sign = answered.map_or(self.ownership.confirmed, |at| {
            at.max(self.ownership.confirmed)
        });
        self.now.mono.since(sign) < MAX_CONFIRMATION_AGE_MS
    }

    fn copy(&mut self, task: TaskKey) {
        let demand = self.demand(self.task(task).step);
        let worker = demand.and_then(|demand| self.find_worker(task, &demand));
        let Some(worker) = worker else {
            return;
        };
        let name = self.name(task);
        self.log(
            "speculate",
            Some(name),
            "a copy starts: the first run lags".to_owned(),
        );
        self.start(task, worker);
    }
}
