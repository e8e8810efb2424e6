// SPDX-License-Identifier: Apache-2.0
//! Maintenance: takes hosts of workers down for a while at the operators' request.
//!
//! A plan names hosts, the time within which each must have been down once, and how
//! many may be down at once. A host is emptied first: its worker gets no starts,
//! long-running tasks are stopped as far as their steps tolerate missing tasks, tasks
//! with checkpoints are stopped, and the others get some time to end. Then the host is
//! ordered down. It is done when a new incarnation of its worker has answered. The
//! store keeps which hosts went down, so that a successor continues from there.

mod empty;
mod order;
mod rollout;

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use stackpier_core::Millis;

use crate::{Cell, Options, arena::WorkerKey, worker::Presence};

use rollout::{Host, HostKey, LEAD_MS, Stage};

pub use order::{TakeDown, TakenDown};
pub(crate) use rollout::Rollout;

/// FIRST_FENCE is the fence of a cell's first owner.
const FIRST_FENCE: u64 = 1;
/// GIVE_UP_MS is how long a host may have no worker, or not return after it went
/// down, before the plan continues without it.
const GIVE_UP_MS: u64 = 15_000;

/// Plan is an operator's request to take hosts down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The number of the plan.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<String>,
    /// The time within which each host must have been down once, in milliseconds.
    pub within_ms: u64,
    /// The maximum number of hosts of the plan that may be down at once.
    pub max_down: u32,
}

/// Record is the progress of a plan as the store keeps it.
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
    /// take_downs_from returns the earliest time at which an owner orders hosts down.
    /// After a takeover it waits until its predecessor has stopped, so that the orders
    /// of two owners never alternate.
    pub(crate) fn take_downs_from(options: &Options, now: Millis, fence: u64) -> Millis {
        let gap_ms = if fence > FIRST_FENCE {
            options.take_down_gap_ms
        } else {
            0
        };
        now.plus(gap_ms)
    }

    /// add_plan adds a plan of operators, unless it is known. It resumes a plan that
    /// predecessors began.
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
            plan.max_down
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

    /// resume_maintenance sets the progress that predecessors recorded.
    pub fn resume_maintenance(&mut self, records: Vec<Record>) {
        self.inherited_maintenance = records;
    }

    /// maintenance_records returns the records of all plans for the store, also
    /// inherited ones whose plan has not been read yet.
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

    /// check_maintenance advances all plans that are not completed.
    pub(crate) fn check_maintenance(&mut self) {
        for plan in 0..self.maintenance.len() {
            if self.maintenance[plan].completed {
                continue;
            }
            self.begin_emptying(plan);
            for host in 0..self.maintenance[plan].hosts.len() {
                self.advance_host(HostKey { plan, host });
            }
            self.check_completed(plan);
        }
        if !self.maintenance.is_empty() {
            self.cordon_workers();
        }
    }

    /// cordon_workers keeps starts off the workers of hosts that are out of service.
    fn cordon_workers(&mut self) {
        let open = self.maintenance.iter().filter(|rollout| !rollout.completed);
        let hosts =
            open.flat_map(|rollout| rollout.hosts.iter().filter(|host| host.is_out_of_service()));
        let hosts: HashSet<String> = hosts.map(|host| host.name.clone()).collect();
        for worker in &mut self.workers {
            worker.cordoned = hosts.contains(&worker.info.host);
        }
    }

    /// begin_emptying starts to empty as many further hosts as the plan needs now.
    fn begin_emptying(&mut self, plan: usize) {
        let now = self.now.mono;
        // A host that is empty before it may be ordered down would only stand idle.
        if now.plus(LEAD_MS) < self.take_downs_from {
            return;
        }
        let count = self.maintenance[plan].count_hosts_to_begin(now);
        for key in self.next_hosts(plan).into_iter().take(count) {
            let host = self.host_mut(key);
            host.stage = Stage::Emptying(now);
            host.last_stop_at = now;
            let text = format!("host {} is being emptied", host.name);
            self.log("maintenance", None, text);
        }
    }

    /// next_hosts returns the waiting hosts of a plan that have a worker, those with
    /// the fewest processors allocated to long-running tasks first.
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

    /// advance_host moves a host to its next stage if that is due.
    fn advance_host(&mut self, key: HostKey) {
        let now = self.now.mono;
        let host = self.host(key);
        let worker = self.worker_of(&host.name);
        match host.stage.clone() {
            Stage::Waiting => self.check_absent(key, worker),
            Stage::Emptying(since) => match worker {
                Some(worker) => self.empty_host(key, worker, since),
                None => self.host_mut(key).stage = Stage::Waiting,
            },
            Stage::Ordered {
                in_flight,
                retry_at,
            } => {
                if !in_flight && now >= retry_at {
                    self.take_down(key);
                }
            }
            Stage::Down { ended, since } => {
                let back = worker.is_some_and(|worker| self.is_new_incarnation(worker, ended));
                if back || now.since(since) >= GIVE_UP_MS {
                    self.host_mut(key).stage = Stage::Done;
                }
            }
            Stage::Done | Stage::Gone => {}
        }
    }

    /// is_new_incarnation reports whether a worker has been contacted and is not the
    /// incarnation that ended.
    fn is_new_incarnation(&self, key: WorkerKey, ended: Option<WorkerKey>) -> bool {
        self.worker(key).presence == Presence::Contacted && Some(key) != ended
    }

    /// check_absent gives up a host that has had no worker for [`GIVE_UP_MS`].
    fn check_absent(&mut self, key: HostKey, worker: Option<WorkerKey>) {
        let now = self.now.mono;
        let host = self.host_mut(key);
        if worker.is_some() {
            host.absent_since = None;
            return;
        }
        let since = *host.absent_since.get_or_insert(now);
        if now.since(since) >= GIVE_UP_MS {
            host.stage = Stage::Gone;
            let text = format!("host {} has had no worker for {GIVE_UP_MS} ms", host.name);
            self.log("maintenance", None, text);
        }
    }

    /// check_completed marks a plan as completed when no host has anything left to do.
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

    /// worker_of returns the live and listed worker of a host.
    fn worker_of(&self, host: &str) -> Option<WorkerKey> {
        let is_on_host = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.info.host == host && worker.unlisted_since.is_none()
        };
        self.live_workers().find(is_on_host)
    }
}
