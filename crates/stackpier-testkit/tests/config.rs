// SPDX-License-Identifier: Apache-2.0
//! An accepted change takes effect on every daemon and is never reverted. A refused
//! change never takes effect. Runs real processes.

use std::thread;

use anyhow::{Result, ensure};
use serde_json::{Value, json};
use stackpier_core::Kind;
use stackpier_standin::{platform::Faults, proxy::Mode};
use stackpier_testkit::{
    cluster::{Cluster, Plan, service},
    wait,
};

/// OPERATORS is the number of operators that submit changes at the same time.
const OPERATORS: usize = 4;
/// CHANGES_PER_OPERATOR is the number of changes that each of them submits.
const CHANGES_PER_OPERATOR: usize = 6;

fn start() -> Result<Cluster> {
    Cluster::start(Plan {
        data_centres: 2,
        daemons: 2,
        workers: 1,
        times: json!({"heartbeat_ms": 100, "silence_ms": 800, "list_ms": 100, "poll_ms": 200}),
        ..Plan::default()
    })
}

fn version(cluster: &Cluster, index: usize, name: &str) -> Option<u64> {
    let (code, text) = cluster.run_tool(index, &["--json", "get", name]).ok()?;
    let object: Value = serde_json::from_str(&text).ok()?;
    (code == 0).then(|| object["version"].as_u64()).flatten()
}

fn await_in_force(cluster: &Cluster, name: &str, wanted: u64) -> Result<()> {
    for index in 0..cluster.daemons.len() {
        wait::until("the version is in force", || {
            version(cluster, index, name) >= Some(wanted)
        })?;
    }
    Ok(())
}

fn set_outage(cluster: &Cluster, outage: bool) -> Result<()> {
    cluster.set_faults(Faults {
        outage,
        ..Faults::default()
    })
}

#[test]
fn change_accepted_just_before_an_outage_takes_effect_and_survives_restarts() -> Result<()> {
    let mut cluster = start()?;
    cluster.submit(0, &service("fleet", &[1, 0]))?;
    await_in_force(&cluster, "fleet", 1)?;
    cluster.submit(0, &service("fleet", &[1, 1]))?;
    set_outage(&cluster, true)?;
    await_in_force(&cluster, "fleet", 2)?;
    // During the outage, restarted daemons get the state from their peers.
    for index in [1, 3] {
        cluster.kill_daemon(index)?;
        cluster.start_daemon(index)?;
        cluster.await_ready(index)?;
    }
    await_in_force(&cluster, "fleet", 2)?;
    let refused = cluster.submit(2, &service("fleet", &[0, 0]));
    ensure!(
        refused.is_err(),
        "a change was accepted during an outage of the store"
    );
    set_outage(&cluster, false)?;
    cluster.submit(2, &service("other", &[0, 0]))?;
    await_in_force(&cluster, "other", 1)?;
    for index in 0..cluster.daemons.len() {
        ensure!(
            version(&cluster, index, "fleet") == Some(2),
            "a refused change took effect"
        );
    }
    cluster.finish()
}

#[test]
fn daemon_cut_off_from_its_peers_or_from_the_store_still_receives_changes() -> Result<()> {
    let cluster = start()?;
    cluster.set_link_mode(0, 1, Mode::Cut)?;
    cluster.submit(0, &service("by-store", &[1, 0]))?;
    await_in_force(&cluster, "by-store", 1)?;
    cluster.set_link_mode(0, 1, Mode::Pass)?;
    cluster.set_proxy_mode(cluster.daemons[3].platform_proxy_control, Mode::Cut)?;
    cluster.submit(0, &service("by-peers", &[1, 0]))?;
    await_in_force(&cluster, "by-peers", 1)?;
    cluster.finish()
}

#[test]
fn racing_operators_with_lost_replies_lose_no_change() -> Result<()> {
    let cluster = start()?;
    cluster.submit(0, &service("fleet", &[0, 0]))?;
    await_in_force(&cluster, "fleet", 1)?;
    cluster.set_faults(Faults {
        lose_replies: 10,
        ..Faults::default()
    })?;
    let submit_changes = |operator: usize| {
        let mut accepted = 0;
        for _ in 0..CHANGES_PER_OPERATOR {
            let index = operator % cluster.daemons.len();
            let seen = version(&cluster, index, "fleet").unwrap_or(0).to_string();
            let file = cluster.folder.join("fleet.json").display().to_string();
            let args = ["--expect", &seen, "submit", &file];
            match cluster.run_tool(index, &args) {
                Ok((0, _)) => accepted += 1,
                Ok((code, text)) => {
                    let conflict = Kind::Conflict.answer().exit;
                    assert_eq!(code, conflict, "{text}");
                }
                Err(error) => panic!("{error}"),
            }
        }
        accepted
    };
    let accepted: u64 = thread::scope(|scope| {
        let operators: Vec<_> = (0..OPERATORS)
            .map(|n| scope.spawn(move || submit_changes(n)))
            .collect();
        operators
            .into_iter()
            .map(|operator| operator.join().unwrap_or(0))
            .sum()
    });
    ensure!(accepted > 0, "no change was accepted");
    await_in_force(&cluster, "fleet", 1 + accepted)?;
    for index in 0..cluster.daemons.len() {
        let last = version(&cluster, index, "fleet");
        ensure!(
            last == Some(1 + accepted),
            "{accepted} changes were accepted, the version is {last:?}"
        );
    }
    cluster.finish()
}
