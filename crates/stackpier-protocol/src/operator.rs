// SPDX-License-Identifier: Apache-2.0
//! The operators' interface: JSON over HTTP, used by the command-line tool.

use serde::{Deserialize, Serialize};
use stackpier_core::{Error, Name, error::Ran, key::Attempt};
use stackpier_state::{
    homes::Place,
    intent::{Object, Raw},
};

/// Submit asks to accept an intent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The submitter's id for this submission. A repeat with the same id has no
    /// further effect.
    pub submission: u128,
    /// The version that the intent must have now: zero if it must not exist,
    /// `None` if any will do.
    pub expect: Option<u64>,
    /// The intent.
    pub intent: Raw,
}

/// Cancel asks to cancel an intent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The submitter's id for this submission. A repeat with the same id has no
    /// further effect.
    pub submission: u128,
    /// The version that the intent must have now; `None` if any will do.
    pub expect: Option<u64>,
}

/// Accepted confirms that a change is stored.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The name of the intent.
    pub name: Name,
    /// The version of the intent after the change.
    pub version: u64,
}

/// Listed is the list of intents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
    /// The accepted intents.
    pub objects: Vec<Object>,
}

/// TaskStatus is the state of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The data centre it runs in.
    pub data_centre: Name,
    /// Its index within the intent.
    pub index: u32,
    /// The current attempt.
    pub attempt: Attempt,
    /// Whether it waits, is claimed for a worker, or has ended.
    pub place: Place,
    /// Whether the answering daemon knows that it is running.
    pub running: bool,
}

/// Status is the state of an intent and its tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The accepted intent.
    pub object: Object,
    /// Its tasks.
    pub tasks: Vec<TaskStatus>,
}

/// Failure is the body of every answer that is not a success.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub error: Error,
    /// Whether the work was done.
    pub ran: Ran,
    /// Seconds after which a retry may succeed, if that is known.
    pub retry_after_s: Option<u32>,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Failure {
            ran: error.ran(),
            retry_after_s: error.retry_after_s(),
            error,
        }
    }
}
