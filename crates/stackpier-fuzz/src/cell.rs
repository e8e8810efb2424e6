// SPDX-License-Identifier: Apache-2.0
//! A simulation around the cell: workers, a store, and successive owners, with
//! calls that are lost, late or answered out of order. A replaced owner goes on
//! acting until it learns of its successor.
//!
//! The oracle checks the workers: no task has two runs at once. No task starts
//! after its end was acknowledged, before the steps that it depends on have
//! ended, after as many failed runs as its queue allows, on a worker that
//! already runs as many tasks of its step as allowed, or long after its job was
//! cancelled.

mod oracle;
mod simulation;

pub use oracle::{Oracle, Violation};
pub use simulation::{Faults, Simulation};
