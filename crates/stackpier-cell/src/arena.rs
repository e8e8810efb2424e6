// SPDX-License-Identifier: Apache-2.0
//! Small `Copy` keys of jobs, steps, tasks, workers and images.
//!
//! Jobs, steps, tasks and workers are kept until the ownership of the cell ends, so their keys
//! are plain positions. Runs come and go and use the arena of `stackpier-core`.

use stackpier_core::arena::Index;

use crate::run::Run;

/// JobKey is the position of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub(crate) u32);

/// StepKey is the position of one step of one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey(pub(crate) u32);

/// TaskKey is the position of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey(pub(crate) u32);

/// WorkerKey is the position of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub(crate) u32);

/// ImageKey is the position of an image's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(pub(crate) u16);

/// RunKey refers to a run that may still hold capacity on a worker.
pub(crate) type RunKey = Index<Run>;
