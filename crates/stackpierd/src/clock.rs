// SPDX-License-Identifier: Apache-2.0
//! The clocks of the process, the only place that reads them.

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use stackpier_core::{Millis, Unix};

/// START is about the start of the process.
static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// now returns the monotonic time since about the start of the process.
pub fn now() -> Millis {
    Millis(START.elapsed().as_millis() as u64)
}

/// unix returns the wall-clock time.
pub fn unix() -> Unix {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Unix(since.map_or(0, |since| since.as_millis() as u64))
}
