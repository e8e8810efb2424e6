// SPDX-License-Identifier: Apache-2.0
//! Acceptance of an operator's change by compare-and-swap, also when replies of
//! the store are lost.
//!
//! A change is accepted once a page with its submission was read back or the
//! swap was confirmed. After a swap with unknown outcome the page is read again
//! and the swap is tried at the revision read: either the first swap took
//! effect and the submission is found, or the second one succeeds and the first
//! one no longer can, as the revision has changed.

use stackpier_core::{Error, Kind, Name, Result, key::Job};
use stackpier_protocol::operator::Accepted;
use stackpier_state::{
    Page, Revision,
    intent::{Intent, KEPT_SUBMISSIONS, Object, Shard},
    page::{ABSENT, Fetched, Swapped},
};

use crate::effect::Writer;

/// MAX_ROUNDS is how often a change is tried while other writers change the
/// page.
pub const MAX_ROUNDS: u32 = 40;

/// Wanted is what the operator requests.
#[derive(Clone, Debug)]
pub enum Wanted {
    /// Store this intent.
    Submit(Intent),
    /// Cancel the intent of this name.
    Cancel(Name),
}

/// Change is one submission.
#[derive(Clone, Debug)]
pub struct Change {
    /// Id of the submission, by which a repeat is recognised.
    pub submission: u128,
    /// The version that the operator saw: `None` accepts any, zero requires
    /// that the intent does not exist.
    pub expect: Option<u64>,
    /// The request.
    pub wanted: Wanted,
}

impl Change {
    /// name returns the name of the intent.
    pub fn name(&self) -> Name {
        match &self.wanted {
            Wanted::Submit(intent) => intent.name,
            Wanted::Cancel(name) => *name,
        }
    }

    /// apply makes the change on a copy of a page. It returns `None` if the
    /// page has this submission already.
    pub fn apply(&self, page: &Shard) -> Result<Option<Shard>> {
        let old = page.object(self.name());
        if old.is_some_and(|old| old.submissions.contains(&self.submission)) {
            return Ok(None);
        }
        let version = old.map_or(0, |old| old.version);
        if self.expect.is_some_and(|expect| expect != version) {
            let text = format!("'{}' is at version {version}", self.name());
            return Err(Error::new(Kind::Conflict, text));
        }
        let mut next = page.clone();
        next.put(self.build_object(old)?);
        Ok(Some(next))
    }

    /// build_object returns the intent's object after the change.
    fn build_object(&self, old: Option<&Object>) -> Result<Object> {
        let mut submissions = old.map_or_else(Vec::new, |old| old.submissions.clone());
        submissions.push(self.submission);
        let excess = submissions.len().saturating_sub(KEPT_SUBMISSIONS);
        submissions.drain(..excess);
        let version = old.map_or(0, |old| old.version) + 1;
        match &self.wanted {
            Wanted::Submit(intent) => Ok(Object {
                job: self.job_key(old),
                generation: next_generation(old),
                version,
                submissions,
                cancelled: false,
                intent: intent.clone(),
            }),
            Wanted::Cancel(name) => {
                let missing = || Error::new(Kind::NotFound, format!("no intent '{name}'"));
                let old = old.ok_or_else(missing)?;
                Ok(Object {
                    version,
                    submissions,
                    cancelled: true,
                    ..old.clone()
                })
            }
        }
    }

    /// job_key returns the key of the intent's job, which stays the same until the
    /// intent is cancelled. One submitted again after that is a new job.
    fn job_key(&self, old: Option<&Object>) -> Job {
        match old.filter(|old| !old.cancelled) {
            Some(old) => old.job,
            None => Job((self.submission ^ (self.submission >> 64)) as u64),
        }
    }
}

/// next_generation returns the intent's new generation, which increases when a cancelled
/// intent is submitted again.
fn next_generation(old: Option<&Object>) -> u32 {
    old.map_or(1, |old| old.generation + u32::from(old.cancelled))
}

/// Next is what the caller of the acceptance does next.
#[derive(Clone, Debug)]
pub enum Next {
    /// Read the intents page.
    Read,
    /// Swap the intents page.
    Swap(Revision, Page),
    /// Answer the operator. An accepted change comes with the page and its
    /// revision.
    Answer(Result<Accepted>, Option<(Revision, Shard)>),
}

/// Acceptance is the state machine for one change.
#[derive(Debug)]
pub struct Acceptance {
    change: Change,
    /// The page of the pending swap.
    written: Option<Shard>,
    /// Whether the outcome of any swap is unknown.
    unclear: bool,
    /// The number of swaps so far.
    rounds: u32,
}

impl Acceptance {
    /// new starts by reading the page.
    pub fn new(change: Change) -> (Acceptance, Next) {
        let acceptance = Acceptance {
            change,
            written: None,
            unclear: false,
            rounds: 0,
        };
        (acceptance, Next::Read)
    }

    /// read processes the page that was read.
    pub fn read(&mut self, fetched: Fetched, writer: &mut Writer) -> Next {
        let (revision, page) = match fetched {
            Fetched::Found(revision, Page::Intents(page)) => (revision, page),
            Fetched::Absent => (ABSENT, Shard::default()),
            Fetched::Found(..) | Fetched::Failed => return self.fail("the store gave no answer"),
        };
        match self.change.apply(&page) {
            Err(error) => Next::Answer(Err(error), None),
            Ok(None) => self.answer_accepted(revision, page),
            Ok(Some(mut next)) => {
                next.write = writer.number();
                self.written = Some(next.clone());
                Next::Swap(revision, Page::Intents(next))
            }
        }
    }

    /// swapped processes the outcome of a swap.
    pub fn swapped(&mut self, swap: Swapped) -> Next {
        self.rounds += 1;
        if let (Swapped::Won(revision), Some(page)) = (swap, self.written.take()) {
            return self.answer_accepted(revision, page);
        }
        self.unclear |= swap == Swapped::Unclear;
        if self.rounds >= MAX_ROUNDS {
            return self.fail("too many operators change this shard at once");
        }
        Next::Read
    }

    fn answer_accepted(&self, revision: Revision, page: Shard) -> Next {
        let name = self.change.name();
        let version = page.object(name).map_or(0, |object| object.version);
        Next::Answer(Ok(Accepted { name, version }), Some((revision, page)))
    }

    /// fail refuses the change. It may still have been made if the outcome of a swap
    /// is unknown.
    fn fail(&self, text: &str) -> Next {
        let kind = match self.unclear {
            true => Kind::WriteUnknown,
            false => Kind::StoreUnavailable,
        };
        Next::Answer(Err(Error::new(kind, text)), None)
    }
}
