// SPDX-License-Identifier: Apache-2.0
//! The settings file before the check, with the defaults.

use serde::Deserialize;
use stackpier_coordination::{membership, once, owner, placer, policy, route};
use stackpier_transport::callers;

/// Raw holds the settings file before the check.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Raw {
    pub(super) vm: String,
    pub(super) data_centre: String,
    pub(super) callers: String,
    pub(super) operators: String,
    pub(super) peers: String,
    pub(super) platform: String,
    #[serde(default)]
    pub(super) seeds: Vec<String>,
    #[serde(default)]
    pub(super) log: RawLog,
    #[serde(default)]
    pub(super) limits: RawLimits,
    #[serde(default)]
    pub(super) times: RawTimes,
    #[serde(default = "default_shards")]
    pub(super) home_shards: u16,
    #[serde(default = "default_excess")]
    pub(super) most_excess_milli: u32,
}

fn default_excess() -> u32 {
    policy::Options::default().max_excess_milli
}

fn default_shards() -> u16 {
    placer::Options::default().shards
}

/// RawLog holds the settings of the log before the check.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawLog {
    pub(super) format: String,
    pub(super) level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        RawLog {
            format: "json".to_owned(),
            level: "info".to_owned(),
        }
    }
}

/// RawLimits holds the limits on callers and upstreams before the check.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawLimits {
    pub(super) connections: usize,
    pub(super) requests: usize,
    pub(super) body_bytes: usize,
    pub(super) head_bytes: usize,
    pub(super) queue: usize,
    pub(super) upstream_start: f64,
    pub(super) upstream_most: f64,
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
            upstream_most: route.limit.max_value,
        }
    }
}

/// RawTimes holds the times, in milliseconds, before the check.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RawTimes {
    pub(super) head_ms: u64,
    pub(super) body_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) heartbeat_ms: u64,
    pub(super) silence_ms: u64,
    pub(super) list_ms: u64,
    pub(super) poll_ms: u64,
    pub(super) lease_ms: u64,
    pub(super) drift_ms: u64,
    pub(super) sync_ms: u64,
    pub(super) commit_ms: u64,
    pub(super) sweep_ms: u64,
    pub(super) key_window_ms: u64,
    pub(super) key_allowance_ms: u64,
    pub(super) grace_ms: u64,
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
