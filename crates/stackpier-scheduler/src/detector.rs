// SPDX-License-Identifier: Apache-2.0
//! Decides how long the cell's owner may leave heartbeats unanswered before another daemon takes
//! the cell over.
//!
//! A new owner reads the cell and asks all workers for reports, and it answers no heartbeats while
//! that occupies a slow link. If it is replaced meanwhile, its successor has more to read, and is
//! replaced even sooner. So the time that reading takes is allowed for a while after each takeover,
//! and twice that time if takeovers follow each other closely.

use stackpier_core::Millis;

/// SILENT_MS is how long the owner may leave heartbeats unanswered on a fast link: three
/// heartbeats and a margin.
pub(crate) const SILENT_MS: u64 = 900;
/// CELL_BYTES is the size of a large cell in the store. A new owner reads all of it before it can
/// act.
pub(crate) const CELL_BYTES: u64 = 384 * 1024;
/// WIRE_BITS_PER_BYTE is how many bits on the link a byte of a value takes: 8 bits times
/// four thirds for base64, and a tenth for headers.
pub(crate) const WIRE_BITS_PER_BYTE: u64 = 12;
/// SETTLING_MS is how long after a takeover the owner reads the cell, collects the reports of all
/// workers and starts what has waited.
const SETTLING_MS: u64 = 8_000;
/// CHURN_MS is how far back a takeover counts as close to the present one.
const CHURN_MS: u64 = 20_000;
/// MAX_FACTOR bounds by how much close takeovers lengthen the time allowed for reading the cell.
const MAX_FACTOR: u64 = 2;

/// Detector holds the latest takeovers that a daemon has seen.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    takeovers: Vec<Millis>,
}

impl Detector {
    /// record_takeover records that the store shows a new owner since `now`.
    pub fn record_takeover(&mut self, now: Millis) {
        self.takeovers.retain(|at| now.since(*at) < CHURN_MS);
        self.takeovers.push(now);
    }

    /// limit_ms returns how long an owner on a link of `kbps` may leave heartbeats unanswered.
    ///
    /// All daemons receive a new configuration, of `config_bytes`, at once. An owner on a slow link
    /// does not answer while it receives its own copy: one second for 256 KB on 2 Mbit/s. Taking
    /// over then is a cost without a gain, as the new owner would be held up for as long.
    /// `has_answered` tells whether the owner has answered a heartbeat since it took over.
    pub fn limit_ms(&self, now: Millis, kbps: u32, config_bytes: u64, has_answered: bool) -> u64 {
        let settles = |at: &Millis| now.since(*at) < SETTLING_MS;
        let is_settling = !has_answered || self.takeovers.last().is_some_and(settles);
        let bytes = match is_settling {
            true => config_bytes.max(CELL_BYTES * self.factor(now)),
            false => config_bytes,
        };
        SILENT_MS + bytes * WIRE_BITS_PER_BYTE / u64::from(kbps.max(1))
    }

    fn factor(&self, now: Millis) -> u64 {
        let is_close = |at: &&Millis| now.since(**at) < CHURN_MS;
        let close = self.takeovers.iter().filter(is_close).count() as u64;
        close.clamp(1, MAX_FACTOR)
    }
}
