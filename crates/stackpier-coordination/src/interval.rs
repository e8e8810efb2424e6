// SPDX-License-Identifier: Apache-2.0
//! The interval between two commits of a page.

/// URGENT_SPEEDUP is how many times shorter the interval between commits is
/// for urgent work.
const URGENT_SPEEDUP: u64 = 8;

/// interval_ms returns the shortest time between two commits, in milliseconds.
/// `commit_ms` is the interval for ordinary work; urgent work that waits
/// shortens it.
pub(crate) fn interval_ms(commit_ms: u64, urgent: bool) -> u64 {
    match urgent {
        true => commit_ms / URGENT_SPEEDUP,
        false => commit_ms,
    }
}
