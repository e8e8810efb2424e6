// SPDX-License-Identifier: Apache-2.0
//! Checks of the workers' logs that must hold whatever faults were injected.

use std::collections::BTreeMap;

use anyhow::{Result, ensure};
use stackpier_core::{Name, key::Task};
use stackpier_standin::worker::Span;
use stackpier_state::work::{Outcome, Run};

use crate::cluster::Cluster;

/// Spans lists the runs of all workers, each with its worker.
pub type Spans = Vec<(Name, Span)>;

/// spans returns the runs from the logs of all running workers. A worker that is
/// killed takes its log with it.
pub fn spans(cluster: &Cluster) -> Result<Spans> {
    let mut spans = Vec::new();
    for (index, worker) in cluster.workers.iter().enumerate() {
        if worker.process.is_some() {
            let log = cluster.log(index)?;
            spans.extend(log.spans.into_iter().map(|span| (worker.name, span)));
        }
    }
    Ok(spans)
}

/// check verifies that no task ran on two workers at once, that no run started
/// twice, and that a run after an eviction resumed from the saved checkpoint.
pub fn check(spans: &Spans) -> Result<()> {
    let mut by_task: BTreeMap<Task, Vec<&(Name, Span)>> = BTreeMap::new();
    for entry in spans {
        by_task.entry(entry.1.run.task).or_default().push(entry);
    }
    for runs in by_task.values_mut() {
        runs.sort_by_key(|(_, span)| span.run.attempt);
        for pair in runs.windows(2) {
            check_pair(pair[0], pair[1])?;
        }
    }
    Ok(())
}

/// check_pair verifies the rules of `check` for two successive runs of a task.
fn check_pair(one: &(Name, Span), next: &(Name, Span)) -> Result<()> {
    let (first, second) = (&one.1, &next.1);
    ensure!(
        first.run != second.run,
        "{:?} started twice: {one:?} {next:?}",
        first.run
    );
    let Some((ended, outcome)) = first.ended else {
        anyhow::bail!("{next:?} started while {one:?} runs");
    };
    ensure!(
        ended <= second.started,
        "{next:?} started before {one:?} ended"
    );
    if let Outcome::Stopped(Some(saved)) = outcome {
        let follows = second.run.attempt == first.run.attempt.next();
        ensure!(
            !follows || second.from == Some(saved),
            "{next:?} did not resume {one:?}"
        );
    }
    Ok(())
}

/// running returns the runs that have not ended.
pub fn running(spans: &Spans) -> Vec<Run> {
    let open = spans.iter().filter(|(_, span)| span.ended.is_none());
    open.map(|(_, span)| span.run).collect()
}
