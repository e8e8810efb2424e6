// SPDX-License-Identifier: Apache-2.0
//! Heartbeats and hints between daemons.

use stackpier_coordination::{effect::Event, owner::Owner};
use stackpier_protocol::peer::{Claims, Heartbeat, Hint, RackReport};

use super::{World, calls::Target, daemon::Daemon, data_centre, pick};
use crate::counts::hit;

/// Message is on its way to a daemon.
#[derive(Clone, Debug)]
pub(super) struct Message {
    pub(super) to: usize,
    pub(super) body: Body,
}

/// Body is what daemons tell each other.
#[derive(Clone, Debug)]
pub(super) enum Body {
    Beat(Box<Heartbeat>),
    Hint(Hint),
}

impl World {
    pub(super) fn beat(&mut self, from: usize, to: usize) {
        let daemon = &self.daemons[from];
        if from == to || daemon.frozen || daemon.dead {
            return;
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

    pub(super) fn arrive(&mut self, n: u8) {
        if let Some(message) = pick(&mut self.messages, n) {
            self.take(message);
        }
    }

    /// hold keeps a copy of a placer's word under way.
    pub(super) fn hold(&mut self, n: u8) {
        let claims = |message: &&Message| matches!(message.body, Body::Hint(Hint::Claims(_)));
        let words: Vec<Message> = self.messages.iter().filter(claims).cloned().collect();
        if !words.is_empty() {
            self.held.push(words[usize::from(n) % words.len()].clone());
        }
    }

    pub(super) fn release(&mut self, n: u8) {
        if let Some(message) = pick(&mut self.held, n) {
            hit("fault: placer's word arrived late");
            self.take(message);
        }
    }

    /// take has a message served by its daemon, unless that is frozen or over.
    pub(super) fn take(&mut self, message: Message) {
        let to = message.to;
        let time = self.time;
        let daemon = &mut self.daemons[to];
        if daemon.frozen || daemon.dead {
            return;
        }
        match message.body {
            Body::Hint(hint) => match hint {
                Hint::Claims(Claims { rack, .. }) | Hint::TakenOver { rack, .. } => {
                    self.machine(to, Target::Rack(rack), Event::Hint(hint));
                }
                Hint::Ended { shard, .. } => {
                    self.machine(to, Target::Homes(shard), Event::Hint(hint));
                }
                Hint::Holders => {}
            },
            Body::Beat(beat) => {
                daemon.table.record_heartbeat(daemon.clock.at(time), &beat);
                for report in beat.racks {
                    take_report(daemon, report);
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

/// take_report keeps a rack's report if it is newer than the known one.
pub(super) fn take_report(daemon: &mut Daemon, report: RackReport) {
    let order = |report: &RackReport| (report.term, report.change);
    let known = daemon.racks.get(&report.rack).map(order);
    if known.is_none_or(|known| known < order(&report)) {
        daemon.racks.insert(report.rack, report);
    }
}
