// SPDX-License-Identifier: Apache-2.0
//! The mechanisms of the decisions, each of which can be switched off to measure what
//! it is worth.

use std::str::FromStr;

use stackpier_core::field::{Invalid, invalid};

/// Mechanism is one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Tasks that count go where the least room is left.
    Packing,
    /// Serving tasks go to workers that serve their image, then to empty ones.
    SameImage,
    /// Serving tasks go beside those that the same filling images disturb.
    Exposure,
    /// Filling tasks wait where a start would harm serving tasks too much.
    Harm,
    /// Filling tasks with time to spare wait for less harm.
    LowerHarm,
    /// Memory is kept free of filling tasks.
    Reserve,
    /// Filling tasks wait for unused processors.
    Unused,
    /// What fills is slowed down and raised again.
    Pace,
    /// What fills beside a task that was over its target for long is moved or paused.
    Relief,
    /// Filling tasks that stand nearly still are moved.
    Moves,
    /// Tasks that last go first once they have waited.
    LongRunningFirst,
    /// Jobs with the fewest tasks left go first.
    FewestLeft,
    /// What can't be in time any more goes last.
    LateLast,
    /// What is of no use any more goes after what is late.
    ExpiredLast,
    /// Workers that fail runs get no starts for a while.
    Health,
    /// Tasks with one failure left wait for a worker that lately did work.
    Trust,
    /// Tasks under which workers crash are started apart from others, and given up.
    Suspects,
    /// Runs that stand still are moved.
    Stall,
    /// Copies of runs that lag are started.
    Copies,
    /// Steps that had nothing running for long get a task in spite of the bounds.
    Starving,
    /// Workers are emptied of serving tasks for what disturbs most of them.
    Spare,
    /// Workers are dedicated to short tasks that find no room.
    Dedicated,
    /// Tasks that last take turns where there is not room for all.
    Rotation,
    /// Room is kept for tasks that have waited for long.
    Reservations,
    /// Pairs and own loads are learnt.
    Learning,
    /// A task's deviation from its step's load counts in what is expected.
    Deviation,
    /// What was learnt is kept for a later owner.
    SavedModel,
    /// An owner without the store is replaced.
    Storeless,
    /// A daemon that does not hear the owner asks the others before it takes over.
    Votes,
}

impl Mechanism {
    /// ALL lists the mechanisms.
    pub const ALL: [Mechanism; 29] = [
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
        Mechanism::LateLast,
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
    ];

    /// as_str returns the name in settings and tables.
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
            Mechanism::LateLast => "late-last",
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

/// Mechanisms is a set of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms(u32);

impl Mechanisms {
    /// contains tells whether a mechanism is in the set.
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
