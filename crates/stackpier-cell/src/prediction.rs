// SPDX-License-Identifier: Apache-2.0
//! Predictions of the load of serving tasks over the next seconds, and of the harm that one
//! more best-effort task would do to them.

use stackpier_core::Millis;

use crate::{
    Cell, Mechanism,
    arena::{ImageKey, RunKey, StepKey, WorkerKey},
    interference::{Estimate, Pressure, load_at},
    logistic,
    run::{Phase, Run, cores},
    worker::Worker,
};

/// HORIZONS_MS are the times ahead for which loads are predicted: a best-effort task of the
/// client accounts' workloads runs for two to three seconds.
const HORIZONS_MS: [u64; 3] = [300, 1_200, 2_400];
/// HORIZON_COUNT is the number of these times.
const HORIZON_COUNT: usize = HORIZONS_MS.len();
/// MAX_FORECAST_AGE_MS is how long the forecast of a step's own load is reused.
const MAX_FORECAST_AGE_MS: u64 = 100;
/// DEVIATION_DECAY is the part of a task's deviation from its step's load that remains at each
/// of HORIZONS_MS.
const DEVIATION_DECAY: [f64; HORIZON_COUNT] = [0.6, 0.15, 0.0];
/// DEVIATION_VARIANCE is the variance of a task's load around its step's, from samples of
/// client traffic.
const DEVIATION_VARIANCE: f64 = 0.002;
/// HARM_LOAD is the load above which a task counts as over its target. It is a little below the
/// load at the target, as reports lag.
const HARM_LOAD: f64 = load_at(0.93);
/// FULL_ATTRIBUTION_LOAD is the added load from which a best-effort task is charged with all of
/// the harm expected on its worker, including the harm by other tasks. A task that adds less is
/// charged with a proportional part of theirs.
const FULL_ATTRIBUTION_LOAD: f64 = 0.1;

/// LoadSeries holds one load estimate for each of HORIZONS_MS.
pub(crate) type LoadSeries = [Estimate; HORIZON_COUNT];

/// Forecast is the predicted own load of a step's tasks: without that of best-effort tasks on
/// their workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    at: Millis,
    own_load: LoadSeries,
}

/// Prediction is the predicted load of one serving task, with all best-effort tasks on its
/// worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prediction {
    pub image: ImageKey,
    /// The processors that the task asked for, in thousandths of a core.
    asked_milli: u32,
    /// The mean of its own load over HORIZONS_MS, at most one.
    own_load: f64,
    pub loads: LoadSeries,
    /// The probability that each of these is over the task's target.
    over_target: [f64; HORIZON_COUNT],
    /// Its load as last reported, if the best-effort tasks on its worker have not changed
    /// since.
    pub last_reported: Option<f64>,
}

impl Prediction {
    /// next_load returns the load predicted for the next report. It is no less than the last
    /// reported one, if nothing has changed since that would lower it.
    pub(crate) fn next_load(&self) -> f64 {
        self.loads[0].mean.max(self.last_reported.unwrap_or(0.0))
    }
}

impl Cell {
    /// update_predictions recomputes the predictions for a worker's serving tasks.
    pub(crate) fn update_predictions(&mut self, key: WorkerKey) {
        let serving = self.serving_runs(key);
        let pressures = self.pressures(key);
        let steady = self.has_steady_pressure(key);
        let predictions = serving
            .into_iter()
            .filter_map(|run| self.predict(run, &pressures, steady));
        let predictions: Vec<Prediction> = predictions.collect();
        let use_milli = self
            .is_enabled(Mechanism::PredictedUse)
            .then(|| self.predict_use(self.worker(key), &predictions));
        let worker = self.worker_mut(key);
        worker.long_running_use_milli = use_milli;
        worker.predictions = predictions;
    }

    /// predict_use returns the processors that the long-running runs on a worker will use over the
    /// next seconds, in thousandths of a core. The own load of a serving task is the part of its
    /// processors that it uses; tasks without a prediction are assumed to use the usual part.
    fn predict_use(&self, worker: &Worker, predictions: &[Prediction]) -> u32 {
        let usual = f64::from(self.options.serving_usage_milli) / 1_000.0;
        let (mut predicted, mut asked) = (0.0, 0);
        for prediction in predictions {
            predicted += f64::from(prediction.asked_milli) * prediction.own_load;
            asked += prediction.asked_milli;
        }
        let others = worker.long_running_milli.saturating_sub(asked);
        (predicted + f64::from(others) * usual) as u32
    }

