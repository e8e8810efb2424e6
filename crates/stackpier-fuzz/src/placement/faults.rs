// SPDX-License-Identifier: Apache-2.0
//! Faults of daemons and workers: freezes, restarts, and VMs that leave or are
//! gone.

use stackpier_protocol::platform::Standing;
use stackpier_standin::worker::Worker;

use super::{DAEMONS, RACKS, Simulation};
use crate::counts::hit;

impl Simulation {
    pub(super) fn freeze_daemon(&mut self, number: usize) {
        if !self.daemons[number].frozen {
            hit("fault: daemon frozen");
        }
        self.daemons[number].frozen = true;
    }

    /// thaw_daemon lets a frozen daemon continue, and gives it the answers that
    /// came meanwhile.
    pub(super) fn thaw_daemon(&mut self, number: usize) {
        self.daemons[number].frozen = false;
        if self.daemons[number].dead {
            return;
        }
        while let Some((target, event)) = self.daemons[number].inbox.pop_front() {
            self.step_machine(number, target, event);
        }
    }

    pub(super) fn restart_daemon(&mut self, number: usize) {
        if self.daemons[number].dead {
            return;
        }
        hit("fault: daemon restarted");
        self.daemons[number] = self.new_daemon(number);
    }

    /// end_daemon ends a daemon for good, unless it is the last one.
    pub(super) fn end_daemon(&mut self, number: usize) {
        let living = self.daemons.iter().filter(|daemon| !daemon.dead).count();
        if living <= 1 || self.daemons[number].dead {
            return;
        }
        hit("fault: daemon's VM gone");
        self.daemons[number].dead = true;
        self.roster.vms[number].standing = Standing::Gone;
    }

    /// reconnect_store connects all daemons to the store but one, if another
    /// one runs.
    pub(super) fn reconnect_store(&mut self) {
        let running = |number: &usize| !self.daemons[*number].dead;
        let cut = (0..DAEMONS)
            .filter(running)
            .find(|number| self.store_cut[*number]);
        let kept = cut.filter(|_| (0..DAEMONS).filter(running).count() > 1);
        self.store_cut = [false; DAEMONS];
        if let Some(number) = kept {
            hit("rest: a daemon does not reach the store");
            self.store_cut[number] = true;
        }
    }

    pub(super) fn restart_worker(&mut self, number: usize) {
        if self.workers[number].gone {
            return;
        }
        hit("fault: worker restarted");
        self.replace_worker(number);
    }

    /// list_worker changes the standing of a worker in the roster. A worker that
    /// is gone stays gone.
    pub(super) fn list_worker(&mut self, number: usize, standing: Standing) {
        let row = &mut self.roster.vms[DAEMONS + number];
        if row.standing != Standing::Gone {
            row.standing = standing;
        }
    }

    /// end_worker ends a worker for good. The first worker of each rack is kept,
    /// so that tasks can still be placed.
    pub(super) fn end_worker(&mut self, number: usize) {
        if number < RACKS || self.workers[number].gone {
            return;
        }
        hit("fault: worker gone");
        self.workers[number].gone = true;
        self.replace_worker(number);
        self.list_worker(number, Standing::Gone);
    }

    /// replace_worker restarts a worker and keeps the log of what it ran.
    fn replace_worker(&mut self, number: usize) {
        let boot = self.next_boot();
        let host = &mut self.workers[number];
        let restarted = Worker::new(host.name, boot);
        let old = std::mem::replace(&mut host.model, restarted);
        host.past.extend(old.log());
    }
}
