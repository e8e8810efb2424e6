// SPDX-License-Identifier: Apache-2.0
//! What the owner knows of a worker.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, key::Boot};
use stackpier_protocol::sync::Clock;
use stackpier_state::work::{Outcome, Run};

use crate::{history::History, reaction::Watch};

/// Contact is what the owner knows of one boot of a worker at first hand.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    pub(super) boot: Boot,
    pub(super) clock: Clock,
    pub(super) last_contact: Millis,
    pub(super) running: BTreeSet<Run>,
    pub(super) ended: BTreeMap<Run, Outcome>,
    pub(super) calling: bool,
    pub(super) called: Option<Millis>,
    pub(super) slowdown_milli: u32,
    pub(super) history: History,
    /// Clock of the newest usage sample that was learnt from.
    pub(super) sampled: Clock,
    pub(super) watch: Watch,
}
