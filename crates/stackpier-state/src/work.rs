// SPDX-License-Identifier: Apache-2.0
//! Tasks, their runs, and how a run can end.

use serde::{Deserialize, Serialize};
use stackpier_core::{Name, Size, key};

/// Class distinguishes services from batch work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Answers callers and runs until it is cancelled.
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
    /// Whether it is committed without waiting for the usual interval.
    pub urgent: bool,
    /// The capacity that the task is committed on a worker.
    pub size: Size,
    /// Declared run time of a batch task in milliseconds; zero for a service.
    pub run_time_ms: u64,
}

/// Checkpoint identifies the saved progress of a task, as the worker reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Checkpoint(pub u64);

/// Run is one start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: key::Task,
    /// The number of the start, which no other run of the task has.
    pub attempt: key::Attempt,
}

/// Outcome is how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task finished its work.
    Finished,
    /// The task failed by itself.
    Failed,
    /// The task was stopped by an order, with a checkpoint if it saved its
    /// progress.
    Stopped(Option<Checkpoint>),
    /// The run ended because its worker ended or the worker's lease expired.
    Lost,
    /// The run was never started: for example, the worker lacked free capacity.
    Refused,
}
