// SPDX-License-Identifier: Apache-2.0
//! The interference that the owner has to learn: the load of serving tasks, their tail latency, and
//! the load that best-effort tasks on the same worker add.

use std::{collections::BTreeMap, f64::consts::TAU};

use rand::{Rng, RngExt};

/// LOAD_LIMIT caps the load in the formula of the tail latency, which has a pole at 1.
const LOAD_LIMIT: f64 = 0.98;

/// Pairs describes how much best-effort images disturb serving ones.
#[derive(Clone, Copy, Debug)]
pub struct Pairs {
    /// The share of heavy pairs.
    pub heavy_share: f64,
    /// The load that one core of the best-effort image adds in a heavy pair: minimum and maximum.
    pub heavy_range: (f64, f64),
    /// The same for the other pairs.
    pub light_range: (f64, f64),
}

/// Serving describes the load and the latency of serving tasks.
#[derive(Clone, Copy, Debug)]
pub struct Serving {
    /// The tail latency without load, in milliseconds.
    pub tail_ms: f64,
    /// The latency target, as a multiple of `tail_ms`.
    pub target_factor: f64,
    /// The mean of a task's own load.
    pub load: f64,
    /// The amplitude of the own load's oscillation, as a share of the mean.
    pub swing: f64,
    /// The period of the oscillation, in seconds.
    pub swing_s: f64,
}

impl Serving {
    /// target_ms returns the target of the tail latency, in milliseconds.
    pub fn target_ms(&self) -> u32 {
        (self.tail_ms * self.target_factor) as u32
    }

    /// load_at_target returns the load at which the tail latency equals its target.
    pub fn load_at_target(&self) -> f64 {
        1.0 - 1.0 / self.target_factor
    }

    /// tail_at returns the tail latency at a load, in milliseconds.
    pub fn tail_at(&self, load: f64) -> u32 {
        (self.tail_ms / (1.0 - load.clamp(0.0, LOAD_LIMIT))) as u32
    }
}

/// GroundTruth holds the real interference between all images.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// The load and the latency of serving tasks.
    pub serving: Serving,
    /// The load that one core adds, by serving and then by best-effort image.
    coefficients: Vec<Vec<f64>>,
}

impl GroundTruth {
    /// draw draws the coefficients of all pairs. `images` holds the numbers of serving and of
    /// best-effort images.
    pub fn draw<R: Rng>(
        random: &mut R,
        serving: Serving,
        pairs: Pairs,
        images: (usize, usize),
    ) -> GroundTruth {
        let (serving_images, best_effort_images) = images;
        let mut coefficient = || {
            let (low, high) = match random.random_bool(pairs.heavy_share) {
                true => pairs.heavy_range,
                false => pairs.light_range,
            };
            random.random_range(low..=high)
        };
        let coefficients = (0..serving_images)
            .map(|_| (0..best_effort_images).map(|_| coefficient()).collect())
            .collect();
        GroundTruth {
            serving,
            coefficients,
        }
    }

    /// coefficient returns the load that one core of a best-effort image adds to a serving image.
    pub fn coefficient(&self, serving: usize, best_effort: usize) -> f64 {
        self.coefficients[serving][best_effort]
    }

    /// own_load returns the load of a serving task without best-effort tasks on its worker. The
    /// loads of the tasks of a job oscillate in phase.
    pub fn own_load(&self, phase: f64, now_ms: u64) -> f64 {
        let Serving {
            load,
            swing,
            swing_s,
            ..
        } = self.serving;
        let angle = TAU * now_ms as f64 / 1_000.0 / swing_s + phase;
        load * (1.0 + swing * angle.sin())
    }

    /// added_load returns the load that best-effort images add to a serving image. `cores` holds
    /// the cores that each uses.
    pub fn added_load(&self, serving: usize, cores: &BTreeMap<usize, f64>) -> f64 {
        let load_of =
            |(best_effort, cores): (&usize, &f64)| self.coefficient(serving, *best_effort) * cores;
        cores.iter().map(load_of).sum()
    }
}
