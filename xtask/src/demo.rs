// SPDX-License-Identifier: Apache-2.0
//! The demo: submits a service and a batch job to real processes and sends requests to them.

use anyhow::{Result, ensure};
use stackpier_testkit::{
    caller::{Answer, Call},
    cluster::{Cluster, Plan, batch, service},
    wait,
};

/// run starts two data centres with two daemons each, submits a service and a batch job, calls
/// the service through each daemon, kills one daemon, and calls the service through the others.
pub fn run() -> Result<()> {
    println!("starting: 1 platform, 2 data centres with 2 daemons and 2 workers each");
    let mut cluster = Cluster::start(Plan {
        data_centres: 2,
        daemons: 2,
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &[2, 1]))?;
    println!("accepted: service 'fleet', 2 replicas in dc-a and 1 in dc-b");
    cluster.await_running(0, "fleet", 2)?;
    cluster.submit(1, &batch("ledger", 3, 1_000, 500))?;
    println!("accepted: batch job 'ledger', 3 tasks");
    for place in 0..cluster.daemons.len() {
        call(&cluster, place)?;
    }
    wait::until("the batch job is done", || {
        let shown = cluster.run_tool(0, &["status", "ledger"]);
        shown.is_ok_and(|(_, text)| text.matches("finished").count() == 3)
    })?;
    println!(
        "{}",
        cluster.run_tool(0, &["status", "fleet"])?.1.trim_end()
    );
    println!(
        "{}",
        cluster.run_tool(0, &["status", "ledger"])?.1.trim_end()
    );
    cluster.kill_daemon(0)?;
    println!("killed: {}", cluster.daemons[0].vm);
    for place in 1..cluster.daemons.len() {
        call(&cluster, place)?;
    }
    cluster.finish()?;
    println!("demo passed");
    Ok(())
}

fn call(cluster: &Cluster, place: usize) -> Result<()> {
    let daemon = &cluster.daemons[place];
    let body = format!("hello from {}", daemon.vm);
    wait::until("the daemon answers a call", || {
        Call::repeatable(daemon.callers, "fleet", &body).send() == Answer::Done(body.clone())
    })?;
    let mut answer = Answer::NoAnswer;
    wait::until("a request that must not be repeated is run", || {
        let once = Call::keyed(daemon.callers, "fleet", &body);
        answer = once.send();
        answer == Answer::Done(body.clone())
    })?;
    ensure!(answer == Answer::Done(body.clone()), "{answer:?}");
    println!(
        "answered: {} ({}): '{body}', also at most once",
        daemon.vm, daemon.data_centre
    );
    Ok(())
}
