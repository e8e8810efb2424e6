// SPDX-License-Identifier: Apache-2.0
//! Slowing down or moving best-effort tasks where the tail latency of a serving task on the same
//! worker is expected to near its target.

use crate::{
    Cell, Effect, Mechanism, Pace,
    arena::{RunKey, WorkerKey},
    interference::load_at,
    prediction::Prediction,
    run::{Phase, Run},
};

/// SLOW_DOWN_LOAD is the predicted load of a serving task above which best-effort tasks are
/// slowed down.
const SLOW_DOWN_LOAD: f64 = load_at(0.95);
/// GOAL_LOAD is the load to which slowing down brings a serving task.
const GOAL_LOAD: f64 = load_at(0.85);
/// RAISE_LOAD is the load up to which paces are raised again. The gap to SLOW_DOWN_LOAD keeps
/// paces from oscillating.
const RAISE_LOAD: f64 = GOAL_LOAD;
/// MIN_CONTRIBUTION is the load that a best-effort task must add to a serving task to be slowed
/// down for it: slowing down smaller ones would gain nothing.
const MIN_CONTRIBUTION: f64 = 0.03;
/// PACE_STEP is the granularity of paces, in percent.
const PACE_STEP: u8 = 10;
/// MIN_RAISE is the smallest raise of a pace, in percent, unless it reaches 100: each raise
/// takes a call to the worker.
const MIN_RAISE: u8 = 30;
/// MOVE_AFTER_MS is how long the pace of a task may be below LOW_PACE before it is moved.
const MOVE_AFTER_MS: u64 = 1_200;
/// LOW_PACE is the pace, in percent, below which a task makes hardly any progress.
const LOW_PACE: u8 = 40;

impl Cell {
    /// adjust_paces slows down, pauses, moves or speeds up the best-effort tasks of a worker,
    /// as the load of its serving tasks requires.
    pub(crate) fn adjust_paces(&mut self, worker: WorkerKey) {
        let is_relieved = self.relieve(worker);
        if self.best_effort_runs(worker).is_empty() {
            return;
        }
        self.resend_paces(worker);
        if !is_relieved {
            self.update_predictions(worker);
            // Also without serving tasks, so that slowed tasks get their full pace again.
            if self.is_enabled(Mechanism::Pace) && !self.slow_down(worker) {
                self.raise_paces(worker);
            }
        }
        self.move_slowed(worker);
    }

    /// best_effort_runs returns the runs on a worker whose pace may be set.
    pub(crate) fn best_effort_runs(&self, worker: WorkerKey) -> Vec<RunKey> {
        let is_running = |key: &RunKey| {
            let run = self.runs.get(*key);
            run.is_some_and(|run| run.best_effort && run.phase == Phase::Running)
        };
        let runs = self.worker(worker).runs.iter().copied();
        runs.filter(is_running).collect()
    }

    /// slow_down slows down the best-effort tasks that add most to the load of the serving task
    /// with the highest predicted load. It reports whether a serving task is above
    /// SLOW_DOWN_LOAD.
    fn slow_down(&mut self, worker: WorkerKey) -> bool {
        let predictions = &self.worker(worker).predictions;
        let worst = predictions
            .iter()
            .max_by(|one, other| one.next_load().total_cmp(&other.next_load()));
        let Some(worst) = worst
            .copied()
            .filter(|worst| worst.next_load() > SLOW_DOWN_LOAD)
        else {
            return false;
        };
        let mut excess = worst.next_load() - GOAL_LOAD;
        for (key, contribution) in self.contributions(worker, &worst) {
            if excess <= 0.0 || contribution < MIN_CONTRIBUTION {
                break;
            }
            let Some(run) = self.runs.get(key) else {
                continue;
            };
            let kept = 1.0 - (excess / contribution).min(1.0);
            let percent = (f64::from(run.pace) * kept) as u8;
            self.set_pace(key, percent - percent % PACE_STEP);
            excess -= contribution;
        }
        true
    }

    /// contributions returns the best-effort runs on a worker with the load that each adds to a
    /// serving task now, the largest first.
    fn contributions(&self, worker: WorkerKey, prediction: &Prediction) -> Vec<(RunKey, f64)> {
        let now = self.now.mono;
        let contribution = |key: RunKey| {
            let run = self.runs.get(key)?;
            let pair = self.model.pair(prediction.image, run.image);
            Some((key, pair.mean * run.cores(now)))
        };
        let mut contributions: Vec<_> = self
            .best_effort_runs(worker)
            .into_iter()
            .filter_map(contribution)
            .collect();
        contributions.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        contributions
    }

    /// raise_paces raises slowed tasks to the pace at which no serving task on the worker is
    /// predicted to exceed RAISE_LOAD.
    fn raise_paces(&mut self, worker: WorkerKey) {
        for key in self.best_effort_runs(worker) {
            // The effect of a pause must be seen before it ends.
            let may_raise = |run: &&Run| run.pace < 100 && run.is_settled(self.now.mono);
            let Some(run) = self.runs.get(key).filter(may_raise) else {
                continue;
            };
            let percent = run
                .pace
                .saturating_add(self.max_raise_percent(worker, run))
                .min(100);
            let percent = percent - percent % PACE_STEP;
            if percent == 100 || percent >= run.pace.saturating_add(MIN_RAISE) {
                self.set_pace(key, percent);
                self.update_predictions(worker);
            }
        }
    }

