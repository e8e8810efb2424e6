// SPDX-License-Identifier: Apache-2.0
//! Scores of workers for best-effort tasks: the least expected harm to serving tasks is best.

use crate::{Cell, arena::WorkerKey, obstacle::Obstacle};

use super::candidate::{Demand, RECENT_FAULTS_SCORE};

/// HARM_WEIGHT weighs the expected harm against the share of a worker's processors that is
/// unused.
const HARM_WEIGHT: f64 = 20.0;

impl Cell {
    /// best_effort_score favours workers where the least harm to serving tasks is expected,
    /// then those with the most unused processors.
    pub(super) fn best_effort_score(
        &self,
        demand: &Demand,
        key: WorkerKey,
    ) -> Result<f64, Obstacle> {
        let worker = self.worker(key);
        if demand.relaxed && !self.is_settled(worker) {
            return Err(Obstacle::Unsettled);
        }
        if self.now.mono < worker.best_effort_from {
            return Err(Obstacle::Unsettled);
        }
        if !self.options.colocate && !worker.predictions.is_empty() {
            return Err(Obstacle::Apart);
        }
        let unused = worker.expected_unused_milli(self.options.serving_usage_milli);
        let wanted = i64::from(demand.requested.milli_cores) * demand.min_unused_percent / 100;
        if unused < wanted && !demand.relaxed {
            return Err(Obstacle::Busy);
        }
        let harm = self.harm(
            key,
            demand.image,
            demand.requested.milli_cores,
            demand.max_harm,
        );
        if harm > demand.max_harm {
            return Err(Obstacle::Harm(harm));
        }
        let recent_faults = if worker.health.has_recent_faults() {
            RECENT_FAULTS_SCORE
        } else {
            0.0
        };
        let unused_share = unused as f64 / f64::from(worker.info.capacity.milli_cores.max(1));
        Ok(unused_share - HARM_WEIGHT * harm - recent_faults)
    }
}
