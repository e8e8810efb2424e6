// SPDX-License-Identifier: Apache-2.0
//! The events that the cell handles and the effects that it returns.

use std::fmt;

use serde::{Deserialize, Serialize};
use stackpier_core::{Millis, Unix, arena::Index, key};
use stackpier_state::job::{Progress, Queue, Record};

use crate::{
    arena::{StepKey, WorkerKey},
    assignment,
    downtime::{self, Resumed},
    maintenance::{self, Plan, TakeDown, TakenDown},
    model_snapshot::ModelSnapshot,
    release,
    run::Run,
    suspension,
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

/// TaskName identifies a task across owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: key::Job,
    /// The round, from zero.
    pub round: u32,
    /// The step, from zero.
    pub step: u16,
    /// The task's position in its step, from zero.
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
    /// A configuration took effect.
    Queues(Vec<Queue>),
    /// Operators want no starts in these data centres, and in no others.
    Cordons(Vec<String>),
    /// The list of workers shows this entry.
    Listed(Info),
    /// The list of workers no longer shows the worker with this id.
    Unlisted(String),
    /// The list of workers has an entry with this id that can't be read.
    Unreadable(String),
    /// The store holds this job.
    Accepted {
        /// The job.
        job: key::Job,
        /// The job's record in the store.
        record: Box<Record>,
        /// The progress that a predecessor saved.
        progress: Option<Box<Progress>>,
        /// Whether the store holds a cancellation of the job.
        cancelled: bool,
    },
    /// The store holds a cancellation of this job.
    Cancelled(key::Job),
    /// All changes to the jobs in the store up to this time have been passed on.
    JobsKnown(Millis),
    /// All changes to the workers' entries up to this time have been passed on.
    WorkersKnown(Millis),
    /// Whether there is an outage of the store, in which it answers neither this daemon nor others.
    Outage(bool),
    /// These starts were sent by way of other daemons.
    Forwarded(Vec<Forwarded>),
    /// A start was answered, or got no answer.
    Started {
        /// The run.
        run: Index<Run>,
        /// The outcome.
        outcome: Started,
    },
    /// A stop was answered, or got no answer.
    Stopped {
        /// The run.
        run: Index<Run>,
        /// The outcome.
        outcome: Stopped,
    },
    /// An order for the pace of a run was answered, or got no answer.
    Paced {
        /// The run.
        run: Index<Run>,
        /// The pace that was ordered, from 0 to 100.
        percent: u8,
        /// Whether the worker accepted it.
        accepted: bool,
    },
    /// A lease renewal was answered, or got no answer.
    Renewed {
        /// The worker.
        worker: WorkerKey,
        /// When the renewal was sent.
        sent: Millis,
        /// The outcome.
        outcome: Renewed,
    },
    /// The adviser answered about a step, or gave no answer.
    Advised(StepKey, Option<Advised>),
    /// Operators want hosts taken down.
    Plan(Plan),
    /// An order to take a host down was answered, or got no answer.
    TakenDown(TakeDown, TakenDown),
    /// A save was answered. The value tells whether the store accepted it.
    Saved(bool),
    /// A write of assignments was answered. The value tells whether the store accepted it.
    Assigned(bool),
    /// The store confirmed, by a read sent at this time, that this daemon still owns the cell.
    Confirmed(Millis),
    /// The predecessor was asked for the progress that it could not save. The list is its
    /// answer, empty if it gave none.
    PredecessorAnswered(Vec<Unsaved>),
    /// An earlier owner has stopped acting: the predecessor, or one before it.
    PredecessorStopped {
        /// The time for which any other earlier owner may still act, zero if none may.
        acting_ms: u64,
    },
    /// A predecessor sent, without being asked, the progress that it could not save.
    HandedOver(Vec<Unsaved>),
    /// A predecessor that was replaced while it acted sent what it had left on workers.
    RunsHandedOver(release::Record),
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
    /// The ids of the workers to advise on.
    pub workers: Vec<String>,
}

/// Advised is the adviser's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advised {
    /// The ids of the workers that may run the step, each with its ticket.
    pub good: Vec<(String, String)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Forwarded is a start that another daemon sends to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// The run.
    pub run: Index<Run>,
    /// How many bytes the start put on the owner's link.
    pub bytes: u64,
}

