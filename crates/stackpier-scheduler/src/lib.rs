// SPDX-License-Identifier: Apache-2.0
//! The daemon that schedules a cell, which is a set of workers. Every daemon of a cell
//! accepts jobs, saves them in the store and follows the configuration and the other
//! daemons. One of them at a time owns the cell and carries out the decisions of
//! `stackpier-cell`.
//!
//! One thread runs everything: a `tokio` event loop with local tasks. The platform's
//! interfaces are behind the traits [`Store`], [`Fleet`], [`Adviser`], [`Hosts`] and
//! [`Catalog`], which an adapter implements.

pub mod admission;
pub mod authority;
pub mod backlog;
mod calls;
mod cancellation;
pub mod candidate;
pub mod capacity;
pub mod catalog;
mod cluster;
mod configs;
pub mod daemon;
pub mod detector;
pub mod expiry;
mod explain;
pub mod fleet;
mod following;
mod handover;
pub mod history;
pub mod http;
mod jobs;
mod keys;
pub mod link;
mod loading;
pub mod log;
pub mod metrics;
mod monitor;
mod node;
pub mod outage;
mod owner;
mod refusal;
mod rejection;
pub mod relay;
pub mod retry;
mod saving;
pub mod settings;
mod socket;
pub mod store;
pub mod submission;
pub mod tombstone;
pub mod votes;
mod watch;

pub use catalog::Catalog;
pub use fleet::{Adviser, Fleet, Hosts};
pub use node::Node;
pub use settings::Settings;
pub use store::Store;

/// Platform combines all interfaces that the daemon needs from its platform.
pub trait Platform: Store + Fleet + Adviser + Hosts + Catalog + Clone + 'static {}

impl<T: Store + Fleet + Adviser + Hosts + Catalog + Clone + 'static> Platform for T {}
