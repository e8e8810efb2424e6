// SPDX-License-Identifier: Apache-2.0
//! `cargo xtask measure capacity`: measures what idle daemons use (processor time, memory, network
//! and store traffic) at several sizes of a deployment on loopback.

use std::{fs, thread, time::Duration};

use anyhow::{Context, Result};
use stackpier_standin::platform::Stats;
use stackpier_testkit::{
    cluster::{Cluster, Plan, get, service},
    wait,
};

/// WORKERS are the deployment sizes that are measured, in workers.
const WORKERS: [usize; 4] = [8, 16, 32, 48];
/// WORKERS_PER_RACK is the rack size of the operators' deployments.
const WORKERS_PER_RACK: usize = 8;
/// TASKS_PER_WORKER is the number of service tasks on each worker.
const TASKS_PER_WORKER: usize = 3;
/// SETTLE is the pause before a measurement, in which start-up activity ends.
const SETTLE: Duration = Duration::from_secs(4);
/// LENGTH is the duration of a measurement.
const LENGTH: Duration = Duration::from_secs(10);
/// TICKS_PER_SECOND is the number of clock ticks per second in which `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Sample holds the totals of one daemon since it started.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    processor_s: f64,
    sent_bytes: f64,
    received_bytes: f64,
    messages: f64,
}

/// run measures each deployment size and prints a row for it.
pub fn run() -> Result<()> {
    println!(
        "{:>7} {:>6} {:>7} {:>10} {:>9} {:>12} {:>12} {:>9} {:>8} {:>8} {:>12}",
        "workers",
        "tasks",
        "daemons",
        "cpu %",
        "RSS MiB",
        "peer out B/s",
        "peer in B/s",
        "msgs/s",
        "reads/s",
        "writes/s",
        "store B/s"
    );
    for workers in WORKERS {
        measure(workers)?;
    }
    Ok(())
}

fn measure(workers: usize) -> Result<()> {
    let cluster = Cluster::start(Plan {
        workers,
        workers_per_rack: WORKERS_PER_RACK,
        connections: 4,
        ..Plan::default()
    })?;
    let tasks = workers * TASKS_PER_WORKER;
    cluster.submit(0, &service("fleet", &[tasks as u32]))?;
    cluster.await_running(0, "fleet", tasks)?;
    wait::until("every daemon knows all tasks", || {
        (0..cluster.daemons.len()).all(|place| cluster.await_running(place, "fleet", tasks).is_ok())
    })?;
    thread::sleep(SETTLE);
    let (before, store_before) = (samples(&cluster)?, cluster.stats()?);
    thread::sleep(LENGTH);
    let (after, store_after) = (samples(&cluster)?, cluster.stats()?);
    let seconds = LENGTH.as_secs_f64();
    let daemons = cluster.daemons.len() as f64;
    let each = |part: fn(&Sample) -> f64| {
        let sum = |all: &[Sample]| all.iter().map(part).sum::<f64>();
        (sum(&after) - sum(&before)) / seconds / daemons
    };
    let bytes = |stats: &Stats| stats.read_bytes + stats.written_bytes;
    println!(
        "{workers:>7} {tasks:>6} {daemons:>7} {:>10.2} {:>9.1} {:>12.0} {:>12.0} {:>9.1} {:>8.1} {:>8.2} {:>12.0}",
        each(|s| s.processor_s) * 100.0,
        memory_mib(&cluster)?,
        each(|s| s.sent_bytes),
        each(|s| s.received_bytes),
        each(|s| s.messages),
        (store_after.reads - store_before.reads) as f64 / seconds,
        (store_after.writes - store_before.writes) as f64 / seconds,
        (bytes(&store_after) - bytes(&store_before)) as f64 / seconds,
    );
    cluster.finish()
}

fn samples(cluster: &Cluster) -> Result<Vec<Sample>> {
    let sample = |daemon: &stackpier_testkit::cluster::Daemon| {
        let id = daemon.process.as_ref().context("the daemon runs")?.id();
        let text = String::from_utf8(get(daemon.operators, "/metrics")?)?;
        Ok(Sample {
            processor_s: processor_s(id)?,
            sent_bytes: metric(&text, "stackpier_peer_bytes_sent"),
            received_bytes: metric(&text, "stackpier_peer_bytes_received"),
            messages: metric(&text, "stackpier_peer_messages_sent"),
        })
    };
    cluster.daemons.iter().map(sample).collect()
}

fn metric(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter(|line| line.starts_with(name));
    let value = lines.next().and_then(|line| line.rsplit(' ').next());
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(f64::NAN)
}

/// processor_s returns the user and system time of a process, fields 14 and 15 of its `stat`.
fn processor_s(id: u32) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |place: usize| {
        fields
            .get(place)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

/// memory_mib returns the largest resident set of a daemon.
fn memory_mib(cluster: &Cluster) -> Result<f64> {
    let mut largest = 0.0_f64;
    for daemon in &cluster.daemons {
        let id = daemon.process.as_ref().context("the daemon runs")?.id();
        let text = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        largest = largest.max(kib.unwrap_or(0.0) / 1_024.0);
    }
    Ok(largest)
}
