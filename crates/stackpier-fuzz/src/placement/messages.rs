// SPDX-License-Identifier: Apache-2.0
//! Heartbeats and hints between daemons.

use stackpier_coordination::{effect::Event, owner::Owner};
use stackpier_protocol::peer::{Claims, Heartbeat, Hint, RackReport};
use stackpier_state::holders::Member;

use super::{Simulation, calls::Target, daemon::Daemon, data_centre, pick};
use crate::counts::hit;

/// Message is a heartbeat or hint in flight to a daemon.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) to: usize,
    pub(super) body: Body,
}

/// Body is the content of a message.
#[derive(Clone, Debug)]
pub(super) enum Body {
    Beat(Box<Heartbeat>),
    Storeless(Member),
    Hint(Hint),
}

impl Simulation {
    /// send_heartbeat sends a heartbeat from one daemon to another.
    pub(super) fn send_heartbeat(&mut self, from: usize, to: usize) {
        let daemon = &self.daemons[from];
        if from == to || daemon.frozen || daemon.dead {
            return;
        }
        if daemon.table.store_lost() {
            let body = Body::Storeless(daemon.table.me());
            self.messages.push(Message { to, body });
        }
        let beat = Heartbeat {
            from: daemon.table.me(),
            data_centre: data_centre(),
            leaving: false,
            sum: 0,
            holders: 0,
            departing: daemon.table.departing(),
            racks: daemon
                .owners
                .values()
                .filter_map(Owner::report)
                .cloned()
                .collect(),
            renounced: daemon
                .owners
                .values()
                .filter_map(Owner::renounced)
                .collect(),
        };
        self.messages.push(Message {
            to,
            body: Body::Beat(Box::new(beat)),
        });
    }

    pub(super) fn deliver_message(&mut self, n: u8) {
        if let Some(message) = pick(&mut self.messages, n) {
            self.receive(message);
        }
    }

    /// hold_back copies a hint in flight with a placer's claims, to be delivered
    /// later as well. The original arrives as usual.
    pub(super) fn hold_back(&mut self, n: u8) {
        let is_claims = |message: &&Message| matches!(message.body, Body::Hint(Hint::Claims(_)));
        let candidates: Vec<Message> = self.messages.iter().filter(is_claims).cloned().collect();
        if !candidates.is_empty() {
            self.held_back
                .push(candidates[usize::from(n) % candidates.len()].clone());
        }
    }

    /// release_held_back delivers a copy that was held back.
    pub(super) fn release_held_back(&mut self, n: u8) {
        if let Some(message) = pick(&mut self.held_back, n) {
            hit("fault: placer's word arrived late");
            self.receive(message);
        }
    }

    /// receive lets a daemon process a message. A daemon that is frozen or has
    /// ended loses it.
    pub(super) fn receive(&mut self, message: Message) {
        let to = message.to;
        let time = self.time;
        let daemon = &mut self.daemons[to];
        if daemon.frozen || daemon.dead {
            return;
        }
        match message.body {
            Body::Hint(hint) => match hint {
                Hint::Claims(Claims { rack, .. }) | Hint::TakenOver { rack, .. } => {
                    self.step_machine(to, Target::Rack(rack), Event::Hint(hint));
                }
                Hint::Ended { shard, .. } => {
                    self.step_machine(to, Target::Homes(shard), Event::Hint(hint));
                }
                Hint::Holders => {}
            },
            Body::Storeless(from) => {
                daemon.table.record_storeless(daemon.clock.at(time), from);
            }
            Body::Beat(beat) => {
                daemon.table.record_heartbeat(daemon.clock.at(time), &beat);
                for report in beat.racks {
                    record_report(daemon, report);
                }
                for promise in beat.renounced {
                    if let Some(owner) = daemon.owners.get_mut(&promise.rack) {
                        hit("branch: promise not to renew heard");
                        owner.receive_renounced(beat.from, promise.below);
                    }
                }
            }
        }
    }
}

/// record_report records a rack's report if it is newer than the known one.
pub(super) fn record_report(daemon: &mut Daemon, report: RackReport) {
    let order = |report: &RackReport| (report.term, report.change);
    let known = daemon.racks.get(&report.rack).map(order);
    if known.is_none_or(|known| known < order(&report)) {
        daemon.racks.insert(report.rack, report);
    }
}
