// SPDX-License-Identifier: Apache-2.0
//! A small world around the cell: workers, a store, and one owner after the
//! other, with calls that are lost, late or answered out of order. Earlier
//! owners go on acting until they learn of the later one.
//!
//! The oracle watches the workers: no task has two runs at once, none starts
//! after its noted end, before the steps it waits for, after as many failed
//! runs as its queue allows, or beyond the number allowed on one worker.

mod oracle;
mod world;

pub use oracle::{Broken, Oracle};
pub use world::{Faults, World};
