// SPDX-License-Identifier: Apache-2.0
//! Maintenance: hosts of workers that operators want taken down for a while.
//!
//! A plan names hosts, by when each is to have been down, and how many may be
//! down at once. A host is emptied first: its worker gets no starts, lasting
//! tasks move as far as their steps can miss them, filling tasks are stopped
//! with their checkpoints, and short ones end. Then it is ordered down. It is
//! done when a new worker of it shows. What was ordered is kept in the store, so
//! that a later owner goes on.

mod empty;
mod order;
mod rollout;

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{Cell, Options, arena::WorkerKey, worker::Presence};

use rollout::{Host, HostKey, NEXT_MS, Stage};

pub use order::{TakeDown, TakenDown};
pub(crate) use rollout::Rollout;

/// FIRST_FENCE is the fence of a cell's first owner.
const FIRST_FENCE: u64 = 1;
/// GIVE_UP_MS is how long a host may have no worker before the plan goes on
/// without it.
const GIVE_UP_MS: u64 = 15_000;

/// Plan is what operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Its number.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<String>,
    /// The time in which each is to be down once, in milliseconds.
    pub within_ms: u64,
    /// The most hosts of the plan that may be down at once.
    pub most_down: u32,
}

/// Record is what the store keeps of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The plan's number.
    pub plan: u64,
    /// The hosts that went down.
    pub down: Vec<String>,
    /// Whether nothing is left to do: each host has been down or was given up.
    pub completed: bool,
}

impl Cell {
    /// take_downs_from returns from when an owner orders hosts down: two owners
    /// don't take turns.
    pub(crate) fn take_downs_from(options: &Options, now: Millis, fence: u64) -> Millis {
        let gap_ms = if fence > FIRST_FENCE {
            options.take_down_gap_ms
        } else {
            0
        };
        now.plus(gap_ms)
    }

    /// add_plan takes in a plan of operators.
    pub(crate) fn add_plan(&mut self, plan: Plan) {
        let known = |rollout: &Rollout| rollout.plan.number == plan.number;
        if self.maintenance.iter().any(known) {
            return;
        }
        let text = format!(
            "plan {}: {} hosts within {} ms, at most {} at once",
            plan.number,
            plan.hosts.len(),
            plan.within_ms,
            plan.most_down
        );
        self.log("maintenance", None, text);
        let mut rollout = Rollout::new(plan, self.now.mono);
        let earlier = |record: &&Record| record.plan == rollout.plan.number;
        if let Some(record) = self.inherited_maintenance.iter().find(earlier) {
            rollout.resume(record);
        }
        self.maintenance.push(rollout);
        self.saver.maintenance_changed = true;
    }

    /// resume_maintenance takes over how far an earlier owner came.
    pub fn resume_maintenance(&mut self, records: Vec<Record>) {
        self.inherited_maintenance = records;
    }

    /// maintenance_records returns what the store is to keep of all plans.
    pub(crate) fn maintenance_records(&self) -> Vec<Record> {
        let rollouts = self.maintenance.iter().map(Rollout::record);
        let read = |number: u64| {
            self.maintenance
                .iter()
                .any(|rollout| rollout.plan.number == number)
        };
        let unread = self
            .inherited_maintenance
            .iter()
            .filter(|record| !read(record.plan));
        rollouts.chain(unread.cloned()).collect()
    }

    /// check_maintenance moves all plans on.
    pub(crate) fn check_maintenance(&mut self) {
        for plan in 0..self.maintenance.len() {
            if self.maintenance[plan].completed {
                continue;
            }
            self.take_hosts(plan);
            for host in 0..self.maintenance[plan].hosts.len() {
                self.move_on(HostKey { plan, host });
            }
            self.check_completed(plan);
        }
        if !self.maintenance.is_empty() {
            self.close_workers();
        }
    }

    /// close_workers keeps starts off hosts that are taken.
    fn close_workers(&mut self) {
        let open = self.maintenance.iter().filter(|rollout| !rollout.completed);
        let taken = open.flat_map(|rollout| rollout.hosts.iter().filter(|host| host.is_taken()));
        let taken: HashSet<String> = taken.map(|host| host.name.clone()).collect();
        for worker in &mut self.workers {
            worker.cordoned = taken.contains(&worker.info.host);
        }
    }

