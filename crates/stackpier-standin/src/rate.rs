// SPDX-License-Identifier: Apache-2.0
//! A limit on calls per second.

use std::time::Instant;

/// Bucket lets through a set count of calls a second, saved up for one second.
#[derive(Debug)]
pub struct Bucket {
    per_second: f64,
    saved: f64,
    last: Instant,
}

impl Bucket {
    /// new starts full.
    pub fn new(per_second: f64) -> Bucket {
        Bucket {
            per_second,
            saved: per_second,
            last: Instant::now(),
        }
    }

    /// take takes one call, if one is left.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.last).as_secs_f64() * self.per_second;
        self.saved = (self.saved + earned).min(self.per_second);
        self.last = now;
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
