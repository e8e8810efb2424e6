// SPDX-License-Identifier: Apache-2.0
//! Runs, each one start of a task on a worker, with what is reported of them.

use stackpier_core::{Millis, Size};

use crate::{
    arena::{ImageKey, StepKey, TaskKey, WorkerKey},
    interference::{self, load_at},
};

/// CALM_LOAD is the load below which a task counts as no longer over its
/// target: 0.86 of it. Figures are rough, and one that falls just below the
/// target does not show that the task has recovered.
const CALM_LOAD: f64 = load_at(0.86);
/// CALM_MS is how long figures must be calm before a task counts as recovered: each
/// covers half a second, so that the last one shares nothing with the first.
const CALM_MS: u64 = 500;
/// SETTLE_MS is how long after its start or a change of pace a run's figures
/// are not learnt from: they cover the last half second.
const SETTLE_MS: u64 = 600;
/// WARM_MS is how long after its first figure a serving task's tail is not
/// learnt from: it begins at nothing.
const WARM_MS: u64 = 1_200;
/// PACE_MARGIN is by how many percent of its processors a run may be reported above
/// its pace before the order is taken to be lost: figures are rough.
const PACE_MARGIN: u8 = 25;
/// MILLI is the number of thousandths in a core.
const MILLI: f64 = 1_000.0;

/// cores returns the cores that some thousandths of a core are.
pub(crate) fn cores(milli: u32) -> f64 {
    f64::from(milli) / MILLI
}

/// Phase tells what is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start was sent and is not answered.
    Starting,
    /// The start was not answered in time: the run may be there or not. It is
    /// looked for in the first report asked for since.
    Unsure(Millis),
    /// The worker has the run.
    Running,
    /// The run is to end.
    Stopping,
}

/// Run is one start of a task on a worker.
#[derive(Debug)]
pub struct Run {
    pub(crate) task: TaskKey,
    pub(crate) step: StepKey,
    pub(crate) worker: WorkerKey,
    pub(crate) number: u32,
    pub(crate) phase: Phase,
    pub(crate) size: Size,
    pub(crate) best_effort: bool,
    pub(crate) long_running: bool,
    pub(crate) serving: bool,
    pub(crate) image: ImageKey,
    pub(crate) since: Millis,
    /// When the worker confirmed the run.
    pub(crate) confirmed: Option<Millis>,
    /// Whether a report has shown it, which tells in which life of its worker it runs.
    pub(crate) reported: bool,
    /// Whether it is known not to crash its worker.
    pub(crate) cleared: bool,
    /// Whether its start goes to the store, until it is proved.
    pub(crate) recorded: bool,
    /// The save that must be done before the start is sent.
    pub(crate) after_save: Option<u64>,
    /// When the worker took the order to stop it.
    pub(crate) stop_taken: Option<Millis>,
    /// Whether an order to stop it is on its way.
    pub(crate) stop_sent: bool,
    /// When the order to stop may be sent again.
    pub(crate) stop_after: Millis,
    /// The progress that it had saved by the last report.
    pub(crate) saved: String,
    pub(crate) percent: u8,
    /// When the percent last changed.
    pub(crate) progressed_at: Millis,
    /// The processor in use as last reported, in thousandths of a core.
    pub(crate) used_milli: Option<u32>,
    /// The load of a serving task, by its tail as last reported.
    pub(crate) load: Option<f64>,
    /// Since when its tail has been reported.
    pub(crate) measured: Option<Millis>,
    /// How far its load lies above what is expected, smoothed.
    pub(crate) deviation: f64,
    /// Since when the tail has been over its target.
    pub(crate) over_since: Option<Millis>,
    /// Since when, while it counts as over its target, all figures were calm.
    pub(crate) calm_since: Option<Millis>,
    /// The pace it was told, from 0 to 100.
    pub(crate) pace: u8,
    /// Whether an earlier owner may have told it another pace.
    pub(crate) pace_unknown: bool,
    /// Whether the worker may not have taken the last order on its pace.
    pub(crate) pace_unconfirmed: bool,
    /// When it was told a pace.
    pub(crate) paced_at: Millis,
    /// Since when its pace has been low.
    pub(crate) slowed_since: Option<Millis>,
}

impl Run {
    /// take_tail takes in a reading of a serving task's tail latency.
    pub(crate) fn take_tail(&mut self, now: Millis, tail_ms: Option<u32>, target_ms: u32) {
        let Some(tail_ms) = tail_ms.filter(|tail_ms| *tail_ms > 0) else {
            self.load = None;
            self.measured = None;
            self.over_since = None;
            self.calm_since = None;
            return;
        };
        let load = interference::load(tail_ms, target_ms);
        self.load = Some(load);
        self.measured.get_or_insert(now);
        if load >= CALM_LOAD {
            self.calm_since = None;
        } else if now.since(*self.calm_since.get_or_insert(now)) >= CALM_MS {
            self.over_since = None;
        }
        if tail_ms > target_ms && self.over_since.is_none() {
            self.over_since = Some(now);
        }
    }

    /// settled_load returns the load of a serving task that has been measured
    /// for long enough.
    pub(crate) fn settled_load(&self, now: Millis) -> Option<f64> {
        let measured = self.measured?;
        self.load.filter(|_| now.since(measured) >= WARM_MS)
    }

    /// is_settled tells whether a report's figures are of the run's present
    /// pace.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        now.since(self.since.max(self.paced_at)) >= SETTLE_MS
    }

    /// exceeds_pace tells whether a report shows clearly more processors in use than
    /// the run's pace allows.
    pub(crate) fn exceeds_pace(&self, now: Millis) -> bool {
        let allowed = u32::from((self.pace + PACE_MARGIN).min(100));
        let most_milli = u64::from(self.size.milli_cores) * u64::from(allowed) / 100;
        let over = |used_milli: u32| u64::from(used_milli) > most_milli;
        self.pace < 100 && self.is_settled(now) && self.used_milli.is_some_and(over)
    }

    /// is_unconfirmed tells whether it is not known if the run is there, so that reports
    /// are wanted soon.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let stops = self.phase == Phase::Stopping && self.confirmed.is_none();
        stops || matches!(self.phase, Phase::Unsure(_))
    }

    /// is_recorded tells whether a successor is to know of the start: it may yet crash the
    /// worker.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded && !self.cleared
    }

    /// guaranteed_size returns what the run takes of a worker's room: the processors
    /// of a filling run are not counted.
    pub(crate) fn guaranteed_size(&self) -> Size {
        let mut size = self.size;
        if self.best_effort {
            size.milli_cores = 0;
        }
        size
    }

    /// full_cores returns the processors it asked for.
    pub(crate) fn full_cores(&self) -> f64 {
        cores(self.size.milli_cores)
    }

    /// cores returns the processors it is taken to use, at its pace.
    pub(crate) fn cores(&self, now: Millis) -> f64 {
        let declared = self.full_cores() * f64::from(self.pace) / 100.0;
        match self.used_milli {
            Some(used_milli) if self.is_settled(now) => declared.min(cores(used_milli)),
            _ => declared,
        }
    }
}
