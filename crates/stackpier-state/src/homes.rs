// SPDX-License-Identifier: Apache-2.0
//! Homes: for each task of a data centre, the rack and worker that it is claimed
//! for.
//!
//! A task is claimed for one rack at a time. Its claim is released only after the
//! rack's page shows that the run has ended, so that two racks never have a run
//! of the task at the same time.

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name,
    key::{Attempt, Task, Write},
};

use crate::work::{Checkpoint, Class, Outcome, Run, Work};

/// MAX_FAILURES is the number of failed runs after which a batch task has failed
/// for good.
pub const MAX_FAILURES: u8 = 5;

/// Claim is the worker that was chosen for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The rack whose page commits the run.
    pub rack: Name,
    /// The worker in that rack.
    pub worker: Name,
    /// Whether the run must be stopped.
    pub stop: bool,
}

/// End is the reason why a task will never run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It finished its work.
    Finished,
    /// It failed [`MAX_FAILURES`] times.
    Failed,
    /// Its intent was cancelled, or changed to fewer tasks.
    Cancelled,
}

/// Place is the state of a task's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// The task waits for a worker.
    Pending,
    /// The task is claimed for a rack.
    Claimed(Claim),
    /// The task will never run again.
    Ended(End),
}

/// Home is the entry of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// What to run.
    pub work: Work,
    /// The attempt that waits or is claimed, or the last one if the task has ended.
    pub attempt: Attempt,
    /// Progress to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Failed runs so far.
    pub failures: u8,
    /// Whether the intent no longer wants the task.
    pub unwanted: bool,
    /// Whether the task waits, is claimed, or has ended.
    pub place: Place,
}

/// Shard is the page of one shard of homes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// The write that made this value.
    pub write: Write,
    /// The homes, in no particular order.
    pub homes: Vec<Home>,
}

impl Home {
    /// new returns the home of a task that waits for its first attempt.
    pub fn new(work: Work) -> Home {
        Home {
            work,
            attempt: Attempt(1),
            checkpoint: None,
            failures: 0,
            unwanted: false,
            place: Place::Pending,
        }
    }

    /// run returns the current run of the task.
    pub fn run(&self) -> Run {
        Run {
            task: self.work.task,
            attempt: self.attempt,
        }
    }

    /// claim returns the claim, if the task is claimed.
    pub fn claim(&self) -> Option<Claim> {
        match self.place {
            Place::Claimed(claim) => Some(claim),
            Place::Pending | Place::Ended(_) => None,
        }
    }

    /// release updates the home after its claimed run has ended: the task waits
    /// for its next attempt, or has ended.
    pub fn release(&mut self, outcome: Outcome) {
        if let Outcome::Stopped(Some(checkpoint)) = outcome {
            self.checkpoint = Some(checkpoint);
        }
        if outcome == Outcome::Failed {
            self.failures = self.failures.saturating_add(1);
        }
        self.place = self.place_after(outcome);
        if self.place == Place::Pending {
            self.attempt = self.attempt.next();
        }
    }

    fn place_after(&self, outcome: Outcome) -> Place {
        let batch = self.work.class == Class::Batch;
        if batch && outcome == Outcome::Finished {
            return Place::Ended(End::Finished);
        }
        if self.unwanted {
            return Place::Ended(End::Cancelled);
        }
        if batch && self.failures >= MAX_FAILURES {
            return Place::Ended(End::Failed);
        }
        Place::Pending
    }
}

impl Shard {
    /// home returns the home of a task.
    pub fn home(&self, task: Task) -> Option<&Home> {
        self.homes.iter().find(|home| home.work.task == task)
    }

    /// home_mut returns the home of a task as mutable.
    pub fn home_mut(&mut self, task: Task) -> Option<&mut Home> {
        self.homes.iter_mut().find(|home| home.work.task == task)
    }

    /// claimed reports whether exactly this run is claimed for `rack`.
    pub fn claimed(&self, run: Run, rack: Name) -> bool {
        self.home(run.task).is_some_and(|home| {
            home.attempt == run.attempt && home.claim().is_some_and(|claim| claim.rack == rack)
        })
    }
}
