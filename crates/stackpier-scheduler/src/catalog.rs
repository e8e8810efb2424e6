// SPDX-License-Identifier: Apache-2.0
//! The entries that operators and workers write into the store: the
//! configuration, maintenance plans, cordons of data centres and workers.

use stackpier_cell::{Info, Queue, maintenance::Plan};
use stackpier_core::Result;

use crate::store::{Item, Put};

/// Route maps requests to a queue by their host and the start of their path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The value of the `Host` header.
    pub host: String,
    /// The prefix of the path.
    pub path_prefix: String,
    /// The queue that jobs of these requests go to.
    pub queue: Queue,
}

/// Config holds the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version, which rises with each change.
    pub version: u64,
    /// The routes; the longest prefix that matches applies.
    pub routes: Vec<Route>,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
}

impl Config {
    /// route returns the queue for a host and a path, and the rest of the path
    /// after the prefix. Of several matching routes the one with the longest
    /// prefix applies.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matches = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        let longest = |route: &&Route| route.path_prefix.len();
        let route = self.routes.iter().filter(matches).max_by_key(longest)?;
        Some((&route.queue, &path[route.path_prefix.len()..]))
    }
}

/// Catalog decodes the entries that operators and workers write into the store.
pub trait Catalog {
    /// config_key returns the key of the configuration's entry.
    fn config_key(&self) -> &'static str;

    /// config_prefix returns the prefix of the keys that operators write.
    fn config_prefix(&self) -> &'static str;

    /// workers_prefix returns the prefix of the keys of the workers' entries.
    fn workers_prefix(&self) -> &'static str;

    /// config decodes a configuration.
    fn config(&self, item: &Item) -> Result<Config>;

    /// plan decodes a maintenance plan. It returns `None` if the item is something
    /// else.
    fn plan(&self, item: &Item) -> Result<Option<Plan>>;

    /// cordon decodes a cordon: the data centre whose workers get no starts as long as the item
    /// exists. It returns `None` if the item is something else.
    fn cordon(&self, item: &Item) -> Result<Option<String>>;

    /// cordoned_by returns the data centre that the item with a key cordons, or `None` if the key
    /// is that of something else.
    fn cordoned_by<'a>(&self, key: &'a str) -> Result<Option<&'a str>>;

    /// plan_state returns the write that shows operators whether a plan is completed.
    fn plan_state(&self, plan: u64, completed: bool) -> Result<Put>;

    /// worker decodes a worker's entry.
    fn worker(&self, item: &Item) -> Result<Info>;

    /// worker_id returns the id of the worker whose entry has this key.
    fn worker_id<'a>(&self, key: &'a str) -> &'a str;
}
