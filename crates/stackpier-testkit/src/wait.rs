// SPDX-License-Identifier: Apache-2.0
//! Waiting for a condition under a generous bound.

use std::{
    thread,
    time::{Duration, Instant},
};

use anyhow::{Result, bail};

/// BOUND is how long a condition may take. It is far over what is expected, so
/// that a slow machine does not change the verdict.
pub const BOUND: Duration = Duration::from_secs(60);
/// PAUSE is the time between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// until waits for a condition and names it when it does not come.
pub fn until<F: FnMut() -> bool>(what: &str, mut holds: F) -> Result<()> {
    let started = Instant::now();
    while !holds() {
        if started.elapsed() > BOUND {
            bail!("not within {BOUND:?}: {what}");
        }
        thread::sleep(PAUSE);
    }
    Ok(())
}
