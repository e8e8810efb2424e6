// SPDX-License-Identifier: Apache-2.0
//! Intents: what operators want to run, with the checks of their raw JSON form.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name, Size, Unix,
    field::{Invalid, invalid, within},
    key::{Job, Write},
};

/// MAX_TASKS is the maximum number of a batch intent's tasks, and of a service
/// intent's replicas in one data centre.
pub const MAX_TASKS: u32 = 2_000;
/// MAX_PRIORITY is the highest priority.
pub const MAX_PRIORITY: u16 = 1_000;
/// URGENT_PRIORITY is the lowest priority at which work is urgent, which means
/// that its commits do not wait for the usual interval.
pub const URGENT_PRIORITY: u16 = 900;
/// MAX_RUN_TIME_MS is the maximum declared run time: 30 days.
pub const MAX_RUN_TIME_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// MAX_LATENCY_MS is the maximum latency target: 10 minutes.
pub const MAX_LATENCY_MS: u32 = 600_000;
/// MAX_MILLI_CORES is the maximum processor time of a task: 1,024 cores.
pub const MAX_MILLI_CORES: u32 = 1_024_000;
/// MAX_MEMORY_MIB is the maximum memory of a task: 16 TiB.
pub const MAX_MEMORY_MIB: u32 = 16 * 1_024 * 1_024;

/// KEPT_SUBMISSIONS is how many of its last submissions an object lists.
pub const KEPT_SUBMISSIONS: usize = 8;

/// Raw is an intent as an operator writes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Raw {
    /// A service that answers callers.
    Service(RawService),
    /// A batch job.
    Batch(RawBatch),
}

/// RawService is a service intent before it is checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name that callers use for the service.
    pub name: String,
    /// Team that the work is charged to.
    pub team: String,
    /// Number of replicas in each data centre.
    pub replicas: BTreeMap<String, u32>,
    /// Size of one replica.
    pub size: Size,
    /// Priority; a higher one goes first.
    #[serde(default)]
    pub priority: u16,
    /// Target for the 99th percentile of latency, in milliseconds.
    pub latency_target_ms: u32,
}

/// RawBatch is a batch intent before it is checked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBatch {
    /// Name of the job.
    pub name: String,
    /// Team that the work is charged to.
    pub team: String,
    /// Data centre to run in.
    pub data_centre: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Size of one task.
    pub size: Size,
    /// Priority; a higher one goes first.
    #[serde(default)]
    pub priority: u16,
    /// When all tasks should be done, in milliseconds since 1970.
    pub deadline_unix_ms: u64,
    /// Whether the tasks can save their progress and resume from it.
    #[serde(default)]
    pub checkpointable: bool,
    /// Expected run time of one task, in milliseconds.
    pub run_time_ms: u64,
}

/// Service is a checked service intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Number of replicas in each data centre.
    pub replicas: BTreeMap<Name, u32>,
    /// Target for the 99th percentile of latency, in milliseconds.
    pub latency_target_ms: u32,
}

/// Batch is a checked batch intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Data centre to run in.
    pub data_centre: Name,
    /// Number of tasks.
    pub tasks: u32,
    /// When all tasks should be done.
    pub deadline: Unix,
    /// Whether the tasks can save their progress and resume from it.
    pub checkpointable: bool,
    /// Expected run time of one task, in milliseconds.
    pub run_time_ms: u64,
}

/// Kind is what differs between services and batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service.
    Service(Service),
    /// A batch job.
    Batch(Batch),
}

/// Intent is a checked intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Name of the service or job.
    pub name: Name,
    /// Team that the work is charged to.
    pub team: Name,
    /// Size of one task.
    pub size: Size,
    /// Priority; a higher one goes first.
    pub priority: u16,
    /// Service or batch.
    pub kind: Kind,
}

/// Object is an accepted intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the intent for its whole lifetime.
    pub job: Job,
    /// The number of the job under this name. An intent that is submitted again
    /// after it was cancelled is a new job.
    pub generation: u32,
    /// The number of accepted changes of the intent, from one.
    pub version: u64,
    /// The ids of the last submissions, newest last. A repeat of one of them has
    /// no further effect.
    pub submissions: Vec<u128>,
    /// Whether the operator cancelled it.
    pub cancelled: bool,
    /// What should run.
    pub intent: Intent,
}

