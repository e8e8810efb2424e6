// SPDX-License-Identifier: Apache-2.0
//! The state of stackpier as plain data: the pages in the store, the catalogue
//! of intents, the ledger of requests, and the jobs of cells.
//!
//! Nothing here does I/O or reads a clock. Every change of a page is a method
//! that either preserves the page's invariants or refuses the change.

pub mod catalogue;
pub mod explain;
pub mod holders;
pub mod homes;
pub mod intent;
pub mod job;
pub mod ledger;
pub mod page;
pub mod rack;
pub mod work;

pub use page::{Page, Revision};
