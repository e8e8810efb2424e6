// SPDX-License-Identifier: Apache-2.0
//! State machines (owner, placer, router and the membership table) of a given size, with no
//! write pending.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::{
    effect::{Effect, Event, Writer},
    membership::{self, Table},
    owner::{self, Owner},
    placer::{self, Placer, View},
    route::{self, Service},
};
use stackpier_core::{Millis, Name};
use stackpier_protocol::{
    peer::{Endpoint, Heartbeat},
    platform::{Role, Roster, Standing, Vm},
};
use stackpier_state::{
    Page, Revision,
    page::{Fetched, Key, Swapped},
};

use super::{
    message::heartbeat,
    page::{RACKS, homes, rack},
    sample::{CAPACITY, WORKERS_PER_RACK, data_centre, member, numbered, rack_name, run, worker},
};
use crate::label::name;

/// MAX_WRITES bounds the initial writes of a placer, after which none is pending.
const MAX_WRITES: u64 = 5;
/// WRITE_GAP_MS is the time between two of these writes; it exceeds the gap between commits.
const WRITE_GAP_MS: u64 = 1_000;
/// NO_SWEEP_MS is a sweep interval so long that no sweep happens during a measurement.
const NO_SWEEP_MS: u64 = u64::MAX / 16;

/// vm builds an entry of the list of VMs.
fn vm(label: Name, role: Role, rack: Option<Name>) -> Vm {
    Vm {
        name: label,
        role,
        data_centre: data_centre(),
        rack,
        address: "127.0.0.1:1".to_owned(),
        capacity: CAPACITY,
        standing: Standing::Live,
    }
}

/// table builds a membership table of a number of daemons, all with a received heartbeat, and of
/// the racks' workers.
pub fn table(daemons: usize) -> Table {
    let mut table = Table::new(member(0), data_centre(), membership::Options::default());
    let entries = (0..daemons).map(|n| vm(member(n).vm, Role::Entry, None));
    let workers = (0..RACKS * WORKERS_PER_RACK).map(|n| {
        let rack = numbered("rack", n / WORKERS_PER_RACK);
        let label = if n < WORKERS_PER_RACK {
            worker(n)
        } else {
            numbered("other", n)
        };
        vm(label, Role::Worker, Some(rack))
    });
    table.update_roster(Roster {
        vms: entries.chain(workers).collect(),
    });
    for number in 1..daemons {
        let beat = Heartbeat {
            from: member(number),
            ..heartbeat(0)
        };
        table.record_heartbeat(Millis(0), &beat);
    }
    table
}

/// owner builds the owner of a rack with a number of runs and no write pending.
pub fn owner(runs: usize, table: &Table, writer: &mut Writer) -> Owner {
    let label = rack_name();
    let options = owner::Options {
        sweep_ms: NO_SWEEP_MS,
        ..owner::Options::default()
    };
    let mut owner = Owner::new(label, member(0), options);
    owner.step(Millis(0), Event::Tick, table, writer);
    let page = Page::Rack(rack(runs));
    let read = Event::Read(Key::Rack(label), Fetched::Found(Revision(1), page));
    owner.step(Millis(0), read, table, writer);
    for shard in 0..options.shards {
        let key = Key::Homes(data_centre(), shard);
        owner.step(Millis(0), Event::Read(key, Fetched::Failed), table, writer);
    }
    owner
}

/// placer builds the placer of a shard with a number of tasks and no write pending.
pub fn placer(tasks: usize, view: View<'_>, writer: &mut Writer) -> Placer {
    let options = placer::Options {
        sweep_ms: NO_SWEEP_MS,
        shards: 1,
        ..placer::Options::default()
    };
    let mut placer = Placer::new(0, options);
    placer.step(Millis(0), Event::Tick, view, writer);
    let page = Page::Homes(homes(tasks));
    let key = Key::Homes(data_centre(), 0);
    let read = Event::Read(key, Fetched::Found(Revision(1), page));
    let mut effects = placer.step(Millis(0), read, view, writer);
    // The first writes bring the homes page in line with the intents.
    for round in 1..=MAX_WRITES {
        let written = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Swap(..)));
        if !written {
            break;
        }
        let won = Event::Swapped(key, Swapped::Won(Revision(1 + round)));
        effects = placer.step(Millis(round * WRITE_GAP_MS), won, view, writer);
    }
    placer
}

/// service builds the router's state for one service with a number of upstreams.
pub fn service(upstreams: usize) -> (Service, ChaCha8Rng) {
    let mut service = Service::new(route::Options::default());
    let endpoints: Vec<Endpoint> = (0..upstreams)
        .map(|number| Endpoint {
            service: name("branch-loan"),
            worker: numbered("worker", number),
            run: run(number),
        })
        .collect();
    service.update(&endpoints);
    (service, ChaCha8Rng::seed_from_u64(1))
}
