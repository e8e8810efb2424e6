// SPDX-License-Identifier: Apache-2.0
//! Work goes on although a daemon can't reach the platform's store while the
//! others can.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use rstest::rstest;
use serde_json::{Value, json};
use stackpier_standin::proxy::Mode;
use stackpier_state::work::Run;
use stackpier_testkit::{
    cluster::{Cluster, Plan, batch, service},
    oracle, wait,
};

/// SILENCE_MS is the time after which a daemon counts as unreachable, and as
/// without the store.
const SILENCE_MS: u64 = 800;
/// LEASE_MS is the length of a worker's lease.
const LEASE_MS: u64 = 5_000;
/// SHORT_LEASE_MS is the length of a lease that may lapse before another daemon takes over.
const SHORT_LEASE_MS: u64 = 2_000;
/// DRIFT_MS is the time added to a lease before it counts as expired.
const DRIFT_MS: u64 = 300;
/// SWEEP_MS is the time between two sweeps of owners and placers.
const SWEEP_MS: u64 = 500;
/// STORE_LIMIT_MS is the time-out of a call to the store.
const STORE_LIMIT_MS: u64 = 2_000;
/// RUN_MS is the run time of the task.
const RUN_MS: u64 = 6_000;
/// OUTAGE is how long all daemons are without the store. It is longer than the
/// silence and the lease.
const OUTAGE: Duration = Duration::from_millis(2 * SILENCE_MS + LEASE_MS + DRIFT_MS);

/// bound returns the time within which the task must be done after the cut: each
/// hint may be lost once. It is the same for both lengths of leases.
fn bound() -> Duration {
    let run = SHORT_LEASE_MS + DRIFT_MS + RUN_MS;
    Duration::from_millis(run + 4 * (SWEEP_MS + STORE_LIMIT_MS))
}

fn start() -> Result<Cluster> {
    start_with(LEASE_MS)
}

fn start_with(lease_ms: u64) -> Result<Cluster> {
    Cluster::start(Plan {
        workers: 2,
        workers_per_rack: 2,
        times: json!({
            "heartbeat_ms": 100, "silence_ms": SILENCE_MS, "list_ms": 100, "sync_ms": 200,
            "lease_ms": lease_ms, "drift_ms": DRIFT_MS, "commit_ms": 50, "sweep_ms": SWEEP_MS,
        }),
        ..Plan::default()
    })
}

/// lines returns the log lines with a text, with the number of their daemon.
fn lines(cluster: &Cluster, text: &str) -> Result<Vec<(usize, Value)>> {
    let mut found = Vec::new();
    for (index, daemon) in cluster.daemons.iter().enumerate() {
        let log = fs::read_to_string(cluster.folder.join(format!("{}.log", daemon.vm)))?;
        for line in log.lines().filter(|line| line.contains(text)) {
            found.push((index, serde_json::from_str(line)?));
        }
    }
    Ok(found)
}

/// find_owner returns the number of the daemon that last took the rack over, and
/// the term.
fn find_owner(cluster: &Cluster) -> Result<(usize, u64)> {
    let taken = lines(cluster, "lease: rack taken over")?;
    let terms = taken
        .iter()
        .filter_map(|(index, line)| Some((line["term"].as_u64()?, *index)));
    let (term, index) = terms.max().context("no daemon took the rack over")?;
    Ok((index, term))
}

/// find_placer returns the number of the daemon that claimed a worker for a run.
fn find_placer(cluster: &Cluster, run: Run) -> Result<usize> {
    let id = format!("{:x}.{}.{}", run.task.job.0, run.task.index, run.attempt.0);
    let claimed = lines(cluster, "place: task claimed")?;
    let found = claimed.iter().find(|(_, line)| line["run"] == id.as_str());
    Ok(found.context("no daemon claimed the run")?.0)
}

/// start_task starts a service and then a batch task, and returns the task's run.
fn start_task(cluster: &Cluster) -> Result<Run> {
    cluster.submit(0, &service("fleet", &[1]))?;
    cluster.await_running(0, "fleet", 1)?;
    let before = oracle::running(&oracle::spans(cluster)?);
    cluster.submit(0, &batch("ledger", 1, 2_000, RUN_MS))?;
    let mut run = None;
    wait::until("the task runs", || {
        let running = oracle::spans(cluster).map(|spans| oracle::running(&spans));
        run = running.ok().and_then(|running| {
            let mut new = running.into_iter().filter(|run| !before.contains(run));
            new.next()
        });
        run.is_some()
    })?;
    run.context("no run")
}

