// SPDX-License-Identifier: Apache-2.0
//! The daemon's settings: JSON parsed and validated into types. `docs/CONFIGURATION.md`
//! describes each setting.

use std::{net::SocketAddr, path::Path, result::Result as Checked};

use serde::Deserialize;
use stackpier_cell::{Mechanism, Mechanisms};
use stackpier_core::{
    Error, Kind, Result,
    field::{Invalid, invalid, within},
};
use stackpier_protocol::codec::from_json;

use crate::capacity::Capacity;

/// MAX_LEASE_MS is the longest lease that is requested, even if workers would grant a
/// longer one. The tasks of a worker that crashed wait for it to expire.
const MAX_LEASE_MS: u64 = 6_000;
/// AUTHORITY_GAP_MS is how much earlier than its leases expire an owner without the store
/// gives up the cell.
const AUTHORITY_GAP_MS: u64 = 1_000;
/// TAKE_DOWN_MARGIN_MS is added to the gap between the orders of two owners for one host,
/// as the predecessor's last order may still be in transit.
const TAKE_DOWN_MARGIN_MS: u64 = 500;
/// MAX_SENDING_MS is how long the VM's link may be busy with starts in transit. It is well
/// below the 400 ms after which a heartbeat counts as unanswered.
const MAX_SENDING_MS: f64 = 150.0;
/// MAX_PROCESSING_MS is how long the VM's processor may be busy with starts in transit.
const MAX_PROCESSING_MS: f64 = 100.0;
/// START_PROCESSOR_MS is the processor time of a start and its answer, in milliseconds of a
/// whole core. It is derived from an owner of 540 workers, which takes 0.09 to 0.14 cores
/// for some 3,300 starts and renewals a second, decisions included.
const START_PROCESSOR_MS: f64 = 0.036;
/// RENEWAL_PROCESSOR_MS is the processor time of a lease renewal and its answer, in
/// milliseconds of a whole core.
const RENEWAL_PROCESSOR_MS: f64 = 0.036;
/// RENEWAL_BYTES is the most that a lease renewal sends over the link in each direction, in
/// bytes: a report of eight runs.
const RENEWAL_BYTES: f64 = 900.0;
/// START_BYTES is the size of a start on the link without its payload, in bytes.
const START_BYTES: f64 = 450.0;
/// BYTES_PER_MS is the number of bytes that a link of one Mbit/s carries in a millisecond.
const BYTES_PER_MS: f64 = 125.0;
/// KBPS_PER_MBPS is the number of kbit/s in one Mbit/s.
const KBPS_PER_MBPS: f64 = 1_000.0;
/// DEFAULT_LINK_MBPS is the bandwidth of the VM's link if the settings don't give it.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
/// DEFAULT_HEARTBEAT_MS is the time between two writes of a worker's entry if the settings
/// don't give it.
const DEFAULT_HEARTBEAT_MS: u64 = 1_500;
/// ENTRY_HEARTBEATS is for how many heartbeats the list may still show a worker that has
/// crashed: its entry expires after three, and the changed list reaches the owner in less
/// than one more.
const ENTRY_HEARTBEATS: u64 = 4;
/// DEFAULT_CANCEL_MS is the time within which a cancellation has to be in force if the settings
/// don't give it.
const DEFAULT_CANCEL_MS: f64 = 3_000.0;
/// DEFAULT_DRAIN_MS is the time within which a worker that drains gets no more starts if the
/// settings don't give it.
const DEFAULT_DRAIN_MS: f64 = 2_000.0;
/// MIN_BOUND_MS is the shortest time that a change of the store may be required to be in force in.
/// Below it the pauses between two watches alone would keep tasks from starting.
const MIN_BOUND_MS: u64 = 1_800;
/// MAX_TIME_MS bounds every time in the settings.
const MAX_TIME_MS: u64 = 600_000;

/// Raw is the settings file as written, before validation.
#[derive(Clone, Debug, Deserialize)]
struct Raw {
    vm: String,
    data_centre: String,
    callers: String,
    readiness: String,
    peers: String,
    #[serde(default)]
    advertised: String,
    metrics: String,
    store: String,
    #[serde(default)]
    adviser: String,
    #[serde(default)]
    hosts: String,
    #[serde(default)]
    turn_gap_ms: u64,
    longest_lease_ms: u64,
    stop_ms: u64,
    early_ms: u64,
    shown_s: u64,
    grace_s: f64,
    cores: f64,
    #[serde(default = "usual_mbps")]
    link_mbps: f64,
    #[serde(default = "usual_beat_ms")]
    worker_heartbeat_ms: u64,
    #[serde(default = "usual_cancel_ms")]
    cancel_ms: f64,
    #[serde(default = "usual_drain_ms")]
    drain_ms: f64,
    #[serde(default = "usual_over_target_ms")]
    max_over_target_ms: u64,
    #[serde(default)]
    admission_objectives: Option<f64>,
    /// Mechanisms of the scheduling decisions that are switched off.
    #[serde(default)]
    without: Vec<String>,
}

