// SPDX-License-Identifier: Apache-2.0
//! Which daemon renews the rack's leases, and since when no other one can.

use stackpier_core::Millis;
use stackpier_protocol::peer::{Hint, Renounced};
use stackpier_state::{holders::Member, rack::Renewer};

use super::{Owner, Step};
use crate::{
    effect::{Effect, Note},
    membership::Table,
};

impl Owner {
    /// renews reports whether this daemon is the rack's renewer, according to
    /// the page as last read or written.
    pub fn renews(&self) -> bool {
        let renewer = self.page.as_ref().and_then(|(_, page)| page.renewer);
        renewer.is_some_and(|renewer| renewer.boot == self.me.boot)
    }

    /// renounced returns the promise not to renew under earlier terms, if there
    /// is one to send.
    pub fn renounced(&self) -> Option<Renounced> {
        self.renounced.map(|below| Renounced {
            rack: self.rack,
            below,
        })
    }

    /// give_up stops renewing, so that another daemon can take the rack over
    /// when this one stops as planned. A takeover that is being written is given
    /// up, too.
    pub fn give_up(&mut self) {
        let pending = match &self.step {
            Step::Swapping(next) => next.renewer,
            Step::Idle | Step::Loading | Step::Reading(_) => None,
        };
        let known = self.page().and_then(|page| page.renewer);
        let mine = |renewer: &Renewer| renewer.boot == self.me.boot;
        let own = pending.filter(mine).or(known.filter(mine));
        if let Some(renewer) = own {
            self.renounced = Some(renewer.term + 1);
        }
    }

    /// receive_renounced records another daemon's promise not to renew under
    /// terms before `below`.
    pub fn receive_renounced(&mut self, from: Member, below: u64) {
        let Some((_, page)) = &mut self.page else {
            return;
        };
        let done = |old: &Renewer| old.boot == from.boot && old.term < below;
        page.former.retain(|old| !done(old));
    }

    /// update_sole_since drops former renewers that can no longer renew, and
    /// sets the time since which none is left.
    pub(super) fn update_sole_since(&mut self, now: Millis, table: &Table) {
        let Some((_, page)) = &mut self.page else {
            return;
        };
        let gone = |old: &Renewer| table.gone(member(*old));
        // Calls that this process sent under an earlier term carry clock
        // readings that it received before now, so the leases they renew are
        // over within a lease from now.
        let me = self.me.boot;
        page.former.retain(|old| old.boot != me && !gone(old));
        let Some(renewer) = page.renewer else { return };
        let known = self
            .sole_since
            .is_some_and(|(term, _)| term == renewer.term);
        if renewer.boot == self.me.boot && page.former.is_empty() && !known {
            self.sole_since = Some((renewer.term, now));
        }
    }

    /// receive_renewer marks the page as stale if a newer term concerns this
    /// daemon: it may have lost the rack, or won it by a swap whose answer was
    /// lost. A daemon that lost the rack stops renewing at once, as it may not
    /// be able to read the page. So does one that may have won an earlier term
    /// without knowing it.
    pub(super) fn receive_renewer(
        &mut self,
        renewer: Member,
        term: u64,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.page().and_then(|page| page.renewer);
        let newer = term > known.map_or(0, |renewer| renewer.term);
        let own = renewer.boot == self.me.boot;
        self.stale |= newer && (self.renews() || own);
        if newer && !own && self.renounced.is_none_or(|below| below < term) {
            self.renounced = Some(term);
            if self.renews() {
                effects.push(Effect::Note(Note::GaveUp(self.rack, term)));
            }
        }
    }

    /// renewer_hint returns the hint that tells all daemons the page's renewer.
    pub(super) fn renewer_hint(&self) -> Option<Effect> {
        let renewer = self.page()?.renewer?;
        Some(Effect::Hint(Hint::TakenOver {
            rack: self.rack,
            renewer: member(renewer),
            term: renewer.term,
        }))
    }
}

/// member returns the renewer's VM and boot.
pub(super) fn member(renewer: Renewer) -> Member {
    Member {
        vm: renewer.vm,
        boot: renewer.boot,
    }
}
