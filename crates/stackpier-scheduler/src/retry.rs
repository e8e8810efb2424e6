// SPDX-License-Identifier: Apache-2.0
//! The time after which a client account that was refused may come back.
//!
//! The time follows from the cause of the refusal. Those that were refused for one cause get places
//! one after the other, in the order in which they came, at the pace at which jobs were accepted
//! before: a crowd returns as a queue and not as a second crowd.

use std::collections::VecDeque;

use stackpier_core::{Millis, key};

/// MIN_MS is the shortest time that is told: answers give it in whole seconds.
const MIN_MS: u64 = 1_000;
/// MAX_MS is the longest time that is told. What is known of a cause says little about later times.
const MAX_MS: u64 = 30_000;
/// TAKEOVER_MS is the time that a takeover usually takes, from the first heartbeat that is not
/// answered until the cell is loaded.
const TAKEOVER_MS: u64 = 2_500;
/// MAX_OUTAGES is how many of the latest outages are remembered.
const MAX_OUTAGES: usize = 4;
/// MAX_TOLD is how many refusals are remembered until their cause is over.
const MAX_TOLD: usize = 1_024;
/// PACE_MS is the time over which accepted jobs are counted.
const PACE_MS: u64 = 10_000;
/// MAX_ACCEPTED bounds how many accepted jobs are counted.
const MAX_ACCEPTED: usize = 1_000;

/// Cause is why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The store does not answer.
    Store,
    /// The cell has no owner that is known.
    Owner,
    /// The workers have no room.
    Room,
}

impl Cause {
    /// ALL lists all causes.
    pub const ALL: [Cause; 3] = [Cause::Store, Cause::Owner, Cause::Room];

    /// as_str returns the name of the cause in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Store => "store",
            Cause::Owner => "owner",
            Cause::Room => "room",
        }
    }
}

/// Line is the client accounts that were refused for one cause.
#[derive(Clone, Debug, Default)]
struct Line {
    /// Since when the cause has lasted.
    since: Option<Millis>,
    /// The latest time for which one of them was told to come back.
    until: Millis,
    /// When each of them was refused.
    refused: Vec<Millis>,
}

/// Planner tells when client accounts may come back.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    lines: [Line; Cause::ALL.len()],
    /// How long the latest outages of the store lasted, in milliseconds.
    outages: VecDeque<u64>,
    /// When the latest jobs were accepted.
    accepted: VecDeque<Millis>,
}

impl Planner {
    /// record_accepted records that a job was accepted.
    pub fn record_accepted(&mut self, now: Millis) {
        self.accepted.push_back(now);
        if self.accepted.len() > MAX_ACCEPTED {
            self.accepted.pop_front();
        }
    }

    /// begin records that a cause has begun to last, unless that is known already.
    pub fn begin(&mut self, now: Millis, cause: Cause) {
        self.lines[cause as usize].since.get_or_insert(now);
    }

    /// end records that a cause is over. It returns for how long each of those that were refused had
    /// to wait, in milliseconds.
    pub fn end(&mut self, now: Millis, cause: Cause) -> Vec<u64> {
        let line = std::mem::take(&mut self.lines[cause as usize]);
        if let (Cause::Store, Some(since)) = (cause, line.since) {
            self.outages.push_back(now.since(since));
            if self.outages.len() > MAX_OUTAGES {
                self.outages.pop_front();
            }
        }
        let waited = line.refused.iter().map(|refused| now.since(*refused));
        waited.collect()
    }

    /// retry_ms returns after how many milliseconds a client account may come back with a job.
    /// `remaining_ms` is how long the cause is expected to last, if the caller knows that.
    pub fn retry_ms(
        &mut self,
        now: Millis,
        cause: Cause,
        remaining_ms: Option<u64>,
        job: key::Job,
    ) -> u64 {
        self.begin(now, cause);
        let remaining_ms = remaining_ms.unwrap_or_else(|| self.remaining_ms(now, cause));
        let gap_ms = self.gap_ms(now);
        let line = &mut self.lines[cause as usize];
        let over = now.plus(remaining_ms.max(MIN_MS));
        // Other daemons refuse at the same moments: the id spreads their places within the gap.
        let spread_ms = key::weight(&job.0.to_le_bytes(), 0) % gap_ms;
        let next = match line.refused.is_empty() {
            true => over,
            false => over.max(line.until.plus(gap_ms)),
        };
        line.until = next;
        if line.refused.len() < MAX_TOLD {
            line.refused.push(now);
        }
        (next.since(now) + spread_ms).min(MAX_MS)
    }

    /// remaining_ms returns how long a cause is expected to last. An outage that is not longer yet
    /// than the latest ones is expected to last as long as the longest of them; any other as long
    /// again as it has lasted.
    fn remaining_ms(&self, now: Millis, cause: Cause) -> u64 {
        let since = self.lines[cause as usize].since.unwrap_or(now);
        let age_ms = now.since(since);
        match cause {
            Cause::Store => {
                let usual_ms = self.outages.iter().copied().max().unwrap_or(0);
                if age_ms < usual_ms {
                    usual_ms - age_ms
                } else {
                    age_ms
                }
            }
            Cause::Owner => TAKEOVER_MS.saturating_sub(age_ms),
            Cause::Room => 0,
        }
    }

    /// gap_ms returns the usual time between two jobs that were accepted here.
    fn gap_ms(&self, now: Millis) -> u64 {
        let is_recent = |at: &&Millis| now.since(**at) < PACE_MS;
        let jobs = self.accepted.iter().filter(is_recent).count() as u64;
        (PACE_MS / jobs.max(1)).clamp(1, MIN_MS)
    }
}