/// Started is the outcome of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Started {
    /// The worker has the run.
    Yes,
    /// The worker has seen a higher fence.
    Fenced,
    /// The run's number is not above one that ended there.
    Old,
    /// The lease had already expired when the order arrived.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The worker is unhealthy: it refuses starts for a while, and did nothing.
    Unhealthy,
    /// The ticket is not valid, or none was sent.
    NoTicket,
    /// The worker will never accept this start.
    Invalid,
    /// Another worker has the address.
    OtherLife,
    /// There was no answer: the run may exist, or may start later.
    Silent,
    /// The start was not sent to the worker, as its payload was not to be had.
    Unsent,
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

/// Renewed is the outcome of a lease renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Renewed {
    /// The worker renewed its lease and sent its report.
    Report(Report),
    /// The worker has seen a higher fence.
    Fenced,
    /// Another worker has the address.
    OtherLife,
    /// There was no answer, or a refusal.
    Silent,
}

/// Report is what a worker says about its runs and their ends.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// When the incarnation that reports was started, by its wall clock.
    pub started_at: Option<Unix>,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs that are there.
    pub running: Vec<RunStatus>,
    /// The ends that are not acknowledged yet, in any order.
    pub ended: Vec<End>,
    /// Whether these are all such ends: a worker lists a limited number at a time.
    pub whole: bool,
}

/// RunStatus is one run in a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunStatus {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The checkpoint that it has saved, empty if there is none.
    pub checkpoint: String,
    /// The progress of the run, from 0 to 100.
    pub percent: u8,
    /// For a serving task, the tail latency in milliseconds; for any other, the processors in
    /// use, in thousandths of a core.
    pub figure: Option<u32>,
}

/// EndCause tells why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndCause {
    /// It finished its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// End is the end of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct End {
    /// The number of this end, counted by the worker's incarnation from one.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// Why it ended.
    #[serde(rename = "how")]
    pub cause: EndCause,
    /// The saved checkpoint, empty if there is none.
    pub checkpoint: String,
}

/// Order identifies a run on a worker, for the calls about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The run, for the event that answers.
    pub key: Index<Run>,
    /// The worker's address.
    pub address: String,
    /// The id of the intended worker, which all its incarnations share.
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
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The adviser's ticket, on queues that have an adviser.
    pub ticket: Option<String>,
}

/// Stop asks a worker to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The run.
    pub order: Order,
}

/// Pace asks a worker to limit the share of its processors that a run uses.
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
    /// The id of the intended worker, which all its incarnations share.
    pub worker_id: String,
    /// The owner's fence.
    pub fence: u64,
    /// The end of the lease, by the worker's clock in milliseconds.
    pub deadline_ms: Option<u64>,
    /// The number up to which ends are acknowledged and may be forgotten.
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

/// Save writes progress to the store, on the condition that this daemon still owns the cell.
#[derive(Clone, Debug, Default)]
pub struct Save {
    /// The jobs that changed.
    pub jobs: Vec<(key::Job, Progress)>,
    /// The workers that may run something, if the roster changed.
    pub roster: Option<Vec<RosterEntry>>,
    /// The learned model, if it is due to be saved.
    pub memory: Option<ModelSnapshot>,
    /// The progress of the maintenance plans, if it changed.
    pub maintenance: Option<Vec<maintenance::Record>>,
    /// The suspended workers, if they changed.
    pub suspensions: Option<suspension::Record>,
    /// The downtimes of long-running tasks, if they changed.
    pub downtimes: Option<downtime::Record>,
    /// Jobs that are over, of which only the state is kept.
    pub trimmed: Vec<key::Job>,
    /// Jobs that need not be shown any more and are removed.
    pub forgotten: Vec<key::Job>,
}

/// Unsaved is the progress of a job that an owner could not save.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Unsaved {
    /// The job.
    pub job: key::Job,
    /// The progress.
    pub progress: Progress,
}

/// LogEntry is a decision to write to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The component that decided.
    pub part: &'static str,
    /// The task or job concerned, if any.
    pub subject: Option<TaskName>,
    /// What was decided, and on what grounds.
    pub text: String,
}

/// Effect is something that the caller of the cell carries out.
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
    /// Write assignments; answer with [`Event::Assigned`].
    Assign(assignment::Write),
    /// Ask the store who owns the cell; answer with [`Event::Confirmed`].
    Confirm,
    /// A long-running task runs again.
    Resumed(Resumed),
    /// Another daemon owns the cell: carry out no further effects.
    Deposed,
    /// Write a log line.
    Log(LogEntry),
}
