// SPDX-License-Identifier: Apache-2.0
//! The expected time to an answer, by which the upstreams of a service are
//! compared.

use rand::{Rng, RngExt};
use stackpier_core::Millis;

use super::{Key, Service, Upstream};

/// MIN_SUCCESS is the lowest share of successes that costs are computed with.
const MIN_SUCCESS: f64 = 0.01;
/// MIN_WEIGHT is the weight below which old measurements are ignored.
const MIN_WEIGHT: f64 = 0.05;

impl Service {
    /// cheapest returns the upstream with the lowest cost. Among equal ones it
    /// chooses at random, so that entry VMs don't all choose the same.
    pub(super) fn cheapest<R: Rng>(&self, now: Millis, pool: &[Key], rng: &mut R) -> Option<Key> {
        if pool.is_empty() {
            return None;
        }
        let median = self.median_ms();
        let start = rng.random_range(0..pool.len());
        let order = (0..pool.len()).map(|step| pool[(start + step) % pool.len()]);
        order.min_by(|one, other| {
            let (one, other) = (self.cost(now, median, *one), self.cost(now, median, *other));
            one.total_cmp(&other)
        })
    }

    /// cost returns the expected time to an answer. Failures raise it, so that
    /// an upstream that fails fast does not look cheap. Measurements of an
    /// unused upstream lose weight with age, so that it is tried again.
    fn cost(&self, now: Millis, median: f64, key: Key) -> f64 {
        self.upstreams.get(key).map_or(f64::MAX, |upstream| {
            let age = now.since(upstream.measured) as f64;
            let faded = 0.5_f64.powf(age / self.options.half_life_ms);
            let weight = if faded < MIN_WEIGHT { 0.0 } else { faded };
            let success = 1.0 - (1.0 - upstream.success) * weight;
            let latency = self.estimated_ms(weight, median, upstream);
            let load = 1.0 + f64::from(upstream.in_flight) / self.options.limit.start;
            load * latency / success.max(MIN_SUCCESS).powi(2)
        })
    }

    /// estimated_ms returns an upstream's estimated latency in milliseconds.
    /// The measured one counts with `weight`, and a latency within the noise
    /// counts as the median.
    fn estimated_ms(&self, weight: f64, median: f64, upstream: &Upstream) -> f64 {
        let latency = median + (upstream.latency_ms - median) * weight;
        match latency <= median * self.options.noise {
            true => median,
            false => latency,
        }
    }

    /// median_ms returns the median latency of the upstreams, in milliseconds.
    pub(super) fn median_ms(&self) -> f64 {
        let mut all: Vec<f64> = self.upstreams.values().map(|u| u.latency_ms).collect();
        if all.is_empty() {
            return self.options.assumed_ms;
        }
        let middle = all.len() / 2;
        *all.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}
