// SPDX-License-Identifier: Apache-2.0
//! The only call that a renewer makes to a worker: it renews the worker's lease,
//! starts and stops runs, and returns ended runs and usage.

use serde::{Deserialize, Serialize};
use stackpier_core::{Name, key::Boot};
use stackpier_state::work::{Checkpoint, Outcome, Run, Work};

/// Clock is a reading of the worker's monotonic clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Clock(pub u64);

/// Start orders a worker to start one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The run.
    pub run: Run,
    /// What to run.
    pub work: Work,
    /// Progress to resume from.
    pub checkpoint: Option<Checkpoint>,
}

/// Call is sent by the renewer of the worker's rack.
///
/// The worker ignores a call that is meant for another of its boots, has a
/// lower term than an earlier call, or arrives more than `lease_ms` after the
/// reading in `clock`. So no call has an effect after that time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The boot that the call is meant for. A call with zero only requests a
    /// reply.
    pub boot: Boot,
    /// The renewer's term.
    pub term: u64,
    /// The last clock reading that the renewer received from this boot.
    pub clock: Clock,
    /// How long after `clock` the lease expires, in milliseconds.
    pub lease_ms: u64,
    /// Runs to start. The worker skips those that are running or have ended.
    pub start: Vec<Start>,
    /// Runs to checkpoint and stop. The worker never starts them again.
    pub stop: Vec<Run>,
    /// All runs that the worker should slow down for now; other runs are not
    /// slowed down.
    pub throttle: Vec<Run>,
    /// Ended runs whose end is recorded. The worker need not report them again.
    pub forget: Vec<Run>,
}

/// Ended reports how one run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The run.
    pub run: Run,
    /// How it ended.
    pub outcome: Outcome,
}

/// Usage is a sample of what a run used, some time before it is reported.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The run.
    pub run: Run,
    /// When the sample was taken, by the worker's clock.
    pub sampled: Clock,
    /// Processor time, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Time per unit of work relative to running alone, in thousandths.
    pub slowdown_milli: u32,
}

/// Reply is the worker's answer to each [`Call`], ignored or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Name of the worker.
    pub name: Name,
    /// The boot of the worker that answers.
    pub boot: Boot,
    /// The worker's clock at the time of the reply.
    pub clock: Clock,
    /// The runs that are running.
    pub running: Vec<Run>,
    /// Ended runs that no call has listed in `forget` yet.
    pub ended: Vec<Ended>,
    /// Samples of what runs used.
    pub usage: Vec<Usage>,
}
