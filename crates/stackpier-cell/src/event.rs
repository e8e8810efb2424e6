// SPDX-License-Identifier: Apache-2.0
//! Events that the cell takes and effects that it returns.

use std::fmt;

use serde::{Deserialize, Serialize};
use stackpier_core::{Millis, Unix, arena::Index, key};
use stackpier_state::job::{Progress, Queue, Record};

use crate::{
    arena::{StepKey, WorkerKey},
    maintenance::{self, Plan, TakeDown, TakenDown},
    model_snapshot::ModelSnapshot,
    run::Run,
    worker::Info,
};

/// Now is the time of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The daemon's own monotonic clock.
    pub mono: Millis,
    /// The wall clock.
    pub unix: Unix,
}

/// TaskName names a task across owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: key::Job,
    /// The round, from zero.
    pub round: u32,
    /// The step, from zero.
    pub step: u16,
    /// The task's place in its step, from zero.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName {
            job,
            round,
            step,
            index,
        } = self;
        write!(f, "{:016x}.{round}.{step}.{index}", job.0)
    }
}

/// Event is something that happened, as the owner sees it.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration came into force.
    Queues(Vec<Queue>),
    /// The list of workers shows this one.
    Listed(Info),
    /// The list of workers no longer shows this one.
    Unlisted(String),
    /// The list of workers has an entry of this id that can't be read.
    Unreadable(String),
    /// The store holds this job.
    Accepted {
        /// The job.
        job: key::Job,
        /// What the store keeps of it.
        record: Box<Record>,
        /// How far it was under an earlier owner.
        progress: Option<Box<Progress>>,
        /// Whether its cancelling is in the store.
        cancelled: bool,
    },
    /// The store holds the cancelling of this job.
    Cancelled(key::Job),
    /// A start was answered or was not.
    Started {
        /// The run.
        run: Index<Run>,
        /// The answer.
        outcome: Started,
    },
    /// A stop was answered or was not.
    Stopped {
        /// The run.
        run: Index<Run>,
        /// The answer.
        outcome: Stopped,
    },
    /// An order on the pace of a run was answered or was not.
    Paced {
        /// The run.
        run: Index<Run>,
        /// The share that was ordered, from 0 to 100.
        percent: u8,
        /// Whether the worker took it.
        taken: bool,
    },
    /// A hold was answered or was not.
    Renewed {
        /// The worker.
        worker: WorkerKey,
        /// When the hold was sent.
        sent: Millis,
        /// The answer.
        outcome: Renewed,
    },
    /// The adviser answered about a step, or gave no answer.
    Advised(StepKey, Option<Advised>),
    /// Operators want hosts taken down.
    Plan(Plan),
    /// An order to take a host down was answered or was not.
    TakenDown(TakeDown, TakenDown),
    /// A save was answered.
    Saved(bool),
    /// The store confirmed, by a read sent at this time, that this daemon
    /// still owns the cell.
    Confirmed(Millis),
    /// The earlier owner was asked what it could not save: its answer, nothing if it gave none.
    PredecessorAnswered(Vec<Unsaved>),
    /// An earlier owner told unasked what it could not save.
    HandedOver(Vec<Unsaved>),
    /// Time has passed.
    Tick,
}

/// AdviceRequest asks the adviser which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step, for the event that answers.
    pub step: StepKey,
    /// The step's first task.
    pub name: TaskName,
    /// The ids of the workers in question.
    pub workers: Vec<String>,
}

/// Advised is the adviser's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advised {
    /// The ids of the workers that may run the step, each with its ticket.
    pub good: Vec<(String, String)>,
    /// How long the tickets hold, in milliseconds.
    pub valid_ms: u64,
}

/// Started is the outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Started {
    /// The run is there.
    Yes,
    /// The worker has seen a higher fence.
    Fenced,
    /// The run's number is not above one that ended there.
    Old,
    /// The lease was already over when the order arrived.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The worker refused it and did nothing, for a while.
    Unhealthy,
    /// The ticket does not hold, or none was sent.
    NoTicket,
    /// The worker refused it for good.
    Invalid,
    /// Another worker has the address.
    OtherLife,
    /// There was no answer: the run may be there, or may come later.
    Silent,
}

/// Stopped is the outcome of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// The worker stops the run, or refuses it from now on.
    Yes,
    /// The worker has seen a higher fence.
    Fenced,
    /// Another worker has the address.
    OtherLife,
    /// There was no answer, or a refusal.
    Silent,
}

/// Renewed is the outcome of a hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Renewed {
    /// The worker renewed its lease and reported.
    Report(Report),
    /// The worker has seen a higher fence.
    Fenced,
    /// Another worker has the address.
    OtherLife,
    /// There was no answer, or a refusal.
    Silent,
}

