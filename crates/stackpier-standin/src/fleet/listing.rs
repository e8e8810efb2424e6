// SPDX-License-Identifier: Apache-2.0
//! The list of unacknowledged ends in a worker's report. The platform promises that the numbers
//! of ends rise and that an unacknowledged end is listed again. It bounds the length of the list
//! and promises no order.

use stackpier_cell::End;

/// MAX_LISTED is how many ends a worker of the platform lists at most in one report.
pub const MAX_LISTED: usize = 500;

/// Order is the order of the ends in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// By rising number.
    #[default]
    Numbered,
    /// The newest first.
    NewestFirst,
    /// A pseudo-random order that depends on the seed and on the numbers of the ends.
    Shuffled(u64),
}

/// Listing determines which ends a report lists, and in which order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The order of a list.
    pub order: Order,
    /// The maximum length of a list. A longer one keeps its oldest ends.
    pub max_listed: usize,
    /// Whether an end is first listed one report after the one that no longer shows its
    /// run.
    pub late: bool,
    /// The number of the newest end at the last report.
    last_reported: u64,
}

impl Default for Listing {
    fn default() -> Listing {
        Listing {
            order: Order::default(),
            max_listed: MAX_LISTED,
            late: false,
            last_reported: 0,
        }
    }
}

impl Listing {
    /// in_order returns a listing in this order.
    pub fn in_order(order: Order) -> Listing {
        Listing {
            order,
            ..Listing::default()
        }
    }

    /// limited_to returns a listing of at most this many ends at a time.
    pub fn limited_to(max_listed: usize) -> Listing {
        Listing {
            max_listed,
            ..Listing::default()
        }
    }

    /// late returns a listing whose ends come one report after their runs have gone.
    pub fn late() -> Listing {
        Listing {
            late: true,
            ..Listing::default()
        }
    }

    /// list returns the ends that a report lists. `ends` are the unacknowledged ones, by
    /// rising number.
    pub(super) fn list(&mut self, ends: &[End]) -> Vec<End> {
        let newest = ends.last().map_or(self.last_reported, |end| end.number);
        let last_due = if self.late {
            self.last_reported
        } else {
            newest
        };
        self.last_reported = newest;
        let due = ends.iter().filter(|end| end.number <= last_due);
        let mut list: Vec<End> = due.take(self.max_listed).cloned().collect();
        match self.order {
            Order::Numbered => {}
            Order::NewestFirst => list.reverse(),
            Order::Shuffled(seed) => list.sort_by_key(|end| scatter(seed ^ end.number)),
        }
        list
    }
}

/// scatter maps numbers to evenly distributed ones, by the finishing steps of the generator
/// SplitMix64.
fn scatter(number: u64) -> u64 {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
