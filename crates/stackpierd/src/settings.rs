// SPDX-License-Identifier: Apache-2.0
//! The daemon's settings: raw JSON checked into types. `docs/CONFIGURATION.md`
//! describes each.

use std::{net::SocketAddr, path::Path};

use serde::Deserialize;
use stackpier_coordination::{membership, once, owner, placer, policy, route};
use stackpier_core::{
    Error, Kind, Name, Result,
    field::{Invalid, invalid, within},
};
use stackpier_protocol::codec::from_json;
use stackpier_transport::callers;

/// Raw is the settings file as written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    vm: String,
    data_centre: String,
    callers: String,
    operators: String,
    peers: String,
    platform: String,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    log: RawLog,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    times: RawTimes,
    #[serde(default = "default_shards")]
    home_shards: u16,
    #[serde(default = "default_excess")]
    most_excess_milli: u32,
}

fn default_excess() -> u32 {
    policy::Options::default().most_excess_milli
}

fn default_shards() -> u16 {
    placer::Options::default().shards
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawLog {
    format: String,
    level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        RawLog {
            format: "json".to_owned(),
            level: "info".to_owned(),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawLimits {
    connections: usize,
    requests: usize,
    body_bytes: usize,
    head_bytes: usize,
    queue: usize,
    upstream_start: f64,
    upstream_most: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        let callers = callers::Options::default();
        let route = route::Options::default();
        RawLimits {
            connections: callers.connections,
            requests: callers.requests,
            body_bytes: callers.body_bytes,
            head_bytes: callers.head_bytes,
            queue: route.queue,
            upstream_start: route.limit.start,
            upstream_most: route.limit.most,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawTimes {
    head_ms: u64,
    body_ms: u64,
    deadline_ms: u64,
    heartbeat_ms: u64,
    silence_ms: u64,
    list_ms: u64,
    poll_ms: u64,
    lease_ms: u64,
    drift_ms: u64,
    sync_ms: u64,
    commit_ms: u64,
    sweep_ms: u64,
    key_window_ms: u64,
    key_allowance_ms: u64,
    grace_ms: u64,
}

impl Default for RawTimes {
    fn default() -> Self {
        let callers = callers::Options::default();
        let owner = owner::Options::default();
        let once = once::Options::default();
        RawTimes {
            head_ms: callers.head_ms,
            body_ms: callers.body_ms,
            deadline_ms: 10_000,
            heartbeat_ms: 500,
            silence_ms: membership::Options::default().silence_ms,
            list_ms: 1_000,
            poll_ms: 1_000,
            lease_ms: owner.lease_ms,
            drift_ms: owner.drift_ms,
            sync_ms: owner.sync_ms,
            commit_ms: owner.commit_ms,
            sweep_ms: owner.sweep_ms,
            key_window_ms: once.window_ms,
            key_allowance_ms: once.allowance_ms,
            grace_ms: 30_000,
        }
    }
}

/// Format is how log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// For people.
    Terminal,
}

/// Log is how the daemon logs.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Format of lines.
    pub format: Format,
    /// Lowest level that is written.
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
    /// Peers' ports of other daemons, asked at the start when the platform
    /// does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Logging.
    pub log: Log,
    /// Bounds on callers.
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
    /// Time between two looks at the list of VMs, in milliseconds.
    pub list_ms: u64,
    /// Time between two polls of an intents page, in milliseconds.
    pub poll_ms: u64,
    /// Longest time a planned stop waits for requests, in milliseconds.
    pub grace_ms: u64,
}

/// load reads and checks a settings file.
pub fn load(path: &Path) -> Result<Settings> {
    let file = path.display();
    let unread = |error| Error::new(Kind::BadInput, format!("{file}: not read: {error}"));
    let bytes = std::fs::read(path).map_err(unread)?;
    let raw = from_json::<Raw>(&bytes)
        .map_err(|error| Error::new(Kind::BadInput, format!("{file}: {}", error.message)))?;
    Settings::try_from(raw).map_err(|error| Error::new(Kind::BadInput, format!("{file}: {error}")))
}

impl TryFrom<Raw> for Settings {
    type Error = Invalid;

    fn try_from(raw: Raw) -> std::result::Result<Settings, Invalid> {
        let times = check_times(&raw.times)?;
        let limits = check_limits(&raw.limits)?;
        within(
            "most_excess_milli",
            raw.most_excess_milli,
            0..=100_000,
            "thousandths",
        )?;
        let shards = within("home_shards", raw.home_shards, 1..=64, "shards")?;
        let seeds = raw.seeds.iter().map(|seed| address("seeds", seed));
        let mut route = route::Options {
            queue: limits.queue,
            ..route::Options::default()
        };
        route.limit.start = limits.upstream_start;
        route.limit.most = limits.upstream_most;
        Ok(Settings {
            vm: name("vm", &raw.vm)?,
            data_centre: name("data_centre", &raw.data_centre)?,
            callers: address("callers", &raw.callers)?,
            operators: address("operators", &raw.operators)?,
            peers: address("peers", &raw.peers)?,
            platform: address("platform", &raw.platform)?,
            seeds: seeds.collect::<std::result::Result<_, _>>()?,
            log: check_log(&raw.log)?,
            caller_options: callers::Options {
                connections: limits.connections,
                requests: limits.requests,
                body_bytes: limits.body_bytes,
                head_bytes: limits.head_bytes,
                head_ms: times.head_ms,
                body_ms: times.body_ms,
            },
            deadline_ms: times.deadline_ms,
            route,
            membership: membership::Options {
                silence_ms: times.silence_ms,
            },
            owner: owner::Options {
                lease_ms: times.lease_ms,
                drift_ms: times.drift_ms,
                sync_ms: times.sync_ms,
                commit_ms: times.commit_ms,
                sweep_ms: times.sweep_ms,
                shards,
            },
            placer: placer::Options {
                commit_ms: times.commit_ms,
                sweep_ms: times.sweep_ms,
                shards,
                policy: policy::Options {
                    most_excess_milli: raw.most_excess_milli,
                },
            },
            once: once::Options {
                window_ms: times.key_window_ms,
                allowance_ms: times.key_allowance_ms,
            },
            heartbeat_ms: times.heartbeat_ms,
            list_ms: times.list_ms,
            poll_ms: times.poll_ms,
            grace_ms: times.grace_ms,
        })
    }
}

fn check_times(times: &RawTimes) -> std::result::Result<&RawTimes, Invalid> {
    let ms = |field: &str, value: u64, least: u64, most: u64| {
        within(&format!("times.{field}"), value, least..=most, "ms").map(|_| ())
    };
    ms("head_ms", times.head_ms, 10, 600_000)?;
    ms("body_ms", times.body_ms, 10, 600_000)?;
    ms("deadline_ms", times.deadline_ms, 1, 600_000)?;
    ms("heartbeat_ms", times.heartbeat_ms, 20, 60_000)?;
    ms(
        "silence_ms",
        times.silence_ms,
        2 * times.heartbeat_ms,
        600_000,
    )?;
    ms("list_ms", times.list_ms, 20, 60_000)?;
    ms("poll_ms", times.poll_ms, 20, 60_000)?;
    ms("sync_ms", times.sync_ms, 20, 60_000)?;
    ms("lease_ms", times.lease_ms, 3 * times.sync_ms, 600_000)?;
    ms("drift_ms", times.drift_ms, times.lease_ms / 100, 60_000)?;
    ms("commit_ms", times.commit_ms, 1, 60_000)?;
    ms("sweep_ms", times.sweep_ms, 100, 600_000)?;
    ms("key_window_ms", times.key_window_ms, 1_000, 86_400_000)?;
    ms("key_allowance_ms", times.key_allowance_ms, 1, 600_000)?;
    ms("grace_ms", times.grace_ms, 0, 600_000)?;
    Ok(times)
}

fn check_limits(limits: &RawLimits) -> std::result::Result<&RawLimits, Invalid> {
    within(
        "limits.connections",
        limits.connections,
        1..=65_536,
        "connections",
    )?;
    within("limits.requests", limits.requests, 1..=4_096, "requests")?;
    within(
        "limits.body_bytes",
        limits.body_bytes,
        0..=64 << 20,
        "bytes",
    )?;
    within(
        "limits.head_bytes",
        limits.head_bytes,
        8_192..=1 << 20,
        "bytes",
    )?;
    within("limits.queue", limits.queue, 0..=65_536, "requests")?;
    within(
        "limits.upstream_start",
        limits.upstream_start,
        1.0..=1_000.0,
        "requests",
    )?;
    let most = limits.upstream_start..=1_000.0;
    within(
        "limits.upstream_most",
        limits.upstream_most,
        most,
        "requests",
    )?;
    Ok(limits)
}

fn check_log(log: &RawLog) -> std::result::Result<Log, Invalid> {
    let format = match log.format.as_str() {
        "json" => Format::Json,
        "terminal" => Format::Terminal,
        other => {
            return Err(invalid(
                "log.format",
                format!("'{other}'"),
                "json or terminal",
            ));
        }
    };
    let level = match log.level.as_str() {
        "debug" => slog::Level::Debug,
        "info" => slog::Level::Info,
        "warning" => slog::Level::Warning,
        "error" => slog::Level::Error,
        other => {
            let allowed = "debug, info, warning or error";
            return Err(invalid("log.level", format!("'{other}'"), allowed));
        }
    };
    Ok(Log { format, level })
}

fn name(field: &str, text: &str) -> std::result::Result<Name, Invalid> {
    Name::try_from(text).map_err(|reason| invalid(field, format!("'{text}'"), reason))
}

fn address(field: &str, text: &str) -> std::result::Result<SocketAddr, Invalid> {
    text.parse()
        .map_err(|_| invalid(field, format!("'{text}'"), "an address as IP:port"))
}
