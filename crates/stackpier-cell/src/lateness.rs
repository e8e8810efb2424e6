// SPDX-License-Identifier: Apache-2.0
//! Logs how late a job is together with its size: without the size, a bias against large jobs
//! looks like a few late ones.

use std::fmt;

use stackpier_state::job::Spec;

use crate::{
    Cell,
    arena::{JobKey, StepKey},
    lifecycle::first_task,
    place::Rank,
};

/// MILLI is the number of milliseconds in a second.
const MILLI: u64 = 1_000;

/// Extent is the size of a job: what all its tasks ask for.
struct Extent {
    tasks: u32,
    /// The processors that the largest task asks for, in thousandths of a core.
    largest_milli: u32,
    /// Processors times estimated run time.
    core_seconds: u64,
}

impl Extent {
    fn of(spec: &Spec) -> Extent {
        let largest = spec.steps.iter().map(|step| step.size.milli_cores).max();
        Extent {
            tasks: spec.width() * spec.rounds(),
            largest_milli: largest.unwrap_or(0),
            core_seconds: spec.work() / MILLI,
        }
    }
}

impl fmt::Display for Extent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Extent {
            tasks,
            largest_milli,
            core_seconds,
        } = self;
        write!(
            f,
            "{tasks} tasks of {largest_milli} thousandths of a core at most, {core_seconds} core-seconds"
        )
    }
}

impl Cell {
    /// describe_lateness returns how long before or after its deadline a job is now, and how
    /// large it is.
    pub(crate) fn describe_lateness(&self, key: JobKey) -> String {
        let job = self.job(key);
        let extent = Extent::of(&job.spec);
        let late_ms = self.now.mono.since(job.objective);
        let early_ms = job.objective.since(self.now.mono);
        match late_ms {
            0 => format!("{early_ms} ms before its objective; {extent}"),
            _ => format!("{late_ms} ms after its objective; {extent}"),
        }
    }

    /// log_expired logs each waiting job that has expired, once.
    pub(crate) fn log_expired(&mut self) {
        let newly_expired = |step: &StepKey| {
            let job = self.job(self.step_of(*step).job);
            let expired = matches!(self.rank_of(*step), Rank::Expired(_));
            expired && !job.expiry_logged && !self.step_spec(*step).long_running
        };
        let steps: Vec<StepKey> = self.queued().filter(newly_expired).collect();
        for step in steps {
            let key = self.step_of(step).job;
            if std::mem::replace(&mut self.job_mut(key).expiry_logged, true) {
                continue;
            }
            let job = self.job(key);
            let (id, left) = (job.id, job.left);
            let text = format!(
                "job has expired, {left} tasks left, {}",
                self.describe_lateness(key)
            );
            self.log("job", Some(first_task(id)), text);
        }
    }
}
