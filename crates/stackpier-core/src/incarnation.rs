// SPDX-License-Identifier: Apache-2.0
//! One life of a worker.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Unix;

/// Incarnation names one life of a worker: it may start again under the id that it had.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The id of the worker.
    pub id: String,
    /// When this life was started, by the worker's wall clock, if that is known.
    pub started_at: Option<Unix>,
}

impl Incarnation {
    /// differs_from tells whether another life of the same id is certainly not this one.
    pub fn differs_from(&self, other: &Incarnation) -> bool {
        let known = self.started_at.is_some() && other.started_at.is_some();
        known && self.started_at != other.started_at
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(at) => write!(f, "{} started at {}", self.id, at.0),
            None => f.write_str(&self.id),
        }
    }
}