/// Settings holds the validated settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// The address for client accounts.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub readiness: SocketAddr,
    /// The address on which it listens to its peers.
    pub peers: SocketAddr,
    /// The address at which peers reach it: `peers` unless another one is set.
    pub advertised: SocketAddr,
    /// The address of the metrics page.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The adviser, for queues that have one.
    pub adviser: Option<SocketAddr>,
    /// The address for taking hosts down, if that is possible.
    pub hosts: Option<SocketAddr>,
    /// The options of the cell's decisions.
    pub cell: stackpier_cell::Options,
    /// The VM's processor capacity, in thousandths of a core.
    pub milli_cores: u32,
    /// The bandwidth of the VM's link, in kbit/s.
    pub link_kbps: u32,
    /// The costs of starts and renewals on the VM.
    pub costs: Costs,
    /// By how many objectives a job may miss its time at most, if others are rejected.
    pub admission_objectives: Option<f64>,
    /// The time from the signal to stop until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// How long after its acknowledgement a cancellation has to be in force, in milliseconds.
    pub cancel_ms: u64,
}

/// Costs computes how long a call to a worker keeps the VM's link or processor busy.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    cores: f64,
    link_mbps: f64,
}

impl Costs {
    /// renewal_ms returns how long a lease renewal keeps the link or the processor busy,
    /// whichever is longer, in milliseconds.
    pub fn renewal_ms(&self) -> f64 {
        let link_ms = RENEWAL_BYTES / (self.link_mbps * BYTES_PER_MS);
        link_ms.max(RENEWAL_PROCESSOR_MS / self.cores)
    }

    /// link_ms returns how long `bytes` keep the link busy, in milliseconds.
    pub fn link_ms(&self, bytes: usize) -> f64 {
        bytes as f64 / (self.link_mbps * BYTES_PER_MS)
    }

    /// start_ms returns how long a start with a payload of `payload` bytes keeps the link
    /// or the processor busy, whichever is longer, in milliseconds.
    pub fn start_ms(&self, payload: usize) -> f64 {
        let bytes = payload as f64 + START_BYTES;
        let link_ms = bytes / (self.link_mbps * BYTES_PER_MS);
        link_ms.max(START_PROCESSOR_MS / self.cores)
    }
}

