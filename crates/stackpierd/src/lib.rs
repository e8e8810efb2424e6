// SPDX-License-Identifier: Apache-2.0
//! The daemon of an entry VM. It does the I/O; `stackpier-coordination` makes
//! the decisions.

pub mod acceptance;
pub mod backend;
pub mod clock;
pub mod daemon;
pub mod heartbeat;
pub mod holders;
pub mod intents;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod pool;
pub mod reach;
pub mod request;
pub mod routing;
pub mod scheduler;
pub mod settings;