/// Shard is the page of one shard of intents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// The write that made this value.
    pub write: Write,
    /// The accepted intents, in order of acceptance.
    pub objects: Vec<Object>,
}

impl Shard {
    /// object returns the intent with this name.
    pub fn object(&self, name: Name) -> Option<&Object> {
        self.objects
            .iter()
            .find(|object| object.intent.name == name)
    }

    /// put adds an intent or replaces its earlier version.
    pub fn put(&mut self, object: Object) {
        let name = object.intent.name;
        match self.objects.iter_mut().find(|old| old.intent.name == name) {
            Some(old) => *old = object,
            None => self.objects.push(object),
        }
    }
}

impl Intent {
    /// tasks returns the number of tasks in a data centre.
    pub fn tasks(&self, data_centre: Name) -> u32 {
        match &self.kind {
            Kind::Service(service) => service.replicas.get(&data_centre).copied().unwrap_or(0),
            Kind::Batch(batch) if batch.data_centre == data_centre => batch.tasks,
            Kind::Batch(_) => 0,
        }
    }
}

impl TryFrom<Raw> for Intent {
    type Error = Invalid;

    fn try_from(raw: Raw) -> Result<Intent, Invalid> {
        match raw {
            Raw::Service(raw) => check_service(raw),
            Raw::Batch(raw) => check_batch(raw),
        }
    }
}

fn check_service(raw: RawService) -> Result<Intent, Invalid> {
    let mut replicas = BTreeMap::new();
    for (data_centre, count) in raw.replicas {
        let field = format!("service.replicas.{data_centre}");
        within(&field, count, 0..=MAX_TASKS, "replicas")?;
        replicas.insert(parse_name(&field, &data_centre)?, count);
    }
    if replicas.is_empty() {
        return Err(invalid(
            "service.replicas",
            "{}",
            "at least one data centre",
        ));
    }
    let latency = raw.latency_target_ms;
    within(
        "service.latency_target_ms",
        latency,
        1..=MAX_LATENCY_MS,
        "ms",
    )?;
    Ok(Intent {
        name: parse_name("service.name", &raw.name)?,
        team: parse_name("service.team", &raw.team)?,
        size: check_size("service.size", raw.size)?,
        priority: within("service.priority", raw.priority, 0..=MAX_PRIORITY, "")?,
        kind: Kind::Service(Service {
            replicas,
            latency_target_ms: latency,
        }),
    })
}

fn check_batch(raw: RawBatch) -> Result<Intent, Invalid> {
    let run_time = raw.run_time_ms;
    Ok(Intent {
        name: parse_name("batch.name", &raw.name)?,
        team: parse_name("batch.team", &raw.team)?,
        size: check_size("batch.size", raw.size)?,
        priority: within("batch.priority", raw.priority, 0..=MAX_PRIORITY, "")?,
        kind: Kind::Batch(Batch {
            data_centre: parse_name("batch.data_centre", &raw.data_centre)?,
            tasks: within("batch.tasks", raw.tasks, 1..=MAX_TASKS, "tasks")?,
            deadline: Unix(raw.deadline_unix_ms),
            checkpointable: raw.checkpointable,
            run_time_ms: within("batch.run_time_ms", run_time, 1..=MAX_RUN_TIME_MS, "ms")?,
        }),
    })
}

fn parse_name(field: &str, text: &str) -> Result<Name, Invalid> {
    Name::try_from(text).map_err(|reason| invalid(field, format!("'{text}'"), reason))
}

fn check_size(field: &str, size: Size) -> Result<Size, Invalid> {
    let cores = format!("{field}.milli_cores");
    let memory = format!("{field}.memory_mib");
    within(
        &cores,
        size.milli_cores,
        1..=MAX_MILLI_CORES,
        "thousandths of a core",
    )?;
    within(&memory, size.memory_mib, 1..=MAX_MEMORY_MIB, "MiB")?;
    Ok(size)
}
