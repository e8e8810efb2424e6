// SPDX-License-Identifier: Apache-2.0
//! Monotonic clocks with different offsets and rates.

use stackpier_core::Millis;

/// Clock converts true time into readings of one process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset: u64,
    /// Rate against true time, in thousandths.
    rate_milli: u64,
}

impl Clock {
    /// new makes a clock with an offset in milliseconds and a rate in
    /// thousandths of true time.
    pub fn new(offset: u64, rate_milli: u64) -> Clock {
        Clock { offset, rate_milli }
    }

    /// at returns the clock's reading at a true time in milliseconds.
    pub fn at(&self, true_ms: u64) -> Millis {
        Millis(self.offset + true_ms * self.rate_milli / 1_000)
    }
}
