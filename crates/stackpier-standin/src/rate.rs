// SPDX-License-Identifier: Apache-2.0
//! A token bucket that limits the calls per second.

use std::time::Instant;

/// Bucket admits a fixed number of calls per second. Unused calls are kept for up to one second.
#[derive(Debug)]
pub struct Bucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// new returns a full bucket.
    pub fn new(per_second: f64) -> Bucket {
        Bucket {
            per_second,
            tokens: per_second,
            refilled_at: Instant::now(),
        }
    }

    /// take reports whether a call is admitted now, and counts it if so.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let refilled = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refilled).min(self.per_second);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
