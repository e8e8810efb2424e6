// SPDX-License-Identifier: Apache-2.0
//! A request and an intent pass through all processes, from the caller to the worker.

use anyhow::Result;
use stackpier_testkit::{
    caller::{Answer, Call},
    cluster::{Cluster, Plan, batch, service},
    wait,
};

#[test]
fn intent_is_placed_and_every_daemon_answers() -> Result<()> {
    let cluster = Cluster::start(Plan {
        data_centres: 2,
        daemons: 2,
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &[2, 1]))?;
    cluster.await_running(0, "fleet", 2)?;
    for daemon in &cluster.daemons {
        let body = format!("from {}", daemon.vm);
        wait::until("the daemon answers", || {
            Call::repeatable(daemon.callers, "fleet", &body).send() == Answer::Done(body.clone())
        })?;
    }
    cluster.finish()
}

#[test]
fn batch_job_finishes() -> Result<()> {
    let cluster = Cluster::start(Plan::default())?;
    cluster.submit(0, &batch("ledger", 4, 1_000, 200))?;
    wait::until("all tasks are done", || {
        let shown = cluster.run_tool(1, &["status", "ledger"]);
        shown.is_ok_and(|(_, text)| text.matches("finished").count() == 4)
    })?;
    cluster.finish()
}
