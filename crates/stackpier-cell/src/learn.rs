// SPDX-License-Identifier: Apache-2.0
//! Learning from the tail latencies that workers report of serving tasks: what
//! filling tasks add to their load, and how their own load moves.

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{RunKey, WorkerKey},
    interference::{Estimate, Pressure},
};

/// LAG_MS is how long ago the middle of the half second lies that a report's
/// figures cover.
const LAG_MS: u64 = 250;
/// SAMPLE_VARIANCE is the variance of one task's sample around its step's load,
/// from samples of the users' days.
const SAMPLE_VARIANCE: f64 = 0.004;
/// SATURATED is the load from which a sample says too little of the own load.
const SATURATED: f64 = 0.9;
/// DEVIATION_WEIGHT is the weight of a new sample in the smoothed deviation of
/// a task from what is expected of it.
const DEVIATION_WEIGHT: f64 = 0.5;
/// DEVIATION_LIMIT bounds that deviation.
const DEVIATION_LIMIT: f64 = 0.5;

/// Sample is the load of a serving task as last reported, with what was
/// expected; loads are shares of what the task can carry.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// When the load was such.
    at: Millis,
    load: f64,
    /// The own load that was expected.
    own: Estimate,
    /// What the filling tasks beside it were expected to add.
    added: Estimate,
}

impl Sample {
    /// deviation returns how far the load lies above what was expected.
    fn deviation(&self) -> f64 {
        self.load - self.own.mean - self.added.mean
    }

    /// own_seen returns the own load that the sample shows.
    fn own_seen(&self) -> Estimate {
        Estimate {
            mean: self.load - self.added.mean,
            variance: SAMPLE_VARIANCE + self.added.variance,
        }
    }
}

impl Cell {
    /// learn_from_report corrects the model by the report that was just taken in.
    pub(crate) fn learn_from_report(&mut self, worker: WorkerKey) {
        let serving = self.serving(worker);
        if serving.is_empty() {
            return;
        }
        let beside = self.pressures(worker);
        let steady = self.is_steady(worker);
        for key in serving {
            let Some(sample) = self.sample(key, &beside) else {
                continue;
            };
            if self.is_enabled(Mechanism::Deviation) {
                self.take_deviation(key, &sample);
            }
            if steady && self.is_enabled(Mechanism::Learning) {
                self.learn_from(key, &sample, &beside);
            }
        }
    }

    /// sample returns what was last reported of a task, if its figures can be
    /// learnt from.
    fn sample(&self, key: RunKey, beside: &[Pressure]) -> Option<Sample> {
        let now = self.now.mono;
        let at = Millis(now.0.saturating_sub(LAG_MS));
        let run = self.runs.get(key)?;
        let load = run.settled_load(now)?;
        let curve = self.step_of(run.step).curve.as_ref()?;
        Some(Sample {
            at,
            load,
            own: curve.expect(&self.cycle, at),
            added: self.model.added(run.image, beside),
        })
    }

    /// take_deviation smooths a sample into the deviation of its task.
    fn take_deviation(&mut self, key: RunKey, sample: &Sample) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let deviation = sample.deviation();
        // A saturated sample may stand for any load above.
        if sample.load < SATURATED || deviation > run.deviation {
            run.deviation += DEVIATION_WEIGHT * (deviation - run.deviation);
            run.deviation = run.deviation.clamp(-DEVIATION_LIMIT, DEVIATION_LIMIT);
        }
    }

    /// learn_from corrects the pairs of images and the curve of the step.
    fn learn_from(&mut self, key: RunKey, sample: &Sample, beside: &[Pressure]) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        if !beside.is_empty() {
            self.model
                .observe(run.image, sample.load, sample.own, beside);
        }
        if sample.load < SATURATED
            && let Some(curve) = &mut self.steps[run.step.0 as usize].curve
        {
            curve.observe(&mut self.cycle, sample.at, sample.own_seen());
        }
    }

    /// is_steady tells whether what fills on a worker has not changed for as
    /// long as the figures of a report cover.
    pub(crate) fn is_steady(&self, worker: WorkerKey) -> bool {
        let now = self.now.mono;
        let settled = |key: &RunKey| {
            let run = self.runs.get(*key);
            run.is_none_or(|run| !run.best_effort || run.is_settled(now))
        };
        self.worker(worker).runs.iter().all(settled)
    }
}
