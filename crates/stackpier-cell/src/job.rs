// SPDX-License-Identifier: Apache-2.0
//! Jobs, steps, tasks and runs as their owner keeps them.

use std::rc::Rc;

use stackpier_core::{Millis, Size, key};
use stackpier_state::job::{Spec, State};

use crate::{
    advice::Advice,
    arena::{ImageKey, JobKey, RunKey, StepKey, TaskKey, WorkerKey},
    cycle::Curve,
    interference::{self, load_at},
    outlook::Forecast,
};

/// Job is an accepted job.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: key::Job,
    pub queue: String,
    pub spec: Rc<Spec>,
    pub payload: Rc<str>,
    pub state: State,
    /// The first of its steps; those of a round follow each other.
    pub first_step: StepKey,
    /// The first of its tasks; those of a step follow each other.
    pub first_task: TaskKey,
    pub tasks: u32,
    /// Tasks that are not done.
    pub left: u32,
    /// Whether an earlier owner may have started its tasks.
    pub inherited: bool,
    /// By when it should be done, by the owner's monotonic clock.
    pub objective: Millis,
    /// Whether its progress must be saved.
    pub dirty: bool,
    pub ended_unix_ms: u64,
    /// When it reached its final state under this owner.
    pub ended_at: Option<Millis>,
    pub forgotten: bool,
}

/// Step is one step of one round.
#[derive(Debug)]
pub(crate) struct Step {
    pub job: JobKey,
    pub round: u32,
    pub number: u16,
    pub first_task: TaskKey,
    pub count: u32,
    pub image: ImageKey,
    /// Tasks that are not done.
    pub left: u32,
    /// Earlier steps that are not done.
    pub blocked_by: u32,
    /// Tasks that wait to be placed.
    pub ready: Vec<TaskKey>,
    /// Whether the step stands in a queue.
    pub queued: bool,
    /// The longest chain of work from this step on, in milliseconds.
    pub chain_ms: u64,
    /// Not before this time, by the wall clock in milliseconds.
    pub due_unix_ms: u64,
    /// The own load of its tasks, if they serve.
    pub curve: Option<Box<Curve>>,
    /// What is expected of it.
    pub forecast: Option<Forecast>,
    /// What the adviser said, on queues that have one.
    pub advice: Option<Box<Advice>>,
}

/// Task is one task.
#[derive(Debug)]
pub(crate) struct Task {
    pub step: StepKey,
    pub index: u32,
    pub done: bool,
    /// The numbers of its failed runs.
    pub failed_runs: Vec<u32>,
    /// When the last one ended.
    pub failed_at: Millis,
    /// The number of the next run.
    pub next_run: u32,
    /// Runs that may still hold room on a worker.
    pub runs: Vec<RunKey>,
    pub checkpoint: Option<String>,
    /// Where it failed last, so that the next run goes elsewhere.
    pub failed_on: Vec<WorkerKey>,
    /// Not before this time.
    pub not_before: Millis,
    /// Whether it waits in its step's list of ready tasks.
    pub ready: bool,
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
    pub(crate) fills: bool,
    pub(crate) lasting: bool,
    pub(crate) serving: bool,
    pub(crate) image: ImageKey,
    pub(crate) since: Millis,
    /// When the worker confirmed the run.
    pub(crate) confirmed: Option<Millis>,
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
    pub(crate) moved: Millis,
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
    /// The pace it was told, from 0 to 100.
    pub(crate) pace: u8,
    /// When it was told a pace.
    pub(crate) paced: Millis,
    /// Since when its pace has been low.
    pub(crate) slowed_since: Option<Millis>,
}

/// CALM_LOAD is the load below which a task counts as no longer over its
/// target: 0.86 of it. Figures are rough, and one that falls just below the
/// target does not show that the task has recovered.
const CALM_LOAD: f64 = load_at(0.86);
/// SETTLE_MS is how long after its start or a change of pace a run's figures
/// are not learnt from: they cover the last half second.
const SETTLE_MS: u64 = 600;
/// WARM_MS is how long after its first figure a serving task's tail is not
/// learnt from: it begins at nothing.
const WARM_MS: u64 = 1_200;

impl Run {
    /// take_tail takes in a reading of a serving task's tail latency.
    pub(crate) fn take_tail(&mut self, now: Millis, tail_ms: Option<u32>, target_ms: u32) {
        let Some(tail_ms) = tail_ms.filter(|tail_ms| *tail_ms > 0) else {
            self.load = None;
            self.measured = None;
            self.over_since = None;
            return;
        };
        let load = interference::load(tail_ms, target_ms);
        self.load = Some(load);
        self.measured.get_or_insert(now);
        if load < CALM_LOAD {
            self.over_since = None;
        } else if tail_ms > target_ms && self.over_since.is_none() {
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
        now.since(self.since.max(self.paced)) >= SETTLE_MS
    }

    /// counted returns what the run takes of a worker's room: the processors
    /// of a filling run are not counted.
    pub(crate) fn counted(&self) -> Size {
        let mut size = self.size;
        if self.fills {
            size.milli_cores = 0;
        }
        size
    }

    /// full_cores returns the processors it asked for.
    pub(crate) fn full_cores(&self) -> f64 {
        f64::from(self.size.milli_cores) / 1_000.0
    }

    /// cores returns the processors it is taken to use, at its pace.
    pub(crate) fn cores(&self, now: Millis) -> f64 {
        let declared = self.full_cores() * f64::from(self.pace) / 100.0;
        match self.used_milli {
            Some(used_milli) if self.is_settled(now) => {
                declared.min(f64::from(used_milli) / 1_000.0)
            }
            _ => declared,
        }
    }
}
