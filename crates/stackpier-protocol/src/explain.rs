// SPDX-License-Identifier: Apache-2.0
//! Explanations of where a job's tasks run or why they wait, which a daemon
//! serves at its metrics address.

use serde::{Deserialize, Serialize};
use stackpier_state::explain::Job;

/// PATH is the path of the request, without the job's id that follows it.
pub const PATH: &str = "/explain/";

/// Answer is the body of a successful answer; otherwise it is a
/// [`Failure`](crate::operator::Failure).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The daemon owns the cell and knows the job.
    Job(Job),
    /// Another daemon owns the cell and has to be asked instead.
    Owner(Owner),
}

/// Owner is the daemon that owns the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its VM.
    pub vm: String,
    /// Its metrics address, if it could be reached to learn that.
    pub metrics: Option<String>,
}
