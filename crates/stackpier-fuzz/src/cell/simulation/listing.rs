// SPDX-License-Identifier: Apache-2.0
//! How workers list their ends. The platform guarantees rising numbers, but neither the order of
//! a list, nor that one list contains all ends, nor that both lists of a report (runs and ends)
//! were taken at the same time.

use stackpier_cell::{End, Renewed};
use stackpier_standin::fleet::listing::{Listing, Order};

use super::Simulation;

/// SHORT_LIST_ENDS bounds the maximum number of ends in a short list.
const SHORT_LIST_ENDS: (u64, u64) = (1, 3);

impl Simulation {
    /// draw_listing draws how an incarnation of a worker lists its ends.
    pub(super) fn draw_listing(&mut self) -> Listing {
        let mut listing = Listing::default();
        if self.draw_extra_fault(self.faults.unordered) {
            listing.order = Order::Shuffled(self.draw_extra_range(0, u64::MAX));
        }
        if self.draw_extra_fault(self.faults.short_lists) {
            listing.max_listed =
                self.draw_extra_range(SHORT_LIST_ENDS.0, SHORT_LIST_ENDS.1) as usize;
        }
        if self.draw_extra_fault(self.faults.late_ends) {
            listing.late = true;
        }
        listing
    }

    /// count_unusual_listing counts the reports that list ends out of order, or not all of them.
    pub(super) fn count_unusual_listing(&mut self, index: usize, outcome: &Renewed) {
        let Renewed::Report(report) = outcome else {
            return;
        };
        let descends = |pair: &[End]| pair[0].number > pair[1].number;
        if report.ended.windows(2).any(descends) {
            self.count("report with ends out of order");
        }
        let worker = &self.workers[index];
        let is_incomplete = worker.ends.len() > report.ended.len();
        let is_cut = is_incomplete && report.ended.len() == worker.listing.max_listed;
        let late = is_incomplete && !is_cut;
        if is_cut {
            self.count("report with a list that is cut");
        }
        if late {
            self.count("report with an end that is listed late");
        }
    }
}
