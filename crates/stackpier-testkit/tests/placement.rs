// SPDX-License-Identifier: Apache-2.0
//! No worker over-committed, no task in two places, evicted work resumed once,
//! with real processes that are killed, frozen and cut off.

use std::{thread, time::Duration};

use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use stackpier_core::Name;
use stackpier_protocol::platform::Standing;
use stackpier_standin::{platform::Faults, proxy::Mode, worker_http::Knobs};
use stackpier_state::work::Outcome;
use stackpier_testkit::{
    caller::{Answer, Call},
    cluster::{Cluster, Plan, batch, service},
    oracle,
    process::Signal,
    wait,
};

/// Past every lease and time-out below.
const LONG: Duration = Duration::from_millis(4_500);

fn times() -> Value {
    json!({
        "heartbeat_ms": 100, "silence_ms": 800, "list_ms": 100, "sync_ms": 200,
        "lease_ms": 2_000, "drift_ms": 300, "commit_ms": 50, "sweep_ms": 500,
    })
}

fn plan() -> Plan {
    Plan {
        workers: 4,
        workers_per_rack: 2,
        times: times(),
        ..Plan::default()
    }
}

fn finished(cluster: &Cluster, place: usize, job: &str, count: usize) -> Result<()> {
    wait::until(&format!("{count} tasks of {job} are done"), || {
        let shown = cluster.tool(place, &["status", job]);
        shown.is_ok_and(|(_, text)| text.matches("finished").count() == count)
    })
}

/// busy returns a worker that runs a task.
fn busy(cluster: &Cluster) -> Result<Name> {
    let spans = oracle::spans(cluster)?;
    let found = spans.iter().find(|(_, span)| span.ended.is_none());
    Ok(found.context("some worker runs a task")?.0)
}

#[test]
fn no_worker_over_committed_while_daemons_race_and_replies_are_lost() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    for number in 0..3 {
        // Each task takes over a third of a worker.
        cluster.submit(number, &batch(&format!("job-{number}"), 12, 12_000, 300))?;
    }
    cluster.faults(Faults {
        lose_replies: 12,
        ..Faults::default()
    })?;
    cluster.kill_daemon(0)?;
    cluster.start_daemon(0)?;
    for number in 0..3 {
        finished(&cluster, 1, &format!("job-{number}"), 12)?;
    }
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    for (_, span) in &spans {
        let at = span.started;
        let together = spans.iter().filter(|(worker, other)| {
            let same = spans.iter().any(|(w, s)| w == worker && s.run == span.run);
            let open = other.ended.is_none_or(|(ended, _)| ended > at);
            same && other.started <= at && open
        });
        ensure!(
            together.count() <= 2,
            "more than two tasks of 12 cores on 32 cores"
        );
    }
    Ok(())
}

#[test]
fn frozen_renewer_thaws_and_no_task_runs_twice() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.submit(0, &batch("ledger", 8, 4_000, 6_000))?;
    cluster.await_running(0, "fleet", 4)?;
    for place in 0..3 {
        if let Some(process) = &mut cluster.daemons[place].process {
            process.signal(Signal::Stop)?;
        }
        thread::sleep(LONG);
        oracle::check(&oracle::spans(&cluster)?)?;
        if let Some(process) = &mut cluster.daemons[place].process {
            process.signal(Signal::Continue)?;
        }
    }
    finished(&cluster, 0, "ledger", 8)?;
    cluster.await_running(1, "fleet", 4)?;
    oracle::check(&oracle::spans(&cluster)?)
}

#[test]
fn task_of_a_worker_cut_off_moves_once_its_lease_has_lapsed() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.await_running(0, "fleet", 4)?;
    let switch = cluster.worker(busy(&cluster)?)?.switch;
    cluster.switch(switch, Mode::Stall)?;
    wait::until("the task runs elsewhere", || {
        let spans = oracle::spans(&cluster);
        spans.is_ok_and(|spans| {
            let lost = |(_, span): &&(_, stackpier_standin::worker::Span)| {
                matches!(span.ended, Some((_, Outcome::Lost)))
            };
            spans.iter().any(|entry| lost(&entry)) && oracle::running(&spans).len() == 4
        })
    })?;
    cluster.switch(switch, Mode::Pass)?;
    thread::sleep(LONG);
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    ensure!(oracle::running(&spans).len() == 4, "four replicas run");
    Ok(())
}

