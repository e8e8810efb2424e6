// SPDX-License-Identifier: Apache-2.0
//! What was accepted is in force everywhere and never reverts; what was not
//! accepted never takes force. With real processes.

use std::thread;

use anyhow::{Result, ensure};
use serde_json::{Value, json};
use stackpier_core::Kind;
use stackpier_standin::{platform::Faults, proxy::Mode};
use stackpier_testkit::{
    cluster::{Cluster, Plan, service},
    wait,
};

/// OPERATORS is the count of operators that race.
const OPERATORS: usize = 4;
/// CHANGES is how many changes each makes.
const CHANGES: usize = 6;

fn start() -> Result<Cluster> {
    Cluster::start(Plan {
        data_centres: 2,
        daemons: 2,
        workers: 1,
        times: json!({"heartbeat_ms": 100, "silence_ms": 800, "list_ms": 100, "poll_ms": 200}),
        ..Plan::default()
    })
}

fn version(cluster: &Cluster, place: usize, name: &str) -> Option<u64> {
    let (code, text) = cluster.tool(place, &["--json", "get", name]).ok()?;
    let object: Value = serde_json::from_str(&text).ok()?;
    (code == 0).then(|| object["version"].as_u64()).flatten()
}

fn in_force(cluster: &Cluster, name: &str, wanted: u64) -> Result<()> {
    for place in 0..cluster.daemons.len() {
        wait::until("the version is in force", || {
            version(cluster, place, name) >= Some(wanted)
        })?;
    }
    Ok(())
}

fn outage(cluster: &Cluster, outage: bool) -> Result<()> {
    cluster.faults(Faults {
        outage,
        ..Faults::default()
    })
}

#[test]
fn accepted_just_before_an_outage_is_in_force_and_survives_restarts() -> Result<()> {
    let mut cluster = start()?;
    cluster.submit(0, &service("fleet", &[1, 0]))?;
    in_force(&cluster, "fleet", 1)?;
    cluster.submit(0, &service("fleet", &[1, 1]))?;
    outage(&cluster, true)?;
    in_force(&cluster, "fleet", 2)?;
    // Fresh VMs start from their peers while the platform is away.
    for place in [1, 3] {
        cluster.kill_daemon(place)?;
        cluster.start_daemon(place)?;
        cluster.await_ready(place)?;
    }
    in_force(&cluster, "fleet", 2)?;
    let refused = cluster.submit(2, &service("fleet", &[0, 0]));
    ensure!(refused.is_err(), "accepted without a store");
    outage(&cluster, false)?;
    cluster.submit(2, &service("other", &[0, 0]))?;
    in_force(&cluster, "other", 1)?;
    for place in 0..cluster.daemons.len() {
        ensure!(
            version(&cluster, place, "fleet") == Some(2),
            "what was refused took force"
        );
    }
    Ok(())
}

#[test]
fn daemon_cut_from_its_peers_or_from_the_store_still_learns() -> Result<()> {
    let cluster = start()?;
    cluster.link(0, 1, Mode::Cut)?;
    cluster.submit(0, &service("by-store", &[1, 0]))?;
    in_force(&cluster, "by-store", 1)?;
    cluster.link(0, 1, Mode::Pass)?;
    cluster.switch(cluster.daemons[3].platform_switch, Mode::Cut)?;
    cluster.submit(0, &service("by-peers", &[1, 0]))?;
    in_force(&cluster, "by-peers", 1)
}

#[test]
fn racing_operators_with_lost_replies_lose_no_change() -> Result<()> {
    let cluster = start()?;
    cluster.submit(0, &service("fleet", &[0, 0]))?;
    in_force(&cluster, "fleet", 1)?;
    cluster.faults(Faults {
        lose_replies: 10,
        ..Faults::default()
    })?;
    let race = |operator: usize| {
        let mut accepted = 0;
        for _ in 0..CHANGES {
            let place = operator % cluster.daemons.len();
            let seen = version(&cluster, place, "fleet").unwrap_or(0).to_string();
            let file = cluster.folder.join("fleet.json").display().to_string();
            let words = ["--expect", &seen, "submit", &file];
            match cluster.tool(place, &words) {
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
            .map(|n| scope.spawn(move || race(n)))
            .collect();
        operators
            .into_iter()
            .map(|operator| operator.join().unwrap_or(0))
            .sum()
    });
    ensure!(accepted > 0, "nobody won");
    in_force(&cluster, "fleet", 1 + accepted)?;
    for place in 0..cluster.daemons.len() {
        let last = version(&cluster, place, "fleet");
        ensure!(
            last == Some(1 + accepted),
            "{accepted} accepted, at {last:?}"
        );
    }
    Ok(())
}
