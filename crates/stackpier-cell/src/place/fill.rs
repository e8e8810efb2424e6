// SPDX-License-Identifier: Apache-2.0
//! Where filling tasks do the least harm to serving tasks.

use crate::{
    Cell,
    arena::WorkerKey,
    interference::{Load, gain},
    job::{Phase, Run},
};

use super::offer::{Need, SUSPECT_SCORE};

/// NOW_SPREAD is the width of the strain around the target over which a serving
/// task goes from surely below to surely over it, at its present load.
const NOW_SPREAD: f64 = 0.12;
/// AHEAD_SPREAD is the same two seconds ahead: forecasts had a standard
/// deviation of 0.23 to 0.28 on samples of quiet days, which a logistic curve
/// of about half this width follows.
const AHEAD_SPREAD: f64 = 0.16;
/// NOW_WEIGHT is the weight of the present load against the foretold one, as a
/// filling task runs for two to three seconds.
const NOW_WEIGHT: f64 = 0.35;
/// UNSURE is taken off a coefficient: most pairs have none, and what is learnt
/// of them is noise of about this size, for one core.
const UNSURE: f64 = 0.015;
/// CENTRE is the strain at which a serving task is as likely over its target
/// as below: a tenth under it, as the figures lag.
const CENTRE: f64 = -0.1;
/// HARM_WEIGHT weighs the expected harm against the share of a worker's
/// processors that is unused.
const HARM_WEIGHT: f64 = 20.0;
/// ROOM_PERCENT is the share of a task's processors that must be unused: it may
/// work a little slower.
const ROOM_PERCENT: i64 = 80;
/// MILLI is the number of thousandths in a core.
const MILLI: f64 = 1_000.0;

impl Cell {
    /// fill_score prefers workers where the model expects the least harm to
    /// serving tasks, then those with most processors unused.
    pub(super) fn fill_score(&self, need: &Need, key: WorkerKey) -> Option<f64> {
        let worker = self.worker(key);
        let spare = worker.spare_milli(self.options.serving_use_milli);
        if spare < i64::from(need.full.milli_cores) * ROOM_PERCENT / 100 {
            return None;
        }
        let load = Load {
            image: need.image,
            cores: f64::from(need.full.milli_cores) / MILLI,
        };
        let harm = self.harm(key, load);
        if harm > need.most_harm {
            return None;
        }
        let suspect = if worker.health.is_suspect() {
            SUSPECT_SCORE
        } else {
            0.0
        };
        let room = spare as f64 / f64::from(worker.info.capacity.milli_cores.max(1));
        Some(room - HARM_WEIGHT * harm - suspect)
    }

    /// harm returns the expected rise in the number of serving tasks over
    /// their targets if a load comes to a worker, over the next seconds.
    fn harm(&self, key: WorkerKey, load: Load) -> f64 {
        let worker = self.worker(key);
        if worker.lasting_milli == 0 {
            return 0.0;
        }
        let loads = self.expected_loads(key);
        let runs = worker.runs.iter().filter_map(|key| self.runs.get(*key));
        let serving = runs.filter(|run| run.serving);
        serving.map(|run| self.harm_to(run, &loads, load)).sum()
    }

    /// harm_to returns the expected rise for one serving task: by its own load
    /// now, and by the one foretold.
    fn harm_to(&self, run: &Run, loads: &[Load], load: Load) -> f64 {
        if !self.options.colocate {
            return f64::MAX;
        }
        let coefficient = self.model.pair(run.image, load.image).mean;
        let added = (coefficient - UNSURE).max(0.0) * load.cores;
        if added == 0.0 {
            return 0.0;
        }
        let base = self.model.base(run.image).mean;
        let before = self.model.pressure(run.image, loads);
        let rise = |own: f64, spread: f64| {
            let gain = gain(own);
            let strain = base + own + gain * before;
            over(strain + gain * added, spread) - over(strain, spread)
        };
        let ahead = self.forecast.ahead(&run.trace, run.residual);
        NOW_WEIGHT * rise(run.residual, NOW_SPREAD) + (1.0 - NOW_WEIGHT) * rise(ahead, AHEAD_SPREAD)
    }

    /// expected_loads returns what fills on a worker, at what it asked for.
    fn expected_loads(&self, key: WorkerKey) -> Vec<Load> {
        let runs = self.worker(key).runs.iter();
        let runs = runs.filter_map(|key| self.runs.get(*key));
        let fills = runs.filter(|run| run.fills && run.phase != Phase::Stopping);
        let load = |run: &Run| Load {
            image: run.image,
            cores: f64::from(run.size.milli_cores) / MILLI,
        };
        fills.map(load).collect()
    }
}

/// over returns how likely a serving task with this strain is over its target.
fn over(strain: f64, spread: f64) -> f64 {
    1.0 / (1.0 + (-(strain - CENTRE) / spread).exp())
}
