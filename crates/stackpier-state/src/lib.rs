// SPDX-License-Identifier: Apache-2.0
//! The state of stackpier as pure data: the pages kept in the store, the
//! catalogue of intents and the ledger of requests.
//!
//! Nothing here does I/O or reads a clock. Every change is a method that
//! either keeps the invariants of its page or refuses.

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
