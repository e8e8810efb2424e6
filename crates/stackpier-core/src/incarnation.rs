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

/// differ tells whether two starts are known and are not the same: they are of two lives.
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
