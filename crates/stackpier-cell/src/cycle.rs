// SPDX-License-Identifier: Apache-2.0
//! How the own load of serving tasks moves.
//!
//! The tasks of a step share the traffic of one service, so their own load
//! moves together: on samples of the users' days it swings around its mean,
//! with one period for all steps and a phase for each. A [`Curve`] fits mean
//! and swing of a step for each of a few candidate periods, and [`Cycle`]
//! weighs the periods by how well all curves foretold their samples.

use std::f64::consts::TAU;

use stackpier_core::Millis;

use crate::interference::Estimate;

/// PERIODS is how many periods are tried.
const PERIODS: usize = 32;
/// SHORTEST_S is the shortest period, in seconds; the users' sheets have 10 and
/// 20.
const SHORTEST_S: f64 = 5.0;
/// SPACING is the ratio between two periods. The longest, 40 s, is about the
/// length of what is learnt from.
const SPACING: f64 = 1.07;
/// TERMS is the number of weights of a fit: mean, cosine and sine.
const TERMS: usize = 3;
/// MEAN is the own load that is expected of a step that was never seen, as a
/// share of what its task can carry: the users' sheets give 0.48.
const MEAN: f64 = 0.48;
/// MEAN_VARIANCE is how uncertain that is.
const MEAN_VARIANCE: f64 = 0.01;
/// SWING_VARIANCE is the variance of cosine and sine before anything was
/// learnt: the users' sheets swing by half of the mean.
const SWING_VARIANCE: f64 = 0.03;
/// DRIFT is what a variance grows by with each sample, as loads change.
const DRIFT: f64 = 0.000_02;
/// BUCKET_MS is how long samples of a step are gathered before they are learnt
/// from, as one: they overlap, as each covers half a second.
const BUCKET_MS: u64 = 300;
/// COMMON_VARIANCE is the variance of such a mean, however many tasks it has.
const COMMON_VARIANCE: f64 = 0.002;
/// SURPRISE_LIMIT bounds the squared surprise of one mean, in variances, so
/// that one wild figure does not decide on a period.
const SURPRISE_LIMIT: f64 = 6.0;
/// SCORE_WEIGHT is the weight of one mean in the score of a period: means
/// that follow each other share a part of their errors.
const SCORE_WEIGHT: f64 = 0.5;
/// HOPELESS is how far below the best score a period is no longer tried.
const HOPELESS: f64 = 25.0;
/// MIN_WEIGHT is the weight below which a period has no part in a forecast.
const MIN_WEIGHT: f64 = 0.002;

/// Cycle is what is known of the period, common to all steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Cycle {
    /// The logarithm of how well each period did.
    scores: [f64; PERIODS],
}

impl Default for Cycle {
    fn default() -> Cycle {
        Cycle {
            scores: [0.0; PERIODS],
        }
    }
}

impl Cycle {
    /// scores returns the score of each period, for a later owner.
    pub fn scores(&self) -> &[f64] {
        &self.scores
    }

    /// set_scores takes over the scores of an earlier owner.
    pub fn set_scores(&mut self, scores: &[f64]) {
        let finite = scores.iter().all(|score| score.is_finite());
        if scores.len() == PERIODS && finite {
            self.scores.copy_from_slice(scores);
        }
    }

    fn best(&self) -> f64 {
        self.scores.iter().copied().fold(f64::MIN, f64::max)
    }

    /// tried returns the periods that are still tried.
    fn tried(&self) -> impl Iterator<Item = usize> + use<> {
        let (scores, least) = (self.scores, self.best() - HOPELESS);
        (0..PERIODS).filter(move |place| scores[*place] >= least)
    }

    /// period_s returns the likeliest period, in seconds.
    pub fn period_s(&self) -> f64 {
        let best =
            (0..PERIODS).max_by(|one, other| self.scores[*one].total_cmp(&self.scores[*other]));
        best.map_or(SHORTEST_S, period_s)
    }
}

fn period_s(place: usize) -> f64 {
    SHORTEST_S * SPACING.powi(place as i32)
}

/// terms returns the inputs of a fit at a time, in seconds.
fn terms(place: usize, at_s: f64) -> [f64; TERMS] {
    let (sine, cosine) = (TAU * at_s / period_s(place)).sin_cos();
    [1.0, cosine, sine]
}

