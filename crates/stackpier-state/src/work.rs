// SPDX-License-Identifier: Apache-2.0
//! What a task is and how a run of it can end.

use serde::{Deserialize, Serialize};
use stackpier_core::{Name, Size, key};

/// Class tells services from batch work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Answers callers; runs until it is cancelled.
    Service,
    /// Ends by itself.
    Batch,
}

/// Work is what a worker needs to know to run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The task.
    pub task: key::Task,
    /// The name of its intent.
    pub name: Name,
    /// The generation of the intent.
    pub generation: u32,
    /// Service or batch.
    pub class: Class,
    /// Whether it is committed ahead of the usual interval.
    pub urgent: bool,
    /// What the task is committed on a worker.
    pub size: Size,
    /// Declared run time of a batch task in milliseconds, zero for a service.
    pub run_time_ms: u64,
}

/// Checkpoint names the saved progress of a task, as the worker reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Checkpoint(pub u64);

/// Run is one start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: key::Task,
    /// The attempt, which no other run of the task shares.
    pub attempt: key::Attempt,
}

/// Outcome tells how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task did all its work.
    Finished,
    /// The task failed by itself.
    Failed,
    /// The task was stopped on request, with its progress if it saved any.
    Stopped(Option<Checkpoint>),
    /// The worker or its lease ended, and the run with it.
    Lost,
    /// The run was never started: the worker had no room.
    Refused,
}
