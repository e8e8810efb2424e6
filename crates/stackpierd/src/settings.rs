// SPDX-License-Identifier: Apache-2.0
//! The daemon's settings, read from a JSON file and checked.
//! `docs/CONFIGURATION.md` describes each.

mod check;
mod raw;

use std::{net::SocketAddr, path::Path};

use stackpier_coordination::{membership, once, owner, placer, route};
use stackpier_core::{Error, Kind, Name, Result};
use stackpier_protocol::codec::from_json;
use stackpier_transport::callers;

use raw::Raw;

/// Format is the format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Text for reading in a terminal.
    Terminal,
}

/// Log holds the settings of the log.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Format of lines.
    pub format: Format,
    /// The lowest level that is written.
    pub level: slog::Level,
}

/// Settings are the checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the operators' port.
    pub operators: SocketAddr,
    /// Address of the peers' port.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peers' ports of other daemons. A starting daemon asks them for the list of
    /// VMs when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Logging.
    pub log: Log,
    /// Limits on callers.
    pub caller_options: callers::Options,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Routing.
    pub route: route::Options,
    /// Membership.
    pub membership: membership::Options,
    /// Owners of racks.
    pub owner: owner::Options,
    /// Placers.
    pub placer: placer::Options,
    /// Keys of requests that must not be repeated.
    pub once: once::Options,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time between two reads of the list of VMs by the daemons of a data centre
    /// together, in milliseconds.
    pub list_ms: u64,
    /// Time between two polls of an intents page, in milliseconds.
    pub poll_ms: u64,
    /// Longest time that a planned stop waits for requests in service, in
    /// milliseconds.
    pub grace_ms: u64,
}

/// load reads and checks a settings file.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display();
    let read_error = |error| Error::new(Kind::BadInput, format!("{file}: cannot be read: {error}"));
    let bytes = std::fs::read(path).map_err(read_error)?;
    let raw = from_json::<Raw>(&bytes)
        .map_err(|error| Error::new(Kind::BadInput, format!("{file}: {}", error.message)))?;
    Settings::try_from(raw).map_err(|error| Error::new(Kind::BadInput, format!("{file}: {error}")))
}
