// SPDX-License-Identifier: Apache-2.0
//! The distribution function of the normal distribution, approximated by a table of the
//! logistic curve. Placement evaluates it hundreds of thousands of times a second.

use std::sync::LazyLock;

/// NORMAL_SCALE scales a distance in standard deviations to the argument with which the
/// logistic curve is closest to the normal distribution.
const NORMAL_SCALE: f64 = 1.702;
/// MAX_DISTANCE is the distance from the mean beyond which the probability is taken as 0 or 1,
/// with an error below 0.0012.
const MAX_DISTANCE: f64 = 4.0;
/// STEPS_PER_DEVIATION is the number of table steps per standard deviation. Interpolation
/// between them is linear; by the curve's second derivative its error is below 0.0002.
const STEPS_PER_DEVIATION: f64 = 32.0;
/// ENTRIES is the number of entries, for distances from -MAX_DISTANCE to MAX_DISTANCE.
const ENTRIES: usize = (2.0 * MAX_DISTANCE * STEPS_PER_DEVIATION) as usize + 2;

static TABLE: LazyLock<[f64; ENTRIES]> = LazyLock::new(|| {
    std::array::from_fn(|position| {
        let distance = position as f64 / STEPS_PER_DEVIATION - MAX_DISTANCE;
        1.0 / (1.0 + (-NORMAL_SCALE * distance).exp())
    })
});

/// normal_cdf returns the probability that a normal value lies below a distance from its mean,
/// in standard deviations.
pub(crate) fn normal_cdf(distance: f64) -> f64 {
    if distance >= MAX_DISTANCE {
        return 1.0;
    }
    if distance <= -MAX_DISTANCE {
        return 0.0;
    }
    let position = (distance + MAX_DISTANCE) * STEPS_PER_DEVIATION;
    let (entry, fraction) = (position as usize, position.fract());
    TABLE[entry] * (1.0 - fraction) + TABLE[entry + 1] * fraction
}
