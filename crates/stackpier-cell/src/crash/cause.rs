// SPDX-License-Identifier: Apache-2.0
//! Finds the runs that may have brought down a silent worker.

use stackpier_core::Millis;

use super::{CLEAR_AFTER_MS, QUIET_MS};
use crate::{
    Cell,
    arena::{RunKey, WorkerKey},
};

/// SHARED_FAILURE_MS is the time within which workers that fail together are found silent: a call
/// waits up to half a second for an end of a run and 0.6 s more for the answer.
const SHARED_FAILURE_MS: u64 = 1_100;

impl Cell {
    /// uncleared_runs returns the runs that may bring a worker down: those that have not been
    /// cleared, unless the worker answered or confirmed a start one second or more after they
    /// began.
    pub(super) fn uncleared_runs(&self, key: WorkerKey) -> Vec<RunKey> {
        let worker = self.worker(key);
        let runs = worker.runs.iter().filter_map(|run| self.runs.get(*run));
        let confirmed = runs.filter_map(|run| run.confirmed).max();
        let answered = worker.clock.map(|clock| clock.at);
        let alive = confirmed.max(answered).unwrap_or(Millis(0));
        let uncleared = |run: &&RunKey| {
            let run = self.runs.get(**run);
            run.is_some_and(|run| !run.cleared && run.since.plus(CLEAR_AFTER_MS) > alive)
        };
        worker.runs.iter().filter(uncleared).copied().collect()
    }

    /// find_lately_silent returns the other workers that fell silent shortly before, which points
    /// to the failure of a rack or a data centre rather than to a task. Incarnations that have
    /// ended are included, because the next incarnation of such a worker may already answer.
    pub(super) fn find_lately_silent(&self, key: WorkerKey) -> Vec<WorkerKey> {
        let lately = |since: Millis| self.now.mono.since(since) < SHARED_FAILURE_MS;
        let others = self.incarnations().filter(|other| *other != key);
        let silent = |other: &WorkerKey| self.worker(*other).silent_since.is_some_and(lately);
        others.filter(silent).collect()
    }

    /// likely_causes returns those uncleared runs of a silent worker that are most likely to have
    /// brought it down.
    ///
    /// Among starts without an answer, only the first ones may have reached the worker while it was
    /// still up. A suspect whose start was confirmed is a more likely cause than runs that began
    /// before it, since the worker had run those without a crash, but not more likely than runs
    /// that began well after it.
    pub(super) fn likely_causes(&self, uncleared: Vec<RunKey>) -> Vec<RunKey> {
        let began = |run: &RunKey| self.runs.get(*run).map_or(Millis(0), |run| run.since);
        let confirmed = |run: &RunKey| self.is_confirmed(*run);
        let unconfirmed = uncleared.iter().filter(|run| !confirmed(run));
        let first = unconfirmed.map(began).min().unwrap_or(Millis(0));
        let may_have = |run: &RunKey| confirmed(run) || began(run) <= first.plus(QUIET_MS);
        let mut causes = uncleared;
        causes.retain(may_have);
        let isolated = |run: &&RunKey| self.is_of_suspect(**run) && confirmed(run);
        if let Some(last) = causes.iter().filter(isolated).map(began).max() {
            causes.retain(|run| self.is_of_suspect(*run) || began(run) >= last.plus(QUIET_MS));
        }
        causes
    }

    fn is_confirmed(&self, run: RunKey) -> bool {
        let run = self.runs.get(run);
        run.is_some_and(|run| run.confirmed.is_some())
    }

    fn is_of_suspect(&self, run: RunKey) -> bool {
        let run = self.runs.get(run);
        run.is_some_and(|run| self.task(run.task).suspect.is_some())
    }
}
