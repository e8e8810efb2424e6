// SPDX-License-Identifier: Apache-2.0
//! What ran on a worker at earlier times, so that a usage sample that arrives
//! late is matched with the tasks that ran when it was taken.

use std::collections::{BTreeMap, VecDeque};

use stackpier_core::Name;
use stackpier_protocol::sync::Clock;

/// MAX_STATES is how many changes are kept.
const MAX_STATES: usize = 64;

/// History holds the batch tasks of one worker, by job, at each change.
#[derive(Clone, Debug, Default)]
pub struct History {
    states: VecDeque<State>,
}

/// State holds the batch tasks that ran from a reading of the worker's clock
/// on.
#[derive(Clone, Debug)]
struct State {
    since: Clock,
    batch: BTreeMap<Name, u32>,
}

impl History {
    /// record stores what runs at a reading of the worker's clock, if it
    /// changed.
    pub fn record(&mut self, now: Clock, batch: BTreeMap<Name, u32>) {
        if self.states.back().is_some_and(|last| last.batch == batch) {
            return;
        }
        self.states.push_back(State { since: now, batch });
        if self.states.len() > MAX_STATES {
            self.states.pop_front();
        }
    }

    /// at returns what ran at a reading of the worker's clock, unless that is
    /// older than the kept changes.
    pub fn at(&self, clock: Clock) -> Option<&BTreeMap<Name, u32>> {
        let states = self.states.iter().rev();
        let found = states.into_iter().find(|state| state.since <= clock);
        found.map(|state| &state.batch)
    }
}
