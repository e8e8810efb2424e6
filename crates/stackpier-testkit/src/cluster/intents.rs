// SPDX-License-Identifier: Apache-2.0
//! Builds the intents that tests submit.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use stackpier_core::Name;

use super::data_centre;

/// service builds a service intent. `replicas` lists the number of replicas in each
/// data centre, from the first one on.
pub fn service(label: &str, replicas: &[u32]) -> Value {
    let replicas: BTreeMap<Name, u32> = replicas
        .iter()
        .enumerate()
        .map(|(centre, count)| (data_centre(centre), *count))
        .collect();
    json!({"service": {
        "name": label,
        "team": "team-a",
        "replicas": replicas,
        "size": {"milli_cores": 2_000, "memory_mib": 1_024},
        "priority": 100,
        "latency_target_ms": 50,
    }})
}

/// batch builds a batch intent for the first data centre.
pub fn batch(label: &str, tasks: u32, milli_cores: u32, run_time_ms: u64) -> Value {
    json!({"batch": {
        "name": label,
        "team": "team-a",
        "data_centre": data_centre(0),
        "tasks": tasks,
        "size": {"milli_cores": milli_cores, "memory_mib": 512},
        "deadline_unix_ms": 4_000_000_000_000_u64,
        "checkpointable": true,
        "run_time_ms": run_time_ms,
    }})
}
