// SPDX-License-Identifier: Apache-2.0
//! The effects that the placement state machines request, and the events that
//! they receive.

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

/// Effect is an action that a state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Read a page from the store. Answered by [`Event::Read`].
    Read(Key),
    /// Replace a page if it still has this revision. Answered by
    /// [`Event::Swapped`].
    Swap(Key, Revision, Page),
    /// Call a worker. Answered by [`Event::Synced`].
    Sync(Name, Call),
    /// Send a hint to the daemon that it concerns, which may be this one, or to
    /// all daemons of the data centre.
    Hint(Hint),
    /// Log a decision.
    Note(Note),
}

/// Note is a decision that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// A run was committed to a worker.
    Committed(Run, Name),
    /// A committed run ended.
    Ended(Run, Outcome),
    /// A task was claimed for a worker.
    Claimed(Run, Name),
    /// No worker fits a task; the placer keeps trying.
    Unplaced(Run),
    /// This daemon renews the rack from now on, with this term.
    TookOver(Name, u64),
    /// This daemon stops renewing the rack, as this term has begun.
    GaveUp(Name, u64),
    /// A batch task was throttled, released or evicted to protect a service.
    Reacted(Action, Name),
    /// A worker's lease has expired and its runs are over.
    Lapsed(Name),
    /// A worker has restarted and its runs are over.
    Rebooted(Name),
    /// Reads or swaps of a page began to fail. The failures up to
    /// [`Note::Answered`] have no notes of their own.
    Failing(Key),
    /// A page is read or swapped again, this many milliseconds after the first
    /// failure.
    Answered(Key, u64),
}

/// Event is an input of a state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Answer to [`Effect::Read`].
    Read(Key, Fetched),
    /// Answer to [`Effect::Swap`].
    Swapped(Key, Swapped),
    /// Answer to [`Effect::Sync`]; `None` when the worker did not answer.
    Synced(Name, Option<Reply>),
    /// A page changed.
    Hint(Hint),
}

/// Writer numbers the writes of one run of the process.
#[derive(Clone, Copy, Debug)]
pub struct Writer {
    next: Write,
}

impl Writer {
    /// new starts the numbering for a run of the process.
    pub fn new(boot: stackpier_core::key::Boot) -> Writer {
        Writer {
            next: Write { boot, number: 1 },
        }
    }

    /// number returns a number that this run of the process has not used.
    pub fn number(&mut self) -> Write {
        let write = self.next;
        self.next.number += 1;
        write
    }
}
