// SPDX-License-Identifier: Apache-2.0
//! The outcome of a simulated scenario.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use stackpier_cell::{Event, Renewed};

/// EventKind classifies the events that the owner receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum EventKind {
    /// A worker's report without ended runs.
    Report,
    /// A worker's report with ended runs, or an unanswered lease renewal.
    Ends,
    /// The periodic tick.
    Tick,
    /// A job was accepted or cancelled.
    Job,
    /// Any other event.
    Other,
}

impl From<&Event> for EventKind {
    fn from(event: &Event) -> EventKind {
        match event {
            Event::Renewed {
                outcome: Renewed::Report(report),
                ..
            } if report.ended.is_empty() => EventKind::Report,
            Event::Renewed { .. } => EventKind::Ends,
            Event::Tick => EventKind::Tick,
            Event::Accepted { .. } | Event::Cancelled(_) => EventKind::Job,
            _ => EventKind::Other,
        }
    }
}

/// KindOutcome holds the outcome of the jobs of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindOutcome {
    /// Jobs that were accepted or refused for good.
    pub jobs: u64,
    /// Jobs that were refused until their client account gave up.
    pub refused: u64,
    /// Jobs that met their deadline.
    pub in_time: u64,
    /// Jobs that missed their deadline but still earned something.
    pub late: u64,
    /// The value that was achievable.
    #[serde(rename = "owed")]
    pub achievable: f64,
    /// The value that was earned.
    pub earned: f64,
    /// The time from each job's submission to its first start, in milliseconds.
    #[serde(skip)]
    pub first_ms: Vec<u64>,
    /// For each job, the time between the starts of the first and the last task of its first step,
    /// in milliseconds.
    #[serde(skip)]
    pub spread_ms: Vec<u64>,
}

impl KindOutcome {
    /// goodput returns the share of the achievable value that was earned.
    pub fn goodput(&self) -> f64 {
        if self.achievable == 0.0 {
            return 1.0;
        }
        self.earned / self.achievable
    }
}

/// percentile returns a percentile of times, zero if there are none.
pub fn percentile(times: &[u64], share: f64) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * share) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0)
}

/// Outcome holds the counts and figures of a simulated scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The outcome of each kind of job, by the kind's name.
    pub kinds: BTreeMap<&'static str, KindOutcome>,
    /// Starts that workers accepted.
    pub starts: u64,
    /// Starts of tasks of which a run was already done.
    pub repeats: u64,
    /// Stop orders that the owner sent.
    pub stops: u64,
    /// Starts of best-effort tasks on workers without serving tasks.
    pub best_effort_starts_apart: u64,
    /// Starts of best-effort tasks.
    pub best_effort_starts: u64,
    /// Time over the latency target because of best-effort tasks on the worker, in seconds, summed
    /// over all serving tasks.
    pub harmed_s: f64,
    /// Time not running although requested, in seconds, summed over all serving tasks.
    pub not_running_s: f64,
    /// The longest time that a ready step had no task running, in milliseconds.
    pub longest_idle_ms: u64,
    /// How many times the placement rated a worker for a task.
    pub ratings: u64,
    /// The most ratings within one call of the owner's decisions.
    pub max_ratings: u64,
    /// How long each call of the owner's decisions took, by the real clock and by kind of event.
    pub step_times: BTreeMap<EventKind, Vec<Duration>>,
}

impl Outcome {
    /// goodput returns the share of the achievable value that was earned, over all kinds.
    pub fn goodput(&self) -> f64 {
        let achievable: f64 = self.kinds.values().map(|kind| kind.achievable).sum();
        let earned: f64 = self.kinds.values().map(|kind| kind.earned).sum();
        earned / achievable.max(f64::EPSILON)
    }

    /// of returns the outcome of the jobs of a kind.
    pub fn of(&self, kind: &str) -> KindOutcome {
        self.kinds.get(kind).cloned().unwrap_or_default()
    }
}