#[test]
fn running_work_survives_an_outage_of_the_store() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.await_running(0, "fleet", 4)?;
    cluster.faults(Faults {
        outage: true,
        ..Faults::default()
    })?;
    thread::sleep(2 * LONG);
    let spans = oracle::spans(&cluster)?;
    ensure!(spans.len() == 4, "no task was started anew: {spans:?}");
    ensure!(oracle::running(&spans).len() == 4, "all tasks run on");
    for daemon in &cluster.daemons {
        let answer = Call::get(daemon.callers, "fleet", "during the outage").send();
        ensure!(
            answer == Answer::Done("during the outage".to_owned()),
            "{answer:?}"
        );
    }
    Ok(())
}

#[test]
fn evicted_work_resumes_once_while_daemons_are_killed() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    cluster.submit(0, &batch("ledger", 8, 4_000, 6_000))?;
    wait::until("all tasks run", || {
        oracle::spans(&cluster).is_ok_and(|spans| oracle::running(&spans).len() == 8)
    })?;
    let leaving = busy(&cluster)?;
    cluster.list(leaving, Standing::Leaving)?;
    for place in [0, 1, 2, 0, 1, 2] {
        // Spread the kills over the steps of checkpoint, commit and start.
        thread::sleep(Duration::from_millis(130));
        cluster.kill_daemon(place)?;
        cluster.start_daemon(place)?;
    }
    finished(&cluster, 1, "ledger", 8)?;
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    let saved = |entry: &&(_, stackpier_standin::worker::Span)| {
        matches!(entry.1.ended, Some((_, Outcome::Stopped(Some(_)))))
    };
    ensure!(
        spans.iter().filter(saved).count() > 0,
        "some task was evicted"
    );
    let done = |entry: &&(_, stackpier_standin::worker::Span)| {
        matches!(entry.1.ended, Some((_, Outcome::Finished)))
    };
    ensure!(
        spans.iter().filter(done).count() == 8,
        "each task finished once"
    );
    Ok(())
}

#[test]
fn killed_worker_and_its_restart_start_no_task_twice() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.await_running(0, "fleet", 4)?;
    cluster.kill_worker(0)?;
    cluster.start_worker(0)?;
    wait::until("four replicas run again", || {
        oracle::spans(&cluster).is_ok_and(|spans| oracle::running(&spans).len() == 4)
    })?;
    oracle::check(&oracle::spans(&cluster)?)
}

#[test]
fn batch_work_that_slows_a_service_down_is_evicted_and_resumes_elsewhere() -> Result<()> {
    let cluster = Cluster::start(Plan {
        workers: 2,
        workers_per_rack: 2,
        times: times(),
        ..Plan::default()
    })?;
    cluster.submit(0, &service("fleet", &[1]))?;
    cluster.await_running(0, "fleet", 1)?;
    let slowed = busy(&cluster)?;
    cluster.submit(0, &batch("ledger", 1, 2_000, 8_000))?;
    wait::until("the batch task runs beside the service", || {
        let spans = oracle::spans(&cluster);
        spans.is_ok_and(|spans| spans.iter().filter(|(worker, _)| *worker == slowed).count() == 2)
    })?;
    let place = cluster
        .workers
        .iter()
        .position(|worker| worker.name == slowed);
    let knobs = Knobs {
        slowdown_milli: 2_500,
        ..Knobs::default()
    };
    cluster.knobs(place.context("the worker is there")?, knobs)?;
    finished(&cluster, 0, "ledger", 1)?;
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    let resumed = spans.iter().find(|(_, span)| span.from.is_some());
    let (worker, _) = resumed.context("the task was evicted and resumed")?;
    ensure!(*worker != slowed, "it went back to the slowed worker");
    Ok(())
}

#[test]
fn worker_that_fails_all_it_starts_gets_no_more_tasks() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    let knobs = Knobs {
        fail_all: true,
        ..Knobs::default()
    };
    cluster.knobs(0, knobs)?;
    for number in 0..4 {
        // Two tasks fill a worker, so that a job needs all four.
        cluster.submit(number % 3, &batch(&format!("job-{number}"), 8, 16_000, 200))?;
        finished(&cluster, 0, &format!("job-{number}"), 8)?;
    }
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    let failed = |entry: &&(Name, stackpier_standin::worker::Span)| {
        matches!(entry.1.ended, Some((_, Outcome::Failed)))
    };
    let failures = spans.iter().filter(failed).count();
    ensure!(
        (1..16).contains(&failures),
        "{failures} starts failed for 32 tasks"
    );
    Ok(())
}
