// SPDX-License-Identifier: Apache-2.0
//! The clocks that the other modules of the daemon read.

use std::sync::LazyLock;

use stackpier_core::Millis;
use stackpier_transport::clock::{Steady, Uptime};

pub use stackpier_transport::clock::unix;

/// CLOCK counts from its first use, soon after the start of the process.
static CLOCK: LazyLock<Steady> = LazyLock::new(|| Steady::new(Uptime));

/// now returns the monotonic time since about the start of the process.
pub fn now() -> Millis {
    CLOCK.now()
}
