// SPDX-License-Identifier: Apache-2.0
//! The one call a renewer makes to a worker: it renews the lease, starts and
//! stops runs, and brings back ended runs and usage.

use serde::{Deserialize, Serialize};
use stackpier_core::{Name, key::Boot};
use stackpier_state::work::{Checkpoint, Outcome, Run, Work};

/// Clock is a reading of the worker's own monotonic clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Clock(pub u64);

/// Start asks for one run.
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
/// lower term than one before, or reaches it more than `lease_ms` after the
/// clock reading it quotes. So no call has an effect later than that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The boot the call is meant for. Zero only asks for a reply.
    pub boot: Boot,
    /// The renewer's term.
    pub term: u64,
    /// The last clock reading the renewer got from this boot.
    pub clock: Clock,
    /// The lease lasts this long after `clock`.
    pub lease_ms: u64,
    /// Runs to start. One that runs already or ended is left as it is.
    pub start: Vec<Start>,
    /// Runs to checkpoint and stop, and never to start again.
    pub stop: Vec<Run>,
    /// All runs that are to run slower for now.
    pub throttle: Vec<Run>,
    /// Ended runs whose end is recorded; they need no further report.
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

/// Usage is a lagging sample of what a run used.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The run.
    pub run: Run,
    /// When the sample was taken.
    pub sampled: Clock,
    /// Processor time, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Time per unit of work against running alone, in thousandths.
    pub slowdown_milli: u32,
}

/// Reply is the worker's answer to each [`Call`], ignored or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Name of the worker.
    pub name: Name,
    /// This run of the worker.
    pub boot: Boot,
    /// Its clock now.
    pub clock: Clock,
    /// The runs that run now.
    pub running: Vec<Run>,
    /// Ended runs that no call told it to forget.
    pub ended: Vec<Ended>,
    /// Lagging samples.
    pub usage: Vec<Usage>,
}
