// SPDX-License-Identifier: Apache-2.0
//! A simulated daemon: its state machines, and the events that they receive.

use std::collections::{BTreeMap, VecDeque};

use stackpier_coordination::{
    effect::{Event, Writer},
    membership::{self, Table},
    owner::{self, Owner},
    placer::{self, Placer, View},
    policy,
    reach::Reach,
};
use stackpier_core::{Millis, Name, key::Boot};
use stackpier_protocol::peer::RackReport;
use stackpier_state::{catalogue::Catalogue, holders::Member};

use super::{
    MAX_DRIFT_MILLI, RACKS, Simulation, calls::Target, data_centre, drift, messages::record_report,
    name, rack,
};
use crate::{counts::hit, time::Clock};

/// SILENCE_MS is the time after which a daemon counts as unreachable, and as
/// without the store.
const SILENCE_MS: u64 = 1_500;
/// SHARDS is the number of shards of homes.
const SHARDS: u16 = 2;
/// OWNER holds the options of the owners.
const OWNER: owner::Options = owner::Options {
    lease_ms: 3_000,
    drift_ms: 600,
    sync_ms: 300,
    commit_ms: 50,
    sweep_ms: 1_000,
    shards: SHARDS,
};

/// PLACER holds the options of the placers.
const PLACER: placer::Options = placer::Options {
    commit_ms: 50,
    sweep_ms: 1_000,
    shards: SHARDS,
    policy: policy::Options {
        max_excess_milli: 300,
    },
};

/// Daemon holds the state machines of one daemon, and the state that they
/// share.
#[derive(Debug)]
pub(super) struct Daemon {
    pub boot: Boot,
    pub clock: Clock,
    pub table: Table,
    /// When the store last answered.
    pub answered: Millis,
    pub reach: Reach,
    pub catalogue: Catalogue,
    pub racks: BTreeMap<Name, RackReport>,
    pub owners: BTreeMap<Name, Owner>,
    pub placers: BTreeMap<u16, Placer>,
    pub writer: Writer,
    pub frozen: bool,
    pub dead: bool,
    pub inbox: VecDeque<(Target, Event)>,
}

impl Simulation {
    /// new_daemon returns a daemon that has just started and knows only the
    /// roster.
    pub(super) fn new_daemon(&mut self, number: usize) -> Daemon {
        let boot = self.next_boot();
        let me = Member {
            vm: name(&format!("entry-{number}")),
            boot,
        };
        let options = membership::Options {
            silence_ms: SILENCE_MS,
        };
        let mut table = Table::new(me, data_centre(), options);
        table.update_roster(self.roster.clone());
        let clock = Clock::new(
            100_000 * (number as u64 + 1),
            1_000 - MAX_DRIFT_MILLI + drift(number + 2),
        );
        let now = clock.at(self.time);
        let owners = (0..RACKS).map(|n| (rack(n), Owner::new(rack(n), me, OWNER)));
        let placers = (0..SHARDS).map(|shard| (shard, Placer::new(shard, PLACER)));
        Daemon {
            boot,
            clock,
            table,
            answered: now,
            reach: Reach::new(now, SILENCE_MS),
            catalogue: Catalogue::default(),
            racks: BTreeMap::new(),
            owners: owners.collect(),
            placers: placers.collect(),
            writer: Writer::new(boot),
            frozen: false,
            dead: false,
            inbox: VecDeque::new(),
        }
    }

    /// tick gives a tick to all state machines of a daemon.
    pub(super) fn tick(&mut self, number: usize) {
        if self.daemons[number].frozen || self.daemons[number].dead {
            return;
        }
        self.look_at_store(number);
        for rack_number in 0..RACKS {
            self.step_machine(number, Target::Rack(rack(rack_number)), Event::Tick);
        }
        for shard in 0..SHARDS {
            self.step_machine(number, Target::Homes(shard), Event::Tick);
        }
    }

    /// look_at_store lets a daemon probe the store, and conclude whether it
    /// reaches it.
    fn look_at_store(&mut self, number: usize) {
        let cut = self.store_cut[number];
        let daemon = &mut self.daemons[number];
        let now = daemon.clock.at(self.time);
        if !cut {
            daemon.answered = now;
        }
        daemon.reach.observe(now, daemon.answered);
        daemon.table.set_store_lost(daemon.reach.lost());
        let left_out = daemon.table.left_out(now);
        if !left_out.is_empty() {
            hit("branch: daemon left out, as it does not reach the store");
        }
        let mut renewers = daemon.owners.values().filter_map(|owner| {
            let renewer = owner.page()?.renewer?;
            Some(renewer.boot)
        });
        if renewers.any(|boot| left_out.iter().any(|member| member.boot == boot)) {
            hit("branch: renewer left out");
        }
    }

    /// step_machine gives one event to one state machine of a daemon, and
    /// performs the effects that it returns.
    pub(super) fn step_machine(&mut self, number: usize, target: Target, event: Event) {
        let time = self.time;
        let daemon = &mut self.daemons[number];
        let now = daemon.clock.at(time);
        let effects = match target {
            Target::Rack(rack) => {
                let Some(owner) = daemon.owners.get_mut(&rack) else {
                    return;
                };
                owner.step(now, event, &daemon.table, &mut daemon.writer)
            }
            Target::Homes(shard) => {
                let view = View {
                    table: &daemon.table,
                    catalogue: &daemon.catalogue,
                    racks: &daemon.racks,
                };
                let Some(placer) = daemon.placers.get_mut(&shard) else {
                    return;
                };
                placer.step(now, event, view, &mut daemon.writer)
            }
        };
        let reports: Vec<RackReport> = daemon
            .owners
            .values()
            .filter_map(Owner::report)
            .cloned()
            .collect();
        reports
            .into_iter()
            .for_each(|report| record_report(daemon, report));
        let boot = daemon.boot;
        for effect in effects {
            self.perform_effect(number, boot, target, effect);
        }
    }
}
