// SPDX-License-Identifier: Apache-2.0
//! What goes wrong, how often, and how it begins.

use rand::RngExt;
use stackpier_cell::{Event, Info, Start};

use super::{DATA_CENTRES, Message, WORKERS, World};

/// BEAT_MS is the time between two writes of a worker's entry.
const BEAT_MS: u64 = 1_500;
/// DRAIN_MS bounds the time from a worker's word that it leaves to its end.
const DRAIN_MS: (u64, u64) = (2_500, 8_000);
/// LEFT_MS is the time until another worker comes in the place of one that has left.
const LEFT_MS: u64 = 1_000;
/// RESTART_MS bounds the time until a worker is back under the id that it had.
const RESTART_MS: (u64, u64) = (30, 6_000);
/// SHOWN_MS bounds the time until the entry of a worker that started again shows.
const SHOWN_MS: (u64, u64) = (0, 1_500);
/// LAPSE_MS is how long after its last write an entry is gone.
const LAPSE_MS: u64 = 3 * BEAT_MS;

/// Faults are the rates of what goes wrong, in thousandths of the chances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Calls that never arrive.
    pub lost: u32,
    /// Calls whose answer is lost.
    pub unanswered: u32,
    /// Orders that are carried out seconds later, without an answer.
    pub late: u32,
    /// Chances a second that a worker is cut off for a while.
    pub cuts: u32,
    /// Chances a second that a worker dies and comes back with a new life.
    pub crashes: u32,
    /// Chances a second that another owner takes over.
    pub takeovers: u32,
    /// Chances a second that an owner stands still for a while.
    pub freezes: u32,
    /// Chances a second that a worker hangs or fails everything for a while.
    pub grey: u32,
    /// Chances a second that the store is away for a while.
    pub outages: u32,
    /// Chances a second that a series of cuts begins, in which the owner's data
    /// centre is cut off after another one and before that is back.
    pub series: u32,
    /// Jobs in a thousand that are cancelled.
    pub cancels: u32,
    /// Tasks in a thousand whose every run fails.
    pub poison: u32,
    /// Tasks in a thousand that crash each worker that starts them.
    pub crashing: u32,
    /// Steps in a thousand whose tasks may run as copies.
    pub copies: u32,
    /// Chances a second that a worker says that it leaves, and ends some seconds later.
    pub drains: u32,
    /// Saves in a thousand that go in several transactions, each of which may fail by itself.
    pub splits: u32,
    /// Jobs in a thousand of which an owner that was replaced learns by its watch.
    pub stale_watches: u32,
    /// Lives of workers in a thousand that list their ends in a drawn order.
    pub unordered: u32,
    /// Lives of workers in a thousand that list few ends at a time.
    pub short_lists: u32,
    /// Lives of workers in a thousand that list each end one report late.
    pub late_ends: u32,
    /// Crashes in a thousand after which a worker starts again under the id that it had. If
    /// there are such, workers tell when they were started.
    pub restarts: u32,
    /// Messages in a thousand that arrive, of those by which an owner that was replaced tells its
    /// successor what it could not save.
    pub handovers: u32,
}

impl Faults {
    /// all returns faults of every kind at a rate. Workers list their ends by number: draws for
    /// that would move all later ones of the second stream.
    pub fn all(rate: u32) -> Faults {
        Faults {
            lost: rate,
            unanswered: rate,
            late: rate / 2,
            cuts: rate * 2,
            crashes: rate,
            takeovers: rate * 2,
            freezes: rate * 2,
            grey: rate,
            outages: rate * 2,
            series: rate * 2,
            cancels: 50,
            poison: 5,
            crashing: 3,
            copies: 200,
            drains: rate,
            splits: 300,
            stale_watches: 300,
            unordered: 0,
            short_lists: 0,
            late_ends: 0,
            restarts: 0,
            handovers: 0,
        }
    }
}

impl World {
    /// second lets faults begin.
    pub(super) fn second(&mut self) {
        for place in 0..WORKERS {
            self.trouble(place);
        }
        if self.chance(self.faults.takeovers) {
            let data_centre = self.between(0, DATA_CENTRES as u64 - 1) as usize;
            if !self.is_apart(data_centre) {
                self.take_over(data_centre);
            }
        }
        if self.chance(self.faults.series) {
            self.begin_series();
        }
        if self.chance(self.faults.freezes) {
            self.count("freeze");
            let until = self.now_ms + self.between(500, 9_000);
            if let Some(owner) = self.owners.last_mut() {
                owner.frozen_until = until;
            }
        }
        if self.chance(self.faults.outages) {
            self.count("outage");
            self.store.away_until = self.now_ms + self.between(500, 8_000);
        }
        self.send(1_000, Message::Second);
    }

