// SPDX-License-Identifier: Apache-2.0
//! Progress of a plan: the stage of each host, and how many hosts are out of
//! service at once.

use stackpier_core::Millis;

use super::{Plan, Record};
use crate::arena::WorkerKey;

/// HOST_CYCLE_MS is the time from the first stop on a host until its new worker
/// works: one to two seconds to empty it, two down, and the start.
const HOST_CYCLE_MS: u64 = 4_000;
/// LEAD_MS is about how long it takes to empty a host. Emptying begins this long
/// before the host may be ordered down. As a host is down for two seconds, emptying
/// the next one begins this long after it went down: that one is then empty when
/// the first returns.
pub(super) const LEAD_MS: u64 = 1_000;
/// SURPLUS_FACTOR is the factor by which more hosts are out of service at once than the
/// time left requires, as some wait for others.
const SURPLUS_FACTOR: f64 = 1.3;

/// HostKey identifies a host of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostKey {
    /// The index of the plan.
    pub plan: usize,
    /// The index of the host in its plan.
    pub host: usize,
}

/// Stage is how far a host has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Waiting,
    /// Its runs are stopped and it gets no starts, since this time.
    Emptying(Millis),
    /// An order was sent. It is sent again at `retry_at`, unless an answer is
    /// still awaited.
    Ordered {
        in_flight: bool,
        retry_at: Millis,
    },
    /// It has gone down.
    Down {
        /// The incarnation of its worker that ended, if one was known.
        ended: Option<WorkerKey>,
        since: Millis,
    },
    /// It has been down and has returned, or did not return in time.
    Done,
    /// It is not known, or has had no worker for a long time.
    Gone,
}

/// Host is one host of a plan.
#[derive(Debug)]
pub(super) struct Host {
    pub name: String,
    pub stage: Stage,
    /// Since when it has had no known worker.
    pub absent_since: Option<Millis>,
    /// When a run on it was last stopped, or else when emptying began.
    pub last_stop_at: Millis,
    /// It is neither ordered down nor emptied again before this time.
    pub not_before: Millis,
}

impl Host {
    fn new(name: &str) -> Host {
        Host {
            name: name.to_owned(),
            stage: Stage::Waiting,
            absent_since: None,
            last_stop_at: Millis(0),
            not_before: Millis(0),
        }
    }

    /// is_down reports whether the host may be down now.
    fn is_down(&self) -> bool {
        matches!(self.stage, Stage::Ordered { .. } | Stage::Down { .. })
    }

    /// is_out_of_service reports whether the host's worker gets no starts.
    pub(super) fn is_out_of_service(&self) -> bool {
        self.is_down() || matches!(self.stage, Stage::Emptying(_))
    }

    /// is_over reports whether nothing is left to do for the host.
    fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::Gone)
    }

    /// blocks_next reports whether the next host waits for this one. It does not
    /// if this one will be back by the time that the next is empty.
    fn blocks_next(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Down { since, .. } => now.since(since) < LEAD_MS,
            _ => self.is_out_of_service(),
        }
    }
}

/// Rollout is a plan with the progress of its hosts.
#[derive(Debug)]
pub(crate) struct Rollout {
    pub(super) plan: Plan,
    due: Millis,
    pub(super) hosts: Vec<Host>,
    pub(super) completed: bool,
}

impl Rollout {
    pub(super) fn new(plan: Plan, now: Millis) -> Rollout {
        Rollout {
            due: now.plus(plan.within_ms),
            hosts: plan.hosts.iter().map(|name| Host::new(name)).collect(),
            plan,
            completed: false,
        }
    }

    /// resume applies the progress that predecessors recorded.
    pub(super) fn resume(&mut self, record: &Record) {
        self.completed = record.completed;
        let was_down = |host: &&mut Host| record.down.contains(&host.name);
        for host in self.hosts.iter_mut().filter(was_down) {
            host.stage = Stage::Done;
        }
    }

    /// record returns the progress of the plan for the store.
    pub(super) fn record(&self) -> Record {
        let was_down = |host: &&Host| matches!(host.stage, Stage::Down { .. } | Stage::Done);
        let down = self.hosts.iter().filter(was_down);
        Record {
            plan: self.plan.number,
            down: down.map(|host| host.name.clone()).collect(),
            completed: self.completed,
        }
    }

    /// is_over reports whether nothing is left to do for any host.
    pub(super) fn is_over(&self) -> bool {
        self.hosts.iter().all(Host::is_over)
    }

    /// count_hosts_to_begin returns how many more hosts must be emptied now.
    pub(super) fn count_hosts_to_begin(&self, now: Millis) -> usize {
        let blocking = self.hosts.iter().filter(|host| host.blocks_next(now));
        self.target_concurrency(now)
            .saturating_sub(blocking.count())
    }

    /// target_concurrency returns how many hosts should be out of service at once:
    /// as few as the time left allows.
    fn target_concurrency(&self, now: Millis) -> usize {
        let open = |host: &&Host| matches!(host.stage, Stage::Waiting | Stage::Emptying(_));
        let open = self.hosts.iter().filter(open).count();
        let left_ms = self.due.since(now).max(1);
        let cycles = (left_ms as f64 / HOST_CYCLE_MS as f64).floor().max(1.0);
        let wanted = (open as f64 * SURPLUS_FACTOR / cycles).ceil() as usize;
        wanted.min(self.plan.max_down as usize)
    }

    /// may_go_down reports whether the plan allows this host to be down together
    /// with the others that are.
    pub(super) fn may_go_down(&self, host: usize) -> bool {
        let others = self.hosts.iter().enumerate();
        let down = others.filter(|(other, entry)| *other != host && entry.is_down());
        down.count() < self.plan.max_down as usize
    }
}
