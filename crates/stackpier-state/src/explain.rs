// SPDX-License-Identifier: Apache-2.0
//! Explanations of where the tasks of a job run or why they wait, as far as the
//! owner of the cell knows.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::job::State;

/// Job explains a job by its tasks that are not done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The job's state.
    pub state: State,
    /// How many of its tasks are not done.
    pub open: u32,
    /// Tasks that are not done, up to a limit.
    pub tasks: Vec<Task>,
    /// How many more tasks are not done, beyond the limit.
    pub left_out: u32,
}

/// Task explains one task that is not done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Its name as in log lines: job, round, step and index.
    pub name: String,
    /// The state of the task.
    pub standing: Standing,
}

/// Standing is the state of a task that is not done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It has runs: more than one while it is copied or moved.
    Runs(Vec<Run>),
    /// It waits for this number of earlier steps that are not done.
    Blocked(u32),
    /// Its round is not due yet, or earlier overdue rounds of its job go first.
    Undue,
    /// Its job has ended, so the task does not run any more.
    Ended,
    /// It is due and blocked by nothing, but is not listed as ready: a scheduler
    /// bug.
    Stranded,
    /// It waits for a worker.
    Waits(Wait),
}

/// Run is one start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The number of the start, from one.
    pub number: u32,
    /// The id of the worker.
    pub worker: String,
    /// The state of the run as far as it is known.
    pub phase: Phase,
    /// Its progress in percent.
    pub percent: u8,
    /// The pace that was ordered for it, in percent.
    pub pace: u8,
    /// How long the worker has been silent, in milliseconds; `None` if it answers.
    pub silent_ms: Option<u64>,
    /// Whether the worker has answered this owner at least once.
    pub met: bool,
}

/// Phase is the state of a run as far as the owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The worker has not answered the start yet.
    Starting,
    /// The start was not answered before its timeout: the run may or may not exist.
    Unsure,
    /// The worker has the run.
    Running,
    /// The run is being stopped.
    Stopping,
}

/// Wait explains why a task does not start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wait {
    /// Whether its step is in a queue, as every step with waiting tasks must be.
    pub queued: bool,
    /// How many of its runs failed.
    pub failed_runs: u32,
    /// How many crashes of workers the task is suspected of; zero in answers of
    /// daemons that do not report it.
    #[serde(default)]
    pub crashes: u32,
    /// What prevents its start.
    pub cause: Cause,
}

/// Cause is what prevents the start of a step's tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The owner sends no orders, because the store has not confirmed its
    /// ownership recently.
    Unconfirmed,
    /// A predecessor may have started the task on a worker that has not answered
    /// this owner yet.
    Predecessor,
    /// The owner has not read yet which data centres operators have cordoned.
    Unread,
    /// The owner's knowledge of the jobs in the store, and so of cancellations, is too old: this
    /// many milliseconds.
    StaleJobs(u64),
    /// The same for the workers' entries.
    StaleWorkers(u64),
    /// The configuration lacks the job's queue, which has this name.
    UnknownQueue(String),
    /// The workers, counted by what prevents a start on them.
    Workers(Tally),
}

/// Tally counts the workers by what prevents the start of a task on them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// What the task requests, as text.
    pub asks: String,
    /// The number of workers on which the task could start.
    pub free: u32,
    /// The other workers, counted by obstacle.
    pub kept: Vec<Kept>,
    /// The lowest expected harm among the workers with [`Obstacle::Harm`].
    pub least_harm: Option<f64>,
}

/// Kept is the number of workers on which one obstacle prevents the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The obstacle.
    pub obstacle: Obstacle,
    /// The number of workers.
    pub workers: u32,
}

