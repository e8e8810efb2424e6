// SPDX-License-Identifier: Apache-2.0
//! The mean memory of recently submitted short tasks. As much memory is kept free of
//! best-effort tasks on each worker, so that a short task fits beside them.
//! A fixed amount would be too much for small workers.

use stackpier_state::job::Spec;

/// MAX_TASK_COUNT limits the weight of earlier tasks in the mean to that of this many, some
/// minutes of a busy cell.
const MAX_TASK_COUNT: f64 = 2_000.0;

/// ShortTaskMemory is a moving mean of the memory that submitted short tasks ask for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShortTaskMemory {
    mean_mib: f64,
    task_count: f64,
}

impl ShortTaskMemory {
    /// record adds the short tasks of a submitted job to the mean.
    pub(crate) fn record(&mut self, spec: &Spec) {
        let short = spec
            .steps
            .iter()
            .filter(|step| !step.best_effort && !step.long_running);
        for step in short {
            let tasks = f64::from(step.count);
            self.task_count = (self.task_count + tasks).min(MAX_TASK_COUNT);
            let weight = (tasks / self.task_count).min(1.0);
            self.mean_mib += weight * (f64::from(step.size.memory_mib) - self.mean_mib);
        }
    }

    /// mean_mib returns the mean, in MiB, or zero if no short task was submitted.
    pub(crate) fn mean_mib(&self) -> u32 {
        self.mean_mib as u32
    }
}
