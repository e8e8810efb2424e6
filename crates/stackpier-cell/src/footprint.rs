// SPDX-License-Identifier: Apache-2.0
//! The memory that the owner's view of a cell takes, by kind of entry.

use std::mem::size_of;

use stackpier_core::{Millis, key};
use stackpier_state::job;

use crate::{
    Cell,
    arena::JobKey,
    forgotten::Remnant,
    job::{Job, Step, Task},
    round::Round,
    run::Run,
    worker::Worker,
};

/// INTERVAL_MS is the time between two counts, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Usage is how many entries of a kind are in memory and how many bytes they take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of entries.
    pub entries: usize,
    /// Bytes of the entries, without small lists and texts that they point to.
    pub bytes: usize,
}

/// Footprint is the memory that a cell takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Accepted jobs, with their descriptions.
    pub jobs: Usage,
    /// Rounds that are due or have runs.
    pub rounds: Usage,
    /// Steps of these rounds.
    pub steps: Usage,
    /// Tasks of these rounds.
    pub tasks: Usage,
    /// Jobs with rounds to come.
    pub scheduled: Usage,
    /// Jobs that were dropped, of which only the end is known.
    pub forgotten: Usage,
    /// Runs that may hold capacity on workers.
    pub runs: Usage,
    /// Incarnations of workers.
    pub workers: Usage,
}

/// Footprints keeps the last count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Footprints {
    last: Footprint,
    counted_at: Millis,
}

impl Usage {
    /// of returns the usage of entries that are all of one size.
    fn of<T>(entries: usize) -> Usage {
        Usage {
            entries,
            bytes: entries * size_of::<T>(),
        }
    }
}

impl Footprint {
    /// KINDS is the number of kinds of entries.
    pub const KINDS: usize = 8;

    /// kinds returns the usage of each kind with its name in metrics and log lines.
    pub fn kinds(&self) -> [(&'static str, Usage); Footprint::KINDS] {
        [
            ("jobs", self.jobs),
            ("rounds", self.rounds),
            ("steps", self.steps),
            ("tasks", self.tasks),
            ("scheduled", self.scheduled),
            ("forgotten", self.forgotten),
            ("runs", self.runs),
            ("workers", self.workers),
        ]
    }

    /// bytes returns the bytes of all entries.
    pub fn bytes(&self) -> usize {
        self.kinds().iter().map(|(_, usage)| usage.bytes).sum()
    }
}

impl Cell {
    /// footprint returns the memory that the cell took at the last count.
    pub fn footprint(&self) -> Footprint {
        self.footprints.last
    }

    /// update_footprint counts all entries, if that is due.
    pub(crate) fn update_footprint(&mut self) {
        let now = self.now.mono;
        if now.since(self.footprints.counted_at) < INTERVAL_MS {
            return;
        }
        self.footprints = Footprints {
            last: self.count_entries(),
            counted_at: now,
        };
        let kinds = self.footprints.last.kinds();
        let kinds = kinds
            .map(|(kind, usage)| format!("{} {kind} {} kB", usage.entries, usage.bytes / 1_000));
        self.log("memory", None, kinds.join(", "));
    }

    /// count_entries returns the memory that the cell takes now.
    fn count_entries(&self) -> Footprint {
        Footprint {
            jobs: Usage {
                entries: self.jobs.len(),
                bytes: self.jobs.values().map(job_bytes).sum(),
            },
            rounds: Usage::of::<Round>(self.rounds.len()),
            steps: Usage::of::<Step>(self.rounds.values().map(|round| round.steps.len()).sum()),
            tasks: Usage::of::<Task>(self.rounds.values().map(|round| round.tasks.len()).sum()),
            scheduled: Usage::of::<(u64, JobKey)>(self.schedule.len()),
            forgotten: Usage::of::<(key::Job, Remnant)>(self.forgotten.len()),
            runs: Usage::of::<Run>(self.runs.len()),
            workers: Usage::of::<Worker>(self.workers.len()),
        }
    }
}

/// job_bytes returns the bytes of a job with its description.
fn job_bytes(job: &Job) -> usize {
    let spec = &job.spec;
    let steps = spec.steps.len() * size_of::<job::Step>();
    size_of::<Job>() + size_of::<job::Spec>() + steps + job.payload.len()
}