/// Obstacle is the kind of reason why a worker cannot take a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Obstacle {
    /// The worker belongs to another service, lacks the step's label or ticket, or
    /// has as many tasks of the step as allowed.
    Excluded,
    /// The worker gets no starts now: for example, it does not answer, is about to
    /// leave, or fails runs.
    Unusable,
    /// The worker runs serving tasks, and best-effort tasks may not run beside them.
    Apart,
    /// The worker lacks free processors, memory or accelerators.
    Full,
    /// The worker's free capacity is kept for short tasks: memory that best-effort
    /// tasks must leave free, or a dedicated worker.
    Reserve,
    /// Too few of the worker's processors are expected to be unused.
    Busy,
    /// A relaxed start on the worker, without the limits that protect others, was
    /// so recent that its effect has not been reported yet.
    Unsettled,
    /// The expected harm to the worker's serving tasks is above the limit.
    Harm,
    /// The worker is not in the rack of the step's data, and there is time to wait
    /// for one that is.
    Far,
    /// Operators have cordoned the worker's data centre.
    Cordoned,
}

impl Tally {
    /// keep counts a worker on which an obstacle prevents the start.
    pub fn keep(&mut self, obstacle: Obstacle) {
        match self.kept.iter_mut().find(|kept| kept.obstacle == obstacle) {
            Some(kept) => kept.workers += 1,
            None => self.kept.push(Kept {
                obstacle,
                workers: 1,
            }),
        }
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Standing::Runs(runs) => {
                let runs: Vec<String> = runs.iter().map(Run::to_string).collect();
                f.write_str(&runs.join(", "))
            }
            Standing::Blocked(steps) => write!(f, "waits, earlier steps not done: {steps}"),
            Standing::Undue => f.write_str("its round is not due"),
            Standing::Ended => f.write_str("its job has ended"),
            Standing::Stranded => f.write_str("could run, but stands in no list"),
            Standing::Waits(wait) => wait.fmt(f),
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Run {
            number,
            worker,
            phase,
            percent,
            pace,
            ..
        } = self;
        write!(
            f,
            "run {number} on worker {worker} {phase} at {percent}%, pace {pace}%"
        )?;
        if !self.met {
            f.write_str(", worker has not answered this owner")?;
        }
        match self.silent_ms {
            Some(silent_ms) => write!(f, ", worker silent for {silent_ms} ms"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Starting => "starting",
            Phase::Unsure => "unsure",
            Phase::Running => "running",
            Phase::Stopping => "stopping",
        })
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let queued = if self.queued { "" } else { " in no queue" };
        write!(f, "waits{queued}, failed runs {}", self.failed_runs)?;
        if self.crashes > 0 {
            write!(f, ", suspected of {} crashes", self.crashes)?;
        }
        write!(f, ": {}", self.cause)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Unconfirmed => f.write_str("the store has not confirmed the ownership lately"),
            Cause::Predecessor => f.write_str("runs of an earlier owner are possible"),
            Cause::Unread => f.write_str("the operators' entries are not read yet"),
            Cause::StaleJobs(ms) => {
                write!(f, "the jobs in the store were last known {ms} ms ago")
            }
            Cause::StaleWorkers(ms) => {
                write!(f, "the workers in the store were last known {ms} ms ago")
            }
            Cause::UnknownQueue(queue) => write!(f, "queue {queue} is not known"),
            Cause::Workers(tally) => tally.fmt(f),
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; workers free {}", self.asks, self.free)?;
        for kept in &self.kept {
            write!(f, ", {} {}", kept.obstacle, kept.workers)?;
        }
        match self.least_harm {
            Some(harm) => write!(f, ", least harm {harm:.2}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Obstacle::Excluded => "excluded",
            Obstacle::Unusable => "unusable",
            Obstacle::Apart => "apart",
            Obstacle::Full => "full",
            Obstacle::Reserve => "reserve",
            Obstacle::Busy => "busy",
            Obstacle::Unsettled => "unsettled",
            Obstacle::Harm => "harm",
            Obstacle::Far => "far",
            Obstacle::Cordoned => "cordoned",
        })
    }
}
