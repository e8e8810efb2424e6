// SPDX-License-Identifier: Apache-2.0
//! Orders that take hosts down, and their answers.

use crate::{Cell, Effect};

use super::rollout::{HostKey, Rollout, Stage};

/// ORDER_RETRY_MS is the pause before a host is ordered down again.
const ORDER_RETRY_MS: u64 = 400;

/// ORDER_AUTHORITY_MS is how long after the store last confirmed the ownership
/// hosts are emptied and ordered down. With a call's time-out of less than a
/// second it ends before `take_down_gap_ms`, after which a later owner begins.
const ORDER_AUTHORITY_MS: u64 = 2_500;

/// TakeDown orders a host down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeDown {
    /// The plan's number.
    pub plan: u64,
    /// The host.
    pub host: String,
    /// The owner's fence.
    pub fence: u64,
}

/// TakenDown is the outcome of such an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenDown {
    /// The host goes down, or has been down for this plan already.
    Yes,
    /// It can't be taken down now.
    Busy,
    /// The host is not known, or not of the plan.
    Unknown,
    /// A later owner gave orders for it.
    Fenced,
    /// There was no answer: it may go down, now or later.
    Silent,
}

impl Cell {
    /// take_down orders a host down, unless too many of its plan may be.
    pub(super) fn take_down(&mut self, key: HostKey) {
        if !self.may_order_down() {
            return;
        }
        let now = self.now.mono;
        let rollout = &mut self.maintenance[key.plan];
        if !rollout.may_go_down(key.host) {
            return;
        }
        let host = &mut rollout.hosts[key.host];
        host.stage = Stage::Ordered {
            in_flight: true,
            again: now,
        };
        let order = TakeDown {
            plan: rollout.plan.number,
            host: host.name.clone(),
            fence: self.fence,
        };
        self.effects.push(Effect::TakeDown(order));
    }

    /// may_order_down tells whether no later owner can order hosts down yet.
    pub(super) fn may_order_down(&self) -> bool {
        self.now.mono.since(self.ownership.confirmed) < ORDER_AUTHORITY_MS
    }

    /// handle_take_down_answer takes in the answer to an order.
    pub(crate) fn handle_take_down_answer(&mut self, order: &TakeDown, outcome: TakenDown) {
        let now = self.now.mono;
        let text = format!("host {} ordered down: {outcome:?}", order.host);
        self.log("maintenance", None, text);
        let Some(key) = self.host_ordered(order) else {
            return;
        };
        match outcome {
            TakenDown::Yes => self.went_down(key),
            TakenDown::Unknown => self.host_mut(key).stage = Stage::Gone,
            // Nothing was done: what runs there may go on meanwhile.
            TakenDown::Busy => {
                let host = self.host_mut(key);
                host.stage = Stage::Emptying(now);
                host.not_before = now.plus(ORDER_RETRY_MS);
            }
            TakenDown::Silent => {
                self.host_mut(key).stage = Stage::Ordered {
                    in_flight: false,
                    again: now.plus(ORDER_RETRY_MS),
                };
            }
            TakenDown::Fenced => self.depose(),
        }
    }

    /// went_down notes that a host is down, and with it the life of its worker.
    fn went_down(&mut self, key: HostKey) {
        let since = self.now.mono;
        let worker = self.worker_of(&self.host(key).name);
        self.host_mut(key).stage = Stage::Down {
            life: worker,
            since,
        };
        self.saver.maintenance_changed = true;
        if let Some(worker) = worker {
            self.end_incarnation(worker, "its host is down for maintenance");
        }
    }

    /// host_ordered returns the host that an order is for.
    fn host_ordered(&self, order: &TakeDown) -> Option<HostKey> {
        let is_its = |rollout: &Rollout| rollout.plan.number == order.plan;
        let plan = self.maintenance.iter().position(is_its)?;
        let hosts = &self.maintenance[plan].hosts;
        let host = hosts.iter().position(|host| host.name == order.host)?;
        Some(HostKey { plan, host })
    }
}
