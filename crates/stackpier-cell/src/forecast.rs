// SPDX-License-Identifier: Apache-2.0
//! How the own load of serving tasks moves: what is left of their strain when
//! what fills beside them is taken off, seen a second apart, foretells itself
//! two seconds ahead, as load swings. One linear predictor serves all tasks; it
//! is learnt by recursive least squares.

use std::collections::VecDeque;

use stackpier_core::Millis;

/// SPACING_MS is the time between two values of a trace.
const SPACING_MS: u64 = 1_000;
/// LAGS is how many values a forecast uses. Seven seconds reach the trough of
/// a swing of ten seconds; in samples of quiet days more lags added nothing.
const LAGS: usize = 7;
/// AHEAD is how many values ahead the forecast is: the run time of a filling
/// task.
const AHEAD: usize = 2;
/// TERMS is the number of weights: one for each lag, and a constant.
const TERMS: usize = LAGS + 1;
/// PRIOR is the variance of a weight before anything was learnt.
const PRIOR: f64 = 0.05;
/// NOISE is the variance of what can't be foretold, from samples of quiet days.
const NOISE: f64 = 0.08;
/// EARLY_WEIGHT is the weight of the last value while the trace is too short.
const EARLY_WEIGHT: f64 = 0.4;
/// LIMIT bounds a value, so that one wild figure does not upset the weights.
const LIMIT: f64 = 1.2;

/// Trace is the course of one task's own load, newest first.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    values: VecDeque<f64>,
    at: Option<Millis>,
}

impl Trace {
    /// push adds a value, if the last one is old enough, and tells whether it
    /// did.
    pub(crate) fn push(&mut self, now: Millis, value: f64) -> bool {
        if self.at.is_some_and(|at| now.since(at) < SPACING_MS) {
            return false;
        }
        self.at = Some(now);
        self.values.push_front(value.clamp(-LIMIT, LIMIT));
        self.values.truncate(LAGS + AHEAD);
        true
    }

    fn terms(&self, from: usize) -> Option<[f64; TERMS]> {
        if self.values.len() < from + LAGS {
            return None;
        }
        let mut terms = [1.0; TERMS];
        for (lag, term) in terms.iter_mut().take(LAGS).enumerate() {
            *term = self.values[from + lag];
        }
        Some(terms)
    }
}

/// Forecast is the predictor.
#[derive(Debug)]
pub(crate) struct Forecast {
    weights: [f64; TERMS],
    covariance: [[f64; TERMS]; TERMS],
}

impl Default for Forecast {
    fn default() -> Forecast {
        let mut covariance = [[0.0; TERMS]; TERMS];
        for (place, row) in covariance.iter_mut().enumerate() {
            row[place] = PRIOR;
        }
        let mut weights = [0.0; TERMS];
        weights[0] = EARLY_WEIGHT;
        Forecast {
            weights,
            covariance,
        }
    }
}

impl Forecast {
    /// weights returns what was learnt.
    pub(crate) fn weights(&self) -> &[f64] {
        &self.weights
    }

    /// set_weights takes over what an earlier owner learnt, if it has the
    /// right number of terms.
    pub(crate) fn set_weights(&mut self, weights: &[f64]) {
        if let Ok(weights) = <[f64; TERMS]>::try_from(weights) {
            self.weights = weights;
        }
    }

    /// learn corrects the weights by the newest value of a trace.
    pub(crate) fn learn(&mut self, trace: &Trace) {
        let Some(terms) = trace.terms(AHEAD) else {
            return;
        };
        let surprise = trace.values[0] - dot(&self.weights, &terms);
        let mut spread = [0.0; TERMS];
        for (row, value) in self.covariance.iter().zip(&mut spread) {
            *value = dot(row, &terms);
        }
        let total = NOISE + dot(&spread, &terms);
        for place in 0..TERMS {
            self.weights[place] += spread[place] / total * surprise;
            for other in 0..TERMS {
                self.covariance[place][other] -= spread[place] * spread[other] / total;
            }
        }
    }

    /// ahead returns the value expected two seconds ahead; `now` is the present
    /// one.
    pub(crate) fn ahead(&self, trace: &Trace, now: f64) -> f64 {
        let terms = trace.terms(0);
        terms.map_or(EARLY_WEIGHT * now, |terms| dot(&self.weights, &terms))
    }
}

fn dot(left: &[f64; TERMS], right: &[f64; TERMS]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}
