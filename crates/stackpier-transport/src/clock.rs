// SPDX-License-Identifier: Apache-2.0
//! The clocks of the process.
//!
//! A VM may be suspended for seconds. `Instant` does not advance meanwhile, so an owner
//! that resumes would misjudge the age of its confirmation by the store, and of all leases:
//! they would seem as recent as before. [`Steady`] includes that time, so to a daemon a
//! suspension looks as if the process had been stopped for as long.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stackpier_core::{Millis, Unix};

/// Source is the clock that a [`Steady`] reads.
pub trait Source {
    /// read returns the time since some fixed point in the past. It never decreases.
    fn read(&self) -> Duration;
}

/// Uptime is the kernel's clock of the time since boot, suspensions included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Uptime;

impl Source for Uptime {
    fn read(&self) -> Duration {
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
        // All kernels since 2.6.39 have this clock. Without it no lease can be kept.
        Duration::from(read.expect("the kernel has a clock that counts suspensions"))
    }
}

/// Steady is a monotonic clock in milliseconds since its creation. It starts at one, so
/// that zero can mean "never".
#[derive(Clone, Copy, Debug)]
pub struct Steady<S = Uptime> {
    source: S,
    start: Duration,
}

impl<S: Source> Steady<S> {
    /// new returns a clock that starts now.
    pub fn new(source: S) -> Steady<S> {
        let start = source.read();
        Steady { source, start }
    }

    /// now returns the time on the clock.
    pub fn now(&self) -> Millis {
        let passed = self.source.read().saturating_sub(self.start);
        Millis(passed.as_millis() as u64 + 1)
    }
}

/// unix returns the wall-clock time. A clock before 1970 reads as zero; jobs then seem
/// older than they are, and none is delayed.
pub fn unix() -> Unix {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Unix(since.map_or(0, |since| since.as_millis() as u64))
}
