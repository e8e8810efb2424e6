// SPDX-License-Identifier: Apache-2.0
//! Which revisions of the store a daemon has seen, and when: how long a value has been in the store
//! at least, by the daemon's own steady clock.

use std::collections::VecDeque;

use stackpier_core::Millis;

/// KEPT_MS is for how long revisions are kept. No lease lasts longer.
const KEPT_MS: u64 = 20_000;
/// STEP_MS is the time between two revisions that are kept.
const STEP_MS: u64 = 100;

/// Sample is a revision that the store had by some time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    revision: u64,
}

/// History holds the revisions of the last [`KEPT_MS`], both values rising.
#[derive(Clone, Debug, Default)]
pub struct History {
    samples: VecDeque<Sample>,
}

impl History {
    /// record records that an answer which arrived at `now` shows that the store had reached a
    /// revision.
    pub fn record(&mut self, now: Millis, revision: u64) {
        let last = self.samples.back();
        let is_new = |last: &Sample| revision > last.revision && now.since(last.at) >= STEP_MS;
        if last.is_none_or(is_new) {
            self.samples.push_back(Sample { at: now, revision });
        }
        while let Some(first) = self.samples.front()
            && now.since(first.at) > KEPT_MS
        {
            self.samples.pop_front();
        }
    }

    /// len returns how many revisions are kept.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// is_empty reports whether no revision is kept.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// seen returns a time by which the store had reached a revision, if an answer has shown that.
    pub fn seen(&self, revision: u64) -> Option<Millis> {
        let reached = self
            .samples
            .partition_point(|sample| sample.revision < revision);
        self.samples.get(reached).map(|sample| sample.at)
    }
}
