// SPDX-License-Identifier: Apache-2.0
//! Rounds that have ended are dropped, with all that refers to them.

use std::rc::Rc;

use crate::{
    Cell,
    arena::{RoundKey, StepKey, TaskKey},
};

impl Cell {
    /// end_round has a round dropped that is done, or whose job is over.
    pub(crate) fn end_round(&mut self, key: RoundKey) {
        self.ended_rounds.push(key);
    }

    /// drop_ended_rounds drops the rounds that have ended and have no runs left.
    pub(crate) fn drop_ended_rounds(&mut self) {
        let ended = std::mem::take(&mut self.ended_rounds);
        let (due, later): (Vec<_>, Vec<_>) = ended
            .into_iter()
            .filter(|key| self.has_round(*key))
            .partition(|key| self.may_drop(*key));
        self.ended_rounds = later;
        if due.is_empty() {
            return;
        }
        due.into_iter().for_each(|key| self.drop_round(key));
        self.prune_keys();
    }

    /// may_drop reports whether nothing of a round that has ended is needed any more.
    fn may_drop(&self, key: RoundKey) -> bool {
        let round = self.round(key);
        let is_reserved = || round.steps.iter().any(|step| step.reservations > 0);
        let is_over = round.left == 0 || self.job(round.job).is_end_stored();
        is_over && !round.has_runs() && !is_reserved()
    }

    fn drop_round(&mut self, key: RoundKey) {
        let Some(round) = self.rounds.remove(key.0) else {
            return;
        };
        let next_run = round.tasks.iter().map(|task| task.next_run).max();
        let job = self.job_mut(round.job);
        job.rounds.remove(round.number);
        job.next_run = job.next_run.max(next_run.unwrap_or(0));
        if job.state.is_final() && job.rounds.is_empty() {
            job.payload = Rc::from("");
        }
    }

    /// prune_keys removes the keys of dropped rounds from all lists.
    fn prune_keys(&mut self) {
        let rounds = &self.rounds;
        let has_step = |key: &StepKey| rounds.get(key.round.0).is_some();
        let has_task = |key: &TaskKey| rounds.get(key.round.0).is_some();
        self.guaranteed_queue.retain(has_step);
        self.best_effort_queue.retain(has_step);
        self.guaranteed_pass.retain(has_step);
        self.best_effort_pass.retain(has_step);
        self.idle_pass.retain(has_step);
        self.suspects.retain(has_task);
        self.ownership.presumed_ended.retain(has_task);
    }
}
