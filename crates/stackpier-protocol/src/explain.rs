// SPDX-License-Identifier: Apache-2.0
//! Why a job's tasks are where they are, as a daemon answers it at its metrics
//! address.

use serde::{Deserialize, Serialize};
use stackpier_state::explain::Job;

/// PATH is the path of the question; the job's id follows.
pub const PATH: &str = "/explain/";

/// Answer is a daemon's answer, unless it is a [`Failure`](crate::operator::Failure).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The daemon owns the cell and knows the job.
    Job(Job),
    /// Another daemon owns the cell.
    Owner(Owner),
}

/// Owner is the daemon to ask instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its VM.
    pub vm: String,
    /// Its metrics address, if it was reached to tell.
    pub metrics: Option<String>,
}
