// SPDX-License-Identifier: Apache-2.0
//! The pause of a state machine after a read or swap that failed, and the log
//! notes on the outage.

use stackpier_core::Millis;
use stackpier_state::{
    Page,
    page::{Fetched, Key, Swapped},
};

use crate::effect::{Effect, Event, Note};

/// FIRST_MS is the pause after the first failure, in milliseconds.
const FIRST_MS: u64 = 50;
/// MAX_MS is the longest pause, in milliseconds.
const MAX_MS: u64 = 1_000;

/// Pause delays requests to the store after failures: reads after failed reads,
/// and swaps after any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pause {
    reads: Outage,
    swaps: Outage,
}

impl Pause {
    /// record processes the outcome of a read or swap, and returns the note on
    /// the begin or end of an outage. Other events change nothing.
    pub(crate) fn record(&mut self, now: Millis, event: &Event) -> Option<Effect> {
        let (key, answered) = outcome(event)?;
        let outage = match event {
            Event::Swapped(..) => &mut self.swaps,
            Event::Read(..) | Event::Tick | Event::Synced(..) | Event::Hint(_) => &mut self.reads,
        };
        outage.record(now, key, answered)
    }

    /// end_reads returns the note on the end of an outage of reads, if there was
    /// one.
    pub(crate) fn end_reads(&mut self, now: Millis) -> Option<Effect> {
        self.reads.end(now)
    }

    /// may_read reports whether the store may be asked for a page.
    pub(crate) fn may_read(&self, now: Millis) -> bool {
        self.reads.over(now)
    }

    /// may_swap reports whether the store may be asked to swap a page.
    pub(crate) fn may_swap(&self, now: Millis) -> bool {
        self.reads.over(now) && self.swaps.over(now)
    }
}

/// Outage is a series of failures of one kind of call. The pause doubles with
/// each failure after the last pause, up to [`MAX_MS`], and an answer ends it.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    /// The end of the last pause and its length, if no answer came since.
    last: Option<(Millis, u64)>,
    /// The key whose failure began the outage, and when, until it is answered.
    failing: Option<(Key, Millis)>,
}

impl Outage {
    fn record(&mut self, now: Millis, key: Key, answered: bool) -> Option<Effect> {
        if !answered {
            return self.record_failure(now, key);
        }
        self.last = None;
        match self.failing {
            Some((failing, _)) if failing == key => self.end(now),
            Some(_) | None => None,
        }
    }

    fn record_failure(&mut self, now: Millis, key: Key) -> Option<Effect> {
        if self.over(now) {
            let doubled = self.last.map_or(FIRST_MS, |(_, ms)| ms * 2);
            let ms = doubled.min(MAX_MS);
            self.last = Some((now.plus(ms), ms));
        }
        if self.failing.is_some() {
            return None;
        }
        self.failing = Some((key, now));
        Some(Effect::Note(Note::Failing(key)))
    }

    fn end(&mut self, now: Millis) -> Option<Effect> {
        let (key, since) = self.failing.take()?;
        Some(Effect::Note(Note::Answered(key, now.since(since))))
    }

    /// over reports whether the last pause is over.
    fn over(&self, now: Millis) -> bool {
        self.last.is_none_or(|(end, _)| now >= end)
    }
}

/// outcome returns the key of a read or swap and whether it was carried out. A
/// page of the wrong kind counts as a failed read, since it is read again.
fn outcome(event: &Event) -> Option<(Key, bool)> {
    match event {
        Event::Read(key, fetched) => Some((*key, has_kind(*key, fetched))),
        Event::Swapped(key, swapped) => {
            Some((*key, matches!(swapped, Swapped::Won(_) | Swapped::Lost)))
        }
        Event::Tick | Event::Synced(..) | Event::Hint(_) => None,
    }
}

/// has_kind reports whether a read was answered with a page of the key's kind or
/// with none.
fn has_kind(key: Key, fetched: &Fetched) -> bool {
    match fetched {
        Fetched::Found(_, page) => matches!(
            (key, page),
            (Key::Rack(_), Page::Rack(_)) | (Key::Homes(..), Page::Homes(_))
        ),
        Fetched::Absent => true,
        Fetched::Failed => false,
    }
}
