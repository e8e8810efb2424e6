// SPDX-License-Identifier: Apache-2.0
//! What is learnt of how much filling tasks slow serving tasks down, by pair
//! of images.
//!
//! The *strain* of a serving task is the logarithm of its tail latency over
//! its target: zero at the target. It is taken as a base for the serving image
//! plus, for each filling image beside it, a coefficient times the processors
//! that these use. Base and coefficients each have a mean and a variance; a
//! Kalman filter with independent terms corrects them with every sample.

use crate::{arena::ImageKey, names::Names};

/// Estimate is what is believed of one term.
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
    /// The base of an image that was never seen: on the users' sheets a
    /// target is six times the undisturbed tail.
    pub base: Estimate,
    /// The coefficient of a pair that was never seen, for one core.
    pub pair: Estimate,
    /// The variance of a change: the load of a serving task swings.
    pub noise: f64,
    /// The variance of one sample around its base.
    pub level_noise: f64,
    /// What each sample adds to a variance, as the terms change.
    pub drift: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            base: Estimate {
                mean: -1.5,
                variance: 0.5,
            },
            pair: Estimate {
                mean: 0.02,
                variance: 0.003,
            },
            noise: 0.12,
            level_noise: 1.0,
            drift: 0.000_000_1,
        }
    }
}

/// GAIN is how much stronger a pressure is felt at a higher own load: a task
/// near its limit is disturbed more, as its queue grows. Fitted on samples of
/// quiet days.
const GAIN: f64 = 0.5;
/// GAIN_LIMIT bounds the own load that the gain is taken at.
const GAIN_LIMIT: f64 = 0.8;

/// gain returns the factor on the pressure at an own load.
pub fn gain(own: f64) -> f64 {
    (GAIN * own.clamp(-GAIN_LIMIT, GAIN_LIMIT)).exp()
}

/// Images numbers the names of images.
#[derive(Debug, Default)]
pub struct Images {
    names: Names,
}

impl Images {
    /// names returns the names of all images, in the order of their keys.
    pub(crate) fn names(&self) -> Vec<String> {
        self.names.list()
    }

    /// key returns the key of an image.
    pub fn key(&mut self, name: &str) -> ImageKey {
        ImageKey(self.names.number(name))
    }
}

/// Load is a filling image on a worker, with the cores that it uses there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The image.
    pub image: ImageKey,
    /// The cores in use.
    pub cores: f64,
}

/// Sample is the strain of a serving task with the loads beside it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    /// The logarithm of tail over target.
    pub strain: f64,
    /// What fills on the worker.
    pub loads: Vec<Load>,
}

/// KEPT is how much of a task's own load, above its mean, is still there a
/// second later: 0.6 to 0.8 on samples of quiet days.
const KEPT: f64 = 0.75;

/// changes returns the loads of the later sample less what is kept of the
/// earlier one's, by image.
fn changes(earlier: &Sample, later: &Sample) -> Vec<Load> {
    let mut loads: Vec<Load> = Vec::new();
    let kept = earlier.loads.iter().map(|load| Load {
        cores: -KEPT * load.cores,
        ..*load
    });
    for load in later.loads.iter().copied().chain(kept) {
        match loads.iter_mut().find(|other| other.image == load.image) {
            Some(other) => other.cores += load.cores,
            None => loads.push(load),
        }
    }
    loads
}

/// Model holds all terms.
#[derive(Debug, Default)]
pub struct Model {
    options: Options,
    bases: Vec<Option<Estimate>>,
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

    /// base returns what is believed of an undisturbed image.
    pub fn base(&self, serving: ImageKey) -> Estimate {
        let known = self.bases.get(usize::from(serving.0)).copied().flatten();
        known.unwrap_or(self.options.base)
    }

    /// pair returns what is believed of a pair of images, for one core.
    pub fn pair(&self, serving: ImageKey, filling: ImageKey) -> Estimate {
        let row = self.pairs.get(usize::from(serving.0));
        let known = row.and_then(|row| row.get(usize::from(filling.0)).copied().flatten());
        known.unwrap_or(self.options.pair)
    }

    /// pressure returns what some loads add to the strain of an image at its
    /// mean load.
    pub fn pressure(&self, serving: ImageKey, loads: &[Load]) -> f64 {
        let part = |load: &Load| self.pair(serving, load.image).mean * load.cores;
        loads.iter().map(part).sum()
    }

