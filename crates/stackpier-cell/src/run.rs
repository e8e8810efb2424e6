// SPDX-License-Identifier: Apache-2.0
//! Runs: each is one start of a task on a worker, with what the worker reports about it.

use stackpier_core::{Millis, Size};

use crate::{
    TaskName,
    arena::{ImageKey, StepKey, TaskKey, WorkerKey},
    interference::{self, load_at},
};

/// RECOVERED_LOAD is the load, at 0.86 of the target, below which a task no longer counts as
/// over its target. Measurements are noisy, and one just below the target does not show that
/// the task has recovered.
const RECOVERED_LOAD: f64 = load_at(0.86);
/// RECOVERED_MS is how long the load must stay below [`RECOVERED_LOAD`] before a task counts as
/// recovered. Each measurement covers half a second, so the last one shares no samples with the
/// first.
const RECOVERED_MS: u64 = 500;
/// SETTLE_MS is how long after its start or a change of pace the measurements of a run are
/// ignored: they cover the last half second.
const SETTLE_MS: u64 = 600;
/// WARM_UP_MS is how long after its first measurement a serving task's tail latency is ignored:
/// it starts from zero.
const WARM_UP_MS: u64 = 1_200;
/// PACE_MARGIN_PERCENT is how far above its pace, in percent of its processors, a run may be
/// reported before the order for the pace is taken to be lost: measurements are noisy.
const PACE_MARGIN_PERCENT: u8 = 25;
/// MILLI is the number of thousandths in a core.
const MILLI: f64 = 1_000.0;

/// cores converts thousandths of a core to cores.
pub(crate) fn cores(milli: u32) -> f64 {
    f64::from(milli) / MILLI
}

/// Phase tells what the owner knows about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start was sent and is not answered.
    Starting,
    /// The start was not answered in time, and the run may exist or not. The first report
    /// requested after this time shows which.
    Unsure(Millis),
    /// The worker has the run.
    Running,
    /// The run is being stopped.
    Stopping,
}

/// Run is one start of a task on a worker.
#[derive(Debug)]
pub struct Run {
    pub(crate) task: TaskKey,
    /// The name of its task.
    pub(crate) name: TaskName,
    /// Whether its job was submitted again, so that the name is now that of another task.
    pub(crate) superseded: bool,
    pub(crate) step: StepKey,
    pub(crate) worker: WorkerKey,
    pub(crate) number: u32,
    pub(crate) phase: Phase,
    pub(crate) size: Size,
    pub(crate) best_effort: bool,
    pub(crate) long_running: bool,
    pub(crate) serving: bool,
    /// The target of a serving task's tail latency, in milliseconds.
    pub(crate) target_ms: u32,
    /// Whether its step allows copies of lagging runs.
    pub(crate) may_be_copied: bool,
    pub(crate) image: ImageKey,
    /// When it was started, or adopted from a predecessor.
    pub(crate) since: Millis,
    /// How long after `since` a long-running task may first be preempted.
    pub(crate) min_run_ms: u64,
    /// When the worker confirmed the run.
    pub(crate) confirmed: Option<Millis>,
    /// When a report last showed it.
    pub(crate) shown_at: Option<Millis>,
    /// Whether a report has shown it, which tells in which incarnation of its worker it runs.
    pub(crate) reported: bool,
    /// Whether its end, once reported, shows that its task runs nowhere: see `Cell::is_witnessed`.
    pub(crate) witnessed: bool,
    /// Whether it is known not to crash its worker.
    pub(crate) cleared: bool,
    /// Whether its start is saved to the store until the run is cleared.
    pub(crate) recorded: bool,
    /// The number of the save that must be done before the start is sent.
    pub(crate) after_save: Option<u64>,
    /// Whether its start waits until the store has its task assigned to its worker.
    pub(crate) unassigned: bool,
    /// Since when its start, whose save is done, has been held for a confirmation of the ownership.
    pub(crate) held_since: Option<Millis>,
    /// When the worker accepted the order to stop it.
    pub(crate) stop_accepted_at: Option<Millis>,
    /// Whether an order to stop it is in flight.
    pub(crate) stop_sent: bool,
    /// When the order to stop may be sent again.
    pub(crate) stop_retry_at: Millis,
    /// The checkpoint that it had saved by the last report.
    pub(crate) saved: String,
    pub(crate) percent: u8,
    /// When the percentage last changed.
    pub(crate) progressed_at: Millis,
    /// The processors in use as last reported, in thousandths of a core.
    pub(crate) used_milli: Option<u32>,
    /// The load of a serving task, from its last reported tail latency.
    pub(crate) load: Option<f64>,
    /// Since when its tail latency has been reported.
    pub(crate) measured_since: Option<Millis>,
    /// The smoothed excess of its load over the prediction.
    pub(crate) deviation: f64,
    /// Since when the tail latency has been over its target.
    pub(crate) over_since: Option<Millis>,
    /// Since when all measurements of a task that counts as over its target were below
    /// [`RECOVERED_LOAD`].
    pub(crate) recovered_since: Option<Millis>,
    /// The pace that it was set to, from 0 to 100.
    pub(crate) pace: u8,
    /// Whether a predecessor may have set another pace.
    pub(crate) pace_unknown: bool,
    /// Whether the worker may have missed the last order for its pace.
    pub(crate) pace_unconfirmed: bool,
    /// When its pace was last set.
    pub(crate) paced_at: Millis,
    /// Since when its pace has been low.
    pub(crate) slowed_since: Option<Millis>,
}

