// SPDX-License-Identifier: Apache-2.0
//! How owners learn that workers drain, if watches may be late: each reads the list of workers again
//! and again, and the answers take as long as those about the jobs. Checks that no tasks start on
//! workers that have been draining for too long.

use stackpier_cell::{Event, Start};
use stackpier_core::Millis;

use super::{CALL_TIMEOUT_MS, Message, Simulation, WORKERS};

/// PAUSE_MS is the pause between two reads of the list of workers.
const PAUSE_MS: u64 = 250;

impl Simulation {
    /// follows_drains reports whether owners learn late that workers drain.
    pub(super) fn follows_drains(&self) -> bool {
        self.follows_store() && self.faults.drains > 0
    }

    /// read_workers has an owner read which workers drain.
    pub(super) fn read_workers(&mut self, index: usize) {
        if self.postpone(index, Message::ReadWorkers(index)) {
            return;
        }
        if !self.reaches_store(index) {
            self.send(PAUSE_MS, Message::ReadWorkers(index));
            return;
        }
        let drains = |number: &usize| !self.down[*number] && self.workers[*number].info.draining;
        let numbers = (0..WORKERS).filter(drains);
        let draining = numbers.map(|number| self.workers[number].info.id.clone());
        let draining = draining.collect();
        let answer_ms = self.draw_answer_ms("late list of workers");
        let sent = self.now().mono;
        self.send(answer_ms, Message::Draining(index, sent, draining));
    }

    /// show_draining tells an owner which workers drain, according to the list that it requested at
    /// `sent`.
    pub(super) fn show_draining(&mut self, index: usize, sent: Millis, draining: Vec<String>) {
        if self.postpone(index, Message::Draining(index, sent, draining.clone())) {
            return;
        }
        for number in 0..WORKERS {
            let info = self.workers[number].info.clone();
            let is_new = draining.contains(&info.id) && !self.down[number];
            if is_new && self.owners[index].view.draining.insert(info.id.clone()) {
                self.deliver(index, Event::Listed(info));
            }
        }
        self.deliver(index, Event::WorkersKnown(sent));
        self.send(PAUSE_MS, Message::ReadWorkers(index));
    }

    /// check_draining has the oracle check a run that has just started, by an order that was sent at
    /// `sent`, on a worker that drains. What the limit applies to is as for cancelled jobs.
    pub(super) fn check_draining(&mut self, target: usize, start: &Start, sent: Millis) {
        let info = &self.workers[target].info;
        if !self.follows_drains() || !info.draining {
            return;
        }
        let since_ms = self.drains_since[target];
        self.count("start on a draining worker");
        let late = self.now().mono.since(sent) > CALL_TIMEOUT_MS;
        let owner = self.owner_with(start.order.fence);
        let in_touch = owner.is_some_and(|owner| self.is_in_touch(owner));
        if !late && in_touch {
            let age_ms = self.now_ms - since_ms;
            self.oracle
                .check_draining(self.now_ms, start.order.task, age_ms);
        }
    }
}