    /// predict returns the expected strain beside some loads, for a task whose
    /// own load lies above the mean by `own` in strain.
    pub fn predict(&self, serving: ImageKey, loads: &[Load], own: f64) -> f64 {
        self.base(serving).mean + own + gain(own) * self.pressure(serving, loads)
    }

    /// observe learns from a sample of a task and an earlier one, about a
    /// second before. Most of the own load is the same in both and drops out,
    /// so what remains is the effect of the loads that came or went.
    pub fn observe(&mut self, serving: ImageKey, earlier: &Sample, later: &Sample, own: f64) {
        let gain = gain(own);
        let base = self.base(serving);
        let change = later.strain - base.mean - KEPT * (earlier.strain - base.mean);
        let loads = changes(earlier, later);
        let weight = |load: &Load| gain * load.cores;
        let expected = gain * self.pressure(serving, &loads);
        let spread = |load: &Load| self.pair(serving, load.image).variance * weight(load).powi(2);
        let total = self.options.noise + loads.iter().map(spread).sum::<f64>();
        let surprise = change - expected;
        for load in &loads {
            let old = self.pair(serving, load.image);
            // Means below zero stay: cut off at zero, the many pairs without an
            // effect would add up to one.
            let new = self.correct(old, weight(load), surprise, total);
            *self.pair_mut(serving, load.image) = Some(new);
        }
        self.observe_base(serving, later, gain);
    }

    fn observe_base(&mut self, serving: ImageKey, sample: &Sample, gain: f64) {
        let base = self.base(serving);
        let total = self.options.level_noise + base.variance;
        let pressure = gain * self.pressure(serving, &sample.loads);
        let surprise = sample.strain - pressure - base.mean;
        *self.base_mut(serving) = Some(self.correct(base, 1.0, surprise, total));
    }

    fn correct(&self, old: Estimate, weight: f64, surprise: f64, total: f64) -> Estimate {
        let gain = old.variance * weight / total;
        Estimate {
            mean: old.mean + gain * surprise,
            variance: old.variance * (1.0 - gain * weight) + self.options.drift,
        }
    }

    /// describe returns a line for each serving image: its base, and the
    /// coefficients of the filling images seen beside it with their standard
    /// deviations, in thousandths.
    pub fn describe(&self) -> Vec<String> {
        let milli = |value: f64| (value * 1_000.0) as i64;
        let line = |(image, base, pairs): (usize, Estimate, _)| {
            let words: Vec<String> = Iterator::map(pairs, |(filling, pair): (usize, Estimate)| {
                let deviation = milli(pair.variance.sqrt());
                format!("{filling}:{}+-{deviation}", milli(pair.mean))
            })
            .collect();
            format!(
                "image {image}: base {}, pairs {}",
                milli(base.mean),
                words.join(" ")
            )
        };
        self.learnt().map(line).collect()
    }

    /// is_empty tells whether nothing was learnt.
    pub(crate) fn is_empty(&self) -> bool {
        self.bases.is_empty()
    }

    /// learnt returns each serving image's number, base and pairs.
    pub(crate) fn learnt(
        &self,
    ) -> impl Iterator<
        Item = (
            usize,
            Estimate,
            impl Iterator<Item = (usize, Estimate)> + '_,
        ),
    > + '_ {
        let bases = self.bases.iter().enumerate();
        bases.filter_map(|(image, base)| {
            let pairs = self.pairs.get(image).into_iter().flatten().enumerate();
            let pairs = pairs.filter_map(|(filling, pair)| pair.map(|pair| (filling, pair)));
            base.map(|base| (image, base, pairs))
        })
    }

    /// set_base takes over what is believed of an undisturbed image.
    pub(crate) fn set_base(&mut self, serving: ImageKey, estimate: Estimate) {
        *self.base_mut(serving) = Some(estimate);
    }

    /// set_pair takes over what is believed of a pair.
    pub(crate) fn set_pair(&mut self, serving: ImageKey, filling: ImageKey, estimate: Estimate) {
        *self.pair_mut(serving, filling) = Some(estimate);
    }

    fn base_mut(&mut self, serving: ImageKey) -> &mut Option<Estimate> {
        let place = usize::from(serving.0);
        if self.bases.len() <= place {
            self.bases.resize(place + 1, None);
        }
        &mut self.bases[place]
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
