// SPDX-License-Identifier: Apache-2.0
//! What the workers of the model do to the tasks on them: the load of serving tasks,
//! their tail latency, and what filling tasks add. The owner has to learn it.

use std::{collections::BTreeMap, f64::consts::TAU};

use rand::{Rng, RngExt};

/// LOAD_LIMIT is the highest load that a tail shows.
const LOAD_LIMIT: f64 = 0.98;

/// Pairs is how strongly filling images press on serving ones.
#[derive(Clone, Copy, Debug)]
pub struct Pairs {
    /// The share of pairs that press hard.
    pub heavy_share: f64,
    /// The load that one core of a heavy pair adds: least and most.
    pub heavy_range: (f64, f64),
    /// The same for the others.
    pub light_range: (f64, f64),
}

/// Serving is how serving tasks behave.
#[derive(Clone, Copy, Debug)]
pub struct Serving {
    /// The tail latency without load, in milliseconds.
    pub tail_ms: f64,
    /// The target over that.
    pub target_factor: f64,
    /// The mean of the own load.
    pub load: f64,
    /// The swing of the own load, as a share of the mean.
    pub swing: f64,
    /// The period of the swing, in seconds.
    pub swing_s: f64,
}

impl Serving {
    /// target_ms returns the target of the tail.
    pub fn target_ms(&self) -> u32 {
        (self.tail_ms * self.target_factor) as u32
    }

    /// load_at_target returns the load at which the tail is at its target.
    pub fn load_at_target(&self) -> f64 {
        1.0 - 1.0 / self.target_factor
    }

    /// tail_at returns the tail latency at a load, in milliseconds.
    pub fn tail_at(&self, load: f64) -> u32 {
        (self.tail_ms / (1.0 - load.clamp(0.0, LOAD_LIMIT))) as u32
    }
}

/// GroundTruth is what is true of all images.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// How serving tasks behave.
    pub serving: Serving,
    /// By serving, then by filling image: the load that one core adds.
    coefficients: Vec<Vec<f64>>,
}

impl GroundTruth {
    /// draw draws the pairs of some serving and filling images.
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

    /// coefficient returns the load that one core of a filling image adds to a serving
    /// one.
    pub fn coefficient(&self, serving: usize, best_effort: usize) -> f64 {
        self.coefficients[serving][best_effort]
    }

    /// own_load returns the load of a serving task without what fills beside it. The
    /// tasks of a step swing together, with a phase of their own.
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

    /// added_load returns the load that filling images add to a serving one, by the cores
    /// that each uses.
    pub fn added_load(&self, serving: usize, cores: &BTreeMap<usize, f64>) -> f64 {
        let load_of =
            |(best_effort, cores): (&usize, &f64)| self.coefficient(serving, *best_effort) * cores;
        cores.iter().map(load_of).sum()
    }
}
