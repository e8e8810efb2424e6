// SPDX-License-Identifier: Apache-2.0
//! How workers list their ends: the platform promises rising numbers, but no order of a list,
//! not all ends in one list, and no moment that both lists of a report are of.

use stackpier_cell::{End, Renewed};
use stackpier_standin::fleet::listing::{Listing, Order};

use super::World;

/// FEW bounds how many ends a short list has at most.
const FEW: (u64, u64) = (1, 3);

impl World {
    /// new_listing draws how a life of a worker lists its ends.
    pub(super) fn new_listing(&mut self) -> Listing {
        let mut listing = Listing::default();
        if self.extra_chance(self.faults.unordered) {
            listing.order = Order::Shuffled(self.extra_between(0, u64::MAX));
        }
        if self.extra_chance(self.faults.short_lists) {
            listing.max_listed = self.extra_between(FEW.0, FEW.1) as usize;
        }
        if self.extra_chance(self.faults.late_ends) {
            listing.late = true;
        }
        listing
    }

    /// count_listing counts the reports that list ends in another way than by number and all
    /// at once.
    pub(super) fn count_listing(&mut self, place: usize, outcome: &Renewed) {
        let Renewed::Report(report) = outcome else {
            return;
        };
        let falls = |pair: &[End]| pair[0].number > pair[1].number;
        if report.ended.windows(2).any(falls) {
            self.count("report with ends out of order");
        }
        let worker = &self.workers[place];
        let waits = worker.ends.len() > report.ended.len();
        let cut = waits && report.ended.len() == worker.listing.max_listed;
        let late = waits && !cut;
        if cut {
            self.count("report with a list that is cut");
        }
        if late {
            self.count("report with an end that is listed late");
        }
    }
}