/// Report is a worker's word of what runs and what ended.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// When the life that reports was started, by its wall clock.
    pub started_at: Option<Unix>,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What ended and was not yet noted, in no certain order.
    pub ended: Vec<End>,
    /// Whether these are all such ends: a worker lists a number of them at a time.
    pub whole: bool,
}

/// RunStatus is one run in a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunStatus {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The progress that it has saved, empty if there is none.
    pub checkpoint: String,
    /// How far the run is, from 0 to 100.
    pub percent: u8,
    /// The tail latency in milliseconds of a task that serves; the processor
    /// in use, in thousandths of a core, of any other.
    pub figure: Option<u32>,
}

/// EndCause tells the way a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// It did its work.
    Done,
    /// It failed by its own or the worker's fault.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// End is one run that ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct End {
    /// The worker's count of ends in this life, from one.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The way it ended.
    #[serde(rename = "how")]
    pub cause: EndCause,
    /// The saved progress, empty if there is none.
    pub checkpoint: String,
}

/// Order names a run on a worker, for the calls that concern it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The run, for the event that answers.
    pub key: Index<Run>,
    /// The worker's address.
    pub address: String,
    /// The id of the worker that is meant: all its lives have it.
    pub worker_id: String,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The owner's fence.
    pub fence: u64,
}

/// Start asks a worker to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The run.
    pub order: Order,
    /// The worker's data centre.
    pub data_centre: String,
    /// The job's payload.
    pub payload: std::rc::Rc<str>,
    /// The end of the lease, by the worker's clock in milliseconds.
    pub deadline_ms: u64,
    /// The saved progress to resume from.
    pub checkpoint: Option<String>,
    /// The adviser's ticket, on queues that have one.
    pub ticket: Option<String>,
}

/// Stop asks a worker to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The run.
    pub order: Order,
}

/// Pace asks a worker to let a run work at a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The run.
    pub order: Order,
    /// The share, from 0 to 100.
    pub percent: u8,
}

/// Renewal renews a worker's lease and asks for its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// The worker, for the event that answers.
    pub worker: WorkerKey,
    /// The worker's data centre.
    pub data_centre: String,
    /// The worker's address.
    pub address: String,
    /// The id of the worker that is meant: all its lives have it.
    pub worker_id: String,
    /// The owner's fence.
    pub fence: u64,
    /// The end of the lease, by the worker's clock in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The count of ends that are noted and may be forgotten.
    pub acked: u64,
    /// How long the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// RosterEntry is a worker that may run something for this cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// The worker's id.
    pub id: String,
    /// The worker's address.
    pub address: String,
}

/// Save writes progress to the store, under the condition that this daemon
/// still owns the cell.
#[derive(Clone, Debug, Default)]
pub struct Save {
    /// The jobs that changed.
    pub jobs: Vec<(key::Job, Progress)>,
    /// The workers that may run something, if that list changed.
    pub roster: Option<Vec<RosterEntry>>,
    /// What was learnt, if it is time to save it.
    pub memory: Option<ModelSnapshot>,
    /// How far the plans of maintenance are, if that changed.
    pub maintenance: Option<Vec<maintenance::Record>>,
    /// Jobs that are over, of which only the state is to be kept.
    pub trimmed: Vec<key::Job>,
    /// Jobs whose time of being shown is over.
    pub forgotten: Vec<key::Job>,
}

/// Unsaved is the progress of a job that an owner could not save.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Unsaved {
    /// The job.
    pub job: key::Job,
    /// How far it is.
    pub progress: Progress,
}

/// LogEntry is a decision worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The part that decided.
    pub part: &'static str,
    /// The task or job concerned, if one is.
    pub subject: Option<TaskName>,
    /// What was decided, and from what.
    pub text: String,
}

/// Effect is something to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Start a run; answer with [`Event::Started`].
    Start(Start),
    /// Stop a run; answer with [`Event::Stopped`].
    Stop(Stop),
    /// Set the pace of a run; answer with [`Event::Paced`].
    Pace(Pace),
    /// Renew a lease; answer with [`Event::Renewed`].
    Renew(Renewal),
    /// Ask the adviser; answer with [`Event::Advised`].
    RequestAdvice(AdviceRequest),
    /// Take a host down; answer with [`Event::TakenDown`].
    TakeDown(TakeDown),
    /// Write progress; answer with [`Event::Saved`].
    Save(Save),
    /// Ask the store who owns the cell; answer with [`Event::Confirmed`].
    Confirm,
    /// Another daemon owns the cell: carry out nothing more.
    Deposed,
    /// Write a log line.
    Log(LogEntry),
}
