// SPDX-License-Identifier: Apache-2.0
//! Faults of daemons and workers: frozen, restarted, leaving and gone.

use stackpier_protocol::platform::Standing;
use stackpier_standin::worker::Worker;

use super::{DAEMONS, RACKS, World};
use crate::counts::hit;

impl World {
    pub(super) fn freeze(&mut self, number: usize) {
        if !self.daemons[number].frozen {
            hit("fault: daemon frozen");
        }
        self.daemons[number].frozen = true;
    }

    pub(super) fn thaw(&mut self, number: usize) {
        self.daemons[number].frozen = false;
        if self.daemons[number].dead {
            return;
        }
        while let Some((target, event)) = self.daemons[number].inbox.pop_front() {
            self.machine(number, target, event);
        }
    }

    pub(super) fn restart(&mut self, number: usize) {
        if self.daemons[number].dead {
            return;
        }
        hit("fault: daemon restarted");
        self.daemons[number] = self.fresh(number);
    }

    pub(super) fn end_daemon(&mut self, number: usize) {
        let living = self.daemons.iter().filter(|daemon| !daemon.dead).count();
        if living <= 1 || self.daemons[number].dead {
            return;
        }
        hit("fault: daemon's VM gone");
        self.daemons[number].dead = true;
        self.roster.vms[number].standing = Standing::Gone;
    }

    pub(super) fn reboot(&mut self, number: usize) {
        if self.workers[number].gone {
            return;
        }
        hit("fault: worker restarted");
        self.replace(number);
    }

    pub(super) fn list_worker(&mut self, number: usize, standing: Standing) {
        let row = &mut self.roster.vms[DAEMONS + number];
        if row.standing != Standing::Gone {
            row.standing = standing;
        }
    }

    /// end_worker keeps one worker of each rack, so that work can go on.
    pub(super) fn end_worker(&mut self, number: usize) {
        if number < RACKS || self.workers[number].gone {
            return;
        }
        hit("fault: worker gone");
        self.workers[number].gone = true;
        self.replace(number);
        self.list_worker(number, Standing::Gone);
    }

    /// replace starts a worker anew and keeps the log of what it ran.
    fn replace(&mut self, number: usize) {
        let boot = self.boot();
        let machine = &mut self.workers[number];
        let fresh = Worker::new(machine.name, boot);
        let old = std::mem::replace(&mut machine.model, fresh);
        machine.past.extend(old.log());
    }
}