    /// take_hosts begins to empty further hosts, as many as there is room for.
    fn take_hosts(&mut self, plan: usize) {
        let now = self.now.mono;
        // A host that is empty before it can be ordered down does nothing.
        if now.plus(NEXT_MS) < self.take_downs_from {
            return;
        }
        let room = self.maintenance[plan].room(now);
        for key in self.next_hosts(plan).into_iter().take(room) {
            let host = self.host_mut(key);
            host.stage = Stage::Emptying(now);
            host.progress = now;
            let text = format!("host {} is being emptied", host.name);
            self.log("maintenance", None, text);
        }
    }

    /// next_hosts returns the hosts of a plan that wait and have a worker,
    /// those with the least to move first.
    fn next_hosts(&self, plan: usize) -> Vec<HostKey> {
        let hosts = self.maintenance[plan].hosts.iter().enumerate();
        let now = self.now.mono;
        let waits = |host: &Host| host.stage == Stage::Waiting && host.not_before <= now;
        let waiting = hosts.filter(|(_, host)| waits(host));
        let weight = |(number, host): (usize, &Host)| {
            let worker = self.worker_of(&host.name)?;
            Some((self.worker(worker).long_running_milli, number))
        };
        let mut next: Vec<(u32, usize)> = waiting.filter_map(weight).collect();
        next.sort_unstable();
        next.into_iter()
            .map(|(_, host)| HostKey { plan, host })
            .collect()
    }

    /// move_on does what is due for a host.
    fn move_on(&mut self, key: HostKey) {
        let now = self.now.mono;
        let host = self.host(key);
        let worker = self.worker_of(&host.name);
        match host.stage.clone() {
            Stage::Waiting => self.check_absent(key, worker),
            Stage::Emptying(since) => match worker {
                Some(worker) => self.empty(key, worker, since),
                None => self.host_mut(key).stage = Stage::Waiting,
            },
            Stage::Ordered { in_flight, again } => {
                if !in_flight && now >= again {
                    self.take_down(key);
                }
            }
            Stage::Down { life, since } => {
                let back = worker.is_some_and(|worker| self.is_new(worker, life));
                if back || now.since(since) >= GIVE_UP_MS {
                    self.host_mut(key).stage = Stage::Done;
                }
            }
            Stage::Done | Stage::Gone => {}
        }
    }

    /// is_new tells whether a worker was met and is not the life that ended.
    fn is_new(&self, key: WorkerKey, ended: Option<WorkerKey>) -> bool {
        self.worker(key).presence == Presence::Contacted && Some(key) != ended
    }

    /// check_absent goes on without a host that has had no worker for long.
    fn check_absent(&mut self, key: HostKey, worker: Option<WorkerKey>) {
        let now = self.now.mono;
        let host = self.host_mut(key);
        if worker.is_some() {
            host.absent = None;
            return;
        }
        let since = *host.absent.get_or_insert(now);
        if now.since(since) >= GIVE_UP_MS {
            host.stage = Stage::Gone;
            let text = format!("host {} has had no worker for {GIVE_UP_MS} ms", host.name);
            self.log("maintenance", None, text);
        }
    }

    fn check_completed(&mut self, plan: usize) {
        let rollout = &mut self.maintenance[plan];
        if !rollout.is_over() {
            return;
        }
        rollout.completed = true;
        let text = format!("plan {} is completed", rollout.plan.number);
        self.saver.maintenance_changed = true;
        self.log("maintenance", None, text);
    }

    fn host(&self, key: HostKey) -> &Host {
        &self.maintenance[key.plan].hosts[key.host]
    }

    fn host_mut(&mut self, key: HostKey) -> &mut Host {
        &mut self.maintenance[key.plan].hosts[key.host]
    }

    /// worker_of returns the worker of a host that is not known to be over.
    fn worker_of(&self, host: &str) -> Option<WorkerKey> {
        let is_its = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.info.host == host && worker.unlisted_since.is_none()
        };
        self.live_workers().find(is_its)
    }
}
