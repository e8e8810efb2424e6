// SPDX-License-Identifier: Apache-2.0
//! Snapshot of the model: what was learnt of pairs of images and of the load of
//! serving tasks, in a form that a successor can take over.

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{Cell, Mechanism, interference::Estimate};

/// SAVE_MS is the shortest time between two saves of the model. A pair is known
/// after some seconds, and the snapshot is part of saves that are made anyway.
const SAVE_MS: u64 = 1_500;

/// SavedEstimate is one learnt value, as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedEstimate {
    /// The expected value.
    pub mean: f32,
    /// The variance of the value.
    pub variance: f32,
}

impl From<Estimate> for SavedEstimate {
    fn from(estimate: Estimate) -> SavedEstimate {
        SavedEstimate {
            mean: estimate.mean as f32,
            variance: estimate.variance as f32,
        }
    }
}

impl From<SavedEstimate> for Estimate {
    fn from(estimate: SavedEstimate) -> Estimate {
        Estimate {
            mean: f64::from(estimate.mean),
            variance: f64::from(estimate.variance),
        }
    }
}

/// ServingImage holds what was learnt of one serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingImage {
    /// The image.
    pub image: String,
    /// The best-effort images seen beside it, each with its effect per core.
    pub pairs: Vec<(String, SavedEstimate)>,
}

/// ModelSnapshot holds everything that was learnt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelSnapshot {
    /// What was learnt of each serving image.
    pub serving: Vec<ServingImage>,
    /// How well each candidate period fits the serving tasks' own load, as a score.
    pub periods: Vec<f64>,
}

impl Cell {
    /// restore_model takes over what a predecessor learnt.
    pub fn restore_model(&mut self, snapshot: &ModelSnapshot) {
        for serving in &snapshot.serving {
            let image = self.images.key(&serving.image);
            for (best_effort, estimate) in &serving.pairs {
                let best_effort = self.images.key(best_effort);
                self.model.set_pair(image, best_effort, (*estimate).into());
            }
        }
        self.cycle.set_scores(&snapshot.periods);
    }

    /// snapshot_if_due returns what was learnt, if it is time to save it.
    pub(crate) fn snapshot_if_due(&mut self) -> Option<ModelSnapshot> {
        let now = self.now.mono;
        if !self.is_enabled(Mechanism::SavedModel)
            || now.since(self.model_saved_at) < SAVE_MS
            || self.model.is_empty()
        {
            return None;
        }
        self.model_saved_at = Millis(now.0);
        Some(self.snapshot_model())
    }

    fn snapshot_model(&self) -> ModelSnapshot {
        let names = self.images.names();
        let name = |number: usize| names.get(number).cloned().unwrap_or_default();
        let serving = self.model.known_pairs().map(|(image, pairs)| ServingImage {
            image: name(image),
            pairs: pairs
                .map(|(best_effort, pair)| (name(best_effort), pair.into()))
                .collect(),
        });
        ModelSnapshot {
            serving: serving.collect(),
            periods: self.cycle.scores().to_vec(),
        }
    }
}
