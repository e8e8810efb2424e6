// SPDX-License-Identifier: Apache-2.0
//! The owner's state of its contact with a worker.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{Millis, key::Boot};
use stackpier_protocol::sync::Clock;
use stackpier_state::work::{Outcome, Run};

use crate::{history::History, reaction::Watch};

/// Contact holds what the worker's own replies show of its current boot.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    pub(super) boot: Boot,
    pub(super) clock: Clock,
    pub(super) last_contact: Millis,
    pub(super) running: BTreeSet<Run>,
    pub(super) ended: BTreeMap<Run, Outcome>,
    /// Whether a call is awaiting its reply.
    pub(super) calling: bool,
    /// When the last call was sent.
    pub(super) called: Option<Millis>,
    /// The largest slowdown in the last reply, in thousandths.
    pub(super) slowdown_milli: u32,
    pub(super) history: History,
    /// Clock of the newest usage sample that the model has observed.
    pub(super) sampled: Clock,
    pub(super) watch: Watch,
}
