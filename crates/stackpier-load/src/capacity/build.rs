// SPDX-License-Identifier: Apache-2.0
//! Pages, messages and machines of a given size.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stackpier_coordination::{
    effect::{Effect, Event, Writer},
    membership::{self, Table},
    owner::{self, Owner},
    placer::{self, Placer, View},
    route::{self, Service},
};
use stackpier_core::{
    Millis, Name, Size, Unix,
    key::{Attempt, Boot, Job, Task, Write},
};
use stackpier_protocol::{
    peer::{Endpoint, Heartbeat, RackReport, WorkerReport},
    platform::{Role, Roster, Standing, Vm},
    sync::{Call, Clock, Ended, Reply, Start},
};
use stackpier_state::{
    Page, Revision,
    catalogue::{Catalogue, SHARDS, shard_of},
    holders::{Map, Member},
    homes::{self, Claim, Home, Place},
    intent::{Batch, Intent, Kind, Object},
    page::{Fetched, Key, Swapped},
    rack::{Condition, Phase, Rack, Renewer, Row, Worker},
    work::{Class, Outcome, Run, Work},
};

use crate::label::name;

/// WORKERS_PER_RACK is the users' count.
const WORKERS_PER_RACK: usize = 8;
/// WRITE is a write number of usual length.
const WRITE: Write = Write {
    boot: Boot(1_780_000_000_000 << 20),
    number: 12_345,
};
/// MOST_WRITES bounds the writes after which a machine is at rest.
const MOST_WRITES: u64 = 5;
/// WRITE_GAP_MS is the time between them.
const WRITE_GAP_MS: u64 = 1_000;
const CAPACITY: Size = Size {
    milli_cores: 3_200_000,
    memory_mib: 125_000_000,
    accelerators: 2,
};

fn numbered(text: &str, number: usize) -> Name {
    name(&format!("{text}-{number:04}"))
}

fn data_centre() -> Name {
    name("dc-lagos-1")
}

fn task(number: usize) -> Task {
    Task {
        // Jobs are random numbers of full length.
        job: Job(0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(1 + number as u64 / 8)),
        index: number as u32 % 8,
    }
}

fn run(number: usize) -> Run {
    Run {
        task: task(number),
        attempt: Attempt(2),
    }
}

