// SPDX-License-Identifier: Apache-2.0
//! Simulations for stateful fuzzing: the state machines of several daemons, a
//! fake store, a fake list of workers and fake workers, with faults as ordinary
//! transitions. The state machines are the ones that the daemon runs.

pub mod cell;
mod choice;
pub mod config;
pub mod counts;
pub mod once;
pub mod placement;
pub mod starvation;
pub mod submission;
pub mod time;
