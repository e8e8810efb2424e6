// SPDX-License-Identifier: Apache-2.0
//! Learning from the tail latencies that workers report of serving tasks: what best-effort
//! tasks add to their load, and how their own load changes over time.

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{RunKey, WorkerKey},
    interference::{Estimate, Pressure},
};

/// SAMPLE_AGE_MS is the mean age of a report's figures: they cover the last half second.
const SAMPLE_AGE_MS: u64 = 250;
/// SAMPLE_VARIANCE is the variance of one task's sample around its step's load, from samples of
/// client traffic.
const SAMPLE_VARIANCE: f64 = 0.004;
/// SATURATED_LOAD is the load from which a sample tells too little about the own load.
const SATURATED_LOAD: f64 = 0.9;
/// DEVIATION_WEIGHT is the weight of a new sample in a task's smoothed deviation from its
/// expected load.
const DEVIATION_WEIGHT: f64 = 0.5;
/// DEVIATION_LIMIT bounds the absolute value of that deviation.
const DEVIATION_LIMIT: f64 = 0.5;

/// Sample is the load of a serving task as last reported, with the expected load. Loads are
/// shares of the task's capacity.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// The time that the sample stands for.
    at: Millis,
    load: f64,
    /// The expected own load.
    own_load: Estimate,
    /// What the best-effort tasks on the worker are expected to add.
    added: Estimate,
}

impl Sample {
    /// deviation returns how far the load lies above the expected one.
    fn deviation(&self) -> f64 {
        self.load - self.own_load.mean - self.added.mean
    }

    /// observed_own_load returns the own load that the sample shows: its load without the added
    /// one.
    fn observed_own_load(&self) -> Estimate {
        Estimate {
            mean: self.load - self.added.mean,
            variance: SAMPLE_VARIANCE + self.added.variance,
        }
    }
}

impl Cell {
    /// learn_from_report corrects the deviations, the model and the load curves by the report
    /// that was just applied.
    pub(crate) fn learn_from_report(&mut self, worker: WorkerKey) {
        let serving = self.serving_runs(worker);
        if serving.is_empty() {
            return;
        }
        let pressures = self.pressures(worker);
        let steady = self.has_steady_pressure(worker);
        for key in serving {
            let Some(sample) = self.take_sample(key, &pressures) else {
                continue;
            };
            if self.is_enabled(Mechanism::Deviation) {
                self.update_deviation(key, &sample);
            }
            if steady && self.is_enabled(Mechanism::Learning) {
                self.update_model(key, &sample, &pressures);
            }
        }
    }

    /// take_sample returns a sample from a task's last report, if the task has been measured
    /// for long enough.
    fn take_sample(&self, key: RunKey, pressures: &[Pressure]) -> Option<Sample> {
        let now = self.now.mono;
        let at = Millis(now.0.saturating_sub(SAMPLE_AGE_MS));
        let run = self.runs.get(key)?;
        let load = run.settled_load(now)?;
        let curve = self.step_of(run.step).curve.as_ref()?;
        Some(Sample {
            at,
            load,
            own_load: curve.expect(&self.cycle, at),
            added: self.model.added_load(run.image, pressures),
        })
    }

    /// update_deviation adds a sample to the smoothed deviation of its task.
    fn update_deviation(&mut self, key: RunKey, sample: &Sample) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let deviation = sample.deviation();
        // The actual load may be above a saturated sample, so that one can't lower the
        // deviation.
        if sample.load < SATURATED_LOAD || deviation > run.deviation {
            run.deviation += DEVIATION_WEIGHT * (deviation - run.deviation);
            run.deviation = run.deviation.clamp(-DEVIATION_LIMIT, DEVIATION_LIMIT);
        }
    }

    /// update_model corrects the coefficients of the task's image, and its step's load curve.
    fn update_model(&mut self, key: RunKey, sample: &Sample, pressures: &[Pressure]) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if !pressures.is_empty() {
            self.model
                .observe(run.image, sample.load, sample.own_load, pressures);
        }
        if sample.load < SATURATED_LOAD
            && let Some(round) = self.rounds.get_mut(run.step.round.0)
            && let Some(curve) = &mut round.steps[usize::from(run.step.number)].curve
        {
            curve.observe(&mut self.cycle, sample.at, sample.observed_own_load());
        }
    }

    /// has_steady_pressure reports whether the best-effort tasks on a worker, and their paces,
    /// have not changed during the time that a report's figures cover.
    pub(crate) fn has_steady_pressure(&self, worker: WorkerKey) -> bool {
        let now = self.now.mono;
        let settled = |key: &RunKey| {
            let run = self.runs.get(*key);
            run.is_none_or(|run| !run.best_effort || run.is_settled(now))
        };
        self.worker(worker).runs.iter().all(settled)
    }
}
