// SPDX-License-Identifier: Apache-2.0
//! Network cuts between data centres, alone and in series. They lead to two
//! simultaneous owners: each reaches some of the workers, and only one reaches
//! the store.

use stackpier_cell::{Effect, Event, Renewed, Started, Stopped};

use super::{DATA_CENTRES, Message, Simulation, WORKERS};

/// WORKERS_PER_DATA_CENTRE is the number of workers in each data centre.
const WORKERS_PER_DATA_CENTRE: usize = WORKERS / DATA_CENTRES;
/// ASSUMED_LEASE_MS is the longest time for which an owner assumes that a lease
/// of 6 s is valid: 2.1% more for slow clocks, and 200 ms for the worker to end
/// its runs.
const ASSUMED_LEASE_MS: u64 = 6_326;
/// FIRST_CUT_MS bounds the isolation of the first data centre. Most of these cuts
/// end before the leases there expire.
const FIRST_CUT_MS: (u64, u64) = (3_500, 6_500);
/// OVERLAP_MS bounds how long before the end of the first cut the second begins.
const OVERLAP_MS: (u64, u64) = (200, 3_000);
/// SECOND_CUT_MS bounds the isolation of the owner's data centre. The range
/// contains the time for which an owner may act without the store, so that cuts
/// may be shorter or longer.
const SECOND_CUT_MS: (u64, u64) = (1_500, 6_000);
/// STORE_ISOLATION_MS bounds how much longer the store stays unreachable for the
/// owner's data centre, in half of all series.
const STORE_ISOLATION_MS: (u64, u64) = (100, 3_000);
/// TAKE_OVER_MS bounds the time from the second cut to the takeover.
const TAKE_OVER_MS: (u64, u64) = (200, 1_500);
/// CRASH_MS bounds the time from the end of the first cut until workers there
/// crash.
const CRASH_MS: (u64, u64) = (50, 800);
/// CRASH_BACK_MS bounds the time until the next incarnation of such a worker.
const CRASH_BACK_MS: (u64, u64) = (200, 1_500);

/// data_centre_of returns the data centre of a worker.
pub(super) fn data_centre_of(worker: usize) -> usize {
    worker / WORKERS_PER_DATA_CENTRE
}

impl Simulation {
    /// begin_cut_series isolates a data centre other than the owner's and, before
    /// that cut ends, the owner's. An owner in the third takes over. In some
    /// series, workers of the first data centre crash after the end of its cut. In
    /// half, the predecessor can't reach the store for longer than its cut.
    pub(super) fn begin_cut_series(&mut self) {
        if self.now_ms < self.series_until {
            return;
        }
        self.count("series");
        let Some(owner) = self.owners.last() else {
            return;
        };
        let own = owner.data_centre;
        let step = self.draw_range(1, 2) as usize;
        let first = (own + step) % DATA_CENTRES;
        let third = (own + DATA_CENTRES - step) % DATA_CENTRES;
        let first_ms = self.draw_range(FIRST_CUT_MS.0, FIRST_CUT_MS.1);
        let second_at = first_ms - self.draw_range(OVERLAP_MS.0, OVERLAP_MS.1);
        let second_ms = self.draw_range(SECOND_CUT_MS.0, SECOND_CUT_MS.1);
        let take_over_at = second_at + self.draw_range(TAKE_OVER_MS.0, TAKE_OVER_MS.1);
        self.series_until = self.now_ms + second_at + second_ms;
        self.isolate(first, first_ms);
        self.send(second_at, Message::Isolate(own, second_ms));
        self.send(take_over_at, Message::TakeOver(third));
        if self.draw_range(0, 1) == 1 {
            let ms = second_ms + self.draw_range(STORE_ISOLATION_MS.0, STORE_ISOLATION_MS.1);
            self.send(second_at, Message::IsolateFromStore(own, ms));
        }
        // A worker that stays up would reveal the successor's fence to the
        // predecessor.
        let dead = self.draw_range(0, WORKERS_PER_DATA_CENTRE as u64) as usize;
        for worker in (first * WORKERS_PER_DATA_CENTRE..).take(dead) {
            let crash_at = first_ms + self.draw_range(CRASH_MS.0, CRASH_MS.1);
            let back_ms = self.draw_range(CRASH_BACK_MS.0, CRASH_BACK_MS.1);
            self.send(crash_at, Message::Crash(worker, back_ms));
        }
    }

