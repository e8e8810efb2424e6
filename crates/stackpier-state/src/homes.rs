// SPDX-License-Identifier: Apache-2.0
//! A shard of homes: where each task of a data centre is claimed to run.
//!
//! A task has one home at a time. It leaves a rack only after the rack's page
//! shows that its run ended, so that two racks never hold it at once.

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name,
    key::{Attempt, Task, Write},
};

use crate::work::{Checkpoint, Class, Outcome, Run, Work};

/// MAX_FAILURES is the count of failed runs after which a batch task is given
/// up.
pub const MAX_FAILURES: u8 = 5;

/// Claim is the choice of a place for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The rack whose page commits the run.
    pub rack: Name,
    /// The worker within it.
    pub worker: Name,
    /// Whether the run is to be stopped.
    pub stop: bool,
}

/// End says why a task will never run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It did its work.
    Finished,
    /// It failed [`MAX_FAILURES`] times.
    Failed,
    /// Its intent was cancelled or made smaller.
    Cancelled,
}

/// Place is the state of a task's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// Waits for a worker.
    Pending,
    /// Claimed for a rack.
    Claimed(Claim),
    /// Over.
    Ended(End),
}

/// Home is the entry of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// What to run.
    pub work: Work,
    /// The attempt that waits, is claimed, or was the last.
    pub attempt: Attempt,
    /// Progress to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Failed runs so far.
    pub failures: u8,
    /// Whether the intent no longer wants the task.
    pub unwanted: bool,
    /// Where it is.
    pub place: Place,
}

/// Shard is the page of one shard of homes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// The write that made this value.
    pub write: Write,
    /// The homes, in no order.
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

    /// release moves the home on after its claimed run ended.
    pub fn release(&mut self, outcome: Outcome) {
        if let Outcome::Stopped(Some(checkpoint)) = outcome {
            self.checkpoint = Some(checkpoint);
        }
        if outcome == Outcome::Failed {
            self.failures = self.failures.saturating_add(1);
        }
        self.place = self.after(outcome);
        if self.place == Place::Pending {
            self.attempt = self.attempt.next();
        }
    }

    fn after(&self, outcome: Outcome) -> Place {
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

    /// home_mut returns the home of a task for change.
    pub fn home_mut(&mut self, task: Task) -> Option<&mut Home> {
        self.homes.iter_mut().find(|home| home.work.task == task)
    }

    /// claimed tells whether this very run is claimed for `rack`.
    pub fn claimed(&self, run: Run, rack: Name) -> bool {
        self.home(run.task).is_some_and(|home| {
            home.attempt == run.attempt && home.claim().is_some_and(|claim| claim.rack == rack)
        })
    }
}
