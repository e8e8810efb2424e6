// SPDX-License-Identifier: Apache-2.0
//! When rounds are due, and which of those that are due are loaded.

use std::collections::BTreeSet;

use crate::{Cell, arena::JobKey};

/// MAX_WAITING is how many tasks may wait in the cell before the overdue rounds of a job are loaded only
/// after its earlier ones have started. A placement pass over as many steps takes a third of a second.
const MAX_WAITING: usize = 2_000;
/// MAX_WAITING_OF_JOB is how many tasks of a job may wait beyond that when its next round is loaded.
const MAX_WAITING_OF_JOB: usize = 16;

/// Due is the time at which the next round of a job is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Due {
    unix_ms: u64,
    number: u32,
}

/// Schedule holds the next round of each repeated job, the one that is due first coming first.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    due: BTreeSet<(u64, JobKey)>,
}

impl Schedule {
    /// len returns how many jobs have rounds that are not loaded yet.
    pub(crate) fn len(&self) -> usize {
        self.due.len()
    }
}

impl Cell {
    /// schedule_next has the first round from `number` on released when it is due.
    pub(crate) fn schedule_next(&mut self, key: JobKey, number: u32) {
        self.unschedule(key);
        let job = self.job_mut(key);
        let number = job.rounds.done.next_absent(number);
        if number >= job.spec.rounds() {
            return;
        }
        let unix_ms = job.spec.due_ms(number).unwrap_or(0);
        job.rounds.next = Some(Due { unix_ms, number });
        self.schedule.due.insert((unix_ms, key));
    }

    /// unschedule has no more rounds of a job released.
    pub(crate) fn unschedule(&mut self, key: JobKey) {
        if let Some(next) = self.job_mut(key).rounds.next.take() {
            self.schedule.due.remove(&(next.unix_ms, key));
        }
    }

    /// release_due releases the rounds that have become due.
    pub(crate) fn release_due(&mut self) {
        if self.due_jobs().next().is_none() {
            return;
        }
        let mut waiting = self.ready();
        while waiting < MAX_WAITING {
            let next = self.due_jobs().next();
            let Some(key) = next else {
                return;
            };
            waiting += self.release_next(key);
        }
    }

    /// release_overdue releases the next round of each job that is due, has few waiting tasks, and was
    /// left out by `release_due` as too many wait in the cell.
    pub(crate) fn release_overdue(&mut self) {
        if self.due_jobs().next().is_none() || self.ready() < MAX_WAITING {
            return;
        }
        let has_few = |key: &JobKey| {
            let rounds = self.job(*key).rounds.keys();
            let waiting: usize = rounds.map(|round| self.round(round).waiting()).sum();
            waiting < MAX_WAITING_OF_JOB
        };
        let jobs: Vec<JobKey> = self.due_jobs().filter(has_few).collect();
        for key in jobs {
            self.release_next(key);
        }
    }

    /// release_if_due releases the next round of a job at once, if it is due.
    pub(crate) fn release_if_due(&mut self, key: JobKey) {
        let limit = self.now.unix.0 + self.options.early_ms;
        let next = self.job(key).rounds.next;
        if next.is_some_and(|next| next.unix_ms <= limit) {
            self.release_next(key);
        }
    }

    /// due_jobs returns the jobs whose next round is due, the one that is due first coming first.
    fn due_jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        let limit = self.now.unix.0 + self.options.early_ms;
        let due = self.schedule.due.iter();
        let due = due.take_while(move |(unix_ms, _)| *unix_ms <= limit);
        due.map(|(_, key)| *key)
    }

    /// release_next releases the next round of a job, and returns how many of its tasks wait to be
    /// placed.
    fn release_next(&mut self, key: JobKey) -> usize {
        let Some(next) = self.job(key).rounds.next else {
            return 0;
        };
        self.schedule_next(key, next.number + 1);
        // It may have ended before its time, under a predecessor whose clock was ahead.
        if self.job(key).rounds.done.contains(next.number) {
            return 0;
        }
        let round = self.load_round(key, next.number);
        self.release_round(round);
        self.round(round).waiting()
    }
}
