// SPDX-License-Identifier: Apache-2.0
//! Daemons that run stay live to each other while another one stands still.

use std::{fs, thread, time::Duration};

use anyhow::{Context, Result, ensure};
use serde_json::json;
use stackpier_testkit::{
    cluster::{Cluster, Plan, service},
    process::Signal,
};

/// SILENCE_MS is the time after which a daemon counts as unreachable.
const SILENCE_MS: u64 = 800;
/// LEASE_MS is the length of a worker's lease.
const LEASE_MS: u64 = 2_000;
/// DRIFT_MS is the time added to a lease before it counts as expired.
const DRIFT_MS: u64 = 300;
/// SWEEP_MS is the time between two sweeps of owners and placers.
const SWEEP_MS: u64 = 500;

fn start() -> Result<Cluster> {
    Cluster::start(Plan {
        workers: 2,
        workers_per_rack: 2,
        times: json!({
            "heartbeat_ms": 100, "silence_ms": SILENCE_MS, "list_ms": 100, "sync_ms": 200,
            "lease_ms": LEASE_MS, "drift_ms": DRIFT_MS, "commit_ms": 50, "sweep_ms": SWEEP_MS,
        }),
        ..Plan::default()
    })
}

/// owner returns the number of the daemon that last took the rack over, and the
/// term, by the daemons' logs.
fn owner(cluster: &Cluster) -> Result<(usize, u64)> {
    let mut last = None;
    for (index, daemon) in cluster.daemons.iter().enumerate() {
        let log = fs::read_to_string(cluster.folder.join(format!("{}.log", daemon.vm)))?;
        for line in log.lines().filter(|line| line.contains("rack taken over")) {
            let value: serde_json::Value = serde_json::from_str(line)?;
            let term = value["term"].as_u64().context("no term")?;
            if last.is_none_or(|(_, known)| term > known) {
                last = Some((index, term));
            }
        }
    }
    last.context("no daemon took the rack over")
}

fn signal(cluster: &mut Cluster, index: usize, signal: Signal) -> Result<()> {
    let process = cluster.daemons[index].process.as_mut();
    process.context("no process")?.signal(signal)
}

/// Guards against takeovers among live daemons: a stopped third daemon holds up
/// the heartbeats between the two others until their silence counts as an end.
#[test]
fn rack_of_a_live_owner_is_not_taken_over_while_a_third_daemon_is_stopped() -> Result<()> {
    let mut cluster = start()?;
    cluster.submit(0, &service("fleet", &[1]))?;
    cluster.await_running(0, "fleet", 1)?;
    let before = owner(&cluster)?;
    let third = (before.0 + 1) % 3;
    signal(&mut cluster, third, Signal::Stop)?;
    thread::sleep(Duration::from_millis(2 * SILENCE_MS));
    signal(&mut cluster, third, Signal::Continue)?;
    let after = owner(&cluster)?;
    ensure!(
        before == after,
        "the rack moved from {before:?} to {after:?}"
    );
    cluster.finish()
}
