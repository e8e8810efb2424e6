// SPDX-License-Identifier: Apache-2.0
//! Messages of a given size.

use std::collections::BTreeMap;

use stackpier_core::{Name, key::Boot};
use stackpier_protocol::{
    peer::{Endpoint, Heartbeat, RackReport, WorkerReport},
    sync::{Call, Clock, Ended, Reply, Start},
};
use stackpier_state::work::Outcome;

use super::sample::{
    self, CAPACITY, WORKER_BOOT, WORKERS_PER_RACK, data_centre, member, numbered, run, work, worker,
};

/// report builds the report of a rack with a number of service tasks.
fn report(rack: usize, endpoints: usize) -> RackReport {
    let worker = |number: usize| WorkerReport {
        worker: worker(number),
        capacity: CAPACITY,
        free: CAPACITY,
        slowdown_milli: 1_050,
    };
    let endpoint = |number: usize| Endpoint {
        service: numbered("branch-loan", number % 8),
        worker: sample::worker(number),
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

/// reports builds the reports of a number of racks without service tasks.
pub fn reports(racks: usize) -> BTreeMap<Name, RackReport> {
    (0..racks)
        .map(|rack| (numbered("rack", rack), report(rack, 0)))
        .collect()
}

/// heartbeat builds a heartbeat with one rack and a number of service tasks.
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

/// call builds a call to a worker with a number of runs to forget and a number to start.
pub fn call(forget: usize, start: usize) -> Call {
    let started = |number: usize| Start {
        run: run(number),
        work: work(number),
        checkpoint: None,
    };
    Call {
        boot: Boot(WORKER_BOOT),
        term: 12,
        clock: Clock(86_400_000),
        lease_ms: 10_000,
        start: (0..start).map(started).collect(),
        stop: Vec::new(),
        throttle: Vec::new(),
        forget: (0..forget).map(run).collect(),
    }
}

/// reply builds a worker's reply with a number of running tasks and one that has ended.
pub fn reply(runs: usize) -> Reply {
    Reply {
        name: worker(0),
        boot: Boot(WORKER_BOOT),
        clock: Clock(86_400_000),
        running: (0..runs).map(run).collect(),
        ended: vec![Ended {
            run: run(runs),
            outcome: Outcome::Finished,
        }],
        usage: Vec::new(),
    }
}
