// SPDX-License-Identifier: Apache-2.0
//! The memory that short tasks ask for, as far as they were handed in: as much is kept
//! free of filling tasks on each worker, so that a short one finds room beside them. With
//! none kept free, fifty days lost 0.006 of their worth on the mean; with a fixed 18,000
//! MiB, days on workers half as large lost 0.022, the mean of five.

use stackpier_state::job::Spec;

/// SEEN_LIMIT is how many tasks the mean goes back: some minutes of a busy cell.
const SEEN_LIMIT: f64 = 2_000.0;

/// ShortTaskMemory is the mean memory of short tasks, which goes with what was handed in
/// lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShortTaskMemory {
    mean_mib: f64,
    seen: f64,
}

impl ShortTaskMemory {
    /// record takes in the short tasks of a job.
    pub(crate) fn record(&mut self, spec: &Spec) {
        let short = spec
            .steps
            .iter()
            .filter(|step| !step.best_effort && !step.long_running);
        for step in short {
            let tasks = f64::from(step.count);
            self.seen = (self.seen + tasks).min(SEEN_LIMIT);
            let weight = (tasks / self.seen).min(1.0);
            self.mean_mib += weight * (f64::from(step.size.memory_mib) - self.mean_mib);
        }
    }

    /// mean_mib returns the mean, in MiB; zero if no short task was handed in.
    pub(crate) fn mean_mib(&self) -> u32 {
        self.mean_mib as u32
    }
}
