// SPDX-License-Identifier: Apache-2.0
//! Pages of a given size.

use std::collections::BTreeMap;

use stackpier_core::{
    Unix,
    key::{Attempt, Boot},
};
use stackpier_state::{
    Revision,
    catalogue::{Catalogue, SHARDS, shard_of},
    holders::Map,
    homes::{self, Claim, Home, Place},
    intent::{self, Batch, Intent, Kind, Object},
    rack::{Condition, Phase, Rack, Renewer, Row, Worker},
};

use super::sample::{
    CAPACITY, RUN_TIME_MS, TASKS_PER_JOB, UNIX_MS, WORKER_BOOT, WORKERS_PER_RACK, WRITE,
    data_centre, member, numbered, run, task, work, worker,
};

/// RACKS is the number of racks that claims are spread over.
pub(super) const RACKS: usize = 25;
/// DAEMONS is the number of daemons in a version of the holder map.
const DAEMONS: usize = 9;
/// TEAMS is the number of teams that submit intents.
const TEAMS: usize = 510;
/// HOME_SHARDS is the default number of homes pages of a data centre.
const HOME_SHARDS: usize = 8;

/// rack builds a rack's page with a number of runs.
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
        boot: Boot(WORKER_BOOT + number as u64),
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
        settled: vec![Revision(123_456); HOME_SHARDS],
    }
}

/// homes builds a homes page with a number of claimed tasks.
pub fn homes(tasks: usize) -> homes::Shard {
    let home = |number: usize| Home {
        attempt: Attempt(2),
        place: Place::Claimed(Claim {
            rack: numbered("rack", number % RACKS),
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

/// object builds an accepted batch job.
fn object(number: usize) -> Object {
    Object {
        job: task(number * TASKS_PER_JOB).job,
        generation: 1,
        version: 3,
        submissions: (0..3).map(|n| (u128::MAX / 3) - n).collect(),
        cancelled: false,
        intent: Intent {
            name: numbered("ledger-reconciliation", number),
            team: numbered("team", number % TEAMS),
            size: work(number).size,
            priority: 100,
            kind: Kind::Batch(Batch {
                data_centre: data_centre(),
                tasks: TASKS_PER_JOB as u32,
                deadline: Unix(UNIX_MS),
                checkpointable: true,
                run_time_ms: RUN_TIME_MS,
            }),
        },
    }
}

/// intents builds an intents page with a number of intents.
pub fn intents(count: usize) -> intent::Shard {
    intent::Shard {
        write: WRITE,
        objects: (0..count).map(object).collect(),
    }
}

/// catalogue builds the catalogue of intents for a number of tasks.
pub fn catalogue(tasks: usize) -> Catalogue {
    let mut shards: BTreeMap<u16, intent::Shard> = BTreeMap::new();
    for number in 0..tasks / TASKS_PER_JOB {
        let object = object(number);
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

/// holders builds a holder map with a number of versions.
pub fn holders(versions: usize) -> Map {
    let mut map = Map::default();
    for version in 0..versions {
        map.renew((version..version + DAEMONS).map(member).collect());
    }
    map.write = WRITE;
    map
}
