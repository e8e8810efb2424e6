// SPDX-License-Identifier: Apache-2.0
//! Learns by which factor the run times of tasks differ from the estimates of client accounts.

use serde::{Deserialize, Serialize};

/// MILLI is the number of thousandths in a whole.
const MILLI: u64 = 1_000;
/// MIN_SAMPLES is how many ends must have been seen before the learnt factor is used.
const MIN_SAMPLES: u32 = 20;
/// WEIGHT is the weight of a new sample in the mean and the spread.
const WEIGHT: f64 = 0.05;
/// MAX_SAMPLE bounds a sample: a run that takes far longer tells of its worker or of itself, not of
/// the estimate.
const MAX_SAMPLE: f64 = 4.0;
/// UNKNOWN_SPREAD is the spread while too few ends have been seen: by what client accounts say,
/// estimates are off by half and more.
const UNKNOWN_SPREAD: f64 = 0.5;

/// Factor is the ratio of run times to their estimates, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Factor {
    /// The lower end of the usual ratios.
    pub least_milli: u32,
    /// The mean.
    pub mean_milli: u32,
}

impl Factor {
    /// least returns the lowest usual run time for an estimate.
    pub fn least(&self, estimate_ms: u64) -> u64 {
        estimate_ms * u64::from(self.least_milli) / MILLI
    }

    /// expected returns the mean run time for an estimate.
    pub fn expected(&self, estimate_ms: u64) -> u64 {
        estimate_ms * u64::from(self.mean_milli) / MILLI
    }
}

/// Ratio is the mean and the spread of the ratios of one kind of tasks.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    service: u16,
    best_effort: bool,
    count: u32,
    mean: f64,
    /// The mean distance from the mean.
    spread: f64,
}

/// Durations holds what was learnt of each kind of tasks.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    ratios: Vec<Ratio>,
}

impl Durations {
    /// record records how long a run took that was estimated at `estimate_ms`.
    pub(crate) fn record(
        &mut self,
        service: u16,
        best_effort: bool,
        estimate_ms: u64,
        ran_ms: u64,
    ) {
        if estimate_ms == 0 {
            return;
        }
        let sample = (ran_ms as f64 / estimate_ms as f64).min(MAX_SAMPLE);
        let ratio = self.ratio_mut(service, best_effort);
        ratio.count += 1;
        ratio.spread += ((sample - ratio.mean).abs() - ratio.spread) * WEIGHT;
        ratio.mean += (sample - ratio.mean) * WEIGHT;
    }

    /// factor returns the factor of a kind of tasks.
    pub(crate) fn factor(&self, service: u16, best_effort: bool) -> Factor {
        let mut ratios = self.ratios.iter();
        let known = ratios.find(|ratio| ratio.is(service, best_effort));
        let known = known.filter(|ratio| ratio.count >= MIN_SAMPLES);
        let (mean, spread) =
            known.map_or((1.0, UNKNOWN_SPREAD), |ratio| (ratio.mean, ratio.spread));
        let milli = |ratio: f64| (ratio.max(0.0) * MILLI as f64) as u32;
        Factor {
            least_milli: milli(mean - spread),
            mean_milli: milli(mean),
        }
    }

    fn ratio_mut(&mut self, service: u16, best_effort: bool) -> &mut Ratio {
        let found = self
            .ratios
            .iter()
            .position(|ratio| ratio.is(service, best_effort));
        let position = found.unwrap_or_else(|| {
            self.ratios.push(Ratio {
                service,
                best_effort,
                count: 0,
                mean: 1.0,
                spread: UNKNOWN_SPREAD,
            });
            self.ratios.len() - 1
        });
        &mut self.ratios[position]
    }
}

impl Ratio {
    fn is(&self, service: u16, best_effort: bool) -> bool {
        (self.service, self.best_effort) == (service, best_effort)
    }
}
