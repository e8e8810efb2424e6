// SPDX-License-Identifier: Apache-2.0
//! Counts of what placement did since the last summary, for the log.

use std::fmt::{self, Display, Formatter};

/// Stats counts the work of placement between two summaries.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stats {
    /// Events that the cell handled.
    pub events: u32,
    /// Ticks among them: a daemon that keeps up handles 20 in a second.
    pub ticks: u32,
    /// Passes over guaranteed steps that began.
    pub guaranteed_began: u32,
    /// Guaranteed steps tried.
    pub guaranteed_tried: u32,
    /// Passes over best-effort steps that began.
    pub began: u32,
    /// Passes that tried all their steps.
    pub completed: u32,
    /// Passes that ended before that, as answers to starts took too long.
    pub ended_early: u32,
    /// The longest time that a completed pass took, in milliseconds.
    pub longest_ms: u64,
    /// Steps tried within the limits that protect other tasks.
    pub tried: u32,
    /// Steps tried because they had nothing running for long, within these limits.
    pub idle_tried: u32,
    /// Steps tried regardless of these limits.
    pub starving_tried: u32,
    /// Calls that ended as the ratings were used up.
    pub spent: u32,
    /// Calls that ended as too many starts awaited answers.
    pub full: u32,
    /// Starts of best-effort tasks.
    pub started: u32,
    /// Steps tried before the last summary.
    tried_before: u64,
}

impl Stats {
    /// tries returns how many steps were tried in all.
    pub(crate) fn tries(&self) -> u64 {
        let best_effort = self.tried + self.idle_tried + self.starving_tried;
        self.tried_before + u64::from(best_effort + self.guaranteed_tried)
    }

    /// take returns the counts and begins anew.
    pub(crate) fn take(&mut self) -> Stats {
        let begun = Stats {
            tried_before: self.tries(),
            ..Stats::default()
        };
        std::mem::replace(self, begun)
    }
}

impl Display for Stats {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} events, {} ticks; guaranteed: {} passes began, {} steps tried; best-effort: {} passes \
             began, {} completed in {} ms at most, {} ended early; {} steps tried, {} idle, {} \
             starving; {} calls out of ratings, {} with too many starts in flight; {} starts",
            self.events,
            self.ticks,
            self.guaranteed_began,
            self.guaranteed_tried,
            self.began,
            self.completed,
            self.longest_ms,
            self.ended_early,
            self.tried,
            self.idle_tried,
            self.starving_tried,
            self.spent,
            self.full,
            self.started,
        )
    }
}
