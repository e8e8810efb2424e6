// SPDX-License-Identifier: Apache-2.0
//! What goes wrong, how often, and how it begins.

use rand::RngExt;
use stackpier_cell::Event;

use super::{DATA_CENTRES, Message, WORKERS, World};

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
}

impl Faults {
    /// all returns faults of every kind at a rate.
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
        self.check_shown();
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
            self.crash(place, back_ms);
        }
        let grey = self.chance(self.faults.grey);
        let hangs = self.random.random_bool(0.5);
        let worker = &mut self.workers[place];
        worker.advance(self.now_ms);
        worker.hangs = grey && hangs;
        worker.grey = grey && !hangs;
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
        self.send(back_ms, Message::Revive(place));
        let id = self.workers[place].info.id.clone();
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Unlisted(id));
    }

    /// revive replaces a worker by its next life.
    pub(super) fn revive(&mut self, place: usize) {
        self.workers[place] = self.new_worker(place);
        self.down[place] = false;
        let info = self.workers[place].info.clone();
        let owner = self.owners.len() - 1;
        self.feed(owner, Event::Listed(info));
    }
}
