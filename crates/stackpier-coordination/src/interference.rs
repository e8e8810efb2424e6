// SPDX-License-Identifier: Apache-2.0
//! Estimates of how much batch jobs slow services down, for each pair of a
//! service and a job.
//!
//! The slowdown of a service task is modelled as the sum of what each neighbour
//! adds, times the service's load. Each pair has a mean and a variance, which a
//! scalar Kalman filter updates with every sample; a pair that was never
//! observed has the prior.

use std::collections::BTreeMap;

use stackpier_core::Name;
use stackpier_protocol::peer::PairReport;

/// MIN_REPORTED_EXCESS is the smallest excess of a pair that is reported
/// to placers.
pub const MIN_REPORTED_EXCESS: f64 = 0.1;
/// MIN_LOAD is the smallest load that a sample is weighted with, so that an
/// idle service counts too.
const MIN_LOAD: f64 = 0.1;
/// MILLI is the number of thousandths in a unit.
const MILLI: f64 = 1_000.0;

/// Options hold the filter's constants. Excess is the slowdown minus one, at
/// full load.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Mean excess of a pair that was never observed.
    pub prior_mean: f64,
    /// Variance of a pair that was never observed.
    pub prior_variance: f64,
    /// Measurement variance of one sample.
    pub noise: f64,
    /// Added to a pair's variance by each sample, as the excess of a pair
    /// changes over time.
    pub drift: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            prior_mean: 0.02,
            prior_variance: 0.25,
            noise: 0.02,
            drift: 0.000_1,
        }
    }
}

/// Pair is a service and a batch job that share a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pair {
    /// The service that is slowed down.
    pub victim: Name,
    /// The batch job on the same worker.
    pub neighbour: Name,
}

/// Estimate is the filter's state for a pair.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Excess that one task of the job adds at full load.
    pub mean: f64,
    /// Variance of the mean.
    pub variance: f64,
}

/// Sample is one observation of a service task.
#[derive(Clone, Debug)]
pub struct Sample<'a> {
    /// The service.
    pub victim: Name,
    /// The batch tasks on its worker when the sample was taken, by job.
    pub neighbours: &'a BTreeMap<Name, u32>,
    /// The service's load, from 0 to 1.
    pub load: f64,
    /// Time per unit of work, relative to running alone.
    pub slowdown: f64,
}

/// Model holds the estimates of all observed pairs.
#[derive(Clone, Debug)]
pub struct Model {
    options: Options,
    pairs: BTreeMap<Pair, Estimate>,
}

impl Model {
    /// new returns a model without observations.
    pub fn new(options: Options) -> Model {
        Model {
            options,
            pairs: BTreeMap::new(),
        }
    }

    /// estimate returns the estimate of a pair, or the prior.
    pub fn estimate(&self, pair: Pair) -> Estimate {
        self.pairs.get(&pair).copied().unwrap_or(Estimate {
            mean: self.options.prior_mean,
            variance: self.options.prior_variance,
        })
    }

    /// observe updates the estimates with one sample.
    pub fn observe(&mut self, sample: &Sample<'_>) {
        let load = sample.load.max(MIN_LOAD);
        let pair = |neighbour: &Name| Pair {
            victim: sample.victim,
            neighbour: *neighbour,
        };
        let weight = |count: &u32| f64::from(*count) * load;
        let mut predicted = 0.0;
        let mut spread = self.options.noise;
        for (neighbour, count) in sample.neighbours {
            let estimate = self.estimate(pair(neighbour));
            predicted += estimate.mean * weight(count);
            spread += estimate.variance * weight(count).powi(2);
        }
        let innovation = sample.slowdown - 1.0 - predicted;
        for (neighbour, count) in sample.neighbours {
            let old = self.estimate(pair(neighbour));
            let gain = old.variance * weight(count) / spread;
            let new = Estimate {
                mean: (old.mean + gain * innovation).max(0.0),
                variance: old.variance * (1.0 - gain * weight(count)) + self.options.drift,
            };
            self.pairs.insert(pair(neighbour), new);
        }
    }

    /// report returns the pairs whose mean excess at full load is `min_excess`
    /// or more.
    pub fn report(&self, min_excess: f64) -> Vec<PairReport> {
        let reported = |(_, estimate): &(&Pair, &Estimate)| estimate.mean >= min_excess;
        let row = |(pair, estimate): (&Pair, &Estimate)| PairReport {
            victim: pair.victim,
            neighbour: pair.neighbour,
            excess_milli: (estimate.mean * MILLI) as u32,
            deviation_milli: (estimate.variance.sqrt() * MILLI) as u32,
        };
        self.pairs.iter().filter(reported).map(row).collect()
    }

    /// merge adopts another daemon's estimate of a pair, unless the own one has
    /// at most its variance.
    pub fn merge(&mut self, report: &PairReport) {
        let pair = Pair {
            victim: report.victim,
            neighbour: report.neighbour,
        };
        let theirs = Estimate {
            mean: f64::from(report.excess_milli) / MILLI,
            variance: (f64::from(report.deviation_milli) / MILLI)
                .powi(2)
                .max(self.options.drift),
        };
        let joined = match self.pairs.get(&pair) {
            Some(ours) if ours.variance <= theirs.variance => *ours,
            _ => theirs,
        };
        self.pairs.insert(pair, joined);
    }
}
