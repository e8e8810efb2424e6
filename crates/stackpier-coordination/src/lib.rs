// SPDX-License-Identifier: Apache-2.0
//! The decisions of stackpier: placement, leases, routing, limits, retries,
//! membership, requests that run at most once, and accepted intents.
//!
//! Nothing here does I/O. Time and randomness are passed in, and the larger
//! state machines have the form `step(now, event) -> effects`. The daemon and
//! the fuzz tests run the same code.

pub mod accept;
pub mod breaker;
pub mod effect;
pub mod history;
pub mod holder;
pub mod interference;
mod interval;
pub mod limit;
pub mod membership;
pub mod once;
pub mod owner;
mod pause;
pub mod placer;
pub mod policy;
pub mod queue;
pub mod reach;
pub mod reaction;
pub mod retry;
pub mod route;
