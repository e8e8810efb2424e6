// SPDX-License-Identifier: Apache-2.0
//! What came of a day in the model.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use stackpier_cell::{Event, Renewed};

/// EventKind is what the owner is told by an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum EventKind {
    /// A worker's report in which nothing ended.
    Report,
    /// A worker's report with ends.
    Ends,
    /// Time has passed.
    Tick,
    /// A job was accepted or cancelled.
    Job,
    /// Anything else.
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

/// ByKind is what came of the jobs of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ByKind {
    /// Jobs that were handed in.
    pub jobs: u64,
    /// Jobs that were refused for good.
    pub refused: u64,
    /// Jobs done in time.
    pub in_time: u64,
    /// Jobs done late, but early enough to earn something.
    pub late: u64,
    /// What was owed.
    pub achievable: f64,
    /// What was earned.
    pub earned: f64,
    /// The time from the hand-in of each job to its first start, in milliseconds.
    #[serde(skip)]
    pub first_start_ms: Vec<u64>,
    /// The time from the first to the last first start of a job's first step.
    #[serde(skip)]
    pub spread_ms: Vec<u64>,
}

impl ByKind {
    /// goodput returns what was earned of what was owed.
    pub fn goodput(&self) -> f64 {
        if self.achievable == 0.0 {
            return 1.0;
        }
        self.earned / self.achievable
    }
}

/// percentile returns a percentile of some times, zero if there are none.
pub fn percentile(times: &[u64], share: f64) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * share) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0)
}

/// Outcome is what came of a day.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By the kind's name.
    pub kinds: BTreeMap<&'static str, ByKind>,
    /// Starts that workers took.
    pub starts: u64,
    /// Starts of tasks that a run had ended as done.
    pub repeats: u64,
    /// Runs that were told to stop.
    pub stops: u64,
    /// Starts of filling tasks on workers that serve nothing.
    pub best_effort_starts_apart: u64,
    /// Starts of filling tasks.
    pub best_effort_starts: u64,
    /// Seconds, over all serving tasks, over the target because of what fills beside.
    pub harmed_s: f64,
    /// Seconds, over all serving tasks, that they should have been at work and were not.
    pub away_s: f64,
    /// The longest time that a step had nothing running though its turn had come.
    pub longest_idle_ms: u64,
    /// Ratings of workers that placing did.
    pub ratings: u64,
    /// The most ratings that placing did in one call.
    pub max_ratings: u64,
    /// How long each call of the owner's decisions took, by the real clock, and by what
    /// it was told.
    pub step_times: BTreeMap<EventKind, Vec<Duration>>,
}

impl Outcome {
    /// goodput returns what was earned of what was owed, over all kinds.
    pub fn goodput(&self) -> f64 {
        let achievable: f64 = self.kinds.values().map(|kind| kind.achievable).sum();
        let earned: f64 = self.kinds.values().map(|kind| kind.earned).sum();
        earned / achievable.max(f64::EPSILON)
    }

    /// of returns what came of a kind.
    pub fn of(&self, kind: &str) -> ByKind {
        self.kinds.get(kind).cloned().unwrap_or_default()
    }
}
