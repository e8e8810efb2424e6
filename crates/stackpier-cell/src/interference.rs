// SPDX-License-Identifier: Apache-2.0
//! A model of how much best-effort tasks load the serving tasks on the same worker, by pair of
//! images.
//!
//! A serving task's tail latency grows as its queue does: it is the unloaded tail divided by
//! the share of the task's capacity that is free. So its *load*, the share in use, follows from
//! its tail. Samples of client traffic show that the load is the task's *own load* plus, for
//! each best-effort image on the worker, a coefficient times the processors that its tasks use.
//! Each coefficient has a mean and a variance. A Kalman filter with independent terms corrects
//! them with every sample.

use crate::{arena::ImageKey, interner::Interner};

/// TARGET_FACTOR is the ratio of the target to the unloaded tail: six in the client accounts'
/// workloads.
const TARGET_FACTOR: f64 = 6.0;
/// LOAD_AT_TARGET is the load at which the tail is at its target.
pub const LOAD_AT_TARGET: f64 = 1.0 - 1.0 / TARGET_FACTOR;
/// LOAD_LIMIT is the highest load that can be told apart, with a tail of fifty times the
/// unloaded one. Higher ones count as this.
pub const LOAD_LIMIT: f64 = 0.98;
/// SATURATED_LOAD is the load from which a sample is only a lower bound of the actual load.
const SATURATED_LOAD: f64 = 0.94;

/// load returns the load of a serving task from its tail latency and its target, both in
/// milliseconds.
pub fn load(tail_ms: u32, target_ms: u32) -> f64 {
    let slowdown = TARGET_FACTOR * f64::from(tail_ms) / f64::from(target_ms.max(1));
    (1.0 - 1.0 / slowdown.max(1.0)).min(LOAD_LIMIT)
}

/// load_at returns the load at which the tail is at a share of its target.
pub const fn load_at(share: f64) -> f64 {
    1.0 - 1.0 / (TARGET_FACTOR * share)
}

/// Estimate is an uncertain value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The expected value.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
}

/// Options are the constants of the filter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The initial coefficient of a pair, for one core. In samples of client traffic most pairs
    /// have 0.002 to 0.01 and a few 0.03 to 0.09.
    pub pair: Estimate,
    /// The variance of one sample around the expected load. It is high because samples follow
    /// each other closely and share a part of their errors.
    pub noise: f64,
    /// By how much each sample increases a variance, as coefficients change over time.
    pub drift: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            pair: Estimate {
                mean: 0.02,
                variance: 0.001,
            },
            noise: 0.01,
            drift: 0.000_000_2,
        }
    }
}

/// Images assigns keys to the names of images.
#[derive(Debug, Default)]
pub struct Images {
    names: Interner,
}

impl Images {
    /// names returns the names of all images, in the order of their keys.
    pub(crate) fn names(&self) -> Vec<String> {
        self.names.list()
    }

    /// key returns the key of an image.
    pub fn key(&mut self, name: &str) -> ImageKey {
        ImageKey(self.names.intern(name))
    }
}

/// Pressure is a best-effort image on a worker, with the cores that its tasks use there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// The image.
    pub image: ImageKey,
    /// The cores in use.
    pub cores: f64,
}

/// Model holds the coefficients of all pairs.
#[derive(Debug, Default)]
pub struct Model {
    options: Options,
    /// By serving image, then by best-effort image.
    pairs: Vec<Vec<Option<Estimate>>>,
}

impl Model {
    /// new returns a model without samples.
    pub fn new(options: Options) -> Model {
        Model {
            options,
            ..Model::default()
        }
    }

    /// pair returns the coefficient of a pair of images, for one core.
    pub fn pair(&self, serving: ImageKey, best_effort: ImageKey) -> Estimate {
        let row = self.pairs.get(usize::from(serving.0));
        let known = row.and_then(|row| row.get(usize::from(best_effort.0)).copied().flatten());
        known.unwrap_or(self.options.pair)
    }

    /// added_load returns the load that some pressures add to a serving image.
    pub fn added_load(&self, serving: ImageKey, pressures: &[Pressure]) -> Estimate {
        let mut sum = Estimate {
            mean: 0.0,
            variance: 0.0,
        };
        for pressure in pressures {
            let pair = self.pair(serving, pressure.image);
            sum.mean += pair.mean * pressure.cores;
            sum.variance += pair.variance * pressure.cores * pressure.cores;
        }
        sum
    }

