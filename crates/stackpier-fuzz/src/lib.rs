// SPDX-License-Identifier: Apache-2.0
//! Small worlds for stateful fuzzing: several daemons' decision machines, a
//! fake store, list and workers, and faults as ordinary transitions. The
//! machines are the ones that the daemon runs.

pub mod cell;
mod choice;
pub mod config;
pub mod counts;
pub mod once;
pub mod placement;
pub mod time;
