// SPDX-License-Identifier: Apache-2.0
//! Sets of numbers in few ranges.

use std::ops::Range;

/// Ranges is a set of numbers. Its memory grows with the gaps between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges {
    /// The ranges in ascending order. No two of them overlap or touch.
    ranges: Vec<Range<u32>>,
}

impl Ranges {
    /// insert adds a number, and reports whether it was not in the set before.
    pub fn insert(&mut self, number: u32) -> bool {
        let next = self.ranges.partition_point(|range| range.end < number);
        match self.ranges.get_mut(next) {
            Some(range) if range.contains(&number) => return false,
            Some(range) if range.end == number => range.end += 1,
            Some(range) if range.start == number + 1 => range.start = number,
            _ => self.ranges.insert(next, number..number + 1),
        }
        let touches = |later: &Range<u32>| later.start == self.ranges[next].end;
        if self.ranges.get(next + 1).is_some_and(touches) {
            self.ranges[next].end = self.ranges.remove(next + 1).end;
        }
        true
    }

    /// contains reports whether a number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        self.next_absent(number) != number
    }

    /// next_absent returns the lowest number from `number` on that is not in the set.
    pub fn next_absent(&self, number: u32) -> u32 {
        let next = self.ranges.partition_point(|range| range.end <= number);
        match self.ranges.get(next) {
            Some(range) if range.contains(&number) => range.end,
            _ => number,
        }
    }

    /// iter returns the ranges in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Range<u32>> {
        self.ranges.iter().cloned()
    }

    /// len returns the number of ranges.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// is_empty reports whether no number is in the set.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}
