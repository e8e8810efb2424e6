// SPDX-License-Identifier: Apache-2.0
//! Runs that stall or lag: they are moved, or copied where the step allows copies.

use crate::{
    Cell, Mechanism,
    arena::{RunKey, TaskKey},
    run::{Phase, Run},
    takeover::MAX_CONFIRMATION_AGE_MS,
};

/// MIN_LAG_MS is by how much a run must exceed its estimated run time, at least, to be
/// copied.
const MIN_LAG_MS: u64 = 400;
/// START_MS is how long a long-running task may take from its start until it works.
const START_MS: u64 = 4_000;

impl Cell {
    /// check_runs moves stalled runs and sends unanswered stops again.
    pub(crate) fn check_runs(&mut self) {
        for key in self.collect_runs(|run| self.needs_check(run)) {
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

    /// collect_runs returns some runs as a list, for loops that change them, in the order of the
    /// workers. It scans the runs in the order of memory, as few of thousands are wanted.
    fn collect_runs(&self, wanted: impl Fn(&Run) -> bool) -> Vec<RunKey> {
        let found = self.runs.iter().filter(|(_, run)| wanted(run));
        let place = |(key, run): (RunKey, &Run)| {
            let runs = &self.worker(run.worker).runs;
            (run.worker, runs.iter().position(|other| *other == key), key)
        };
        let mut found: Vec<_> = found.map(place).collect();
        found.sort_by_key(|(worker, position, _)| (*worker, *position));
        found.into_iter().map(|(_, _, key)| key).collect()
    }

    /// needs_check reports whether a run is being stopped or may have stalled. It looks at nothing
    /// but the run and its worker, because almost no run needs a check.
    fn needs_check(&self, run: &Run) -> bool {
        match run.phase {
            Phase::Stopping => true,
            Phase::Running => {
                let at_work = run.long_running && run.percent >= 100;
                !at_work
                    && run.pace == 100
                    && self.still_ms(run) >= self.options.stall_ms.min(START_MS)
            }
            Phase::Starting | Phase::Unsure(_) => false,
        }
    }

    /// still_ms returns for how long a run had made no progress at the last report of its worker.
    fn still_ms(&self, run: &Run) -> u64 {
        let reported = self.worker(run.worker).clock.map(|clock| clock.at);
        reported
            .unwrap_or(run.progressed_at)
            .since(run.progressed_at)
    }

    /// check_stall moves a run that made no progress for a long time up to the last report of its
    /// worker. The time since that report does not count: an owner without authority requests no
    /// reports, and would stop runs that have made progress meanwhile.
    fn check_stall(&mut self, key: RunKey) {
        let now = self.now.mono;
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let worker = self.worker(run.worker);
        let estimate = u64::from(self.step_spec(run.step).estimate_ms);
        // Progress comes in whole percents, and one percent of a long task takes long.
        let limit = self.options.stall_ms + estimate / 10;
        let limit = if run.long_running { START_MS } else { limit };
        let responsive = worker.is_responsive();
        let still_ms = self.still_ms(run);
        let at_work = run.long_running && run.percent >= 100;
        if !self.is_enabled(Mechanism::Stall)
            || !responsive
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

    /// check_copies starts a second run of lagging tasks, where copies are allowed.
    pub(crate) fn check_copies(&mut self) {
        if !self.may_place() || !self.is_enabled(Mechanism::Copies) {
            return;
        }
        for key in self.collect_runs(|run| run.may_be_copied) {
            if let Some(task) = self.lagging_task(key) {
                self.start_copy(task);
            }
        }
    }

    /// lagging_task returns the task of a run, if the run lags and may be copied.
    fn lagging_task(&self, key: RunKey) -> Option<TaskKey> {
        let run = self.runs.get(key)?;
        let spec = self.step_spec(run.step);
        let task = self.task(run.task);
        let alone = task.runs.len() == 1 && !task.done && !task.ready;
        let active = run.phase == Phase::Running && !self.job_of(run.task).state.is_final();
        if !run.may_be_copied || !alone || !active {
            return None;
        }
        let estimate = u64::from(spec.estimate_ms);
        let limit = estimate * self.options.speculate_percent / 100;
        let late = self.now.mono.since(run.since) > limit.max(estimate + MIN_LAG_MS);
        let expected = self.now.mono.since(run.since) * 100 / estimate.max(1);
        let lags = u64::from(run.percent) * 2 < expected;
        (late && lags && self.is_current(run)).then_some(run.task)
    }

    /// is_current reports whether what this owner knows of a run is recent: less than
    /// [`MAX_CONFIRMATION_AGE_MS`] ago the run's worker answered it, so no successor had contacted
    /// that worker, or the store confirmed the ownership. Otherwise a successor may have recorded
    /// the run's end some time ago, and the run would seem to lag.
    pub(crate) fn is_current(&self, run: &Run) -> bool {
        let answered = self.worker(run.worker).clock.map(|clock| clock.at);
        let last_proof = answered.map_or(self.ownership.confirmed, |at| {
            at.max(self.ownership.confirmed)
        });
        self.now.mono.since(last_proof) < MAX_CONFIRMATION_AGE_MS
    }

    /// start_copy starts a second run of a task, if a worker can take it.
    fn start_copy(&mut self, task: TaskKey) {
        let demand = self.demand(self.task(task).step);
        let worker = demand.and_then(|demand| self.find_worker(task, &demand));
        let Some(worker) = worker else {
            return;
        };
        let name = self.name(task);
        self.log(
            "speculate",
            Some(name),
            "starting a copy: the first run lags".to_owned(),
        );
        self.start(task, worker);
    }
}
