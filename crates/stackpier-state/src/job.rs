// SPDX-License-Identifier: Apache-2.0
//! Jobs of cells: what a client account submits, and what the store keeps of it.
//!
//! A job is a list of steps, and each step is a number of identical tasks. A job
//! may repeat at a fixed interval; each repetition is called a round.

use std::ops::Range;

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Incarnation, Size,
    field::{Invalid, invalid, within},
};

/// MAX_TASKS is the maximum number of tasks of a job over all its rounds. It
/// limits the memory that one request can use.
pub const MAX_TASKS: u64 = 200_000;
/// MAX_STEPS is the maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// MILLI is the number of thousandths in a core.
const MILLI: u64 = 1_000;
/// WORD_BITS is the number of bits in a word of [`Progress::done`].
const WORD_BITS: u32 = 64;

/// Step describes a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that one task requests.
    pub size: Size,
    /// The client account's estimate of one task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// Numbers of earlier steps whose tasks must all be done before these start.
    pub after: Vec<u16>,
    /// Whether progress can be saved and resumed.
    pub checkpointing: bool,
    /// Whether the tasks can only work while all of them run.
    pub gang: bool,
    /// Whether the tasks should run in one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub rack: Option<String>,
    /// The maximum number of tasks of this step and round on one worker.
    pub most_per_worker: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// The image that the tasks run. Tasks with the same image behave alike.
    pub image: String,
    /// The tail latency that a serving task should stay below, in milliseconds;
    /// zero if the task is not a serving task.
    pub target_ms: u32,
    /// Whether the tasks only use processors that other tasks leave unused, and so
    /// do not count as allocated processors of their worker.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks may be interrupted at the same time by orders of the
    /// scheduler; no limit if `None`.
    pub may_miss: Option<u32>,
}

/// Schedule repeats a job.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds.
    pub rounds: u32,
    /// When the first round is due, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between two rounds, in milliseconds.
    pub interval_ms: u64,
}

/// Spec is a job as it was submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that every task receives.
    pub payload: String,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// When the job runs and repeats; `None` for a job that runs once, immediately.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// check returns an error unless the job is well-formed: every step waits for
    /// earlier steps only, and the numbers of steps, rounds and tasks are within
    /// their limits.
    pub fn check(&self) -> Result<(), Invalid> {
        within("steps", self.steps.len(), 1..=MAX_STEPS, "steps")?;
        for (number, step) in self.steps.iter().enumerate() {
            let known = |earlier: &u16| usize::from(*earlier) < number;
            if let Some(wrong) = step.after.iter().find(|earlier| !known(earlier)) {
                let field = format!("steps[{number}].after");
                return Err(invalid(&field, wrong, "the number of an earlier step"));
            }
            within("count", step.count, 1..=MAX_TASKS as u32, "tasks")?;
        }
        within("rounds", self.rounds(), 1..=MAX_TASKS as u32, "rounds")?;
        let tasks = u64::from(self.width()).saturating_mul(u64::from(self.rounds()));
        within("tasks", tasks, 1..=MAX_TASKS, "tasks")?;
        Ok(())
    }

    /// rounds returns the number of rounds.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.rounds)
    }

    /// width returns the number of tasks in one round.
    pub fn width(&self) -> u32 {
        let total: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    /// work returns the processors that all tasks of one round ask for times their estimated run
    /// times, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let work = |step: &Step| {
            let each = u64::from(step.size.milli_cores) * u64::from(step.estimate_ms);
            each * u64::from(step.count) / MILLI
        };
        self.steps.iter().map(work).sum()
    }

    /// due_ms returns when a round is due, in milliseconds since 1970, or `None`
    /// for a job without a schedule.
    pub fn due_ms(&self, round: u32) -> Option<u64> {
        let due = |schedule: Schedule| {
            schedule
                .first_ms
                .saturating_add(schedule.interval_ms.saturating_mul(u64::from(round)))
        };
        self.schedule.map(due)
    }
}

