// SPDX-License-Identifier: Apache-2.0
//! Forgotten jobs: those that were shown for long enough and removed from the store.
//!
//! A job is dropped from memory once the store has removed it and nothing refers to it any more. For a
//! while the owner keeps when it ended and the numbers of its runs: its record may be read late, a
//! cancellation of it may be under way, and a client account may submit another job under its id.
//! After that, the owner knows as little of it as a successor.

use std::collections::{HashMap, VecDeque};

use stackpier_core::{Millis, key};
use stackpier_state::job::Record;

use crate::{Cell, arena::JobKey};

/// KEPT_MS is how long it is kept in memory that there was a job, in milliseconds. Messages about a job
/// are given up within seconds.
const KEPT_MS: u64 = 300_000;

/// Remnant is what is kept of a job that was dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Remnant {
    /// When the job ended, by the wall clock.
    ended_unix_ms: u64,
    /// A number above those of all its runs.
    pub next_run: u32,
    /// Until when it is kept.
    until: Millis,
}

impl Remnant {
    /// is_replaced reports whether a record is that of a job which was submitted after this one had
    /// ended.
    pub(crate) fn is_replaced(&self, record: &Record) -> bool {
        !record.is_trimmed() && record.accepted_ms > self.ended_unix_ms
    }
}

/// Forgotten holds the remnants of dropped jobs.
#[derive(Debug, Default)]
pub(crate) struct Forgotten {
    remnants: HashMap<key::Job, Remnant>,
    /// The jobs in the order in which they were dropped. One may be in it twice.
    order: VecDeque<(Millis, key::Job)>,
    /// Jobs that the store has removed, and that are still in memory.
    removed: Vec<JobKey>,
}

impl Forgotten {
    /// get returns the remnant of a job.
    pub(crate) fn get(&self, job: key::Job) -> Option<Remnant> {
        self.remnants.get(&job).copied()
    }

    /// record_removed records that the store has removed some jobs.
    pub(crate) fn record_removed(&mut self, jobs: Vec<JobKey>) {
        self.removed.extend(jobs);
    }

    /// len returns the number of remnants.
    pub(crate) fn len(&self) -> usize {
        self.remnants.len()
    }

    fn add(&mut self, job: key::Job, remnant: Remnant) {
        self.remnants.insert(job, remnant);
        self.order.push_back((remnant.until, job));
    }

    /// expire drops the remnants that have been kept for long enough.
    fn expire(&mut self, now: Millis) {
        while let Some((until, job)) = self.order.front().copied()
            && until <= now
        {
            self.order.pop_front();
            // The id may have been used again since.
            if self.get(job).is_some_and(|remnant| remnant.until == until) {
                self.remnants.remove(&job);
            }
        }
    }
}

impl Cell {
    /// drop_forgotten_jobs drops the jobs that the store has removed and that nothing refers to.
    pub(crate) fn drop_forgotten_jobs(&mut self) {
        self.forgotten.expire(self.now.mono);
        let removed = std::mem::take(&mut self.forgotten.removed);
        let (due, later): (Vec<_>, Vec<_>) =
            removed.into_iter().partition(|key| self.is_unused(*key));
        self.forgotten.removed = later;
        if due.is_empty() {
            return;
        }
        self.saver.drop_ended(&due);
        self.assignments.drop_changed(&due);
        due.into_iter().for_each(|key| self.drop_job(key));
    }

    /// is_unused reports whether nothing of a forgotten job is in memory or on its way to the store.
    fn is_unused(&self, key: JobKey) -> bool {
        let job = self.job(key);
        let is_sent = self.saver.is_sending(key) || self.assignments.is_sending(key);
        job.rounds.is_empty() && !job.dirty && !is_sent
    }

    fn drop_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key.0) else {
            return;
        };
        // A later job may have the same id.
        if self.job_keys.get(&job.id) != Some(&key) {
            return;
        }
        self.job_keys.remove(&job.id);
        let remnant = Remnant {
            ended_unix_ms: job.ended_unix_ms,
            next_run: job.next_run.max(job.first_run),
            until: self.now.mono.plus(KEPT_MS),
        };
        self.forgotten.add(job.id, remnant);
    }
}
