// SPDX-License-Identifier: Apache-2.0
//! The placer's commits: when the shard's page is written, and what is sent
//! afterwards.

use stackpier_core::Millis;
use stackpier_state::{
    Page, Revision,
    homes::{Home, Place, Shard},
    page::{Key, Swapped},
};

use super::{Ends, Placer, Step, View, claim};
use crate::{
    effect::{Effect, Writer},
    interval::interval_ms,
};

/// Seen holds the versions of the intents and of the page at a placement
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Seen {
    pub(super) changes: u64,
    pub(super) revision: Revision,
}

impl Placer {
    /// interval_ms returns the shortest time between two commits, in
    /// milliseconds. It is shorter while urgent work waits.
    pub(super) fn interval_ms(&self) -> u64 {
        let waits = |home: &Home| home.work.urgent && home.place == Place::Pending;
        let urgent = self.page().is_some_and(|page| page.homes.iter().any(waits));
        interval_ms(self.options.commit_ms, urgent || self.urgent)
    }

    /// try_swap updates a copy of the page, places its waiting tasks, and requests
    /// the swap if the copy differs from the page.
    pub(super) fn try_swap(
        &mut self,
        now: Millis,
        may_commit: bool,
        view: View<'_>,
        writer: &mut Writer,
        effects: &mut Vec<Effect>,
    ) {
        if !(may_commit && matches!(self.step, Step::Idle)) {
            return;
        }
        let Some((revision, page)) = &self.page else {
            return;
        };
        let seen = Seen {
            changes: view.catalogue.changes(),
            revision: *revision,
        };
        let retry = self
            .waiting
            .is_some_and(|at| now.since(at) >= self.options.commit_ms);
        if self.seen == Some(seen) && self.unwritten.is_empty() && !retry {
            return;
        }
        self.seen = Some(seen);
        self.urgent = false;
        let mut next = page.clone();
        release(&self.unwritten, &mut next);
        self.reconcile(view, &mut next);
        claim::place(view, self.options.policy, &mut next, effects);
        let waits = next.homes.iter().any(|home| home.place == Place::Pending);
        self.waiting = waits.then_some(now);
        self.writing = std::mem::take(&mut self.unwritten);
        let unchanged = next == *page;
        let revision = *revision;
        self.step = Step::Idle;
        if unchanged {
            return;
        }
        next.write = writer.number();
        self.committed = Some(now);
        let page = Page::Homes(next.clone());
        self.step = Step::Swapping(Box::new(next));
        let key = Key::Homes(view.table.data_centre(), self.shard);
        effects.push(Effect::Swap(key, revision, page));
    }

    /// finish_swap processes the outcome of the pending swap.
    pub(super) fn finish_swap(&mut self, swap: Swapped, effects: &mut Vec<Effect>) {
        let Step::Swapping(next) = std::mem::replace(&mut self.step, Step::Idle) else {
            return;
        };
        let Swapped::Won(revision) = swap else {
            // The swap lost, or its outcome is unknown: nothing is concluded
            // from it before the page is read again.
            self.stale = true;
            self.unclear = Some(next.write);
            self.seen = None;
            self.unwritten.append(&mut self.writing);
            return;
        };
        self.writing.clear();
        let old = self.page.replace((revision, *next)).map(|(_, page)| page);
        self.send_changes(&old.unwrap_or_default(), effects);
    }
}

/// release frees the homes whose claimed run has ended on its rack's page.
fn release(ends: &Ends, next: &mut Shard) {
    if ends.is_empty() {
        return;
    }
    for home in &mut next.homes {
        let Some(claim) = home.claim() else { continue };
        if let Some(outcome) = ends.get(&(claim.rack, home.run())) {
            home.release(*outcome);
        }
    }
}