/// Queue is the configuration of one queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// The priority of its jobs; zero is the highest.
    pub priority: u8,
    /// Number of failed runs of one task after which its job has failed.
    pub attempts: u16,
    /// The latency objective of a job is the run time of its longest chain of
    /// steps, multiplied by this factor, plus `target_ms`.
    pub stretch: f64,
    /// The constant part of the latency objective, in milliseconds.
    pub target_ms: u64,
    /// Whether the queue's service protects its capacity itself.
    pub guarded: bool,
    /// Whether an adviser decides which workers may run its steps.
    pub advised: bool,
}

/// Record is what the store keeps of an accepted job. It changes at most once: it is trimmed
/// after the job has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The queue that the job was submitted to, as configured at that time. The job
    /// still runs if a later configuration lacks the queue.
    pub queue: Queue,
    /// The job.
    pub spec: Spec,
    /// The fence of the cell's owner that accepted the job.
    pub fence: u64,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

impl Record {
    /// trimmed returns the empty record that replaces that of an ended job. It only shows that
    /// the job existed; the job's state is stored separately.
    pub fn trimmed() -> Record {
        Record::default()
    }

    /// is_trimmed reports whether the record has been trimmed.
    pub fn is_trimmed(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// State is the state of a job as shown to client accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has started.
    #[default]
    Pending,
    /// At least one task has started.
    Running,
    /// Every task has succeeded.
    Completed,
    /// A task has reached its queue's limit of failed runs, or the limit of crashes
    /// that it is suspected of.
    Failed,
    /// The client account cancelled the job.
    Cancelled,
}

impl State {
    /// is_final reports whether the job has ended: none of its tasks will start again.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// Failures lists the failed runs of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// The index of the task among all tasks of the job.
    pub task: u32,
    /// The numbers of the runs that failed because of the task or its worker. They
    /// identify ends that are reported again, in any order, after a change of
    /// owner.
    pub runs: Vec<u32>,
}

/// Suspect is a task that may crash the workers that start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The index of the task among all tasks of the job.
    pub task: u32,
    /// The incarnations of workers that fell silent soon after they started it. The last one may
    /// still be alive, because a start is saved before its outcome is known.
    #[serde(rename = "lives")]
    pub incarnations: Vec<Incarnation>,
    /// The longest time from a start until the worker was found silent, in milliseconds.
    pub span_ms: u64,
    /// Whether nothing else can have caused the last of these crashes.
    pub alone: bool,
    /// Whether at least one of the workers did not confirm the start.
    #[serde(rename = "unclear")]
    pub unconfirmed: bool,
}

/// Checkpoint is the saved progress of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The index of the task among all tasks of the job.
    pub task: u32,
    /// The text that the worker gave for the checkpoint. The start that resumes from it sends
    /// it back.
    pub text: String,
}

/// Progress is what the store keeps of a job's progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The job's state.
    pub state: State,
    /// A bit for each task that is done.
    pub done: Vec<u64>,
    /// Tasks with failed runs.
    pub failures: Vec<Failures>,
    /// Tasks that may crash the workers that start them.
    pub suspects: Vec<Suspect>,
    /// Checkpoints of tasks that were stopped.
    pub checkpoints: Vec<Checkpoint>,
    /// When the job reached its final state, in milliseconds since 1970.
    pub ended_ms: u64,
}

impl Progress {
    /// set_done marks a task as done.
    pub fn set_done(&mut self, task: u32) {
        let word = (task / WORD_BITS) as usize;
        if self.done.len() <= word {
            self.done.resize(word + 1, 0);
        }
        self.done[word] |= 1 << (task % WORD_BITS);
    }

    /// set_done_in marks the tasks in a range as done.
    pub fn set_done_in(&mut self, tasks: Range<u32>) {
        for task in tasks.rev() {
            self.set_done(task);
        }
    }

    /// done_limit returns a number above those of all tasks that are done.
    pub fn done_limit(&self) -> u32 {
        self.done.len() as u32 * WORD_BITS
    }

    /// is_done reports whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        let word = self.done.get((task / WORD_BITS) as usize);
        word.is_some_and(|word| word & (1 << (task % WORD_BITS)) != 0)
    }
}
