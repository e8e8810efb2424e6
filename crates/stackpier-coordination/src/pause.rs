// SPDX-License-Identifier: Apache-2.0
//! The pause of a state machine after a read or swap that failed.

use stackpier_core::Millis;
use stackpier_state::{
    Page,
    page::{Fetched, Key, Swapped},
};

use crate::effect::Event;

/// FIRST_MS is the pause after the first failure, in milliseconds.
const FIRST_MS: u64 = 50;
/// MAX_MS is the longest pause, in milliseconds.
const MAX_MS: u64 = 1_000;

/// Pause delays requests to the store after failures. It doubles with each
/// failure after the last pause, up to [`MAX_MS`], and an answer ends it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pause {
    /// The end of the last pause and its length, if no answer came since.
    last: Option<(Millis, u64)>,
}

impl Pause {
    /// record processes the outcome of a read or swap. Other events change
    /// nothing.
    pub(crate) fn record(&mut self, now: Millis, event: &Event) {
        match answered(event) {
            Some((_, true)) => self.last = None,
            Some((_, false)) if self.over(now) => {
                let doubled = self.last.map_or(FIRST_MS, |(_, ms)| ms * 2);
                let ms = doubled.min(MAX_MS);
                self.last = Some((now.plus(ms), ms));
            }
            Some((_, false)) | None => {}
        }
    }

    /// over reports whether the store may be called.
    pub(crate) fn over(&self, now: Millis) -> bool {
        self.last.is_none_or(|(end, _)| now >= end)
    }
}

/// answered returns the key of a read or swap and whether it was carried out. A
/// page of the wrong kind counts as a failed read, since it is read again.
fn answered(event: &Event) -> Option<(Key, bool)> {
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