    /// max_raise_percent returns by how many percent the pace of a slowed task may be raised.
    fn max_raise_percent(&self, worker: WorkerKey, run: &Run) -> u8 {
        let headroom = |prediction: &Prediction| {
            let pair = self.model.pair(prediction.image, run.image).mean;
            let full_contribution = (pair * run.full_cores()).max(f64::EPSILON);
            let highest = prediction.loads[0].mean.max(prediction.loads[1].mean);
            ((RAISE_LOAD - highest).max(0.0) / full_contribution * 100.0).min(100.0)
        };
        let predictions = self.worker(worker).predictions.iter();
        predictions.map(headroom).fold(100.0, f64::min) as u8
    }

    pub(crate) fn set_pace(&mut self, key: RunKey, percent: u8) {
        let now = self.now.mono;
        let authority = self.has_authority();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.pace == percent || !authority {
            return;
        }
        run.pace = percent;
        run.pace_unknown = false;
        run.pace_unconfirmed = false;
        run.progressed_at = now;
        run.paced_at = now;
        if percent >= LOW_PACE {
            run.slowed_since = None;
        } else if run.slowed_since.is_none() {
            run.slowed_since = Some(now);
        }
        let order = self.order_for(key);
        self.effects.push(Effect::Pace(Pace { order, percent }));
    }

    /// mark_pace_unconfirmed marks the assumed pace of a run as unconfirmed, so that it is
    /// ordered with the next report: the predecessor may have paused the run.
    pub(crate) fn mark_pace_unconfirmed(&mut self, key: RunKey) {
        let now = self.now.mono;
        if let Some(run) = self.runs.get_mut(key) {
            run.pace_unknown = false;
            run.pace_unconfirmed = true;
            run.progressed_at = now;
        }
    }

    /// handle_pace_answer records whether a worker accepted an order on pace. One that it may
    /// not have accepted is sent again with the next report.
    pub(crate) fn handle_pace_answer(&mut self, key: RunKey, percent: u8, accepted: bool) {
        if let Some(run) = self.runs.get_mut(key)
            && run.pace == percent
        {
            run.pace_unconfirmed = !accepted;
        }
    }

    /// resend_paces resends the orders on pace that were not accepted, or that an earlier order
    /// overtook: a task that runs on at full pace harms the serving tasks on its worker.
    fn resend_paces(&mut self, worker: WorkerKey) {
        let now = self.now.mono;
        if !self.has_authority() {
            return;
        }
        for key in self.best_effort_runs(worker) {
            let needs_resend = |run: &&mut Run| run.pace_unconfirmed || run.exceeds_pace(now);
            let Some(run) = self.runs.get_mut(key).filter(needs_resend) else {
                continue;
            };
            run.pace_unconfirmed = false;
            run.paced_at = now;
            let percent = run.pace;
            let order = self.order_for(key);
            self.effects.push(Effect::Pace(Pace { order, percent }));
        }
    }

    /// is_cheap_to_move reports whether moving a run loses little work.
    fn is_cheap_to_move(&self, run: &Run) -> bool {
        self.move_loss_ms(run) <= self.options.max_move_loss_ms
    }

    /// move_loss_ms returns the run time that moving a run loses, in milliseconds.
    fn move_loss_ms(&self, run: &Run) -> u64 {
        let spec = self.step_spec(run.step);
        if spec.checkpointing {
            return 0;
        }
        u64::from(spec.estimate_ms) * u64::from(run.percent) / 100
    }

    /// move_slowed moves the tasks whose pace has been low for a long time.
    fn move_slowed(&mut self, worker: WorkerKey) {
        if !self.is_enabled(Mechanism::Moves) {
            return;
        }
        let now = self.now.mono;
        let should_move = |key: &RunKey| {
            let Some(run) = self.runs.get(*key) else {
                return false;
            };
            let slowed_ms = run.slowed_since.map_or(0, |since| now.since(since));
            // A task that has stood still for as long as the work that it would lose is moved
            // in any case: the pause may never end, and moving costs no more than the pause
            // did.
            let is_acceptable = self.is_cheap_to_move(run) || slowed_ms >= self.move_loss_ms(run);
            slowed_ms >= MOVE_AFTER_MS && is_acceptable
        };
        let slowed: Vec<RunKey> = self
            .best_effort_runs(worker)
            .into_iter()
            .filter(should_move)
            .collect();
        slowed.into_iter().for_each(|key| self.relocate(key));
    }

    /// relocate stops a task, so that it resumes on another worker.
    fn relocate(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let name = self.name(run.task);
        let text = "moved: a serving task on its worker is near or over its target".to_owned();
        self.log("pace", Some(name), text);
        self.stop(key);
    }
}
