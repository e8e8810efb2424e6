// SPDX-License-Identifier: Apache-2.0
//! Follows what operators write to the store: the configuration, maintenance plans and cordons of
//! data centres.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use stackpier_cell::maintenance::Plan;
use stackpier_core::Error;

use crate::{
    Platform,
    catalog::Config,
    link::{Request, Response},
    node::Node,
    store::{Change, Item},
    watch::{Follower, Update},
};

/// FETCH_TIMEOUT bounds fetching the configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Configs follows the operators' entries.
pub(crate) struct Configs<P> {
    node: Node<P>,
    /// The revisions of cordons that can't be read, by key, so that each is logged once.
    unreadable: BTreeMap<String, u64>,
}

impl<P: Platform> Configs<P> {
    /// new returns a follower that has read nothing.
    pub(crate) fn new(node: Node<P>) -> Configs<P> {
        Configs {
            node,
            unreadable: BTreeMap::new(),
        }
    }

    fn apply_all(&mut self, items: &[Item]) {
        let before = self.node.cordons.replace(Some(BTreeSet::new()));
        for item in items {
            self.apply_item(item);
        }
        // An entry that has become unreadable does not end the cordon.
        for item in items {
            if let Ok(Some(data_centre)) = self.node.platform.cordoned_by(&item.key)
                && before
                    .as_ref()
                    .is_some_and(|before| before.contains(data_centre))
            {
                self.node.cordon(data_centre);
            }
        }
    }

    fn apply_item(&mut self, item: &Item) {
        if item.key == self.node.platform.config_key() {
            self.node.apply_config(item, "the store");
            return;
        }
        match self.node.platform.cordon(item) {
            Ok(Some(data_centre)) => self.node.cordon(&data_centre),
            Ok(None) => self.node.apply_plan(item),
            Err(error) => self.reject_cordon(item, &error),
        }
    }

    fn reject_cordon(&mut self, item: &Item, error: &Error) {
        let logged = self.unreadable.insert(item.key.clone(), item.revision);
        if logged != Some(item.revision) {
            let text = format!("cordon {} ignored, it is not readable: {error}", item.key);
            self.node.log_line("config", &text);
        }
    }

    fn remove(&mut self, key: &str) {
        self.unreadable.remove(key);
        if let Ok(Some(data_centre)) = self.node.platform.cordoned_by(key) {
            self.node.uncordon(data_centre);
        }
    }
}

impl<P: Platform> Follower for Configs<P> {
    fn prefix(&self) -> &str {
        self.node.platform.config_prefix()
    }

    fn is_wanted(&self) -> bool {
        true
    }

    /// wants_latest_only is true because each configuration replaces the one before. At several
    /// changes a second a slow link can't carry every version in time.
    fn wants_latest_only(&self) -> bool {
        true
    }

    fn apply(&mut self, update: Update) {
        match update {
            Update::All(items) => self.apply_all(&items),
            Update::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(item) => self.apply_item(&item),
                        Change::Removed(key) => self.remove(&key),
                    }
                }
            }
        }
        self.node.feed_cordons();
    }
}

impl<P: Platform> Node<P> {
    fn cordon(&self, data_centre: &str) {
        let mut cordons = self.cordons.borrow_mut();
        let cordons = cordons.get_or_insert_default();
        cordons.insert(data_centre.to_owned());
    }

    fn uncordon(&self, data_centre: &str) {
        if let Some(cordons) = self.cordons.borrow_mut().as_mut() {
            cordons.remove(data_centre);
        }
    }

    /// config_version returns the version of the configuration in force, 0 if there is
    /// none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// config returns the configuration in force, if there is one.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// apply_config puts a configuration in force unless the version in force is the same
    /// or newer.
    fn apply_config(&self, item: &Item, from: &str) {
        let config = match self.platform.config(item) {
            Ok(config) => config,
            Err(error) => {
                self.log_line(
                    "config",
                    &format!("the configuration is not readable: {error}"),
                );
                return;
            }
        };
        if config.version <= self.config_version() {
            return;
        }
        let text = format!(
            "version {} in force, {} routes, from {from}",
            config.version,
            config.routes.len()
        );
        self.log_line("config", &text);
        self.config.replace(Some(Rc::new(config)));
        self.config_item.replace(Some(item.clone()));
        self.feed_queues();
    }

    /// apply_plan adds a maintenance plan that an operator wrote, if the settings allow
    /// taking hosts down.
    fn apply_plan(&self, item: &Item) {
        let plan = match self.platform.plan(item) {
            Ok(Some(plan)) => plan,
            Ok(None) => return,
            Err(error) => {
                let text = format!("the plan {} is not readable: {error}", item.key);
                self.log_line("config", &text);
                return;
            }
        };
        if self.settings.hosts.is_none() {
            let text = format!(
                "plan {} ignored: the settings have no address for taking hosts down",
                plan.number
            );
            self.log_line("config", &text);
            return;
        }
        let is_same = |other: &Plan| other.number == plan.number;
        if self.plans.borrow().iter().any(is_same) {
            return;
        }
        self.plans.borrow_mut().push(plan);
        self.feed_plans();
    }

    /// fetch_config fetches the configuration from a peer and puts it in force if it is
    /// newer.
    pub(crate) async fn fetch_config(&self, address: &str) {
        if let Ok(Response::Config(value, revision)) = self
            .links
            .call(address, &Request::Config, FETCH_TIMEOUT)
            .await
        {
            let key = self.platform.config_key().to_owned();
            let item = Item {
                key,
                value,
                revision,
            };
            self.apply_config(&item, "a peer");
        }
    }
}
