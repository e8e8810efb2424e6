// SPDX-License-Identifier: Apache-2.0
//! A leaving upstream gets no new work after a few seconds, and a planned stop of a
//! daemon interrupts no request. Runs real processes.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use anyhow::{Context, Result, ensure};
use serde_json::json;
use stackpier_core::{Kind, error::Ran};
use stackpier_protocol::platform::Standing;
use stackpier_standin::proxy::Mode;
use stackpier_testkit::{
    caller::{Answer, Call},
    cluster::{Cluster, Plan, service},
    process::Signal,
    wait,
};

/// NOTICE_TIME is the time after which a leaving upstream must get no new work.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// CALLERS is the number of callers that send requests at the same time.
const CALLERS: usize = 8;

fn start(work_ms: u64) -> Result<Cluster> {
    let cluster = Cluster::start(Plan {
        workers: 3,
        work_ms,
        times: json!({"heartbeat_ms": 200, "silence_ms": 1_000, "list_ms": 200, "sync_ms": 200}),
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &[3]))?;
    cluster.await_running(0, "fleet", 3)?;
    cluster.await_answers("fleet")?;
    Ok(cluster)
}

fn executions(cluster: &Cluster, index: usize) -> Result<usize> {
    Ok(cluster.log(index)?.executions.len())
}

#[test]
fn leaving_upstream_gets_nothing_new_although_only_one_daemon_sees_the_list() -> Result<()> {
    let mut cluster = start(1)?;
    for index in [1, 2] {
        cluster.set_proxy_mode(cluster.daemons[index].platform_proxy_control, Mode::Stall)?;
    }
    let leaving = cluster.workers[0].name;
    cluster.set_standing(leaving, Standing::Leaving)?;
    thread::sleep(NOTICE_TIME);
    let (requests, starts) = (executions(&cluster, 0)?, cluster.log(0)?.spans.len());
    for number in 0..60 {
        let to = cluster.daemons[number % 3].callers;
        let answer = Call::repeatable(to, "fleet", "after").send();
        ensure!(answer == Answer::Done("after".to_owned()), "{answer:?}");
    }
    ensure!(
        executions(&cluster, 0)? == requests,
        "a leaving upstream got a request"
    );
    ensure!(
        cluster.log(0)?.spans.len() == starts,
        "a leaving upstream got a start"
    );
    cluster.finish()
}

#[test]
fn planned_stop_under_load_interrupts_no_request() -> Result<()> {
    let mut cluster = start(80)?;
    let to = cluster.daemons[0].callers;
    let stop = AtomicBool::new(false);
    let answers = thread::scope(|scope| -> Result<Vec<Answer>> {
        let load = || {
            let mut answers = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let answer = Call::keyed(to, "fleet", "in flight").send();
                // Behind a load balancer, a caller that gets this answer would go to
                // another daemon.
                let is_stopping = matches!(answer, Answer::Failed(Kind::Stopping, _));
                let is_closed = answer == Answer::NotConnected;
                if !is_closed {
                    answers.push(answer);
                }
                if is_stopping || is_closed {
                    break;
                }
            }
            answers
        };
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(load)).collect();
        thread::sleep(Duration::from_millis(300));
        let process = cluster.daemons[0]
            .process
            .as_mut()
            .context("the daemon is not running")?;
        process.signal(Signal::Terminate)?;
        let mut status = None;
        let ended = wait::until("the daemon ends", || {
            status = process.exited().ok().flatten();
            status.is_some()
        });
        stop.store(true, Ordering::SeqCst);
        let answers = callers.into_iter().filter_map(|caller| caller.join().ok());
        let answers = answers.flatten().collect();
        ended?;
        ensure!(status.is_some_and(|status| status.success()), "{status:?}");
        Ok(answers)
    })?;
    let done = answers
        .iter()
        .filter(|a| matches!(a, Answer::Done(_)))
        .count();
    ensure!(done > CALLERS, "the load did not run: {done} answers");
    for answer in &answers {
        let stopping = Answer::Failed(Kind::Stopping, Ran::No);
        let whole = *answer == Answer::Done("in flight".to_owned());
        ensure!(whole || *answer == stopping, "{answer:?}");
    }
    let other = Call::repeatable(cluster.daemons[1].callers, "fleet", "others go on").send();
    ensure!(
        other == Answer::Done("others go on".to_owned()),
        "{other:?}"
    );
    cluster.finish()
}
