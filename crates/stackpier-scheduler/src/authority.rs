// SPDX-License-Identifier: Apache-2.0
//! How long earlier owners of the cell may still act, from what a daemon sees of the ownership.
//!
//! An owner acts until its authority ends, which counts from a time at which the store confirmed
//! its ownership. That was before the store changed the ownership, and so before any daemon saw
//! the later one. An owner that was held up may act beside several successors, so a daemon keeps
//! the ends of all earlier owners.

use stackpier_core::{Millis, key::Boot};

use crate::link::Alive;

/// Holder is an owner of the cell, as the store showed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The VM of the owner.
    pub vm: String,
    /// The id of its process.
    pub boot: Boot,
    /// The address for its peers.
    pub address: String,
    /// Its fencing token.
    pub fence: u64,
    /// The revision at which the store showed it as the owner.
    pub revision: u64,
    /// Whether it has answered this daemon as the owner with that token.
    pub answered: bool,
}

impl Holder {
    /// has_stopped reports whether an answer, to a heartbeat with the later fence `fence`, proves
    /// that this owner sends no more orders under its own fence. A process that says that it does
    /// not own the cell may still be about to learn that it does: that a swap took effect whose
    /// answer was lost. It does not load the cell any more if it has done so before, or if it knows
    /// the later owner.
    pub fn has_stopped(&self, answer: &Alive, fence: u64) -> bool {
        let knows = self.answered || answer.fence >= fence;
        answer.boot == self.boot && !answer.owner && knows
    }
}

/// Acting is an earlier owner that may still act.
#[derive(Clone, Debug)]
struct Acting {
    holder: Holder,
    until: Millis,
}

/// Authorities holds until when the owners before the present one may act.
#[derive(Clone, Debug, Default)]
pub struct Authorities {
    acting: Vec<Acting>,
    /// Until when owners may act that this daemon never saw in the store.
    unseen_until: Millis,
}

impl Authorities {
    /// replace records that the store shows a later owner, with `fence`, for the first time.
    /// `earlier` is the owner that it showed before, and whether that one may still act: until
    /// `until` then, as may owners between the two that this daemon never saw.
    pub fn replace(&mut self, earlier: Option<(Holder, bool)>, fence: u64, until: Millis) {
        let known = earlier.as_ref().map_or(0, |(holder, _)| holder.fence);
        if fence > known + 1 {
            self.unseen_until = until;
        }
        if let Some((holder, true)) = earlier {
            self.acting.push(Acting { holder, until });
        }
    }

    /// remove records that an owner does not act any more.
    pub fn remove(&mut self, boot: Boot, fence: u64) {
        let stopped = |acting: &Acting| acting.holder.boot == boot && acting.holder.fence <= fence;
        self.acting.retain(|acting| !stopped(acting));
    }

    /// prune drops the owners whose authority has ended, and those that `is_gone` tells.
    pub fn prune(&mut self, now: Millis, is_gone: impl Fn(&Holder) -> bool) {
        self.acting
            .retain(|acting| acting.until > now && !is_gone(&acting.holder));
    }

    /// may_act reports whether an owner may still act.
    pub fn may_act(&self, holder: &Holder, now: Millis) -> bool {
        let mut acting = self.acting.iter();
        acting.any(|acting| acting.holder == *holder && acting.until > now)
    }

    /// holders returns the owners that may still act.
    pub fn holders(&self) -> impl Iterator<Item = &Holder> {
        self.acting.iter().map(|acting| &acting.holder)
    }

    /// acting_ms returns how long after `now` an earlier owner may still act.
    pub fn acting_ms(&self, now: Millis) -> u64 {
        let ends = self.acting.iter().map(|acting| acting.until);
        let last = ends.fold(self.unseen_until, Millis::max);
        last.since(now)
    }
}
