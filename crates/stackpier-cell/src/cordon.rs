// SPDX-License-Identifier: Apache-2.0
//! Cordoned data centres: operators ask for no further starts on their workers.
//!
//! What already runs there goes on: a stop would lose work, and the other data centres rarely have
//! free capacity for all of it. A task whose run there ends starts again elsewhere. If no other data
//! centre can take it, it waits, also if all data centres are cordoned.

use std::collections::BTreeSet;

use crate::{Cell, arena::WorkerKey};

/// Cordons holds the cordoned data centres.
#[derive(Debug, Default)]
pub(crate) struct Cordons {
    data_centres: BTreeSet<String>,
    /// Whether the owner must first learn which data centres are cordoned.
    unknown: bool,
}

impl Cell {
    /// await_cordons makes all starts wait until the cell learns which data centres are cordoned.
    pub fn await_cordons(&mut self) {
        self.cordons.unknown = true;
    }

    /// knows_cordons reports whether the cell knows which data centres are cordoned.
    pub(crate) fn knows_cordons(&self) -> bool {
        !self.cordons.unknown
    }

    /// apply_cordons records all data centres that are cordoned now.
    pub(crate) fn apply_cordons(&mut self, data_centres: Vec<String>) {
        let data_centres: BTreeSet<String> = data_centres.into_iter().collect();
        let before = std::mem::replace(&mut self.cordons.data_centres, data_centres.clone());
        self.cordons.unknown = false;
        self.placement_due = true;
        for added in data_centres.difference(&before) {
            self.log_cordon(added);
        }
        for removed in before.difference(&data_centres) {
            let text = format!("data centre {removed} is not cordoned any more");
            self.log("cordon", None, text);
        }
        for key in self.collect_live_workers() {
            self.update_cordon(key);
        }
    }

    /// update_cordon records whether a worker is in a cordoned data centre.
    pub(crate) fn update_cordon(&mut self, key: WorkerKey) {
        let data_centre = &self.worker(key).info.data_centre;
        let cordoned = self.cordons.data_centres.contains(data_centre);
        self.worker_mut(key).data_centre_cordoned = cordoned;
    }

    fn log_cordon(&mut self, data_centre: &str) {
        let within = |key: &WorkerKey| self.worker(*key).info.data_centre == data_centre;
        let workers: Vec<WorkerKey> = self.live_workers().filter(within).collect();
        let runs = workers.iter().map(|key| self.worker(*key).runs.len());
        let runs: usize = runs.sum();
        let text = match workers.len() {
            0 => format!("data centre {data_centre} is cordoned, but no worker there is known"),
            count => format!(
                "data centre {data_centre} is cordoned: {count} workers get no starts, {runs} runs \
                 there go on"
            ),
        };
        self.log("cordon", None, text);
    }
}
