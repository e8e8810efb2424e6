// SPDX-License-Identifier: Apache-2.0
//! A batch task ends as done although its rack changes owners and the new
//! owner's calls to the store hang soon after it took the rack over. By default
//! each kind of hang begins at one or two times after the takeover; the list
//! `TAKEOVER_DELAYS_MS`, such as `0,50,400`, sets these times for all kinds.

use std::{
    env::{self, VarError},
    fs, thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use rstest::rstest;
use serde_json::json;
use stackpier_standin::proxy::Mode;
use stackpier_testkit::{
    cluster::{Cluster, Plan, batch, service},
    oracle,
    process::Signal,
    wait,
};

/// SILENCE_MS is the time after which a daemon counts as unreachable.
const SILENCE_MS: u64 = 800;
/// LEASE_MS is the length of a worker's lease.
const LEASE_MS: u64 = 2_000;
/// DRIFT_MS is the time added to a lease before it counts as expired.
const DRIFT_MS: u64 = 300;
/// SWEEP_MS is the time between two sweeps of owners and placers.
const SWEEP_MS: u64 = 500;
/// STORE_LIMIT_MS is the time-out of a call to the store.
const STORE_LIMIT_MS: u64 = 2_000;
/// RUN_MS is the run time of the task.
const RUN_MS: u64 = 6_000;
/// HANG is how long the new owner's calls to the store hang.
const HANG: Duration = Duration::from_millis(1_100);

/// bound returns the time within which the task must be done after the last
/// fault: it may have to start again once its lease has expired, and each hint
/// may be lost once.
fn bound() -> Duration {
    let restart = LEASE_MS + DRIFT_MS + RUN_MS;
    Duration::from_millis(restart + 4 * (SWEEP_MS + STORE_LIMIT_MS))
}

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

/// move_rack stops all daemons but one until that one has taken the rack over.
fn move_rack(cluster: &mut Cluster, to: usize) -> Result<()> {
    let others: Vec<usize> = (0..cluster.daemons.len()).filter(|n| *n != to).collect();
    for index in &others {
        signal(cluster, *index, Signal::Stop)?;
    }
    wait::until("the rack has moved", || {
        owner(cluster).is_ok_and(|(index, _)| index == to)
    })?;
    for index in &others {
        signal(cluster, *index, Signal::Continue)?;
    }
    Ok(())
}

fn await_done(cluster: &Cluster, index: usize) -> Result<()> {
    let started = Instant::now();
    loop {
        let shown = cluster.run_tool(index, &["status", "ledger"]);
        if shown.is_ok_and(|(_, text)| text.contains("finished")) {
            return Ok(());
        }
        ensure!(
            started.elapsed() < bound(),
            "the task is not done within {:?}; logs in {}",
            bound(),
            cluster.folder.display()
        );
        thread::sleep(Duration::from_millis(50));
    }
}

/// await_start waits until the batch task runs.
fn await_start(cluster: &Cluster) -> Result<()> {
    wait::until("the task runs", || {
        oracle::spans(cluster).is_ok_and(|spans| oracle::running(&spans).len() == 2)
    })
}

fn finish(cluster: Cluster, result: Result<()>) -> Result<()> {
    // The folder with the logs is kept if the test fails.
    result?;
    cluster.finish()
}

fn play(cluster: &mut Cluster, after_ms: u64, mode: Mode) -> Result<()> {
    cluster.submit(0, &service("fleet", &[1]))?;
    cluster.await_running(0, "fleet", 1)?;
    cluster.submit(0, &batch("ledger", 1, 2_000, RUN_MS))?;
    await_start(cluster)?;
    let (first, _) = owner(cluster)?;
    move_rack(cluster, (first + 2) % 3)?;
    move_rack(cluster, first)?;
    thread::sleep(Duration::from_millis(after_ms));
    let control = cluster.daemons[first].platform_proxy_control;
    cluster.set_proxy_mode(control, mode)?;
    thread::sleep(HANG);
    cluster.set_proxy_mode(control, Mode::Pass)?;
    await_done(cluster, first)?;
    oracle::check(&oracle::spans(cluster)?)
}

/// Guards against an owner that stops for good if its first calls under a new
/// term are answered late.
#[rstest]
#[case::stall_at_once(Mode::Stall, 0)]
#[case::stall_later(Mode::Stall, 400)]
#[case::cut(Mode::Cut, 50)]
#[case::half_open(Mode::HalfOpen, 400)]
#[case::half_open_request(Mode::HalfOpenRequest, 0)]
fn task_is_done_although_the_new_owners_store_calls_hang(
    #[case] mode: Mode,
    #[case] after_ms: u64,
) -> Result<()> {
    for after_ms in delays_ms(after_ms)? {
        let mut cluster = start()?;
        let result = play(&mut cluster, after_ms, mode);
        finish(cluster, result)?;
    }
    Ok(())
}

/// delays_ms returns the times from the environment, or the default one.
fn delays_ms(default: u64) -> Result<Vec<u64>> {
    match env::var("TAKEOVER_DELAYS_MS") {
        Ok(list) => list.split(',').map(|ms| Ok(ms.parse()?)).collect(),
        Err(VarError::NotPresent) => Ok(vec![default]),
        Err(error) => Err(error.into()),
    }
}