    /// trouble lets faults of one worker begin.
    fn trouble(&mut self, place: usize) {
        if self.chance(self.faults.cuts) {
            self.count("cut");
            self.cut_until[place] = self.now_ms + self.between(200, 9_000);
        }
        if self.chance(self.faults.crashes) {
            let back_ms = self.between(500, 6_000);
            self.workers[place].advance(self.now_ms);
            if !self.down[place] {
                self.oracle.crashed_under(&self.workers[place]);
            }
            self.crash(place, back_ms);
        }
        self.drain(place);
        let grey = self.chance(self.faults.grey);
        let hangs = self.random.random_bool(0.5);
        let worker = &mut self.workers[place];
        worker.advance(self.now_ms);
        worker.hangs = grey && hangs;
        worker.fails_all = grey && !hangs;
    }

    /// drain has a worker say now and then that it leaves.
    fn drain(&mut self, place: usize) {
        let drains = self.extra_chance(self.faults.drains);
        if !drains || self.down[place] || self.workers[place].info.draining {
            return;
        }
        self.count("drain");
        let leaves_ms = self.extra_between(DRAIN_MS.0, DRAIN_MS.1);
        let info = &mut self.workers[place].info;
        info.draining = true;
        info.remaining_ms = Some(leaves_ms);
        let info = info.clone();
        self.send(leaves_ms, Message::Leave(place, info.id.clone()));
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Listed(info));
    }

    /// leave ends the process of a worker that has drained, if it still is that life.
    pub(super) fn leave(&mut self, place: usize, life: &str) {
        if self.workers[place].info.id == life {
            self.crash(place, LEFT_MS);
        }
    }

    /// crash ends a worker's process with everything on it, unless it is down.
    pub(super) fn crash(&mut self, place: usize, back_ms: u64) {
        if self.down[place] {
            return;
        }
        self.count("crash");
        self.down[place] = true;
        self.workers[place].advance(self.now_ms);
        self.oracle.lose(&self.workers[place]);
        self.workers[place].runs.clear();
        self.workers[place].ends.clear();
        if self.extra_chance(self.faults.restarts) {
            let back_ms = self.extra_between(RESTART_MS.0, RESTART_MS.1);
            self.send(back_ms, Message::Restart(place));
        } else {
            self.send(back_ms, Message::Revive(place));
        }
        let id = self.workers[place].info.id.clone();
        let lapses_ms = self.between(LAPSE_MS - BEAT_MS, LAPSE_MS);
        self.send(lapses_ms, Message::Unlist(id));
    }

    /// unlist takes a worker's entry away, unless a later life keeps it.
    pub(super) fn unlist(&mut self, id: String) {
        let is_kept = |place: usize| !self.down[place] && self.workers[place].info.id == id;
        if (0..WORKERS).any(is_kept) {
            return;
        }
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Unlisted(id));
    }

    /// bring_down has a worker crash soon after it took the start of a task that does
    /// that.
    pub(super) fn bring_down(&mut self, place: usize, start: &Start) {
        self.count("crash by a task");
        let newest = start.order.fence == self.store.fence;
        self.oracle
            .brought_down(self.now_ms, start.order.task, newest);
        let after_ms = self.between(1, 20);
        let back_ms = self.between(2_000, 5_000);
        self.send(after_ms, Message::Crash(place, back_ms));
    }

    /// restart begins the next life of a worker under the id that it had. Its entry shows
    /// some time later.
    pub(super) fn restart(&mut self, place: usize) {
        self.count("restart");
        let id = self.workers[place].info.id.clone();
        self.workers[place] = self.new_worker(place, id);
        self.down[place] = false;
        let shown_ms = self.extra_between(SHOWN_MS.0, SHOWN_MS.1);
        let info = self.workers[place].info.clone();
        self.send(shown_ms, Message::Show(Box::new(info)));
    }

    /// show has the newest owner learn of a worker's entry.
    pub(super) fn show(&mut self, info: Info) {
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Listed(info));
    }

    /// revive replaces a worker by its next life, which has another id.
    pub(super) fn revive(&mut self, place: usize) {
        let id = self.next_id(place);
        self.workers[place] = self.new_worker(place, id);
        self.down[place] = false;
        let info = self.workers[place].info.clone();
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Listed(info));
    }
}
