// SPDX-License-Identifier: Apache-2.0
//! What operators and workers write into the store.

use stackpier_cell::{Info, Queue, maintenance::Plan};
use stackpier_core::Result;

use crate::store::{Item, Put};

/// Route tells which requests belong to a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that clients ask for.
    pub host: String,
    /// The beginning of the path.
    pub path_prefix: String,
    /// The queue.
    pub queue: Queue,
}

/// Config is the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Rises with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl Config {
    /// route returns the queue for a host and a path, by the longest prefix,
    /// and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        let longest = |route: &&Route| route.path_prefix.len();
        let route = self.routes.iter().filter(fits).max_by_key(longest)?;
        Some((&route.queue, &path[route.path_prefix.len()..]))
    }
}

/// Catalog reads what operators and workers write into the store.
pub trait Catalog {
    /// config_key returns the key of the configuration.
    fn config_key(&self) -> &'static str;

    /// config_prefix returns the prefix under which operators write.
    fn config_prefix(&self) -> &'static str;

    /// workers_prefix returns the prefix under which workers list themselves.
    fn workers_prefix(&self) -> &'static str;

    /// config reads a configuration.
    fn config(&self, item: &Item) -> Result<Config>;

    /// plan reads a plan of maintenance, or returns `None` if the item is none.
    fn plan(&self, item: &Item) -> Result<Option<Plan>>;

    /// plan_state returns what tells operators whether a plan is completed.
    fn plan_state(&self, plan: u64, completed: bool) -> Result<Put>;

    /// worker reads a worker's entry.
    fn worker(&self, item: &Item) -> Result<Info>;

    /// worker_id returns the id of the worker whose entry has this key.
    fn worker_id<'a>(&self, key: &'a str) -> &'a str;
}
