// SPDX-License-Identifier: Apache-2.0
//! Incarnations of workers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Unix;

/// Incarnation identifies one start of a worker. A worker that restarts may keep its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The id of the worker.
    pub id: String,
    /// When this incarnation started, by the worker's wall clock, if that is known.
    pub started_at: Option<Unix>,
}

/// differ reports whether two start times are both known and unequal, and so belong to two
/// incarnations.
pub fn differ(one: Option<Unix>, other: Option<Unix>) -> bool {
    one.is_some() && other.is_some() && one != other
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(at) => write!(f, "{} started at {}", self.id, at.0),
            None => f.write_str(&self.id),
        }
    }
}
