// SPDX-License-Identifier: Apache-2.0
//! Messages of the platform's two services that stackpier uses, the store and
//! the list of VMs: JSON over HTTP.

use serde::{Deserialize, Serialize};
use stackpier_core::{Name, Size};
use stackpier_state::{Page, Revision};

/// Value is a stored page with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// The revision of this value.
    pub revision: Revision,
    /// The value.
    #[serde(with = "crate::packed")]
    pub page: Page,
}

/// Swap asks to replace a value if it still has the expected revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Swap {
    /// The expected revision; zero if the value must not exist.
    pub expect: Revision,
    /// The new value.
    #[serde(with = "crate::packed")]
    pub page: Page,
}

/// Swapped is the answer to a [`Swap`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swapped {
    /// Whether the value was replaced.
    pub won: bool,
    /// The value's revision after the call.
    pub revision: Revision,
}

/// Role distinguishes entry VMs from workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs a stackpier daemon.
    Entry,
    /// Runs tasks.
    Worker,
}

/// Standing is the state of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The VM exists.
    Live,
    /// The VM will be removed soon.
    Leaving,
    /// The VM is gone for good; a replacement is another VM.
    Gone,
}

/// Vm is one row of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Whether it is an entry VM or a worker.
    pub role: Role,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack; `None` for an entry VM.
    pub rack: Option<Name>,
    /// Its address as `IP:port`. For an entry VM the port is that for peers.
    pub address: String,
    /// The resources of a worker; zero for an entry VM.
    #[serde(default)]
    pub capacity: Size,
    /// Its state according to the platform.
    pub standing: Standing,
}

/// Roster is the platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// All VMs, including gone ones for some time.
    pub vms: Vec<Vm>,
}
