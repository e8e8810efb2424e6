// SPDX-License-Identifier: Apache-2.0
//! The decisions of the daemon that owns a cell.
//!
//! A *cell* is a set of workers that one daemon schedules. [`Cell`] holds what
//! its owner believes of jobs, tasks and workers, and decides what runs where:
//! `step(now, event)` takes one event and returns the effects to carry out.
//! Nothing here does I/O or reads a clock.
//!
//! The workers are the record of what runs: they refuse orders with a lower
//! fence, end everything whose lease is over, and list each end until they are
//! told that it was noted. The store keeps only what no worker knows: jobs,
//! which tasks are done or failed, and which workers were ever used.

mod advice;
mod arena;
mod cell;
mod claim;
mod crash;
pub mod cycle;
mod dedicated;
mod drain;
mod ends;
pub mod explain;
mod flow;
mod handover;
mod health;
mod hold;
pub mod interference;
mod job;
mod late;
mod lateness;
mod learn;
mod lifecycle;
mod logistic;
pub mod maintenance;
mod mechanism;
mod memory;
mod names;
mod obstacle;
mod options;
mod order;
mod outlook;
mod pace;
mod place;
mod report;
mod restart;
mod roster;
mod rotation;
mod run;
mod save;
mod short;
mod silence;
mod spare;
mod speculate;
mod summary;
mod taken;
mod takeover;
mod unmet;
mod wire;
mod worker;

pub use arena::{ImageKey, JobKey, StepKey, TaskKey, WorkerKey};
pub use cell::Cell;
pub use mechanism::{Mechanism, Mechanisms};
pub use memory::{Memory, Serving, Term};
pub use options::{Options, RATINGS_PER_CORE};
pub use stackpier_state::job::Queue;
pub use wire::{
    Advised, Ask, Effect, End, Event, Held, Hold, How, Note, Now, Order, Pace, Report, RosterEntry,
    Row, Save, Start, Started, Stop, Stopped, TaskName, Unsaved,
};
pub use worker::Info;
