// SPDX-License-Identifier: Apache-2.0
//! How the own load of serving tasks changes over time.
//!
//! The tasks of a step share the traffic of one service, so their own load changes together. In
//! samples of client traffic it oscillates around a mean, with one period for all steps and a
//! phase for each. A [`Curve`] fits mean, amplitude and phase of one step for each of a few
//! candidate periods. [`Cycle`] weighs the periods by how well all curves predicted their
//! samples.

use std::f64::consts::TAU;

use stackpier_core::Millis;

use crate::interference::Estimate;

/// PERIOD_COUNT is the number of candidate periods.
const PERIOD_COUNT: usize = 32;
/// MIN_PERIOD_S is the shortest candidate period, in seconds; the client accounts' workloads
/// have 10 and 20.
const MIN_PERIOD_S: f64 = 5.0;
/// PERIOD_RATIO is the ratio of two neighbouring candidates. The longest, 40 s, is about the
/// time span that is learnt from.
const PERIOD_RATIO: f64 = 1.07;
/// TERM_COUNT is the number of weights of a fit: mean, cosine and sine.
const TERM_COUNT: usize = 3;
/// INITIAL_MEAN is the own load that is expected of a step without samples, as a share of a
/// task's capacity: 0.48 in the client accounts' workloads.
const INITIAL_MEAN: f64 = 0.48;
/// INITIAL_MEAN_VARIANCE is the variance of that value.
const INITIAL_MEAN_VARIANCE: f64 = 0.01;
/// AMPLITUDE_VARIANCE is the initial variance of the weights of cosine and sine: the client
/// accounts' workloads oscillate by half of the mean.
const AMPLITUDE_VARIANCE: f64 = 0.03;
/// DRIFT is by how much each sample increases a variance, as loads change.
const DRIFT: f64 = 0.000_02;
/// BUCKET_MS is how long the samples of a step are combined into one weighted mean before the
/// fits are updated: single samples overlap, as each covers half a second.
const BUCKET_MS: u64 = 300;
/// BUCKET_VARIANCE is the variance that such a mean has at least, however many tasks it covers.
const BUCKET_VARIANCE: f64 = 0.002;
/// MAX_SQUARED_RESIDUAL bounds the squared residual of one mean, in variances, so that a single
/// outlier does not decide on a period.
const MAX_SQUARED_RESIDUAL: f64 = 6.0;
/// SCORE_WEIGHT is the weight of one mean in the score of a period. It is below 1 because
/// successive means share a part of their errors.
const SCORE_WEIGHT: f64 = 0.5;
/// MAX_SCORE_GAP is how far below the best score a period may be to stay a candidate.
const MAX_SCORE_GAP: f64 = 25.0;
/// MIN_PERIOD_WEIGHT is the relative weight below which a period is left out of a prediction.
const MIN_PERIOD_WEIGHT: f64 = 0.002;

/// Cycle holds the scores of the candidate periods, common to all steps.
#[derive(Clone, Debug, PartialEq)]
pub struct Cycle {
    /// The weighted log-likelihood of each period, relative to the best one.
    scores: [f64; PERIOD_COUNT],
}

impl Default for Cycle {
    fn default() -> Cycle {
        Cycle {
            scores: [0.0; PERIOD_COUNT],
        }
    }
}

impl Cycle {
    /// scores returns the score of each period, to be saved for a successor.
    pub fn scores(&self) -> &[f64] {
        &self.scores
    }

    /// set_scores restores the scores that a predecessor saved, unless they are malformed.
    pub fn set_scores(&mut self, scores: &[f64]) {
        let finite = scores.iter().all(|score| score.is_finite());
        if scores.len() == PERIOD_COUNT && finite {
            self.scores.copy_from_slice(scores);
        }
    }

    fn best_score(&self) -> f64 {
        self.scores.iter().copied().fold(f64::MIN, f64::max)
    }

    /// candidate_periods returns the indices of the periods that are not ruled out yet.
    fn candidate_periods(&self) -> impl Iterator<Item = usize> + use<> {
        let (scores, min_score) = (self.scores, self.best_score() - MAX_SCORE_GAP);
        (0..PERIOD_COUNT).filter(move |index| scores[*index] >= min_score)
    }

    /// period_s returns the likeliest period, in seconds.
    pub fn period_s(&self) -> f64 {
        let best = (0..PERIOD_COUNT)
            .max_by(|one, other| self.scores[*one].total_cmp(&self.scores[*other]));
        best.map_or(MIN_PERIOD_S, period_s)
    }
}

/// period_s returns the period with an index, in seconds.
fn period_s(index: usize) -> f64 {
    MIN_PERIOD_S * PERIOD_RATIO.powi(index as i32)
}

