// SPDX-License-Identifier: Apache-2.0
//! Relief for serving tasks that best-effort tasks keep over their targets.
//!
//! Client accounts allow this for a limited time on end (`Options::max_over_target_ms`). Shortly
//! before it is up, all best-effort tasks on the worker are paused, and none starts there for a
//! while. Until then paces are adjusted by what is expected (`pace`).
//!
//! Once nothing best-effort has worked beside a serving task for a while, the time begins anew: if
//! the task is still over its target, that is due to its own load, and further pauses would help
//! nobody. The model is not asked for a task's own load here: coefficients of pairs change within
//! seconds, so it may take a harmed task for one that is over its target by its own load.

use crate::{
    Cell, Mechanism,
    arena::WorkerKey,
    run::{Phase, Run},
};

/// REPORT_LAG_MS is how much longer than reports show a task may have been over its target: a
/// report covers the last half second, a worker with serving tasks reports every 0.3 s, and the
/// latencies in reports are noisy, so that some show a task near its target as recovered.
const REPORT_LAG_MS: u64 = 1_300;
/// EFFECT_MS is the time from the decision to pause tasks until the tail latency has fallen: the
/// order, its effect on the worker, and the half second over which the latency is measured.
const EFFECT_MS: u64 = 800;
/// START_MS is how long before a pause the last best-effort task may start on the worker: a run can
/// be paused once a report has shown it.
const START_MS: u64 = 400;
/// PAUSE_MS is how long all best-effort tasks on a worker must have been paused for the time of its
/// serving tasks to begin anew: two reports then show these without any influence.
const PAUSE_MS: u64 = 1_500;

impl Cell {
    /// relieve pauses all best-effort tasks on a worker if a serving task there has been over its
    /// target for almost as long as client accounts allow. It reports whether that is so.
    pub(crate) fn relieve(&mut self, worker: WorkerKey) -> bool {
        if !self.is_enabled(Mechanism::Relief) {
            return false;
        }
        self.update_paused(worker);
        let serving = self.serving_runs(worker);
        if self.has_paused_for_long(worker) {
            for key in serving {
                if let Some(run) = self.runs.get_mut(key) {
                    run.over_since = None;
                }
            }
            return false;
        }
        let now = self.now.mono;
        let runs = serving.iter().filter_map(|key| self.runs.get(*key));
        let over_ms = runs.map(|run| self.over_target_ms(run)).max().unwrap_or(0);
        if over_ms + START_MS >= self.pause_after_ms() {
            self.worker_mut(worker).best_effort_from = now.plus(PAUSE_MS);
        }
        if over_ms < self.pause_after_ms() {
            return false;
        }
        for key in self.best_effort_runs(worker) {
            self.set_pace(key, 0);
        }
        true
    }

    /// pause_after_ms returns how long a serving task may be over its target before best-effort
    /// tasks are paused.
    fn pause_after_ms(&self) -> u64 {
        let margin_ms = REPORT_LAG_MS + EFFECT_MS;
        self.options.max_over_target_ms.saturating_sub(margin_ms)
    }

    /// over_target_ms returns how long a serving task has been over its target, zero if the last
    /// report shows that it may recover.
    fn over_target_ms(&self, run: &Run) -> u64 {
        match (run.over_since, run.recovered_since) {
            (Some(since), None) => self.now.mono.since(since),
            _ => 0,
        }
    }

    /// update_paused records since when no best-effort task has worked on a worker.
    fn update_paused(&mut self, key: WorkerKey) {
        let works = |run: &Run| run.best_effort && run.phase != Phase::Stopping && run.pace > 0;
        let mut runs = self.worker(key).runs.iter();
        let has_work = runs.any(|run| self.runs.get(*run).is_some_and(works));
        let now = self.now.mono;
        let worker = self.worker_mut(key);
        worker.paused_since = match has_work {
            true => None,
            false => worker.paused_since.or(Some(now)),
        };
    }

    fn has_paused_for_long(&self, worker: WorkerKey) -> bool {
        let since = self.worker(worker).paused_since;
        since.is_some_and(|since| self.now.mono.since(since) >= PAUSE_MS)
    }
}
