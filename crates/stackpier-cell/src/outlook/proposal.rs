// SPDX-License-Identifier: Apache-2.0
//! A job that was handed in and is not accepted yet, as far as the decision to accept it needs it.

use stackpier_state::job::{Queue, Spec, Step};

use super::size_class;
use crate::lifecycle::longest_chains;

/// Proposal is a job that was handed in, with what it asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The service whose workers would run it.
    pub service: String,
    /// Whether its tasks are best-effort tasks.
    pub best_effort: bool,
    /// The priority of its queue.
    pub priority: u8,
    /// Number of tasks.
    pub tasks: u32,
    /// The processors that the largest task asks for, in thousandths of a core.
    pub largest_milli: u32,
    /// The work of all tasks by the client account's estimate, in core-milliseconds.
    pub work: u64,
    /// The longest chain of work, in milliseconds.
    pub chain_ms: u64,
    /// The time within which it should be done, in milliseconds.
    pub objective_ms: u64,
}

impl Proposal {
    /// new describes a job that is handed in to a queue. It returns `None` for jobs that are always
    /// accepted: long-running ones, those with rounds, and those that mix kinds of steps, as no
    /// single wait describes them.
    pub fn new(queue: &Queue, spec: &Spec) -> Option<Proposal> {
        let first = spec.steps.first()?;
        let alike = |step: &Step| !step.long_running && step.best_effort == first.best_effort;
        if spec.schedule.is_some() || !spec.steps.iter().all(alike) {
            return None;
        }
        let chain_ms = longest_chains(spec).into_iter().max().unwrap_or(0);
        let largest = spec.steps.iter().map(|step| step.size.milli_cores).max();
        Some(Proposal {
            service: queue.service.clone(),
            best_effort: first.best_effort,
            priority: queue.priority,
            tasks: spec.width(),
            largest_milli: largest.unwrap_or(0),
            work: spec.work(),
            chain_ms,
            objective_ms: (chain_ms as f64 * queue.stretch) as u64 + queue.target_ms,
        })
    }

    /// size_class returns the class of the job by its number of tasks.
    pub(super) fn size_class(&self) -> usize {
        size_class(self.tasks)
    }
}
