// SPDX-License-Identifier: Apache-2.0
//! Scheduling decisions of the daemon that owns a cell.
//!
//! A *cell* is a set of workers that one daemon schedules. [`Cell`] holds its owner's view of
//! jobs, tasks and workers, and decides what runs where: `step(now, event)` takes one event and
//! returns the effects to carry out. Nothing here does I/O or reads a clock.
//!
//! The workers are the source of truth for what runs: they refuse orders with a lower fence,
//! end everything whose lease has expired, and list each end until the owner acknowledges it.
//! The store keeps only what no worker knows: jobs, which tasks are done or failed, and which
//! workers were ever used.

mod advice;
mod arena;
pub mod assignment;
mod cell;
mod cordon;
mod crash;
pub mod cycle;
mod dedicated;
pub mod downtime;
mod drain;
mod duration;
mod ends;
mod evacuation;
mod event;
pub mod explain;
mod flow;
pub mod footprint;
mod forgotten;
mod handover;
mod health;
pub mod interference;
mod interner;
mod job;
mod lag;
mod lateness;
mod learn;
mod lifecycle;
mod logistic;
pub mod maintenance;
mod mechanism;
mod model_snapshot;
mod obstacle;
mod options;
mod order;
pub mod outlook;
mod pace;
mod place;
mod prediction;
pub mod ranges;
mod received;
pub mod release;
mod relief;
mod renewal;
mod report;
mod reservation;
mod restart;
mod returning;
mod roster;
mod rotation;
mod round;
mod run;
mod save;
pub mod share;
mod short_task_memory;
mod silence;
mod speculate;
mod staleness;
mod summary;
pub mod suspension;
mod takeover;
mod unanswered;
mod uncontacted;
mod worker;

pub use arena::{ImageKey, JobKey, StepKey, TaskKey, WorkerKey};
pub use cell::Cell;
pub use duration::Factor;
pub use event::{
    AdviceRequest, Advised, Effect, End, EndCause, Event, Forwarded, LogEntry, Now, Order, Pace,
    Renewal, Renewed, Report, RosterEntry, RunStatus, Save, Start, Started, Stop, Stopped,
    TaskName, Unsaved,
};
pub use mechanism::{Mechanism, Mechanisms};
pub use model_snapshot::{ModelSnapshot, SavedEstimate, ServingImage};
pub use options::{Options, RATINGS_PER_CORE};
pub use stackpier_state::job::Queue;
pub use worker::Info;
