// SPDX-License-Identifier: Apache-2.0
//! The platform's two services as stackpier meets them: the store and the
//! list of VMs, as HTTP with JSON.

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
    /// The expected revision, zero for a value that must not exist.
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
    /// The revision after the call.
    pub revision: Revision,
}

/// Role tells entry VMs from workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs a stackpier daemon.
    Entry,
    /// Runs tasks.
    Worker,
}

/// Standing is what the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It is there.
    Live,
    /// It will be taken away soon.
    Leaving,
    /// It is gone and will not come back as this VM.
    Gone,
}

/// Vm is one row of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Entry VM or worker.
    pub role: Role,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack; `None` for an entry VM.
    pub rack: Option<Name>,
    /// Address as `IP:port`: the peers' port of an entry VM, the port of a
    /// worker.
    pub address: String,
    /// What a worker offers; zero for an entry VM.
    #[serde(default)]
    pub capacity: Size,
    /// What the platform says of it.
    pub standing: Standing,
}

/// Roster is the platform's list of VMs, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// All VMs, gone ones for some time as well.
    pub vms: Vec<Vm>,
}
