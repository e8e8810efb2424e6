// SPDX-License-Identifier: Apache-2.0
//! How a worker lists the ends that are not noted: the platform promises rising numbers and
//! that what is not noted is listed again, but no order, and a bound on the list.

use stackpier_cell::End;

/// MOST is how many ends the platform's workers list at a time.
pub const MOST: usize = 500;

/// Order is the order of the ends in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// By number.
    #[default]
    Numbered,
    /// The newest first.
    NewestFirst,
    /// Drawn anew with a seed for each set of ends.
    Drawn(u64),
}

/// Listing is how a worker lists its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The order of a list.
    pub order: Order,
    /// How many ends it has at most: the oldest ones.
    pub most: usize,
    /// Whether an end shows only in the report after the one that shows its run no more.
    pub late: bool,
    /// The newest end at the time of the last report.
    shown: u64,
}

impl Default for Listing {
    fn default() -> Listing {
        Listing {
            order: Order::default(),
            most: MOST,
            late: false,
            shown: 0,
        }
    }
}

impl Listing {
    /// in_order lists in an order.
    pub fn in_order(order: Order) -> Listing {
        Listing {
            order,
            ..Listing::default()
        }
    }

    /// cut lists only so many ends at a time.
    pub fn cut(most: usize) -> Listing {
        Listing {
            most,
            ..Listing::default()
        }
    }

    /// late lists ends one report after their runs have gone.
    pub fn late() -> Listing {
        Listing {
            late: true,
            ..Listing::default()
        }
    }

    /// list returns what a report lists of the ends that are not noted, which come by number.
    pub(super) fn list(&mut self, ends: &[End]) -> Vec<End> {
        let newest = ends.last().map_or(self.shown, |end| end.number);
        let upto = if self.late { self.shown } else { newest };
        self.shown = newest;
        let due = ends.iter().filter(|end| end.number <= upto);
        let mut list: Vec<End> = due.take(self.most).cloned().collect();
        match self.order {
            Order::Numbered => {}
            Order::NewestFirst => list.reverse(),
            Order::Drawn(seed) => list.sort_by_key(|end| scatter(seed ^ end.number)),
        }
        list
    }
}

/// scatter spreads numbers evenly, by the finishing steps of a well-known generator.
fn scatter(number: u64) -> u64 {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