    /// predict returns the prediction for one serving task, if its step has a load curve.
    fn predict(&mut self, key: RunKey, pressures: &[Pressure], steady: bool) -> Option<Prediction> {
        let run = self.runs.get(key)?;
        let last_reported = run.load.filter(|_| steady);
        let (step, image, deviation) = (run.step, run.image, run.deviation);
        let asked_milli = run.size.milli_cores;
        let own_load = self.forecast_own_load(step)?;
        let added = self.model.added_load(image, pressures);
        let mut loads = own_load;
        for (load, decay) in loads.iter_mut().zip(DEVIATION_DECAY) {
            load.mean += added.mean + decay * deviation;
            load.variance += added.variance + DEVIATION_VARIANCE;
        }
        let own_sum: f64 = own_load.iter().map(|load| load.mean).sum();
        Some(Prediction {
            image,
            asked_milli,
            own_load: (own_sum / HORIZON_COUNT as f64).clamp(0.0, 1.0),
            loads,
            over_target: loads.map(|load| probability_over_target(&load)),
            last_reported,
        })
    }

    /// forecast_own_load returns the predicted own load of a step's tasks.
    fn forecast_own_load(&mut self, key: StepKey) -> Option<LoadSeries> {
        let now = self.now.mono;
        let step = self.step_mut(key);
        if let Some(forecast) = step.forecast
            && now.since(forecast.at) < MAX_FORECAST_AGE_MS
        {
            return Some(forecast.own_load);
        }
        let curve = self.step_of(key).curve.as_ref()?;
        let own_load =
            HORIZONS_MS.map(|horizon_ms| curve.expect(&self.cycle, now.plus(horizon_ms)));
        self.step_mut(key).forecast = Some(Forecast { at: now, own_load });
        Some(own_load)
    }

    /// serving_runs returns the runs of serving tasks on a worker.
    pub(crate) fn serving_runs(&self, worker: WorkerKey) -> Vec<RunKey> {
        let serves = |key: &RunKey| self.runs.get(*key).is_some_and(|run| run.serving);
        let runs = self.worker(worker).runs.iter().copied();
        runs.filter(serves).collect()
    }

    /// pressures returns the pressures of the best-effort runs on a worker, at their present
    /// pace.
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

    /// harm returns the expected increase in the number of serving tasks over their targets,
    /// averaged over HORIZONS_MS, if a best-effort task starts on a worker. It stops counting
    /// above `limit`.
    pub(crate) fn harm(
        &self,
        key: WorkerKey,
        image: ImageKey,
        milli_cores: u32,
        limit: f64,
    ) -> f64 {
        let cores = cores(milli_cores);
        let mut harm = 0.0;
        for prediction in &self.worker(key).predictions {
            self.best_effort_pass.budget.spend(1);
            let pair = self.model.pair(prediction.image, image);
            let added = Estimate {
                mean: (pair.mean * cores).max(0.0),
                variance: pair.variance * cores * cores,
            };
            harm += prediction.harm_increase(&added) / HORIZON_COUNT as f64;
            if harm > limit {
                break;
            }
        }
        harm
    }
}

impl Prediction {
    /// harm_increase returns the increase in the probability that the task is over its target
    /// with some added load, summed over HORIZONS_MS.
    fn harm_increase(&self, added: &Estimate) -> f64 {
        let attributed = (added.mean / FULL_ATTRIBUTION_LOAD).min(1.0);
        let harm_increase = |(load, before): (&Estimate, &f64)| {
            let with = Estimate {
                mean: load.mean + added.mean,
                variance: load.variance + added.variance,
            };
            (probability_over_target(&with) - before * (1.0 - attributed)).max(0.0)
        };
        self.loads
            .iter()
            .zip(&self.over_target)
            .map(harm_increase)
            .sum()
    }
}

/// probability_over_target returns the probability that a load is above HARM_LOAD.
fn probability_over_target(load: &Estimate) -> f64 {
    logistic::normal_cdf((load.mean - HARM_LOAD) / load.variance.sqrt())
}
