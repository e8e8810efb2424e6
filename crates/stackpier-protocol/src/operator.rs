// SPDX-License-Identifier: Apache-2.0
//! The operators' interface: HTTP with JSON, used by the command-line tool.

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
    /// Made by the submitter; the same id twice is one submission.
    pub submission: u128,
    /// The version the submitter saw: `None` takes any, zero wants none.
    pub expect: Option<u64>,
    /// The intent.
    pub intent: Raw,
}

/// Cancel asks to cancel an intent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// Made by the submitter; the same id twice is one submission.
    pub submission: u128,
    /// The version the submitter saw: `None` takes any.
    pub expect: Option<u64>,
}

/// Accepted says that a change is stored.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The intent.
    pub name: Name,
    /// Its version now.
    pub version: u64,
}

/// Listed is a row of the list of intents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
    /// The accepted intents.
    pub objects: Vec<Object>,
}

/// TaskStatus is the state of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Its data centre.
    pub data_centre: Name,
    /// Its index within the intent.
    pub index: u32,
    /// The current attempt.
    pub attempt: Attempt,
    /// Where it is.
    pub place: Place,
    /// Whether the answering daemon knows it to run.
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
    /// Seconds after which coming back helps.
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
