// SPDX-License-Identifier: Apache-2.0
//! A simulation of serving tasks with best-effort jobs beside them, on some tens of workers. An
//! owner may have a limited number of starts in flight, and their answers take a time that is drawn
//! for each seed. Owners are replaced, and workers are lost.
//!
//! The oracle measures, from the workers, for how long what could run has had nothing running.

mod calls;
mod oracle;
mod simulation;
mod workload;

pub use oracle::{Violation, Waiting};
pub use simulation::Simulation;
pub use workload::Workload;
