// SPDX-License-Identifier: Apache-2.0
//! When a daemon writes the tombstones of which jobs.

use std::collections::VecDeque;

use stackpier_core::{Millis, key};

/// MAX_BATCH is how many tombstones one transaction writes. Each is a condition, too, and the
/// store accepts 32 entries.
pub const MAX_BATCH: usize = 16;
/// INTERVAL_MS is the time between two transactions of a daemon over the long run. They take an
/// eighth of the writes that the store allows for each daemon.
pub const INTERVAL_MS: u64 = 200;
/// MAX_SAVED is how many transactions may follow each other at once after a pause.
pub const MAX_SAVED: u64 = 5;
/// MAX_KEPT is how many tombstones of one daemon the store may hold. A new owner of the cell lists
/// those of all daemons.
pub const MAX_KEPT: usize = 500;

/// Step is what a daemon does next for the tombstones that it has to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing waits to be written.
    Idle,
    /// Wait this many milliseconds.
    Pause(u64),
    /// Write the tombstones of these jobs.
    Write(Vec<key::Job>),
}

/// Backlog decides when the tombstones of which jobs are written.
#[derive(Clone, Debug)]
pub struct Backlog {
    waiting: VecDeque<key::Job>,
    /// Until when the store holds each tombstone that this daemon wrote, the oldest first.
    kept_until: VecDeque<Millis>,
    kept_ms: u64,
    /// When the next transaction would be due if none were saved up.
    due: Millis,
}

impl Backlog {
    /// new returns an empty backlog. The store holds each tombstone for `kept_ms` milliseconds.
    pub fn new(kept_ms: u64) -> Backlog {
        Backlog {
            waiting: VecDeque::new(),
            kept_until: VecDeque::new(),
            kept_ms,
            due: Millis(0),
        }
    }

    /// add adds a job whose tombstone is to be written. If there are too many, it returns after how
    /// many milliseconds the next one can be added.
    pub fn add(&mut self, now: Millis, job: key::Job) -> Result<(), u64> {
        self.expire(now);
        if self.waiting.len() + self.kept_until.len() >= MAX_KEPT {
            let first = self.kept_until.front();
            return Err(first.map_or(INTERVAL_MS, |until| until.since(now)));
        }
        self.waiting.push_back(job);
        Ok(())
    }

    /// step returns what to do next. Jobs that are to be written do not wait any more.
    pub fn step(&mut self, now: Millis) -> Step {
        if self.waiting.is_empty() {
            return Step::Idle;
        }
        let earliest = Millis(now.0.saturating_sub(INTERVAL_MS * (MAX_SAVED - 1)));
        let due = self.due.max(earliest);
        if due > now {
            return Step::Pause(due.since(now));
        }
        self.due = due.plus(INTERVAL_MS);
        let count = self.waiting.len().min(MAX_BATCH);
        Step::Write(self.waiting.drain(..count).collect())
    }

    /// put_back makes a job wait again whose tombstone was not written.
    pub fn put_back(&mut self, job: key::Job) {
        self.waiting.push_front(job);
    }

    /// record_written counts tombstones that were written.
    pub fn record_written(&mut self, now: Millis, count: usize) {
        let until = now.plus(self.kept_ms);
        self.kept_until.extend(std::iter::repeat_n(until, count));
    }

    fn expire(&mut self, now: Millis) {
        while self
            .kept_until
            .pop_front_if(|until| *until <= now)
            .is_some()
        {}
    }
}
