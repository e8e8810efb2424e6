// SPDX-License-Identifier: Apache-2.0
//! The logistic curve by a table: how likely a normal value lies below a distance from
//! its mean. Placing evaluates it hundreds of thousands of times a second.

use std::sync::LazyLock;

/// LOGISTIC turns a distance in standard deviations into the argument of the logistic
/// curve that is nearest to the normal distribution.
const LOGISTIC: f64 = 1.702;
/// FAR is the distance from which a value counts as surely below or above: the
/// likelihood is within 0.0012 of that.
const FAR: f64 = 4.0;
/// STEPS is how many parts of the table one standard deviation has. Between them the
/// curve is taken as straight, with an error below 0.0002 by its curvature.
const STEPS: f64 = 32.0;
/// ENTRIES is the number of entries, for distances from -FAR to FAR.
const ENTRIES: usize = (2.0 * FAR * STEPS) as usize + 2;

static TABLE: LazyLock<[f64; ENTRIES]> = LazyLock::new(|| {
    std::array::from_fn(|place| {
        let distance = place as f64 / STEPS - FAR;
        1.0 / (1.0 + (-LOGISTIC * distance).exp())
    })
});

/// below returns how likely a normal value lies below a distance from its mean, in
/// standard deviations.
pub(crate) fn below(distance: f64) -> f64 {
    if distance >= FAR {
        return 1.0;
    }
    if distance <= -FAR {
        return 0.0;
    }
    let place = (distance + FAR) * STEPS;
    let (entry, part) = (place as usize, place.fract());
    TABLE[entry] * (1.0 - part) + TABLE[entry + 1] * part
}
