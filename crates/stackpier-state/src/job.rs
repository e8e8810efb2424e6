// SPDX-License-Identifier: Apache-2.0
//! Jobs: what a client account hands in, and what the store keeps of it.
//!
//! A job is a list of steps. Each step holds tasks that are alike. A job may
//! be repeated at fixed times; each repetition is called a round here.

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Incarnation, Size,
    field::{Invalid, invalid, within},
};

/// MAX_TASKS is the most tasks a job may have over all its rounds. It bounds
/// the memory that one request can claim.
pub const MAX_TASKS: u64 = 200_000;
/// MAX_STEPS is the most steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// WORD_BITS is the number of bits in a word of [`Progress::done`].
const WORD_BITS: u32 = 64;

/// Step describes tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What one task asks for.
    pub size: Size,
    /// The client account's guess of one task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps, by number, whose tasks must all be done before.
    pub after: Vec<u16>,
    /// Whether progress can be saved and resumed.
    pub checkpointing: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether the tasks should share one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack that holds the data.
    pub rack: Option<String>,
    /// The most tasks of this step and round on one worker.
    pub most_per_worker: Option<u32>,
    /// Whether several copies of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: String,
    /// The latency that the tail of a serving task should stay below, in
    /// milliseconds; zero if the task serves nobody.
    pub target_ms: u32,
    /// Whether the tasks use processors that others leave unused, and are not
    /// counted in a worker's reserved processors.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks may be away at once by the scheduler's own orders.
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

/// Spec is a checked job as it was handed in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Text handed to every task.
    pub payload: String,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// When the job repeats; `None` for a job that is due at once.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// check tells whether the steps are well formed: every step waits for
    /// earlier steps only, and the number of tasks is within [`MAX_TASKS`].
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

    /// rounds returns how often the steps run.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.rounds)
    }

    /// width returns the number of tasks in one round.
    pub fn width(&self) -> u32 {
        let total: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    /// due_ms returns when a round is due, in milliseconds since 1970.
    pub fn due_ms(&self, round: u32) -> Option<u64> {
        let after = |schedule: Schedule| {
            schedule
                .first_ms
                .saturating_add(schedule.interval_ms.saturating_mul(u64::from(round)))
        };
        self.schedule.map(after)
    }
}

/// Queue is what the configuration says of one queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Zero goes first.
    pub priority: u8,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u16,
    /// The factor on a job's longest chain of work in its latency objective.
    pub stretch: f64,
    /// What is added to the objective, in milliseconds.
    pub target_ms: u64,
    /// Whether the queue's service guards its capacity by itself.
    pub guarded: bool,
    /// Whether an adviser knows which workers may run its steps.
    pub advised: bool,
}

/// Record is what the store keeps of an accepted job. It changes once at most, when the job
/// is over and its record is trimmed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The queue that the job was handed in to, as it was configured then: later
    /// configurations may lack it, and the job still runs.
    pub queue: Queue,
    /// The job.
    pub spec: Spec,
    /// The fence of the cell's owner at the moment of acceptance.
    pub fence: u64,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

impl Record {
    /// trimmed returns what is left of the record of a job that is over: that there was
    /// one. Its state is kept apart.
    pub fn trimmed() -> Record {
        Record::default()
    }

    /// is_trimmed tells whether only that is left.
    pub fn is_trimmed(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// State is the state of a job as a client account sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has begun.
    #[default]
    Pending,
    /// At least one task has begun.
    Running,
    /// Every task has ended well.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The client account cancelled the job.
    Cancelled,
}

impl State {
    /// is_final tells whether nothing of the job will run any more.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// Failures are the failed runs of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// The task's place among all tasks of the job.
    pub task: u32,
    /// The numbers of the runs that ended by the task's or the worker's fault.
    /// An end that is listed again after a change of owner is recognised by
    /// them, in whatever order workers report.
    pub runs: Vec<u32>,
}

/// Suspect is a task that may crash the workers that start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The task's place among all tasks of the job.
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
    /// The task's place among all tasks of the job.
    pub task: u32,
    /// The text that a start hands back to resume.
    pub text: String,
}

/// Progress is what the store keeps of how far a job is.
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

    /// is_done tells whether a task is done.
    pub fn is_done(&self, task: u32) -> bool {
        let word = self.done.get((task / WORD_BITS) as usize);
        word.is_some_and(|word| word & (1 << (task % WORD_BITS)) != 0)
    }
}
