// SPDX-License-Identifier: Apache-2.0
//! The daemon around a cell: it takes jobs, keeps them in the store, follows
//! the configuration and the other daemons, and, when it owns the cell,
//! carries out the decisions of `stackpier-cell`.
//!
//! One thread runs everything: an event loop of `tokio` with local tasks. What
//! the outside speaks is behind the traits [`Store`], [`Fleet`],
//! [`Adviser`], [`Hosts`] and [`Catalog`], which an adapter implements.

mod calls;
pub mod catalog;
mod cluster;
pub mod daemon;
mod explain;
pub mod fleet;
mod following;
mod handover;
pub mod http;
mod jobs;
mod keys;
pub mod link;
mod loading;
pub mod log;
mod member;
pub mod metrics;
mod node;
mod owner;
pub mod relay;
mod saving;
pub mod settings;
mod socket;
pub mod store;
mod watch;

pub use catalog::Catalog;
pub use fleet::{Adviser, Fleet, Hosts};
pub use node::Node;
pub use settings::Settings;
pub use store::Store;

/// Platform is everything that the daemon asks of the outside.
pub trait Platform: Store + Fleet + Adviser + Hosts + Catalog + Clone + 'static {}

impl<T: Store + Fleet + Adviser + Hosts + Catalog + Clone + 'static> Platform for T {}