fn seconds(at: Millis) -> f64 {
    at.0 as f64 / 1_000.0
}

/// Fit is the mean and swing of one step for one period.
#[derive(Clone, Copy, Debug)]
struct Fit {
    weights: [f64; TERMS],
    covariance: [[f64; TERMS]; TERMS],
}

impl Default for Fit {
    fn default() -> Fit {
        let mut covariance = [[0.0; TERMS]; TERMS];
        covariance[0][0] = MEAN_VARIANCE;
        covariance[1][1] = SWING_VARIANCE;
        covariance[2][2] = SWING_VARIANCE;
        Fit {
            weights: [MEAN, 0.0, 0.0],
            covariance,
        }
    }
}

impl Fit {
    fn spread(&self, terms: &[f64; TERMS]) -> [f64; TERMS] {
        self.covariance.map(|row| dot(&row, terms))
    }

    fn expect(&self, terms: &[f64; TERMS]) -> Estimate {
        Estimate {
            mean: dot(&self.weights, terms),
            variance: dot(&self.spread(terms), terms),
        }
    }

    /// learn takes in a value and returns the logarithm of how likely it was.
    fn learn(&mut self, terms: &[f64; TERMS], value: Estimate) -> f64 {
        let spread = self.spread(terms);
        let total = value.variance + dot(&spread, terms);
        let surprise = value.mean - dot(&self.weights, terms);
        for place in 0..TERMS {
            self.weights[place] += spread[place] / total * surprise;
            for other in 0..TERMS {
                self.covariance[place][other] -= spread[place] * spread[other] / total;
            }
            self.covariance[place][place] += DRIFT;
        }
        let squared = (surprise * surprise / total).min(SURPRISE_LIMIT);
        -0.5 * (squared + total.ln())
    }
}

/// Curve is the course of the own load of a step's tasks.
#[derive(Debug)]
pub struct Curve {
    fits: [Fit; PERIODS],
    /// Samples gathered since `since`: their weights, and values by weight.
    weight: f64,
    sum: f64,
    since: Option<Millis>,
}

impl Default for Curve {
    fn default() -> Curve {
        Curve {
            fits: [Fit::default(); PERIODS],
            weight: 0.0,
            sum: 0.0,
            since: None,
        }
    }
}

impl Curve {
    /// observe takes in the own load of one task, with its variance.
    pub fn observe(&mut self, cycle: &mut Cycle, now: Millis, value: Estimate) {
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= BUCKET_MS {
            self.learn(cycle, since);
            self.since = Some(now);
        }
        self.weight += 1.0 / value.variance;
        self.sum += value.mean / value.variance;
    }

    /// learn corrects the fits by the samples gathered since a time.
    fn learn(&mut self, cycle: &mut Cycle, since: Millis) {
        let value = Estimate {
            mean: self.sum / self.weight,
            variance: 1.0 / self.weight + COMMON_VARIANCE,
        };
        (self.weight, self.sum) = (0.0, 0.0);
        let at_s = seconds(since.plus(BUCKET_MS / 2));
        for place in cycle.tried() {
            let score = self.fits[place].learn(&terms(place, at_s), value);
            cycle.scores[place] += SCORE_WEIGHT * score;
        }
        let best = cycle.best();
        cycle.scores.iter_mut().for_each(|score| *score -= best);
    }

    /// expect returns the own load expected at a time, by all periods that may
    /// hold.
    pub fn expect(&self, cycle: &Cycle, at: Millis) -> Estimate {
        let (best, at_s) = (cycle.best(), seconds(at));
        let (mut total, mut mean, mut square) = (0.0, 0.0, 0.0);
        for place in cycle.tried() {
            let weight = (cycle.scores[place] - best).exp();
            if weight < MIN_WEIGHT {
                continue;
            }
            let part = self.fits[place].expect(&terms(place, at_s));
            total += weight;
            mean += weight * part.mean;
            square += weight * (part.variance + part.mean * part.mean);
        }
        let mean = mean / total;
        Estimate {
            mean,
            variance: (square / total - mean * mean).max(0.0),
        }
    }
}

fn dot(left: &[f64; TERMS], right: &[f64; TERMS]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}
