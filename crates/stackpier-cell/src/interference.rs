// SPDX-License-Identifier: Apache-2.0
//! What is learnt of how much filling tasks load the serving tasks beside
//! them, by pair of images.
//!
//! A serving task's tail latency grows as its queue does: with its unloaded
//! tail over the share of its capacity that is free. So its *load*, the share
//! in use, is read off its tail. Samples of the users' days show that a load is
//! the task's own plus, for each filling image beside it, a coefficient times
//! the processors that these use. Each coefficient has a mean and a variance; a
//! Kalman filter with independent terms corrects them with every sample.

use crate::{arena::ImageKey, interner::Interner};

/// TARGET_FACTOR is the target over the unloaded tail: six on the users'
/// sheets.
const TARGET_FACTOR: f64 = 6.0;
/// LOAD_AT_TARGET is the load at which the tail is at its target.
pub const LOAD_AT_TARGET: f64 = 1.0 - 1.0 / TARGET_FACTOR;
/// LOAD_LIMIT is the highest load that is told apart: a tail of fifty times the
/// unloaded one.
pub const LOAD_LIMIT: f64 = 0.98;
/// SATURATED is the load from which a sample only says that there is more than
/// the task can carry.
const SATURATED: f64 = 0.94;

/// load returns the load of a serving task with a tail latency and a target,
/// both in milliseconds.
pub fn load(tail_ms: u32, target_ms: u32) -> f64 {
    let slowdown = TARGET_FACTOR * f64::from(tail_ms) / f64::from(target_ms.max(1));
    (1.0 - 1.0 / slowdown.max(1.0)).min(LOAD_LIMIT)
}

/// load_at returns the load at which the tail is at a share of its target.
pub const fn load_at(share: f64) -> f64 {
    1.0 - 1.0 / (TARGET_FACTOR * share)
}

/// Estimate is what is believed of one value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The expected value.
    pub mean: f64,
    /// How uncertain it is.
    pub variance: f64,
}

/// Options are the filter's constants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The coefficient of a pair that was never seen, for one core. On samples
    /// of the users' days most pairs have 0.002 to 0.01 and a few 0.03 to 0.09.
    pub pair: Estimate,
    /// The variance of one sample around what is expected: samples follow each
    /// other closely and share a part of their errors.
    pub noise: f64,
    /// What each sample adds to a variance, as the coefficients change.
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

/// Images numbers the names of images.
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

/// Pressure is a filling image on a worker, with the cores that it uses there.
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
    /// By serving image, then by filling image.
    pairs: Vec<Vec<Option<Estimate>>>,
}

impl Model {
    /// new starts with nothing learnt.
    pub fn new(options: Options) -> Model {
        Model {
            options,
            ..Model::default()
        }
    }

    /// pair returns what is believed of a pair of images, for one core.
    pub fn pair(&self, serving: ImageKey, filling: ImageKey) -> Estimate {
        let row = self.pairs.get(usize::from(serving.0));
        let known = row.and_then(|row| row.get(usize::from(filling.0)).copied().flatten());
        known.unwrap_or(self.options.pair)
    }

    /// added returns the load that some pressures add to a serving image.
    pub fn added(&self, serving: ImageKey, pressures: &[Pressure]) -> Estimate {
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

    /// observe learns from a sample: the load of a serving task, its own load
    /// as far as that is known, and what fills beside it.
    pub fn observe(&mut self, serving: ImageKey, load: f64, own: Estimate, beside: &[Pressure]) {
        let beside = by_image(beside);
        let added = self.added(serving, &beside);
        let surprise = load - own.mean - added.mean;
        if load >= SATURATED && surprise <= 0.0 {
            // It may be any load above, so this one is no sign of less.
            return;
        }
        let total = self.options.noise + own.variance + added.variance;
        for pressure in &beside {
            let old = self.pair(serving, pressure.image);
            let gain = old.variance * pressure.cores / total;
            // Means below zero stay: cut off at zero, the many pairs without an
            // effect would add up to one.
            *self.pair_mut(serving, pressure.image) = Some(Estimate {
                mean: old.mean + gain * surprise,
                variance: old.variance * (1.0 - gain * pressure.cores) + self.options.drift,
            });
        }
    }

    /// describe returns a line for each serving image: the coefficients of the
    /// filling images seen beside it with their standard deviations, in
    /// thousandths.
    pub fn describe(&self) -> Vec<String> {
        let milli = |value: f64| (value * 1_000.0) as i64;
        let line = |(image, pairs): (usize, _)| {
            let words: Vec<String> = Iterator::map(pairs, |(filling, pair): (usize, Estimate)| {
                let deviation = milli(pair.variance.sqrt());
                format!("{filling}:{}+-{deviation}", milli(pair.mean))
            })
            .collect();
            format!("image {image}: pairs {}", words.join(" "))
        };
        self.known_pairs().map(line).collect()
    }

    /// pairs_of returns the filling images seen beside a serving one, with their
    /// coefficients.
    pub(crate) fn pairs_of(
        &self,
        serving: ImageKey,
    ) -> impl Iterator<Item = (ImageKey, Estimate)> + '_ {
        let row = self.pairs.get(usize::from(serving.0));
        let pairs = row.into_iter().flatten().enumerate();
        pairs.filter_map(|(filling, pair)| pair.map(|pair| (ImageKey(filling as u16), pair)))
    }

    /// is_empty tells whether nothing was learnt.
    pub(crate) fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// known_pairs returns the number and the pairs of each serving image that was
    /// seen beside a filling one.
    pub(crate) fn known_pairs(
        &self,
    ) -> impl Iterator<Item = (usize, impl Iterator<Item = (usize, Estimate)> + '_)> + '_ {
        let rows = self.pairs.iter().enumerate();
        let seen = rows.filter(|(_, row)| !row.is_empty());
        seen.map(|(image, row)| {
            let pairs = row.iter().enumerate();
            let known = pairs.filter_map(|(filling, pair)| pair.map(|pair| (filling, pair)));
            (image, known)
        })
    }

    /// set_pair takes over what is believed of a pair.
    pub(crate) fn set_pair(&mut self, serving: ImageKey, filling: ImageKey, estimate: Estimate) {
        *self.pair_mut(serving, filling) = Some(estimate);
    }

    fn pair_mut(&mut self, serving: ImageKey, filling: ImageKey) -> &mut Option<Estimate> {
        let (row, place) = (usize::from(serving.0), usize::from(filling.0));
        if self.pairs.len() <= row {
            self.pairs.resize(row + 1, Vec::new());
        }
        let row = &mut self.pairs[row];
        if row.len() <= place {
            row.resize(place + 1, None);
        }
        &mut row[place]
    }
}

/// by_image returns the sum of the pressures of each image.
fn by_image(pressures: &[Pressure]) -> Vec<Pressure> {
    let mut sums: Vec<Pressure> = Vec::with_capacity(pressures.len());
    for pressure in pressures {
        match sums.iter_mut().find(|sum| sum.image == pressure.image) {
            Some(sum) => sum.cores += pressure.cores,
            None => sums.push(*pressure),
        }
    }
    sums
}
