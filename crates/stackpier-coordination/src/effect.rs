// SPDX-License-Identifier: Apache-2.0
//! What the placement machines ask for, and what they are told.

use crate::reaction::Action;
use stackpier_core::{Name, key::Write};
use stackpier_protocol::{
    peer::Hint,
    sync::{Call, Reply},
};
use stackpier_state::{
    Page, Revision,
    page::{Fetched, Key, Swapped},
    work::{Outcome, Run},
};

/// Effect is something a machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Read a page from the store. Answered by [`Event::Read`].
    Read(Key),
    /// Replace a page if it still has this revision. Answered by
    /// [`Event::Swapped`].
    Swap(Key, Revision, Page),
    /// Call a worker. Answered by [`Event::Synced`].
    Sync(Name, Call),
    /// Tell the daemons of the data centre, ourselves among them.
    Hint(Hint),
    /// Log a decision.
    Note(Note),
}

/// Note is a decision worth a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// A run was committed to a worker.
    Committed(Run, Name),
    /// A committed run ended.
    Ended(Run, Outcome),
    /// A task was claimed for a worker.
    Claimed(Run, Name),
    /// A task has no place; the machine goes on trying.
    Unplaced(Run),
    /// This daemon renews the rack from now on, with this term.
    TookOver(Name, u64),
    /// This daemon renews the rack no more, as this term is there.
    GaveUp(Name, u64),
    /// A batch task was throttled, released or evicted for a service's sake.
    Reacted(Action, Name),
    /// A worker's lease has lapsed and its runs are over.
    Lapsed(Name),
    /// A worker has started anew and its runs are over.
    Rebooted(Name),
}

/// Event is something a machine is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Answer to [`Effect::Read`].
    Read(Key, Fetched),
    /// Answer to [`Effect::Swap`].
    Swapped(Key, Swapped),
    /// Answer to [`Effect::Sync`]; `None` when none came.
    Synced(Name, Option<Reply>),
    /// A page changed.
    Hint(Hint),
}

/// Writer numbers the writes of one process run.
#[derive(Clone, Copy, Debug)]
pub struct Writer {
    next: Write,
}

impl Writer {
    /// new starts the numbering of a process run.
    pub fn new(boot: stackpier_core::key::Boot) -> Writer {
        Writer {
            next: Write { boot, number: 1 },
        }
    }

    /// number returns a number that this process run has not used.
    pub fn number(&mut self) -> Write {
        let write = self.next;
        self.next.number += 1;
        write
    }
}
