// SPDX-License-Identifier: Apache-2.0
//! Which of a silent worker's runs may have brought it down.

use stackpier_core::Millis;

use super::{PROVED_MS, QUIET_MS};
use crate::{
    Cell,
    arena::{RunKey, WorkerKey},
};

/// TOGETHER_MS is within what time workers that go down together are found silent: calls to
/// them wait up to half a second for an end and 0.6 s more.
const TOGETHER_MS: u64 = 1_100;

impl Cell {
    /// unproved_runs returns the runs on a worker that may bring it down: the worker gave
    /// no sign of life one second after their start or later.
    pub(super) fn unproved_runs(&self, key: WorkerKey) -> Vec<RunKey> {
        let worker = self.worker(key);
        let runs = worker.runs.iter().filter_map(|run| self.runs.get(*run));
        let confirmed = runs.filter_map(|run| run.confirmed).max();
        let heard = worker.clock.map(|clock| clock.at);
        let alive = confirmed.max(heard).unwrap_or(Millis(0));
        let unproved = |run: &&RunKey| {
            let run = self.runs.get(**run);
            run.is_some_and(|run| !run.cleared && run.since.plus(PROVED_MS) > alive)
        };
        worker.runs.iter().filter(unproved).copied().collect()
    }

    /// fell_silent_before returns the other workers that did so just before: a rack or a data
    /// centre that goes down, rather than a task. They may be over by now, as their next lives
    /// answer.
    pub(super) fn fell_silent_before(&self, key: WorkerKey) -> Vec<WorkerKey> {
        let lately = |since: Millis| self.now.mono.since(since) < TOGETHER_MS;
        let others = self.incarnations().filter(|other| *other != key);
        let silent = |other: &WorkerKey| self.worker(*other).silent_since.is_some_and(lately);
        others.filter(silent).collect()
    }

    /// likely_causes returns those of a silent worker's unproved runs that are most likely
    /// to have brought it down.
    ///
    /// Of the starts without an answer only the first ones may have reached it alive. A
    /// suspect that was confirmed is likelier than what ran there before, which went on
    /// without it, but not than what began well after it.
    pub(super) fn likely_causes(&self, unproved: Vec<RunKey>) -> Vec<RunKey> {
        let began = |run: &RunKey| self.runs.get(*run).map_or(Millis(0), |run| run.since);
        let confirmed = |run: &RunKey| self.is_confirmed(*run);
        let unclear = unproved.iter().filter(|run| !confirmed(run));
        let first = unclear.map(began).min().unwrap_or(Millis(0));
        let may_have = |run: &RunKey| confirmed(run) || began(run) <= first.plus(QUIET_MS);
        let mut causes = unproved;
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
