// SPDX-License-Identifier: Apache-2.0
//! No worker is over-committed, no task runs on two workers at once, and evicted work
//! resumes once, while real processes are killed, suspended and cut off.

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

/// PAST_TIMEOUTS is longer than every lease and timeout of `times`.
const PAST_TIMEOUTS: Duration = Duration::from_millis(4_500);

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

fn await_finished(cluster: &Cluster, index: usize, job: &str, count: usize) -> Result<()> {
    wait::until(&format!("{count} tasks of {job} are done"), || {
        let shown = cluster.run_tool(index, &["status", job]);
        shown.is_ok_and(|(_, text)| text.matches("finished").count() == count)
    })
}

/// find_busy_worker returns a worker that runs a task.
fn find_busy_worker(cluster: &Cluster) -> Result<Name> {
    let spans = oracle::spans(cluster)?;
    let found = spans.iter().find(|(_, span)| span.ended.is_none());
    Ok(found.context("no worker runs a task")?.0)
}

#[test]
fn no_worker_over_committed_while_daemons_race_and_replies_are_lost() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    for number in 0..3 {
        // Each task takes over a third of a worker.
        cluster.submit(number, &batch(&format!("job-{number}"), 12, 12_000, 300))?;
    }
    cluster.set_faults(Faults {
        lose_replies: 12,
        ..Faults::default()
    })?;
    cluster.kill_daemon(0)?;
    cluster.start_daemon(0)?;
    for number in 0..3 {
        await_finished(&cluster, 1, &format!("job-{number}"), 12)?;
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
            "a worker with 32 cores runs more than two tasks of 12 cores"
        );
    }
    cluster.finish()
}

#[test]
fn suspended_renewer_resumes_and_no_task_runs_twice() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.submit(0, &batch("ledger", 8, 4_000, 6_000))?;
    cluster.await_running(0, "fleet", 4)?;
    for index in 0..3 {
        if let Some(process) = &mut cluster.daemons[index].process {
            process.signal(Signal::Stop)?;
        }
        thread::sleep(PAST_TIMEOUTS);
        oracle::check(&oracle::spans(&cluster)?)?;
        if let Some(process) = &mut cluster.daemons[index].process {
            process.signal(Signal::Continue)?;
        }
    }
    await_finished(&cluster, 0, "ledger", 8)?;
    cluster.await_running(1, "fleet", 4)?;
    oracle::check(&oracle::spans(&cluster)?)?;
    cluster.finish()
}

#[test]
fn task_of_a_worker_that_is_cut_off_moves_once_its_lease_has_expired() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.await_running(0, "fleet", 4)?;
    let proxy_control = cluster.worker(find_busy_worker(&cluster)?)?.proxy_control;
    cluster.set_proxy_mode(proxy_control, Mode::Stall)?;
    wait::until("the task runs elsewhere", || {
        let spans = oracle::spans(&cluster);
        spans.is_ok_and(|spans| {
            let lost = |(_, span): &&(_, stackpier_standin::worker::Span)| {
                matches!(span.ended, Some((_, Outcome::Lost)))
            };
            spans.iter().any(|entry| lost(&entry)) && oracle::running(&spans).len() == 4
        })
    })?;
    cluster.set_proxy_mode(proxy_control, Mode::Pass)?;
    thread::sleep(PAST_TIMEOUTS);
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    ensure!(oracle::running(&spans).len() == 4, "not four replicas run");
    cluster.finish()
}

#[test]
fn running_work_survives_an_outage_of_the_store() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    cluster.submit(0, &service("fleet", &[4]))?;
    cluster.await_running(0, "fleet", 4)?;
    cluster.set_faults(Faults {
        outage: true,
        ..Faults::default()
    })?;
    thread::sleep(2 * PAST_TIMEOUTS);
    let spans = oracle::spans(&cluster)?;
    ensure!(spans.len() == 4, "a task was started again: {spans:?}");
    ensure!(oracle::running(&spans).len() == 4, "a task stopped running");
    for daemon in &cluster.daemons {
        let answer = Call::repeatable(daemon.callers, "fleet", "during the outage").send();
        ensure!(
            answer == Answer::Done("during the outage".to_owned()),
            "{answer:?}"
        );
    }
    cluster.finish()
}

#[test]
fn evicted_work_resumes_once_while_daemons_are_killed() -> Result<()> {
    let mut cluster = Cluster::start(plan())?;
    cluster.submit(0, &batch("ledger", 8, 4_000, 6_000))?;
    wait::until("all tasks run", || {
        oracle::spans(&cluster).is_ok_and(|spans| oracle::running(&spans).len() == 8)
    })?;
    let leaving = find_busy_worker(&cluster)?;
    cluster.set_standing(leaving, Standing::Leaving)?;
    for index in [0, 1, 2, 0, 1, 2] {
        // The pause spreads the kills over the steps checkpoint, commit and start.
        thread::sleep(Duration::from_millis(130));
        cluster.kill_daemon(index)?;
        cluster.start_daemon(index)?;
    }
    await_finished(&cluster, 1, "ledger", 8)?;
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    let saved = |entry: &&(_, stackpier_standin::worker::Span)| {
        matches!(entry.1.ended, Some((_, Outcome::Stopped(Some(_)))))
    };
    ensure!(
        spans.iter().filter(saved).count() > 0,
        "no task was evicted"
    );
    let done = |entry: &&(_, stackpier_standin::worker::Span)| {
        matches!(entry.1.ended, Some((_, Outcome::Finished)))
    };
    ensure!(
        spans.iter().filter(done).count() == 8,
        "not every task finished once"
    );
    cluster.finish()
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
    oracle::check(&oracle::spans(&cluster)?)?;
    cluster.finish()
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
    let slowed = find_busy_worker(&cluster)?;
    cluster.submit(0, &batch("ledger", 1, 2_000, 8_000))?;
    wait::until("the batch task runs beside the service", || {
        let spans = oracle::spans(&cluster);
        spans.is_ok_and(|spans| spans.iter().filter(|(worker, _)| *worker == slowed).count() == 2)
    })?;
    let index = cluster
        .workers
        .iter()
        .position(|worker| worker.name == slowed);
    let knobs = Knobs {
        slowdown_milli: 2_500,
        ..Knobs::default()
    };
    cluster.set_knobs(index.context("the worker is not in the list")?, knobs)?;
    await_finished(&cluster, 0, "ledger", 1)?;
    let spans = oracle::spans(&cluster)?;
    oracle::check(&spans)?;
    let resumed = spans.iter().find(|(_, span)| span.from.is_some());
    let (worker, _) = resumed.context("no task was evicted and resumed")?;
    ensure!(*worker != slowed, "the task went back to the slowed worker");
    cluster.finish()
}

#[test]
fn worker_that_fails_all_it_starts_gets_no_more_tasks() -> Result<()> {
    let cluster = Cluster::start(plan())?;
    let knobs = Knobs {
        fail_all: true,
        ..Knobs::default()
    };
    cluster.set_knobs(0, knobs)?;
    for number in 0..4 {
        // Two tasks use a whole worker, so that a job of eight needs all four workers.
        cluster.submit(number % 3, &batch(&format!("job-{number}"), 8, 16_000, 200))?;
        await_finished(&cluster, 0, &format!("job-{number}"), 8)?;
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
    cluster.finish()
}
