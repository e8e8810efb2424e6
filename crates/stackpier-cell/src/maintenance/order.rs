// SPDX-License-Identifier: Apache-2.0
//! Orders to take hosts down, and their answers.

use crate::{Cell, Effect};

use super::rollout::{HostKey, Rollout, Stage};

/// ORDER_RETRY_MS is the pause before a host is ordered down again.
const ORDER_RETRY_MS: u64 = 400;

/// ORDER_AUTHORITY_MS is how long after the store last confirmed the ownership
/// hosts are emptied and ordered down. Together with the time-out of the call,
/// less than a second, that is shorter than `take_down_gap_ms`, after which a
/// successor begins.
const ORDER_AUTHORITY_MS: u64 = 2_500;

/// TakeDown is an order to take a host down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeDown {
    /// The plan's number.
    pub plan: u64,
    /// The host.
    pub host: String,
    /// The owner's fence.
    pub fence: u64,
}

/// TakenDown is the outcome of an order to take a host down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenDown {
    /// The host goes down, or has already been down for this plan.
    Yes,
    /// The host can't be taken down now.
    Busy,
    /// The host is not known, or not part of the plan.
    Unknown,
    /// A successor has sent orders for the host.
    Fenced,
    /// There was no answer: the host may go down, now or later.
    Silent,
}

impl Cell {
    /// take_down orders a host down, unless as many hosts of its plan may be down
    /// as the plan allows.
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
            retry_at: now,
        };
        let order = TakeDown {
            plan: rollout.plan.number,
            host: host.name.clone(),
            fence: self.fence,
        };
        self.effects.push(Effect::TakeDown(order));
    }

    /// may_order_down reports whether the store has confirmed the ownership so
    /// recently that no successor can order hosts down yet.
    pub(super) fn may_order_down(&self) -> bool {
        self.now.mono.since(self.ownership.confirmed) < ORDER_AUTHORITY_MS
    }

    /// handle_take_down_answer applies the answer to an order.
    pub(crate) fn handle_take_down_answer(&mut self, order: &TakeDown, outcome: TakenDown) {
        let now = self.now.mono;
        let text = format!("host {} ordered down: {outcome:?}", order.host);
        self.log("maintenance", None, text);
        let Some(key) = self.find_ordered_host(order) else {
            return;
        };
        match outcome {
            TakenDown::Yes => self.mark_down(key),
            TakenDown::Unknown => self.host_mut(key).stage = Stage::Gone,
            // The order had no effect: the host is still up, and ordered down again later.
            TakenDown::Busy => {
                let host = self.host_mut(key);
                host.stage = Stage::Emptying(now);
                host.not_before = now.plus(ORDER_RETRY_MS);
            }
            TakenDown::Silent => {
                self.host_mut(key).stage = Stage::Ordered {
                    in_flight: false,
                    retry_at: now.plus(ORDER_RETRY_MS),
                };
            }
            TakenDown::Fenced => self.depose(),
        }
    }

    /// mark_down marks a host as down and ends the incarnation of its worker.
    fn mark_down(&mut self, key: HostKey) {
        let since = self.now.mono;
        let worker = self.worker_of(&self.host(key).name);
        self.host_mut(key).stage = Stage::Down {
            ended: worker,
            since,
        };
        self.saver.maintenance_changed = true;
        if let Some(worker) = worker {
            self.end_incarnation(worker, "its host is down for maintenance");
        }
    }

    /// find_ordered_host returns the host that an order is for.
    fn find_ordered_host(&self, order: &TakeDown) -> Option<HostKey> {
        let matches_order = |rollout: &Rollout| rollout.plan.number == order.plan;
        let plan = self.maintenance.iter().position(matches_order)?;
        let hosts = &self.maintenance[plan].hosts;
        let host = hosts.iter().position(|host| host.name == order.host)?;
        Some(HostKey { plan, host })
    }
}