impl Run {
    /// is_deferred reports whether the start waits for the store.
    pub(crate) fn is_deferred(&self) -> bool {
        self.after_save.is_some() || self.unassigned
    }

    /// slice_end returns when a long-running task may first be preempted.
    pub(crate) fn slice_end(&self) -> Millis {
        self.since.plus(self.min_run_ms)
    }

    /// known_at returns when the run was last known to run.
    pub(crate) fn known_at(&self) -> Millis {
        self.shown_at.max(self.confirmed).unwrap_or(self.since)
    }

    /// record_tail records a measurement of a serving task's tail latency.
    pub(crate) fn record_tail(&mut self, now: Millis, tail_ms: Option<u32>, target_ms: u32) {
        let Some(tail_ms) = tail_ms.filter(|tail_ms| *tail_ms > 0) else {
            self.load = None;
            self.measured_since = None;
            self.over_since = None;
            self.recovered_since = None;
            return;
        };
        let load = interference::load(tail_ms, target_ms);
        self.load = Some(load);
        self.measured_since.get_or_insert(now);
        if load >= RECOVERED_LOAD {
            self.recovered_since = None;
        } else if now.since(*self.recovered_since.get_or_insert(now)) >= RECOVERED_MS {
            self.over_since = None;
        }
        if tail_ms > target_ms && self.over_since.is_none() {
            self.over_since = Some(now);
        }
    }

    /// settled_load returns the load of a serving task that has been measured for long enough.
    pub(crate) fn settled_load(&self, now: Millis) -> Option<f64> {
        let measured_since = self.measured_since?;
        self.load
            .filter(|_| now.since(measured_since) >= WARM_UP_MS)
    }

    /// is_settled reports whether the measurements in a report reflect the run's present pace.
    pub(crate) fn is_settled(&self, now: Millis) -> bool {
        now.since(self.since.max(self.paced_at)) >= SETTLE_MS
    }

    /// exceeds_pace reports whether a report shows clearly more processors in use than the
    /// run's pace allows.
    pub(crate) fn exceeds_pace(&self, now: Millis) -> bool {
        let allowed = u32::from((self.pace + PACE_MARGIN_PERCENT).min(100));
        let max_milli = u64::from(self.size.milli_cores) * u64::from(allowed) / 100;
        let over = |used_milli: u32| u64::from(used_milli) > max_milli;
        self.pace < 100 && self.is_settled(now) && self.used_milli.is_some_and(over)
    }

    /// is_unconfirmed reports whether it is unknown if the run exists, so that reports are
    /// needed soon.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let stops = self.phase == Phase::Stopping && self.confirmed.is_none();
        stops || matches!(self.phase, Phase::Unsure(_))
    }

    /// is_recorded reports whether a successor must know about the start, because the run may
    /// still crash its worker.
    pub(crate) fn is_recorded(&self) -> bool {
        self.recorded && !self.cleared
    }

    /// guaranteed_size returns what the run takes of a worker's capacity. The processors of a
    /// best-effort run are not included.
    pub(crate) fn guaranteed_size(&self) -> Size {
        let mut size = self.size;
        if self.best_effort {
            size.milli_cores = 0;
        }
        size
    }

    /// full_cores returns the processors that the run asked for.
    pub(crate) fn full_cores(&self) -> f64 {
        cores(self.size.milli_cores)
    }

    /// cores returns the processors that the run is assumed to use: its share by its pace, but no
    /// more than was last measured.
    pub(crate) fn cores(&self, now: Millis) -> f64 {
        let declared = self.full_cores() * f64::from(self.pace) / 100.0;
        match self.used_milli {
            Some(used_milli) if self.is_settled(now) => declared.min(cores(used_milli)),
            _ => declared,
        }
    }
}
