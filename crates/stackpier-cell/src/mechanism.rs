// SPDX-License-Identifier: Apache-2.0
//! Mechanisms of the scheduler's decisions. Each can be switched off to measure what it
//! contributes.

use std::str::FromStr;

use stackpier_core::field::{Invalid, invalid};

/// Mechanism is a part of the decisions that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Guaranteed tasks go to the worker that is left with the least free capacity.
    Packing,
    /// Serving tasks go to workers that serve their image, then to empty ones.
    SameImage,
    /// Serving tasks go beside those that the same best-effort images disturb.
    Exposure,
    /// Best-effort tasks wait where a start would harm serving tasks too much.
    Harm,
    /// Best-effort tasks with slack wait for a worker where a start does less harm.
    LowerHarm,
    /// Memory is kept free of best-effort tasks, for short ones.
    Reserve,
    /// Best-effort tasks wait for unused processors.
    Unused,
    /// The pace of best-effort tasks is lowered and raised with the load of serving tasks.
    Pace,
    /// Best-effort tasks are paused beside a serving task that was over its target for a long
    /// time.
    Relief,
    /// Best-effort tasks that were slowed to a low pace for a long time are moved.
    Moves,
    /// Long-running tasks go first once they have waited.
    LongRunningFirst,
    /// Jobs with the fewest tasks left go first.
    FewestLeft,
    /// Expired jobs go last.
    ExpiredLast,
    /// Workers that fail runs get no starts for a while.
    Health,
    /// Tasks that may fail only once more wait for a worker with a recent success.
    Trust,
    /// Tasks suspected of crashing workers are started apart from others, and given up
    /// after several crashes.
    Suspects,
    /// Stalled runs are moved.
    Stall,
    /// Lagging runs are copied.
    Copies,
    /// Steps that have had nothing running for a long time get one task started without the limits
    /// that protect others.
    Starving,
    /// Serving tasks are moved off some workers, for best-effort tasks that disturb most
    /// serving images.
    Spare,
    /// Workers are dedicated to short tasks that fit nowhere.
    Dedicated,
    /// Long-running tasks get time slices where not all of them fit.
    Rotation,
    /// Capacity is reserved for tasks that have waited for a long time.
    Reservations,
    /// The effect of best-effort images on serving ones, and the own load of serving
    /// tasks, are learnt.
    Learning,
    /// The deviation of a task's load from its step's counts in the expected load.
    Deviation,
    /// What was learnt is saved for a successor.
    SavedModel,
    /// An owner that cannot reach the store is replaced.
    Storeless,
    /// A daemon that the owner does not answer asks the other daemons before it takes over.
    Votes,
    /// Jobs that can't be done in time are rejected as they come in.
    Admission,
    /// The time after which a refused client account may come back follows from the cause.
    RetryTimes,
    /// The processors that long-running tasks leave unused are predicted from their load.
    PredictedUse,
    /// The large jobs of a queue get a share of what runs while they are served less often in time.
    Shares,
}

impl Mechanism {
    /// ALL lists all mechanisms.
    pub const ALL: [Mechanism; 32] = [
        Mechanism::Packing,
        Mechanism::SameImage,
        Mechanism::Exposure,
        Mechanism::Harm,
        Mechanism::LowerHarm,
        Mechanism::Reserve,
        Mechanism::Unused,
        Mechanism::Pace,
        Mechanism::Relief,
        Mechanism::Moves,
        Mechanism::LongRunningFirst,
        Mechanism::FewestLeft,
        Mechanism::ExpiredLast,
        Mechanism::Health,
        Mechanism::Trust,
        Mechanism::Suspects,
        Mechanism::Stall,
        Mechanism::Copies,
        Mechanism::Starving,
        Mechanism::Spare,
        Mechanism::Dedicated,
        Mechanism::Rotation,
        Mechanism::Reservations,
        Mechanism::Learning,
        Mechanism::Deviation,
        Mechanism::SavedModel,
        Mechanism::Storeless,
        Mechanism::Votes,
        Mechanism::Admission,
        Mechanism::RetryTimes,
        Mechanism::PredictedUse,
        Mechanism::Shares,
    ];

    /// as_str returns the name of the mechanism in settings and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Mechanism::Packing => "packing",
            Mechanism::SameImage => "company",
            Mechanism::Exposure => "exposure",
            Mechanism::Harm => "harm",
            Mechanism::LowerHarm => "calm",
            Mechanism::Reserve => "reserve",
            Mechanism::Unused => "unused",
            Mechanism::Pace => "pace",
            Mechanism::Relief => "relief",
            Mechanism::Moves => "moves",
            Mechanism::LongRunningFirst => "lasting-first",
            Mechanism::FewestLeft => "fewest-left",
            Mechanism::ExpiredLast => "hopeless-last",
            Mechanism::Health => "health",
            Mechanism::Trust => "trust",
            Mechanism::Suspects => "suspects",
            Mechanism::Stall => "stall",
            Mechanism::Copies => "copies",
            Mechanism::Starving => "starving",
            Mechanism::Spare => "spare",
            Mechanism::Dedicated => "dedicated",
            Mechanism::Rotation => "rotation",
            Mechanism::Reservations => "claims",
            Mechanism::Learning => "learning",
            Mechanism::Deviation => "deviation",
            Mechanism::SavedModel => "memory",
            Mechanism::Storeless => "storeless",
            Mechanism::Votes => "votes",
            Mechanism::Admission => "admission",
            Mechanism::RetryTimes => "retry-times",
            Mechanism::PredictedUse => "predicted-use",
            Mechanism::Shares => "shares",
        }
    }
}

impl FromStr for Mechanism {
    type Err = Invalid;

    fn from_str(name: &str) -> Result<Mechanism, Invalid> {
        let named = |mechanism: &Mechanism| mechanism.as_str() == name;
        let found = Mechanism::ALL.into_iter().find(named);
        found.ok_or_else(|| invalid("without", format!("'{name}'"), "the name of a mechanism"))
    }
}

/// Mechanisms is a set of mechanisms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms(u32);

impl Mechanisms {
    /// contains reports whether a mechanism is in the set.
    pub fn contains(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) != 0
    }
}

impl FromIterator<Mechanism> for Mechanisms {
    fn from_iter<I: IntoIterator<Item = Mechanism>>(mechanisms: I) -> Mechanisms {
        let bits = mechanisms.into_iter().map(|one| 1 << one as u32);
        Mechanisms(bits.fold(0, |set, bit: u32| set | bit))
    }
}
