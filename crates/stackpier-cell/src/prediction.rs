// SPDX-License-Identifier: Apache-2.0
//! The load that is expected of serving tasks over the next seconds, and the
//! harm that one more filling task would do to them.

use stackpier_core::Millis;

use crate::{
    Cell,
    arena::{ImageKey, RunKey, StepKey, WorkerKey},
    interference::{Estimate, Pressure, load_at},
    logistic,
    run::{Phase, Run, cores},
};

/// AHEAD_MS are the times ahead for which loads are expected: a filling task
/// of the users' sheets runs for two to three seconds.
const AHEAD_MS: [u64; 3] = [300, 1_200, 2_400];
/// POINTS is the number of these times.
const POINTS: usize = AHEAD_MS.len();
/// FRESH_MS is how long what is expected of a step's own load holds.
const FRESH_MS: u64 = 100;
/// DEVIATION_KEPT is the part of a task's deviation from its step's load that
/// is still there after each of these times.
const DEVIATION_KEPT: [f64; POINTS] = [0.6, 0.15, 0.0];
/// DEVIATION_VARIANCE is the variance of a task's load around its step's, from
/// samples of the users' days.
const DEVIATION_VARIANCE: f64 = 0.002;
/// HARM_LOAD is the load above which a task counts as over its target: a
/// little less than at the target, as figures lag.
const HARM_LOAD: f64 = load_at(0.93);
/// FULL_PRESSURE is the added load from which a filling task bears all of the
/// harm that is expected where it would come to, also by others.
const FULL_PRESSURE: f64 = 0.1;

/// Ahead is what is expected at each of the times ahead.
pub(crate) type Ahead = [Estimate; POINTS];

/// Forecast is the own load that is expected of a step's tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    at: Millis,
    own: Ahead,
}

/// Prediction is what is expected of one serving task on a worker, with all that
/// fills there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    pub image: ImageKey,
    pub loads: Ahead,
    /// How likely each of these is over its target.
    over: [f64; POINTS],
    /// Its load as last reported, if what fills beside it has not changed
    /// since.
    pub seen: Option<f64>,
}

impl Prediction {
    /// soon returns the load expected by the next report: no less than the
    /// last one showed, if nothing was done about that.
    pub(crate) fn soon(&self) -> f64 {
        self.loads[0].mean.max(self.seen.unwrap_or(0.0))
    }
}

impl Cell {
    /// update_predictions renews what is expected on a worker.
    pub(crate) fn update_predictions(&mut self, key: WorkerKey) {
        let serving = self.serving(key);
        let pressures = self.pressures(key);
        let steady = self.is_steady(key);
        let predictions = serving
            .into_iter()
            .filter_map(|run| self.predict(run, &pressures, steady));
        let predictions = predictions.collect();
        self.worker_mut(key).predictions = predictions;
    }

    fn predict(&mut self, key: RunKey, pressures: &[Pressure], steady: bool) -> Option<Prediction> {
        let run = self.runs.get(key)?;
        let seen = run.load.filter(|_| steady);
        let (step, image, deviation) = (run.step, run.image, run.deviation);
        let own = self.own_ahead(step)?;
        let added = self.model.added(image, pressures);
        let mut loads = own;
        for (load, kept) in loads.iter_mut().zip(DEVIATION_KEPT) {
            load.mean += added.mean + kept * deviation;
            load.variance += added.variance + DEVIATION_VARIANCE;
        }
        Some(Prediction {
            image,
            loads,
            over: loads.map(|load| over(&load)),
            seen,
        })
    }

    /// own_ahead returns the own load that is expected of a step's tasks.
    fn own_ahead(&mut self, key: StepKey) -> Option<Ahead> {
        let now = self.now.mono;
        let step = self.step_mut(key);
        if let Some(forecast) = step.forecast
            && now.since(forecast.at) < FRESH_MS
        {
            return Some(forecast.own);
        }
        let curve = self.step_of(key).curve.as_ref()?;
        let own = AHEAD_MS.map(|ahead| curve.expect(&self.cycle, now.plus(ahead)));
        self.step_mut(key).forecast = Some(Forecast { at: now, own });
        Some(own)
    }

    /// serving returns the runs on a worker that serve.
    pub(crate) fn serving(&self, worker: WorkerKey) -> Vec<RunKey> {
        let serves = |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.serving);
        let runs = self.worker(worker).runs.iter().copied();
        runs.filter(serves).collect()
    }

    /// pressures returns what fills on a worker, at its present pace.
    pub(crate) fn pressures(&self, worker: WorkerKey) -> Vec<Pressure> {
        let now = self.now.mono;
        let pressure = |run: &Run| Pressure {
            image: run.image,
            cores: run.cores(now),
        };
        let runs = self.worker(worker).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let best_effort = |run: &&Run| run.best_effort && run.phase != Phase::Stopping;
        runs.filter(best_effort).map(pressure).collect()
    }

    /// harm returns the expected rise in the number of serving tasks over
    /// their targets if a filling task comes to a worker, over the time that
    /// it runs. From `most` on it is not looked at further.
    pub(crate) fn harm(&self, key: WorkerKey, image: ImageKey, milli_cores: u32, most: f64) -> f64 {
        let cores = cores(milli_cores);
        let mut harm = 0.0;
        for prediction in &self.worker(key).predictions {
            self.best_effort_pass.budget.spend(1);
            let pair = self.model.pair(prediction.image, image);
            let added = Estimate {
                mean: (pair.mean * cores).max(0.0),
                variance: pair.variance * cores * cores,
            };
            harm += prediction.rise(&added) / POINTS as f64;
            if harm > most {
                break;
            }
        }
        harm
    }
}

impl Prediction {
    /// rise returns how much likelier it is over its target with some load more, summed
    /// over the times ahead.
    fn rise(&self, added: &Estimate) -> f64 {
        let borne = (added.mean / FULL_PRESSURE).min(1.0);
        let rise = |(load, before): (&Estimate, &f64)| {
            let with = Estimate {
                mean: load.mean + added.mean,
                variance: load.variance + added.variance,
            };
            (over(&with) - before * (1.0 - borne)).max(0.0)
        };
        self.loads.iter().zip(&self.over).map(rise).sum()
    }
}

/// over returns how likely a load is above that of the target.
fn over(load: &Estimate) -> f64 {
    logistic::below((load.mean - HARM_LOAD) / load.variance.sqrt())
}
