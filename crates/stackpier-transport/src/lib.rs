// SPDX-License-Identifier: Apache-2.0
//! The input and output of a daemon: HTTP servers for callers (`hyper`) and
//! operators (`tiny_http`), messages between daemons (`h2`), HTTP clients for
//! the platform and workers (`minreq`) behind small traits, metrics, and clocks.

pub mod callers;
pub mod client;
pub mod clock;
pub mod instruments;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod stream;