fn work(number: usize) -> Work {
    Work {
        task: task(number),
        name: numbered("ledger-reconciliation", number / 8),
        generation: 1,
        urgent: false,
        class: if number.is_multiple_of(6) {
            Class::Service
        } else {
            Class::Batch
        },
        size: Size {
            milli_cores: 2_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
        run_time_ms: 3_600_000,
    }
}

fn worker(number: usize) -> Name {
    numbered("worker", number % WORKERS_PER_RACK)
}

fn member(number: usize) -> Member {
    Member {
        vm: numbered("entry", number),
        boot: Boot((1_780_000_000_000 << 20) + number as u64),
    }
}

/// rack builds a rack's page with a count of runs.
pub fn rack(runs: usize) -> Rack {
    let me = member(0);
    let row = |number: usize| Row {
        run: run(number),
        work: work(number),
        worker: worker(number),
        checkpoint: None,
        phase: Phase::Running,
    };
    let worker = |number: usize| Worker {
        name: worker(number),
        boot: Boot(1_780_000_000_000_000_000 + number as u64),
        capacity: CAPACITY,
        condition: Condition::Up,
    };
    Rack {
        write: WRITE,
        renewer: Some(Renewer {
            vm: me.vm,
            boot: me.boot,
            term: 12,
        }),
        former: Vec::new(),
        workers: (0..WORKERS_PER_RACK).map(worker).collect(),
        rows: (0..runs).map(row).collect(),
        settled: vec![Revision(123_456); 8],
    }
}

/// homes builds a homes page with a count of claimed tasks.
pub fn homes(tasks: usize) -> homes::Shard {
    let home = |number: usize| Home {
        attempt: Attempt(2),
        place: Place::Claimed(Claim {
            rack: numbered("rack", number % 25),
            worker: worker(number),
            stop: false,
        }),
        ..Home::new(work(number))
    };
    homes::Shard {
        write: WRITE,
        homes: (0..tasks).map(home).collect(),
    }
}

fn object(number: usize, tasks: u32) -> Object {
    Object {
        job: task(number * 8).job,
        generation: 1,
        version: 3,
        submissions: (0..3).map(|n| (u128::MAX / 3) - n).collect(),
        cancelled: false,
        intent: Intent {
            name: numbered("ledger-reconciliation", number),
            team: numbered("team", number % 510),
            size: work(number).size,
            priority: 100,
            kind: Kind::Batch(Batch {
                data_centre: data_centre(),
                tasks,
                deadline: Unix(1_780_000_000_000),
                checkpointable: true,
                run_time_ms: 3_600_000,
            }),
        },
    }
}

/// intents builds an intents page with a count of intents.
pub fn intents(count: usize) -> stackpier_state::intent::Shard {
    stackpier_state::intent::Shard {
        write: WRITE,
        objects: (0..count).map(|number| object(number, 8)).collect(),
    }
}

/// catalogue builds intents for a count of tasks, eight each.
pub fn catalogue(tasks: usize) -> Catalogue {
    let mut shards: BTreeMap<u16, stackpier_state::intent::Shard> = BTreeMap::new();
    for number in 0..tasks / 8 {
        let object = object(number, 8);
        shards
            .entry(shard_of(object.intent.name))
            .or_default()
            .put(object);
    }
    let mut catalogue = Catalogue::default();
    for shard in 0..SHARDS {
        let page = shards.remove(&shard).unwrap_or_default();
        catalogue.offer(shard, Revision(1), page);
    }
    catalogue
}

/// holders builds a holder map with a count of versions of nine daemons.
pub fn holders(versions: usize) -> Map {
    let mut map = Map::default();
    for version in 0..versions {
        map.renew((version..version + 9).map(member).collect());
    }
    map.write = WRITE;
    map
}

/// rack_name returns the name of a rack.
pub fn rack_name() -> Name {
    numbered("rack", 0)
}

fn report(rack: usize, endpoints: usize) -> RackReport {
    let worker = |number: usize| WorkerReport {
        worker: worker(number),
        capacity: CAPACITY,
        free: CAPACITY,
        slowdown_milli: 1_050,
    };
    let endpoint = |number: usize| Endpoint {
        service: numbered("branch-loan", number % 8),
        worker: self::worker(number),
        run: run(number),
    };
    RackReport {
        rack: numbered("rack", rack),
        renewer: member(0).vm,
        term: 12,
        change: 340,
        workers: (0..WORKERS_PER_RACK).map(worker).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        pairs: Vec::new(),
    }
}

/// reports builds reports of a count of racks.
pub fn reports(racks: usize) -> BTreeMap<Name, RackReport> {
    (0..racks)
        .map(|rack| (numbered("rack", rack), report(rack, 0)))
        .collect()
}

/// heartbeat builds a heartbeat with one rack and a count of service tasks.
pub fn heartbeat(endpoints: usize) -> Heartbeat {
    Heartbeat {
        from: member(0),
        data_centre: data_centre(),
        leaving: false,
        sum: u64::MAX,
        holders: 17,
        departing: Vec::new(),
        racks: vec![report(0, endpoints)],
        renounced: Vec::new(),
    }
}

/// call builds a worker call with runs to forget and runs to start.
pub fn call(forget: usize, start: usize) -> Call {
    let started = |number: usize| Start {
        run: run(number),
        work: work(number),
        checkpoint: None,
    };
    Call {
        boot: Boot(1_780_000_000_000_000_000),
        term: 12,
        clock: Clock(86_400_000),
        lease_ms: 10_000,
        start: (0..start).map(started).collect(),
        stop: Vec::new(),
        throttle: Vec::new(),
        forget: (0..forget).map(run).collect(),
    }
}

/// reply builds a worker's reply with a count of running tasks and one ended.
pub fn reply(runs: usize) -> Reply {
    Reply {
        name: worker(0),
        boot: Boot(1_780_000_000_000_000_000),
        clock: Clock(86_400_000),
        running: (0..runs).map(run).collect(),
        ended: vec![Ended {
            run: run(runs),
            outcome: Outcome::Finished,
        }],
        usage: Vec::new(),
    }
}

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

/// table builds a view of a count of daemons, all heard of, and 25 racks.
pub fn table(daemons: usize) -> Table {
    let mut table = Table::new(member(0), data_centre(), membership::Options::default());
    let entries = (0..daemons).map(|n| vm(member(n).vm, Role::Entry, None));
    let workers = (0..25 * WORKERS_PER_RACK).map(|n| {
        let rack = numbered("rack", n / WORKERS_PER_RACK);
        let label = if n < WORKERS_PER_RACK {
            worker(n)
        } else {
            numbered("other", n)
        };
        vm(label, Role::Worker, Some(rack))
    });
    table.list(Roster {
        vms: entries.chain(workers).collect(),
    });
    for number in 1..daemons {
        let beat = Heartbeat {
            from: member(number),
            ..heartbeat(0)
        };
        table.heard(Millis(0), &beat);
    }
    table
}

/// owner builds the owner of a rack with a count of runs, at rest.
pub fn owner(runs: usize, table: &Table, writer: &mut Writer) -> Owner {
    let label = numbered("rack", 0);
    let options = owner::Options {
        sweep_ms: u64::MAX / 16,
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

/// placer builds the placer of a shard with a count of tasks, at rest.
pub fn placer(tasks: usize, view: View<'_>, writer: &mut Writer) -> Placer {
    let options = placer::Options {
        sweep_ms: u64::MAX / 16,
        shards: 1,
        ..placer::Options::default()
    };
    let mut placer = Placer::new(0, options);
    placer.step(Millis(0), Event::Tick, view, writer);
    let page = Page::Homes(homes(tasks));
    let key = Key::Homes(data_centre(), 0);
    let read = Event::Read(key, Fetched::Found(Revision(1), page));
    let mut effects = placer.step(Millis(0), read, view, writer);
    // Its first writes bring the homes in line with the intents.
    for round in 1..=MOST_WRITES {
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

/// service builds the router's state of one service.
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
