// SPDX-License-Identifier: Apache-2.0
//! Small `Copy` keys of jobs, rounds, steps, tasks, workers and images.
//!
//! Jobs, rounds and runs come and go and use the arena of `stackpier-core`: the key of one that is
//! gone refers to nothing. Workers and images are kept until the ownership of the cell ends, so their
//! keys are plain positions.

use stackpier_core::arena::Index;

use crate::{job::Job, round::Round, run::Run};

/// JobKey refers to a job in memory. Keys are ordered by when the owner learnt of the jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub(crate) Index<Job>);

/// RoundKey refers to a round in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoundKey(pub(crate) Index<Round>);

/// StepKey refers to one step of a round, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    pub(crate) round: RoundKey,
    pub(crate) number: u16,
}

impl StepKey {
    /// place returns a number that differs between successive steps.
    pub(crate) fn place(self) -> usize {
        self.round.0.serial() as usize + usize::from(self.number)
    }
}

/// TaskKey refers to a task, by its position among all tasks of its round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    pub(crate) round: RoundKey,
    pub(crate) position: u32,
}

/// WorkerKey is the position of one incarnation of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub(crate) u32);

/// ImageKey is the position of an image's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageKey(pub(crate) u16);

/// RunKey refers to a run that may still hold capacity on a worker.
pub(crate) type RunKey = Index<Run>;