    /// observe corrects the coefficients by a sample: the load of a serving task, the estimate
    /// of its own load, and the pressures on its worker.
    pub fn observe(
        &mut self,
        serving: ImageKey,
        load: f64,
        own_load: Estimate,
        pressures: &[Pressure],
    ) {
        let pressures = sum_by_image(pressures);
        let added = self.added_load(serving, &pressures);
        let residual = load - own_load.mean - added.mean;
        if load >= SATURATED_LOAD && residual <= 0.0 {
            // The actual load may be higher, so the sample does not show that the pressures add
            // less than expected.
            return;
        }
        let total = self.options.noise + own_load.variance + added.variance;
        for pressure in &pressures {
            let old = self.pair(serving, pressure.image);
            let gain = old.variance * pressure.cores / total;
            // Negative means are kept: cut off at zero, the errors of the many pairs without an
            // effect would add up to a spurious effect.
            *self.pair_mut(serving, pressure.image) = Some(Estimate {
                mean: old.mean + gain * residual,
                variance: old.variance * (1.0 - gain * pressure.cores) + self.options.drift,
            });
        }
    }

    /// describe returns a line for each serving image: the coefficients of the best-effort
    /// images seen on its workers with their standard deviations, in thousandths.
    pub fn describe(&self) -> Vec<String> {
        let milli = |value: f64| (value * 1_000.0) as i64;
        let line = |(image, pairs): (usize, _)| {
            let entries: Vec<String> =
                Iterator::map(pairs, |(best_effort, pair): (usize, Estimate)| {
                    let deviation = milli(pair.variance.sqrt());
                    format!("{best_effort}:{}+-{deviation}", milli(pair.mean))
                })
                .collect();
            format!("image {image}: pairs {}", entries.join(" "))
        };
        self.known_pairs().map(line).collect()
    }

    /// pairs_of returns the best-effort images seen beside a serving one, with their
    /// coefficients.
    pub(crate) fn pairs_of(
        &self,
        serving: ImageKey,
    ) -> impl Iterator<Item = (ImageKey, Estimate)> + '_ {
        let row = self.pairs.get(usize::from(serving.0));
        let pairs = row.into_iter().flatten().enumerate();
        pairs
            .filter_map(|(best_effort, pair)| pair.map(|pair| (ImageKey(best_effort as u16), pair)))
    }

    /// is_empty reports whether the model has no samples.
    pub(crate) fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// known_pairs returns the number and the pairs of each serving image that was seen beside
    /// a best-effort one.
    pub(crate) fn known_pairs(
        &self,
    ) -> impl Iterator<Item = (usize, impl Iterator<Item = (usize, Estimate)> + '_)> + '_ {
        let rows = self.pairs.iter().enumerate();
        let seen = rows.filter(|(_, row)| !row.is_empty());
        seen.map(|(image, row)| {
            let pairs = row.iter().enumerate();
            let known =
                pairs.filter_map(|(best_effort, pair)| pair.map(|pair| (best_effort, pair)));
            (image, known)
        })
    }

    /// set_pair sets the coefficient of a pair, as restored from a predecessor.
    pub(crate) fn set_pair(
        &mut self,
        serving: ImageKey,
        best_effort: ImageKey,
        estimate: Estimate,
    ) {
        *self.pair_mut(serving, best_effort) = Some(estimate);
    }

    fn pair_mut(&mut self, serving: ImageKey, best_effort: ImageKey) -> &mut Option<Estimate> {
        let (row, column) = (usize::from(serving.0), usize::from(best_effort.0));
        if self.pairs.len() <= row {
            self.pairs.resize(row + 1, Vec::new());
        }
        let row = &mut self.pairs[row];
        if row.len() <= column {
            row.resize(column + 1, None);
        }
        &mut row[column]
    }
}

/// sum_by_image adds up the pressures of each image.
fn sum_by_image(pressures: &[Pressure]) -> Vec<Pressure> {
    let mut sums: Vec<Pressure> = Vec::with_capacity(pressures.len());
    for pressure in pressures {
        match sums.iter_mut().find(|sum| sum.image == pressure.image) {
            Some(sum) => sum.cores += pressure.cores,
            None => sums.push(*pressure),
        }
    }
    sums
}