fn await_done(cluster: &Cluster, index: usize) -> Result<()> {
    let started = Instant::now();
    let mut shown = cluster.run_tool(index, &["status", "ledger"])?;
    while !shown.1.contains("finished") {
        ensure!(
            started.elapsed() < bound(),
            "the task is not done within {:?}, but {shown:?}; logs in {}",
            bound(),
            cluster.folder.display()
        );
        thread::sleep(Duration::from_millis(50));
        shown = cluster.run_tool(index, &["status", "ledger"])?;
    }
    Ok(())
}

/// check_runs verifies that each task was started once: no lease lapsed.
fn check_runs(cluster: &Cluster) -> Result<()> {
    let spans = oracle::spans(cluster)?;
    oracle::check(&spans)?;
    ensure!(spans.len() == 2, "a task was started again: {spans:?}");
    Ok(())
}

fn set_store(cluster: &Cluster, index: usize, mode: Mode) -> Result<()> {
    cluster.set_proxy_mode(cluster.daemons[index].platform_proxy_control, mode)
}

/// Guards against an owner that keeps its rack, without a log line, and the ends
/// of runs to itself, while it alone can't reach the store. A short lease may
/// lapse, so the task may start again then.
#[rstest]
fn task_is_done_although_its_owner_alone_cannot_reach_the_store(
    #[values(Mode::Stall, Mode::Cut)] mode: Mode,
    #[values(SHORT_LEASE_MS, LEASE_MS)] lease_ms: u64,
) -> Result<()> {
    let cluster = start_with(lease_ms)?;
    start_task(&cluster)?;
    let (owner, _) = find_owner(&cluster)?;
    set_store(&cluster, owner, mode)?;
    await_done(&cluster, (owner + 1) % 3)?;
    if lease_ms == LEASE_MS {
        check_runs(&cluster)?;
    } else {
        oracle::check(&oracle::spans(&cluster)?)?;
    }
    cluster.finish()
}

/// Guards against a placer that keeps its shard of homes while it alone can't
/// reach the store.
#[rstest]
fn task_is_done_although_its_placer_alone_cannot_reach_the_store(
    #[values(Mode::Stall, Mode::Cut)] mode: Mode,
) -> Result<()> {
    let cluster = start()?;
    let run = start_task(&cluster)?;
    let placer = find_placer(&cluster, run)?;
    set_store(&cluster, placer, mode)?;
    await_done(&cluster, (placer + 1) % 3)?;
    check_runs(&cluster)?;
    cluster.finish()
}

/// Guards against racks that move, or work that ends, while no daemon can reach
/// the store.
#[test]
fn rack_stays_while_no_daemon_can_reach_the_store() -> Result<()> {
    let cluster = start()?;
    start_task(&cluster)?;
    let before = find_owner(&cluster)?;
    for index in 0..3 {
        set_store(&cluster, index, Mode::Stall)?;
    }
    thread::sleep(OUTAGE);
    let after = find_owner(&cluster)?;
    ensure!(before == after, "the rack moved: {before:?} to {after:?}");
    for index in 0..3 {
        set_store(&cluster, index, Mode::Pass)?;
    }
    await_done(&cluster, 0)?;
    check_runs(&cluster)?;
    cluster.finish()
}

/// Guards against a daemon that stays left out after it has the store again, and
/// that keeps operators waiting until then.
#[test]
fn daemon_is_used_again_once_it_has_the_store_again() -> Result<()> {
    let cluster = start()?;
    start_task(&cluster)?;
    let (owner, _) = find_owner(&cluster)?;
    set_store(&cluster, owner, Mode::Stall)?;
    let others = |text: &'static str| {
        let found = lines(&cluster, text);
        found.is_ok_and(|found| found.iter().filter(|(index, _)| *index != owner).count() >= 2)
    };
    wait::until("the owner is left out", || {
        others("member: daemon left out")
    })?;
    let asked = Instant::now();
    let (code, text) = cluster.run_tool(owner, &["status", "ledger"])?;
    ensure!(
        code != 0 && text.contains("does not reach the store"),
        "status: {code}, {text}"
    );
    ensure!(
        asked.elapsed() < Duration::from_millis(STORE_LIMIT_MS),
        "status was refused only after {:?}",
        asked.elapsed()
    );
    set_store(&cluster, owner, Mode::Pass)?;
    wait::until("the owner is back", || {
        others("member: daemon no longer left out")
    })?;
    await_done(&cluster, owner)?;
    check_runs(&cluster)?;
    cluster.finish()
}