impl Settings {
    /// capacity returns what limits the VM as an owner.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            milli_cores: self.milli_cores,
            link_kbps: self.link_kbps,
        }
    }

    /// load reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Settings> {
        let unreadable = |error| Error::new(Kind::BadInput, format!("{}: {error}", path.display()));
        let text = std::fs::read(path).map_err(unreadable)?;
        Settings::parse(&text)
    }

    /// parse parses and validates the text of a settings file.
    pub fn parse(text: &[u8]) -> Result<Settings> {
        let raw: Raw = from_json(text)?;
        Ok(Settings::try_from(raw)?)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Invalid;

    fn try_from(raw: Raw) -> Checked<Settings, Invalid> {
        let longest = within(
            "longest_lease_ms",
            raw.longest_lease_ms,
            1_000..=MAX_TIME_MS,
            "ms",
        )?;
        let lease_ms = longest.min(MAX_LEASE_MS);
        let shown_s = within("shown_s", raw.shown_s, 1..=MAX_TIME_MS / 1_000, "s")?;
        let grace_s = within("grace_s", raw.grace_s, 0.5..=600.0, "s")?;
        let cores = within("cores", raw.cores, 0.001..=1_000.0, "cores")?;
        let link_mbps = within("link_mbps", raw.link_mbps, 0.1..=1_000_000.0, "Mbit/s")?;
        let heartbeat_ms = within(
            "worker_heartbeat_ms",
            raw.worker_heartbeat_ms,
            1..=MAX_TIME_MS,
            "ms",
        )?;
        let peers = address("peers", &raw.peers)?;
        let defaults = stackpier_cell::Options::default();
        let transit_ms = defaults.start_transit_ms;
        Ok(Settings {
            callers: address("callers", &raw.callers)?,
            readiness: address("readiness", &raw.readiness)?,
            peers,
            advertised: optional("advertised", &raw.advertised)?.unwrap_or(peers),
            metrics: address("metrics", &raw.metrics)?,
            store: address("store", &raw.store)?,
            adviser: optional("adviser", &raw.adviser)?,
            hosts: optional("hosts", &raw.hosts)?,
            cell: stackpier_cell::Options {
                lease_ms,
                max_lease_ms: lease_ms,
                authority_ms: lease_ms - AUTHORITY_GAP_MS.min(lease_ms / 2),
                stop_ms: within("stop_ms", raw.stop_ms, 1..=MAX_TIME_MS, "ms")?,
                take_down_gap_ms: within("turn_gap_ms", raw.turn_gap_ms, 0..=MAX_TIME_MS, "ms")?
                    + TAKE_DOWN_MARGIN_MS,
                early_ms: within("early_ms", raw.early_ms, 0..=MAX_TIME_MS, "ms")? / 4,
                max_over_target_ms: within(
                    "max_over_target_ms",
                    raw.max_over_target_ms,
                    1..=MAX_TIME_MS,
                    "ms",
                )?,
                max_jobs_age_ms: max_age_ms("cancel_ms", raw.cancel_ms, transit_ms)?,
                max_workers_age_ms: max_age_ms("drain_ms", raw.drain_ms, transit_ms)?,
                stale_entry_ms: heartbeat_ms * ENTRY_HEARTBEATS,
                show_ms: shown_s * 1_000 + defaults.lease_ms,
                without: mechanisms(&raw.without)?,
                ratings_per_ms: (cores * f64::from(stackpier_cell::RATINGS_PER_CORE)) as u32,
                max_start_bytes: (link_mbps * BYTES_PER_MS * MAX_SENDING_MS) as u64,
                max_starts: (cores * MAX_PROCESSING_MS / START_PROCESSOR_MS).ceil() as usize,
                ..defaults
            },
            admission_objectives: admission(raw.admission_objectives, &raw.without)?,
            grace_ms: (grace_s * 1_000.0) as u64,
            cancel_ms: raw.cancel_ms as u64,
            milli_cores: (cores * 1_000.0) as u32,
            link_kbps: (link_mbps * KBPS_PER_MBPS) as u32,
            costs: Costs { cores, link_mbps },
            vm: non_empty("vm", raw.vm)?,
            data_centre: non_empty("data_centre", raw.data_centre)?,
        })
    }
}

/// max_age_ms returns how old the owner's knowledge of a change may be when it starts tasks, if the
/// change has to be in force within `bound_ms` and starts are under way for up to `transit_ms`.
fn max_age_ms(field: &str, bound_ms: f64, transit_ms: u64) -> Checked<u64, Invalid> {
    let bounds = MIN_BOUND_MS..=MAX_TIME_MS;
    Ok(within(field, bound_ms as u64, bounds, "ms")? - transit_ms)
}

/// admission returns the bound on what is accepted, unless the mechanism is switched off.
fn admission(given: Option<f64>, without: &[String]) -> Checked<Option<f64>, Invalid> {
    let checked = given
        .map(|given| within("admission_objectives", given, 1.0..=100.0, "objectives"))
        .transpose()?;
    let off = mechanisms(without)?.contains(Mechanism::Admission);
    Ok(checked.filter(|_| !off))
}

fn usual_mbps() -> f64 {
    DEFAULT_LINK_MBPS
}

fn usual_beat_ms() -> u64 {
    DEFAULT_HEARTBEAT_MS
}

fn usual_cancel_ms() -> f64 {
    DEFAULT_CANCEL_MS
}

fn usual_drain_ms() -> f64 {
    DEFAULT_DRAIN_MS
}

fn usual_over_target_ms() -> u64 {
    stackpier_cell::Options::default().max_over_target_ms
}

fn mechanisms(names: &[String]) -> Checked<Mechanisms, Invalid> {
    names.iter().map(|name| name.parse::<Mechanism>()).collect()
}

fn non_empty(field: &str, value: String) -> Checked<String, Invalid> {
    if value.is_empty() {
        return Err(invalid(field, "''", "a name"));
    }
    Ok(value)
}

/// optional parses an address that may be left empty.
fn optional(field: &str, value: &str) -> Checked<Option<SocketAddr>, Invalid> {
    match value {
        "" => Ok(None),
        given => address(field, given).map(Some),
    }
}

fn address(field: &str, value: &str) -> Checked<SocketAddr, Invalid> {
    let reject = |_| invalid(field, format!("'{value}'"), "IP:port");
    value.parse().map_err(reject)
}
