// SPDX-License-Identifier: Apache-2.0
//! Checks that the tasks of cancelled jobs don't start.

use stackpier_cell::Start;
use stackpier_core::Millis;

use super::{CALL_TIMEOUT_MS, Simulation};

/// CONTACT_MS is how long nothing may have disturbed an owner that is bound by limits of time.
const CONTACT_MS: u64 = 3_000;

impl Simulation {
    /// check_cancelled has the oracle check a run that has just started by an order that was sent
    /// at `sent`. The limit neither applies to orders that are carried out late, nor to owners that
    /// something has disturbed lately.
    pub(super) fn check_cancelled(&mut self, start: &Start, sent: Millis) {
        let task = start.order.task;
        let Some(age_ms) = self.oracle.cancelled_since(self.now_ms, task.job) else {
            return;
        };
        self.count("start of a cancelled job");
        let Some(owner) = self.owner_with(start.order.fence) else {
            return;
        };
        let watched = self.owners[owner].view.watched;
        if !watched {
            self.count("start of a cancelled job before a watch is answered");
        }
        let late = self.now().mono.since(sent) > CALL_TIMEOUT_MS;
        if !late && self.is_in_touch(owner) {
            self.oracle
                .check_unasked(self.now_ms, task, age_ms, watched);
        }
    }

    pub(super) fn owner_with(&self, fence: u64) -> Option<usize> {
        self.owners.iter().position(|owner| owner.fence == fence)
    }

    /// is_in_touch reports whether an owner could reach the store all the time lately.
    pub(super) fn is_in_touch(&self, index: usize) -> bool {
        let owner = &self.owners[index];
        let disturbed_until = [
            self.store.unavailable_until,
            self.isolated_until[owner.data_centre],
            self.store_unreachable_until[owner.data_centre],
        ];
        let disturbed = |until: u64| self.now_ms < until + CONTACT_MS;
        !disturbed_until
            .into_iter()
            .any(|until| until > 0 && disturbed(until))
    }
}
