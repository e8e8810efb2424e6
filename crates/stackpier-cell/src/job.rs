// SPDX-License-Identifier: Apache-2.0
//! The owner's view of jobs, steps and tasks.

use std::rc::Rc;

use stackpier_core::{Millis, key};
use stackpier_state::job::{Spec, State};

use crate::{
    advice::Advice,
    arena::{ImageKey, JobKey, RunKey, StepKey, TaskKey, WorkerKey},
    assignment::Assigned,
    crash::Suspect,
    cycle::Curve,
    downtime::Downtime,
    prediction::Forecast,
    round::Rounds,
};

/// Job is an accepted job.
#[derive(Debug)]
pub struct Job {
    pub(crate) id: key::Job,
    pub(crate) queue: String,
    pub(crate) spec: Rc<Spec>,
    pub(crate) payload: Rc<str>,
    /// The assignments of its long-running tasks, if they are written to the store.
    pub(crate) assigned: Option<Box<Assigned>>,
    pub(crate) state: State,
    /// The state that the store is known to have.
    pub(crate) stored: State,
    pub(crate) rounds: Rounds,
    /// Tasks of all rounds.
    pub(crate) tasks: u32,
    /// Tasks of all rounds that are not done.
    pub(crate) left: u32,
    /// The lowest number of a run of its tasks under this owner.
    pub(crate) first_run: u32,
    /// A number above those of all runs in rounds that were dropped.
    pub(crate) next_run: u32,
    /// Whether a predecessor may have started its tasks.
    pub(crate) inherited: bool,
    /// Whether it ended under this owner.
    pub(crate) ended_here: bool,
    /// When it should be done, by the owner's monotonic clock.
    pub(crate) objective: Millis,
    /// When it expires: from then on its result has no value.
    pub(crate) expires_at: Millis,
    /// Whether its progress must be saved.
    pub(crate) dirty: bool,
    pub(crate) ended_unix_ms: u64,
    /// When it reached its final state under this owner.
    pub(crate) ended_at: Option<Millis>,
    pub(crate) forgotten: bool,
    /// Whether its expiry was logged.
    pub(crate) expiry_logged: bool,
    /// The work of its tasks by their estimates, in core-milliseconds.
    pub(crate) work: u64,
    /// Its size class within its queue.
    pub(crate) size_class: usize,
    /// Whether it counts in the shares of its queue: it is due at once and ends.
    pub(crate) has_share: bool,
    /// Whether it is known whether it was done in time.
    pub(crate) outcome_known: bool,
    /// Whether it goes first, for the share of its size class.
    pub(crate) goes_first: bool,
}

impl Job {
    /// is_end_stored reports whether the job is over and the store has its state.
    pub(crate) fn is_end_stored(&self) -> bool {
        self.state.is_final() && self.stored == self.state && !self.dirty
    }

    /// visible_state returns the state that client accounts are shown. A final state must never
    /// change again, but a successor that does not find it in the store starts the job's tasks
    /// again. So a final state is shown only once it is saved.
    ///
    /// This delays the answer by one save: half of the pause between saves and a call to the
    /// store. A cancellation needs no wait: the store has it before the owner knows of it.
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
    /// The position of its first task in the round.
    pub first_task: u32,
    pub count: u32,
    pub image: ImageKey,
    /// Tasks that are not done.
    pub left: u32,
    /// Earlier steps that are not done.
    pub blocked_by: u32,
    /// Tasks that wait to be placed.
    pub ready: Vec<TaskKey>,
    /// Runs of its tasks that may hold capacity on workers.
    pub runs: u32,
    /// Since when none of its tasks has run, or when it became ready.
    pub idle_since: Millis,
    /// When it became ready.
    pub ready_since: Millis,
    /// How many workers it has reserved.
    pub reservations: u32,
    /// Whether the step is in a placement queue.
    pub queued: bool,
    /// The longest chain of work from this step on, in milliseconds.
    pub chain_ms: u64,
    /// The fitted curve of its own load, if its tasks are serving tasks.
    pub curve: Option<Box<Curve>>,
    /// The predicted load.
    pub forecast: Option<Forecast>,
    /// The adviser's answer, on queues that have an adviser.
    pub advice: Option<Box<Advice>>,
}

/// Task is one task.
#[derive(Debug)]
pub(crate) struct Task {
    pub step: StepKey,
    pub index: u32,
    pub done: bool,
    /// The number of the run that did its work, if this owner saw it end.
    pub done_by: Option<u32>,
    /// The numbers of its failed runs.
    pub failed_runs: Vec<u32>,
    /// When the last of them ended.
    pub failed_at: Millis,
    /// The number of the next run.
    pub next_run: u32,
    /// Runs that may still hold capacity on a worker.
    pub runs: Vec<RunKey>,
    pub checkpoint: Option<String>,
    /// The evidence that it causes workers to crash.
    pub suspect: Option<Box<Suspect>>,
    /// Whether a run of it was presumed to have ended with a silent worker's lease. A successor
    /// may then learn from that worker that the task is done.
    pub presumed_ended: bool,
    /// Whether the last run that this owner knows of was a witnessed one and its end was reported.
    pub end_witnessed: bool,
    /// Whether it ever had more than one run at once, as far as this owner knows.
    pub had_parallel_runs: bool,
    /// The workers on which it failed last, so that the next run goes elsewhere.
    pub failed_on: Vec<WorkerKey>,
    /// The earliest next start.
    pub not_before: Millis,
    /// The time since its last run, if it is known when that ended.
    pub downtime: Option<Downtime>,
    /// Whether it is in its step's list of ready tasks.
    pub ready: bool,
    /// When it was added to that list.
    pub ready_since: Millis,
    /// Since when it has waited for nothing that an earlier owner may have started.
    pub startable_at: Option<Millis>,
}