    /// isolate cuts a data centre off from the others and the store.
    pub(super) fn isolate(&mut self, data_centre: usize, ms: u64) {
        self.isolated_until[data_centre] = self.now_ms + ms;
    }

    /// is_isolated reports whether a data centre is isolated.
    pub(super) fn is_isolated(&self, data_centre: usize) -> bool {
        self.now_ms < self.isolated_until[data_centre]
    }

    /// reaches_store reports whether an owner can reach the store.
    pub(super) fn reaches_store(&self, owner: usize) -> bool {
        let data_centre = self.owners[owner].data_centre;
        let store_unreachable = self.now_ms < self.store_unreachable_until[data_centre];
        !store_unreachable
            && !self.is_isolated(data_centre)
            && self.now_ms >= self.store.unavailable_until
    }

    /// reaches_worker reports whether an owner can reach a worker.
    pub(super) fn reaches_worker(&self, owner: usize, worker: usize) -> bool {
        let (from, to) = (self.owners[owner].data_centre, data_centre_of(worker));
        let isolated = from != to && (self.is_isolated(from) || self.is_isolated(to));
        !isolated && self.now_ms >= self.cut_until[worker]
    }

    /// record_contact records a report from an incarnation of a worker. It also
    /// counts how often a replaced owner that may still act learns from an answer
    /// that an incarnation from which a later owner had a report was replaced by
    /// the next one.
    pub(super) fn record_contact(&mut self, owner: usize, order: &Effect, answer: &Event) {
        let incarnation = match order {
            Effect::Start(start) => &start.order.worker_id,
            Effect::Stop(stop) => &stop.order.worker_id,
            Effect::Renew(renewal) => &renewal.worker_id,
            _ => return,
        };
        let is_other = match answer {
            Event::Started { outcome, .. } => *outcome == Started::OtherLife,
            Event::Stopped { outcome, .. } => *outcome == Stopped::OtherLife,
            Event::Renewed { outcome, .. } => matches!(outcome, Renewed::OtherLife),
            _ => false,
        };
        if is_other {
            if self.acts_beside_successor(owner) && self.has_later_contact(owner, incarnation) {
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
            self.owners[owner]
                .last_contact
                .insert(incarnation.clone(), now_ms);
        }
    }

    /// count_outlived_leases counts the leases that an earlier owner, which may
    /// still act, assumes to have expired although a later owner renewed them.
    pub(super) fn count_outlived_leases(&mut self, owner: usize) {
        if !self.acts_beside_successor(owner) {
            return;
        }
        for worker in 0..WORKERS {
            let incarnation = self.workers[worker].info.id.clone();
            let last_contact = self.owners[owner].last_contact.get(&incarnation);
            let is_expired = last_contact.is_some_and(|at| self.now_ms > at + ASSUMED_LEASE_MS);
            let has_runs = !self.workers[worker].runs.is_empty();
            if is_expired
                && has_runs
                && self.has_later_contact(owner, &incarnation)
                && self.outlived_leases.insert((owner, incarnation))
            {
                self.count("lease outlives the end that an earlier owner counts");
            }
        }
    }

    /// acts_beside_successor reports whether an owner has a successor and may
    /// still act.
    fn acts_beside_successor(&self, owner: usize) -> bool {
        let predecessor = &self.owners[owner];
        let confirmed = self.now_ms < predecessor.confirmed_ms + self.options.authority_ms;
        confirmed && !predecessor.ended && predecessor.fence < self.store.fence
    }

    /// has_later_contact reports whether a later owner received a report from an
    /// incarnation of a worker.
    fn has_later_contact(&self, owner: usize, incarnation: &str) -> bool {
        let successors = self.owners[owner + 1..].iter();
        let mut contacts =
            successors.filter_map(|successor| successor.last_contact.get(incarnation));
        contacts.next().is_some()
    }
}