/// terms returns the inputs of a fit at a time, in seconds.
fn terms(index: usize, at_s: f64) -> [f64; TERM_COUNT] {
    let (sine, cosine) = (TAU * at_s / period_s(index)).sin_cos();
    [1.0, cosine, sine]
}

fn seconds(at: Millis) -> f64 {
    at.0 as f64 / 1_000.0
}

/// Fit estimates mean, amplitude and phase of one step's own load, for one period.
#[derive(Clone, Copy, Debug)]
struct Fit {
    weights: [f64; TERM_COUNT],
    covariance: [[f64; TERM_COUNT]; TERM_COUNT],
}

impl Default for Fit {
    fn default() -> Fit {
        let mut covariance = [[0.0; TERM_COUNT]; TERM_COUNT];
        covariance[0][0] = INITIAL_MEAN_VARIANCE;
        covariance[1][1] = AMPLITUDE_VARIANCE;
        covariance[2][2] = AMPLITUDE_VARIANCE;
        Fit {
            weights: [INITIAL_MEAN, 0.0, 0.0],
            covariance,
        }
    }
}

impl Fit {
    /// cross_covariance returns the covariance of the weights with the value that they predict.
    fn cross_covariance(&self, terms: &[f64; TERM_COUNT]) -> [f64; TERM_COUNT] {
        self.covariance.map(|row| dot(&row, terms))
    }

    /// expect returns the predicted value.
    fn expect(&self, terms: &[f64; TERM_COUNT]) -> Estimate {
        Estimate {
            mean: dot(&self.weights, terms),
            variance: dot(&self.cross_covariance(terms), terms),
        }
    }

    /// update corrects the weights by a value. It returns the logarithm of the value's
    /// likelihood under the weights before.
    fn update(&mut self, terms: &[f64; TERM_COUNT], value: Estimate) -> f64 {
        let cross_covariance = self.cross_covariance(terms);
        let total = value.variance + dot(&cross_covariance, terms);
        let residual = value.mean - dot(&self.weights, terms);
        for index in 0..TERM_COUNT {
            self.weights[index] += cross_covariance[index] / total * residual;
            for other in 0..TERM_COUNT {
                self.covariance[index][other] -=
                    cross_covariance[index] * cross_covariance[other] / total;
            }
            self.covariance[index][index] += DRIFT;
        }
        let squared = (residual * residual / total).min(MAX_SQUARED_RESIDUAL);
        -0.5 * (squared + total.ln())
    }
}

/// Curve models the own load of a step's tasks over time.
#[derive(Debug)]
pub struct Curve {
    fits: [Fit; PERIOD_COUNT],
    /// The sum of the weights of the samples in the current bucket.
    weight: f64,
    /// The weighted sum of these samples.
    sum: f64,
    /// When the bucket began.
    bucket_start: Option<Millis>,
}

impl Default for Curve {
    fn default() -> Curve {
        Curve {
            fits: [Fit::default(); PERIOD_COUNT],
            weight: 0.0,
            sum: 0.0,
            bucket_start: None,
        }
    }
}

impl Curve {
    /// observe adds a sample of one task's own load, with its variance.
    pub fn observe(&mut self, cycle: &mut Cycle, now: Millis, value: Estimate) {
        let since = *self.bucket_start.get_or_insert(now);
        if now.since(since) >= BUCKET_MS {
            self.update_fits(cycle, since);
            self.bucket_start = Some(now);
        }
        self.weight += 1.0 / value.variance;
        self.sum += value.mean / value.variance;
    }

    /// update_fits corrects the fits by the bucket of samples that began at a time.
    fn update_fits(&mut self, cycle: &mut Cycle, since: Millis) {
        let value = Estimate {
            mean: self.sum / self.weight,
            variance: 1.0 / self.weight + BUCKET_VARIANCE,
        };
        (self.weight, self.sum) = (0.0, 0.0);
        let at_s = seconds(since.plus(BUCKET_MS / 2));
        for index in cycle.candidate_periods() {
            let score = self.fits[index].update(&terms(index, at_s), value);
            cycle.scores[index] += SCORE_WEIGHT * score;
        }
        let best = cycle.best_score();
        cycle.scores.iter_mut().for_each(|score| *score -= best);
    }

    /// expect returns the own load predicted for a time: the mean over the candidate periods,
    /// weighted by their likelihood.
    pub fn expect(&self, cycle: &Cycle, at: Millis) -> Estimate {
        let (best, at_s) = (cycle.best_score(), seconds(at));
        let (mut total, mut mean, mut square) = (0.0, 0.0, 0.0);
        for index in cycle.candidate_periods() {
            let weight = (cycle.scores[index] - best).exp();
            if weight < MIN_PERIOD_WEIGHT {
                continue;
            }
            let part = self.fits[index].expect(&terms(index, at_s));
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

fn dot(left: &[f64; TERM_COUNT], right: &[f64; TERM_COUNT]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}
