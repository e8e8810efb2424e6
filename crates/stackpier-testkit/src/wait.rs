// SPDX-License-Identifier: Apache-2.0
//! Waits for a condition, with a generous timeout.

use std::{
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, bail};

/// TIMEOUT is how long a condition may take. It is far longer than expected, so that
/// a slow machine does not fail a test.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// POLL_INTERVAL is the time between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// until waits until `holds` returns true. On a timeout, the error names the
/// condition.
pub fn until<F: FnMut() -> bool>(condition: &str, mut holds: F) -> Result<()> {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > TIMEOUT {
            bail!("not within {TIMEOUT:?}: {condition}");
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
