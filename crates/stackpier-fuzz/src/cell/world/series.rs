// SPDX-License-Identifier: Apache-2.0
//! Cuts of data centres, alone and in series, and what they lead to: two
//! owners that each reach a part of the workers, one of them the store.

use stackpier_cell::{Effect, Event, Renewed, Started, Stopped};

use super::{DATA_CENTRES, Message, WORKERS, World};

/// WORKERS_EACH is how many workers a data centre has.
const WORKERS_EACH: usize = WORKERS / DATA_CENTRES;
/// COUNTED_LEASE_MS is the longest that an owner counts a lease of 6 s for: 2.1%
/// for slow clocks, and 200 ms until the worker has ended what ran.
const COUNTED_LEASE_MS: u64 = 6_326;
/// FIRST_CUT_MS bounds the cut of the first data centre: most end before the
/// leases there do.
const FIRST_CUT_MS: (u64, u64) = (3_500, 6_500);
/// OVERLAP_MS bounds how long before its end the owner is cut off, too.
const OVERLAP_MS: (u64, u64) = (200, 3_000);
/// SECOND_CUT_MS bounds the cut of the owner's data centre, on both sides of the
/// time for which it may act without the store.
const SECOND_CUT_MS: (u64, u64) = (1_500, 6_000);
/// STORELESS_MS bounds how much longer the store stays away, in half of all
/// series.
const STORELESS_MS: (u64, u64) = (100, 3_000);
/// TAKE_OVER_MS bounds the time from the second cut to the take-over.
const TAKE_OVER_MS: (u64, u64) = (200, 1_500);
/// CRASH_MS bounds the time from the end of the first cut until workers there
/// die.
const CRASH_MS: (u64, u64) = (50, 800);
/// BACK_MS bounds the time until the next life of such a worker.
const BACK_MS: (u64, u64) = (200, 1_500);

/// data_centre_of returns the data centre of a worker.
pub(super) fn data_centre_of(worker: usize) -> usize {
    worker / WORKERS_EACH
}

impl World {
    /// begin_series cuts off a data centre without the owner and, before it is
    /// back, the owner's. An owner in the third takes over. In some series workers
    /// of the first die once it is back, and in half the store stays away from the
    /// earlier owner longer than the cut lasts.
    pub(super) fn begin_series(&mut self) {
        if self.now_ms < self.series_until {
            return;
        }
        self.count("series");
        let Some(owner) = self.owners.last() else {
            return;
        };
        let own = owner.data_centre;
        let step = self.between(1, 2) as usize;
        let first = (own + step) % DATA_CENTRES;
        let third = (own + DATA_CENTRES - step) % DATA_CENTRES;
        let first_ms = self.between(FIRST_CUT_MS.0, FIRST_CUT_MS.1);
        let second_at = first_ms - self.between(OVERLAP_MS.0, OVERLAP_MS.1);
        let second_ms = self.between(SECOND_CUT_MS.0, SECOND_CUT_MS.1);
        let take_over_at = second_at + self.between(TAKE_OVER_MS.0, TAKE_OVER_MS.1);
        self.series_until = self.now_ms + second_at + second_ms;
        self.set_apart(first, first_ms);
        self.send(second_at, Message::Apart(own, second_ms));
        self.send(take_over_at, Message::TakeOver(third));
        if self.between(0, 1) == 1 {
            let ms = second_ms + self.between(STORELESS_MS.0, STORELESS_MS.1);
            self.send(second_at, Message::Storeless(own, ms));
        }
        // One that is left would show its fence to the earlier owner.
        let dead = self.between(0, WORKERS_EACH as u64) as usize;
        for worker in (first * WORKERS_EACH..).take(dead) {
            let crash_at = first_ms + self.between(CRASH_MS.0, CRASH_MS.1);
            let back_ms = self.between(BACK_MS.0, BACK_MS.1);
            self.send(crash_at, Message::Crash(worker, back_ms));
        }
    }

    pub(super) fn set_apart(&mut self, data_centre: usize, ms: u64) {
        self.apart_until[data_centre] = self.now_ms + ms;
    }

    /// is_apart tells whether a data centre is cut off.
    pub(super) fn is_apart(&self, data_centre: usize) -> bool {
        self.now_ms < self.apart_until[data_centre]
    }

    /// has_store tells whether an owner reaches the store.
    pub(super) fn has_store(&self, owner: usize) -> bool {
        let data_centre = self.owners[owner].data_centre;
        let storeless = self.now_ms < self.storeless_until[data_centre];
        !storeless && !self.is_apart(data_centre) && self.now_ms >= self.store.away_until
    }

    /// reaches tells whether an owner reaches a worker.
    pub(super) fn reaches(&self, owner: usize, worker: usize) -> bool {
        let (from, to) = (self.owners[owner].data_centre, data_centre_of(worker));
        let apart = from != to && (self.is_apart(from) || self.is_apart(to));
        !apart && self.now_ms >= self.cut_until[worker]
    }

    /// hear notes what an answer tells an owner of a worker's life.
    pub(super) fn hear(&mut self, owner: usize, order: &Effect, answer: &Event) {
        let life = match order {
            Effect::Start(start) => &start.order.worker_id,
            Effect::Stop(stop) => &stop.order.worker_id,
            Effect::Renew(hold) => &hold.worker_id,
            _ => return,
        };
        let is_other = match answer {
            Event::Started { outcome, .. } => *outcome == Started::OtherLife,
            Event::Stopped { outcome, .. } => *outcome == Stopped::OtherLife,
            Event::Renewed { outcome, .. } => matches!(outcome, Renewed::OtherLife),
            _ => false,
        };
        if is_other {
            if self.acts_beside_later(owner) && self.is_heard_later(owner, life) {
                self.count("earlier owner sees the next life of a worker that a later one met");
            }
        } else if matches!(
            answer,
            Event::Renewed {
                outcome: Renewed::Report(_),
                ..
            }
        ) {
            let now_ms = self.now_ms;
            self.owners[owner].heard.insert(life.clone(), now_ms);
        }
    }

    /// count_outlived counts the leases that are over as an earlier owner counts
    /// them while it may act, and go on as a later one renewed them.
    pub(super) fn count_outlived(&mut self, owner: usize) {
        if !self.acts_beside_later(owner) {
            return;
        }
        for worker in 0..WORKERS {
            let life = self.workers[worker].info.id.clone();
            let heard = self.owners[owner].heard.get(&life);
            let over = heard.is_some_and(|at| self.now_ms > at + COUNTED_LEASE_MS);
            let works = !self.workers[worker].runs.is_empty();
            if over
                && works
                && self.is_heard_later(owner, &life)
                && self.outlived.insert((owner, life))
            {
                self.count("lease outlives the end that an earlier owner counts");
            }
        }
    }

    /// acts_beside_later tells whether an owner has a successor and may still
    /// act.
    fn acts_beside_later(&self, owner: usize) -> bool {
        let earlier = &self.owners[owner];
        let confirmed = self.now_ms < earlier.confirmed_ms + self.options.authority_ms;
        confirmed && !earlier.over && earlier.fence < self.store.fence
    }

    /// is_heard_later tells whether a later owner had a report from a worker.
    fn is_heard_later(&self, owner: usize, life: &str) -> bool {
        let later = self.owners[owner + 1..].iter();
        let mut heard = later.filter_map(|later| later.heard.get(life));
        heard.next().is_some()
    }
}
