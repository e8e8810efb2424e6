// SPDX-License-Identifier: Apache-2.0
//! Points in time. Code that makes decisions reads no clock; its caller passes
//! the current time in.

use serde::{Deserialize, Serialize};

/// Millis is a point on a process's monotonic clock, in milliseconds.
///
/// Values from different processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

/// Unix is a point of wall-clock time, in milliseconds since 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Unix(pub u64);

impl Millis {
    /// plus returns the point `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Millis {
        Millis(self.0.saturating_add(ms))
    }

    /// since returns the milliseconds from `earlier` to this point, or zero.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Unix {
    /// plus returns the point `ms` milliseconds later.
    pub fn plus(self, ms: u64) -> Unix {
        Unix(self.0.saturating_add(ms))
    }

    /// since returns the milliseconds from `earlier` to this point, or zero.
    pub fn since(self, earlier: Unix) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
