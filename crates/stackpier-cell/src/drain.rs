// SPDX-License-Identifier: Apache-2.0
//! Moves work off workers that are about to leave.

use crate::{
    Cell,
    arena::{RunKey, WorkerKey},
    run::{Phase, Run},
    worker::Presence,
};

/// LEAVE_MARGIN_MS is the time that must be left between the end of the last run on
/// a draining worker and its departure: a stop takes up to 900 ms.
const LEAVE_MARGIN_MS: u64 = 1_100;
/// LEAVE_MS is how long a draining worker is assumed to stay if its entry does not
/// say: the minimum that the platform guarantees.
const LEAVE_MS: u64 = 2_000;

impl Cell {
    /// check_drains stops runs on draining workers that would not end before the
    /// worker leaves.
    pub(crate) fn check_drains(&mut self) {
        for key in self.collect_live_workers() {
            let worker = self.worker(key);
            if !worker.info.draining || worker.presence != Presence::Contacted {
                continue;
            }
            for run in worker.runs.clone() {
                self.check_leaving(key, run);
            }
        }
    }

    /// check_leaving stops a run on a draining worker, unless it is expected to end
    /// before the worker leaves.
    fn check_leaving(&mut self, worker: WorkerKey, key: RunKey) {
        let now = self.now.mono;
        let entry = self.worker(worker);
        let seen = entry.draining_since.unwrap_or(now);
        let stays = entry
            .info
            .remaining_ms
            .unwrap_or(LEAVE_MS)
            .max(LEAVE_MARGIN_MS);
        let left = seen.plus(stays - LEAVE_MARGIN_MS).since(now);
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if run.phase != Phase::Running || self.ends_within(run, left) {
            return;
        }
        let name = self.name(run.task);
        self.log(
            "drain",
            Some(name),
            "stopped: its worker is leaving".to_owned(),
        );
        self.stop(key);
    }

    /// ends_within reports whether a run is expected to end within `ms`
    /// milliseconds, by its estimate. A long-running one never is.
    fn ends_within(&self, run: &Run, ms: u64) -> bool {
        if run.long_running {
            return false;
        }
        let spec = self.step_spec(run.step);
        let left = u64::from(spec.estimate_ms) * u64::from(100 - run.percent.min(100)) / 100;
        left <= ms
    }
}
