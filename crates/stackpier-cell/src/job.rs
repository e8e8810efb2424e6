// SPDX-License-Identifier: Apache-2.0
//! Jobs, steps and tasks as their owner keeps them.

use std::rc::Rc;

use stackpier_core::{Millis, key};
use stackpier_state::job::{Spec, State};

use crate::{
    advice::Advice,
    arena::{ImageKey, JobKey, RunKey, StepKey, TaskKey, WorkerKey},
    crash::Suspect,
    cycle::Curve,
    prediction::Forecast,
};

/// Job is an accepted job.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: key::Job,
    pub queue: String,
    pub spec: Rc<Spec>,
    pub payload: Rc<str>,
    pub state: State,
    /// The state that the store is known to have.
    pub stored: State,
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
    /// From when it earns nothing any more.
    pub expires_at: Millis,
    /// Whether its progress must be saved.
    pub dirty: bool,
    pub ended_unix_ms: u64,
    /// When it reached its final state under this owner.
    pub ended_at: Option<Millis>,
    pub forgotten: bool,
    /// Whether the log says that it came too late to be of use.
    pub expiry_logged: bool,
}

impl Job {
    /// visible_state returns the state that client accounts are shown. That a job is over holds for
    /// good, but a successor that does not find it in the store starts its tasks again: it
    /// did so 4 s after clients had been told, on a day on which the owner lost the store,
    /// workers crashed and the owner was killed. So an end that is not saved is not shown.
    /// That costs the time of a save, half of the pause between two and a call to the store by
    /// what is worked out (some 25 ms), and 0.01 of what
    /// short jobs earn in the model. A cancelling is in the store before an owner knows of
    /// it.
    pub(crate) fn visible_state(&self) -> State {
        let backed = self.stored == self.state || self.state == State::Cancelled;
        if self.state.is_final() && !backed {
            return State::Running;
        }
        self.state
    }
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
    /// Runs of its tasks that may hold room on workers.
    pub runs: u32,
    /// Since when it has had nothing running, or when its turn came.
    pub idle_since: Millis,
    /// When its turn came.
    pub released: Millis,
    /// How many workers it has claimed.
    pub reservations: u32,
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
    /// The number of the run that did its work, if this owner saw its end.
    pub done_by: Option<u32>,
    /// The numbers of its failed runs.
    pub failed_runs: Vec<u32>,
    /// When the last one ended.
    pub failed_at: Millis,
    /// The number of the next run.
    pub next_run: u32,
    /// Runs that may still hold room on a worker.
    pub runs: Vec<RunKey>,
    pub checkpoint: Option<String>,
    /// What speaks for it as the cause of workers' crashes.
    pub suspect: Option<Box<Suspect>>,
    /// Whether a run of it was taken as ended by a silent worker's lease, so that a later
    /// owner may hear from the worker that it was done.
    pub presumed_ended: bool,
    /// Where it failed last, so that the next run goes elsewhere.
    pub failed_on: Vec<WorkerKey>,
    /// Not before this time.
    pub not_before: Millis,
    /// When its last run ended.
    pub ended: Option<Millis>,
    /// Whether it waits in its step's list of ready tasks.
    pub ready: bool,
}
