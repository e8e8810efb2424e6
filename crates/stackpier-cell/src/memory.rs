// SPDX-License-Identifier: Apache-2.0
//! What was learnt of pairs and of the load of serving tasks, in a form that a
//! later owner can take over.

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{Cell, Mechanism, interference::Estimate};

/// SAVE_MS is the least time between two saves of what was learnt. A pair is
/// known after some seconds, and it rides on saves that are made anyway.
const SAVE_MS: u64 = 1_500;

/// Term is one learnt value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Term {
    /// The expected value.
    pub mean: f32,
    /// How uncertain it is.
    pub variance: f32,
}

impl From<Estimate> for Term {
    fn from(estimate: Estimate) -> Term {
        Term {
            mean: estimate.mean as f32,
            variance: estimate.variance as f32,
        }
    }
}

impl From<Term> for Estimate {
    fn from(term: Term) -> Estimate {
        Estimate {
            mean: f64::from(term.mean),
            variance: f64::from(term.variance),
        }
    }
}

/// Serving is what was learnt of one serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Serving {
    /// The image.
    pub image: String,
    /// The filling images seen beside it, with their effect for one core.
    pub pairs: Vec<(String, Term)>,
}

/// Memory is everything that was learnt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    /// What was learnt of each serving image.
    pub serving: Vec<Serving>,
    /// How well each period of the serving tasks' own load did.
    pub periods: Vec<f64>,
}

impl Cell {
    /// remember takes over what an earlier owner learnt.
    pub fn remember(&mut self, memory: &Memory) {
        for serving in &memory.serving {
            let image = self.images.key(&serving.image);
            for (filling, term) in &serving.pairs {
                let filling = self.images.key(filling);
                self.model.set_pair(image, filling, (*term).into());
            }
        }
        self.cycle.set_scores(&memory.periods);
    }

    /// memory_due returns what was learnt, if it is time to save it.
    pub(crate) fn memory_due(&mut self) -> Option<Memory> {
        let now = self.now.mono;
        if !self.has(Mechanism::Memory)
            || now.since(self.remembered) < SAVE_MS
            || self.model.is_empty()
        {
            return None;
        }
        self.remembered = Millis(now.0);
        Some(self.memory())
    }

    fn memory(&self) -> Memory {
        let names = self.images.names();
        let name = |number: usize| names.get(number).cloned().unwrap_or_default();
        let serving = self.model.learnt().map(|(image, pairs)| Serving {
            image: name(image),
            pairs: pairs
                .map(|(filling, pair)| (name(filling), pair.into()))
                .collect(),
        });
        Memory {
            serving: serving.collect(),
            periods: self.cycle.scores().to_vec(),
        }
    }
}
