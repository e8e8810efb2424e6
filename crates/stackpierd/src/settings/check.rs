// SPDX-License-Identifier: Apache-2.0
//! The check of the settings file, and the options built from it.

use std::net::SocketAddr;

use stackpier_coordination::{membership, once, owner, placer, policy, route};
use stackpier_core::{
    Name,
    field::{Invalid, invalid, within},
};
use stackpier_transport::callers;

use super::{
    Format, Log, Settings,
    raw::{Raw, RawLimits, RawLog, RawTimes},
};

impl TryFrom<Raw> for Settings {
    type Error = Invalid;

    fn try_from(raw: Raw) -> Result<Settings, Invalid> {
        let times = check_times(&raw.times)?;
        let limits = check_limits(&raw.limits)?;
        within(
            "most_excess_milli",
            raw.most_excess_milli,
            0..=100_000,
            "thousandths",
        )?;
        let shards = within("home_shards", raw.home_shards, 1..=64, "shards")?;
        let seeds = raw.seeds.iter().map(|seed| parse_address("seeds", seed));
        Ok(Settings {
            vm: parse_name("vm", &raw.vm)?,
            data_centre: parse_name("data_centre", &raw.data_centre)?,
            callers: parse_address("callers", &raw.callers)?,
            operators: parse_address("operators", &raw.operators)?,
            peers: parse_address("peers", &raw.peers)?,
            platform: parse_address("platform", &raw.platform)?,
            seeds: seeds.collect::<Result<_, _>>()?,
            log: check_log(&raw.log)?,
            caller_options: caller_options(limits, times),
            deadline_ms: times.deadline_ms,
            route: route_options(limits),
            membership: membership::Options {
                silence_ms: times.silence_ms,
            },
            owner: owner_options(times, shards),
            placer: placer_options(times, shards, raw.most_excess_milli),
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

fn caller_options(limits: &RawLimits, times: &RawTimes) -> callers::Options {
    callers::Options {
        connections: limits.connections,
        requests: limits.requests,
        body_bytes: limits.body_bytes,
        head_bytes: limits.head_bytes,
        head_ms: times.head_ms,
        body_ms: times.body_ms,
    }
}

fn route_options(limits: &RawLimits) -> route::Options {
    let mut options = route::Options {
        queue: limits.queue,
        ..route::Options::default()
    };
    options.limit.start = limits.upstream_start;
    options.limit.max_value = limits.upstream_most;
    options
}

fn owner_options(times: &RawTimes, shards: u16) -> owner::Options {
    owner::Options {
        lease_ms: times.lease_ms,
        drift_ms: times.drift_ms,
        sync_ms: times.sync_ms,
        commit_ms: times.commit_ms,
        sweep_ms: times.sweep_ms,
        shards,
    }
}

fn placer_options(times: &RawTimes, shards: u16, most_excess_milli: u32) -> placer::Options {
    placer::Options {
        commit_ms: times.commit_ms,
        sweep_ms: times.sweep_ms,
        shards,
        policy: policy::Options {
            max_excess_milli: most_excess_milli,
        },
    }
}

fn check_times(times: &RawTimes) -> Result<&RawTimes, Invalid> {
    let ms = |field: &str, value: u64, min: u64, max: u64| {
        within(&format!("times.{field}"), value, min..=max, "ms").map(|_| ())
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

fn check_limits(limits: &RawLimits) -> Result<&RawLimits, Invalid> {
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
    let range = limits.upstream_start..=1_000.0;
    within(
        "limits.upstream_most",
        limits.upstream_most,
        range,
        "requests",
    )?;
    Ok(limits)
}

fn check_log(log: &RawLog) -> Result<Log, Invalid> {
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

fn parse_name(field: &str, text: &str) -> Result<Name, Invalid> {
    Name::try_from(text).map_err(|reason| invalid(field, format!("'{text}'"), reason))
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, Invalid> {
    text.parse()
        .map_err(|_| invalid(field, format!("'{text}'"), "an address as IP:port"))
}
