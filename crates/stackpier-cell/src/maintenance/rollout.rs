// SPDX-License-Identifier: Apache-2.0
//! A plan at work: how far each of its hosts is, and how many are taken at
//! once.

use stackpier_core::Millis;

use super::{Plan, Record};
use crate::arena::WorkerKey;

/// TURN_MS is how long a host takes from the first stop until its new worker
/// works: one to two seconds of emptying, two down, and the start.
const TURN_MS: u64 = 4_000;
/// NEXT_MS is how long after a host went down the next one is emptied: that takes
/// about a second, and the host is down for two.
pub(super) const NEXT_MS: u64 = 1_000;
/// HASTE is by how much more hosts are taken at once than the time left asks
/// for, as some wait for others.
const HASTE: f64 = 1.3;

/// HostKey names a host of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostKey {
    /// The place of the plan among all.
    pub plan: usize,
    /// The place of the host in its plan.
    pub host: usize,
}

/// Stage is how far a host is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Waiting,
    /// It gets no starts, since this time.
    Emptying(Millis),
    /// An order was sent; it is sent again at this time, unless it is being
    /// answered.
    Ordered {
        in_flight: bool,
        again: Millis,
    },
    /// It went down.
    Down {
        /// The life that ended with it, if one was known.
        life: Option<WorkerKey>,
        since: Millis,
    },
    Done,
    /// It is not known, or has had no worker for long.
    Gone,
}

/// Host is one host of a plan.
#[derive(Debug)]
pub(super) struct Host {
    pub name: String,
    pub stage: Stage,
    /// Since when no worker of it has been known.
    pub absent: Option<Millis>,
    /// When the last of its runs was stopped, or emptying it began.
    pub progress: Millis,
    /// No order, and no new try at emptying it, before this time.
    pub not_before: Millis,
}

impl Host {
    fn new(name: &str) -> Host {
        Host {
            name: name.to_owned(),
            stage: Stage::Waiting,
            absent: None,
            progress: Millis(0),
            not_before: Millis(0),
        }
    }

    /// is_down tells whether it may be down now.
    fn is_down(&self) -> bool {
        matches!(self.stage, Stage::Ordered { .. } | Stage::Down { .. })
    }

    /// is_taken tells whether its worker gets no starts.
    pub(super) fn is_taken(&self) -> bool {
        self.is_down() || matches!(self.stage, Stage::Emptying(_))
    }

    /// is_over tells whether nothing is left to do with it.
    fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::Gone)
    }

    /// blocks_next tells whether the next host waits for this one: not when it
    /// will be back by the time that one is empty.
    fn blocks_next(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Down { since, .. } => now.since(since) < NEXT_MS,
            _ => self.is_taken(),
        }
    }
}

/// Rollout is a plan with how far it is.
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

    /// resume takes over how far an earlier owner came.
    pub(super) fn resume(&mut self, record: &Record) {
        self.completed = record.completed;
        let was_down = |host: &&mut Host| record.down.contains(&host.name);
        for host in self.hosts.iter_mut().filter(was_down) {
            host.stage = Stage::Done;
        }
    }

    /// record returns what the store is to keep of the plan.
    pub(super) fn record(&self) -> Record {
        let was_down = |host: &&Host| matches!(host.stage, Stage::Down { .. } | Stage::Done);
        let down = self.hosts.iter().filter(was_down);
        Record {
            plan: self.plan.number,
            down: down.map(|host| host.name.clone()).collect(),
            completed: self.completed,
        }
    }

    /// is_over tells whether nothing is left to do with any host.
    pub(super) fn is_over(&self) -> bool {
        self.hosts.iter().all(Host::is_over)
    }

    /// room returns how many more hosts are to be taken now.
    pub(super) fn room(&self, now: Millis) -> usize {
        let blocking = self.hosts.iter().filter(|host| host.blocks_next(now));
        self.wanted(now).saturating_sub(blocking.count())
    }

    /// wanted returns how many hosts should be taken at once: as few as the
    /// time left allows.
    fn wanted(&self, now: Millis) -> usize {
        let open = |host: &&Host| matches!(host.stage, Stage::Waiting | Stage::Emptying(_));
        let open = self.hosts.iter().filter(open).count();
        let left_ms = self.due.since(now).max(1);
        let turns = (left_ms as f64 / TURN_MS as f64).floor().max(1.0);
        let wanted = (open as f64 * HASTE / turns).ceil() as usize;
        wanted.min(self.plan.most_down as usize)
    }

    /// may_go_down tells whether one more host may be down beside the others.
    pub(super) fn may_go_down(&self, host: usize) -> bool {
        let others = self.hosts.iter().enumerate();
        let down = others.filter(|(other, entry)| *other != host && entry.is_down());
        down.count() < self.plan.most_down as usize
    }
}
