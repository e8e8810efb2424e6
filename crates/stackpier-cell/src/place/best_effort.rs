// SPDX-License-Identifier: Apache-2.0
//! Where filling tasks do the least harm to serving tasks.

use crate::{Cell, arena::WorkerKey, obstacle::Obstacle};

use super::candidate::{Demand, SUSPECT_SCORE};

/// HARM_WEIGHT weighs the expected harm against the share of a worker's
/// processors that is unused.
const HARM_WEIGHT: f64 = 20.0;

impl Cell {
    /// best_effort_score prefers workers where the least harm to serving tasks is
    /// expected, then those with most processors unused.
    pub(super) fn best_effort_score(
        &self,
        demand: &Demand,
        key: WorkerKey,
    ) -> Result<f64, Obstacle> {
        let worker = self.worker(key);
        if demand.relaxed && !self.is_settled(worker) {
            return Err(Obstacle::Unsettled);
        }
        if !self.options.colocate && !worker.predictions.is_empty() {
            return Err(Obstacle::Apart);
        }
        let unused = worker.expected_unused_milli(self.options.serving_usage_milli);
        let wanted = i64::from(demand.requested.milli_cores) * demand.unused_percent / 100;
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
        let suspect = if worker.health.has_recent_faults() {
            SUSPECT_SCORE
        } else {
            0.0
        };
        let room = unused as f64 / f64::from(worker.info.capacity.milli_cores.max(1));
        Ok(room - HARM_WEIGHT * harm - suspect)
    }
}
