// SPDX-License-Identifier: Apache-2.0
//! Small `Copy` keys of jobs, tasks, process runs and requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Error, Kind, Name, Unix};

/// JOB_DIGITS is the number of digits of a job's id as text: 64 bits in hexadecimal.
const JOB_DIGITS: usize = 16;
/// HEX is the radix of a job's id as text.
const HEX: u32 = 16;

/// Job identifies one accepted intent for its whole lifetime, or one job of a
/// cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Job(pub u64);

impl Job {
    /// within returns the key of the part of the intent that runs in one data
    /// centre.
    pub fn within(self, data_centre: Name) -> Job {
        Job(weight(data_centre.as_str().as_bytes(), self.0))
    }
}

impl TryFrom<&str> for Job {
    type Error = Error;

    fn try_from(text: &str) -> crate::Result<Job> {
        let wrong = || {
            let why = format!("'{text}' is no id of 16 hex digits");
            Error::new(Kind::BadInput, why)
        };
        if text.len() != JOB_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(wrong());
        }
        u64::from_str_radix(text, HEX).map(Job).map_err(|_| wrong())
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Task identifies one replica of a service or one task of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The part of the intent that runs in one data centre, see [`Job::within`].
    pub job: Job,
    /// The index of the task within its intent, from zero.
    pub index: u32,
}

/// Attempt is the number of one start of a task, from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

impl Attempt {
    /// next returns the number of the next start.
    pub fn next(self) -> Attempt {
        Attempt(self.0 + 1)
    }
}

/// Boot identifies one run of a process. A restarted process has a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Boot(pub u64);

/// Write identifies one write to the store, so that a writer that received no
/// reply can check by reading the value back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The process run that wrote.
    pub boot: Boot,
    /// The number of the write within that run.
    pub number: u64,
}

/// Request is a caller's key for a request that must not be repeated.
///
/// It is a UUID of version 7, which contains the time at which the caller
/// created it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request(pub u128);

/// NotVersion7 is the error for a text that is not a UUID of version 7.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotVersion7;

/// UUID_TIME_SHIFT is the number of bits that follow the 48-bit time of a UUIDv7.
const UUID_TIME_SHIFT: u32 = 80;

impl Request {
    /// minted returns when the caller created the key, by the caller's clock.
    pub fn minted(self) -> Unix {
        Unix((self.0 >> UUID_TIME_SHIFT) as u64)
    }
}

impl TryFrom<&str> for Request {
    type Error = NotVersion7;

    fn try_from(text: &str) -> Result<Self, NotVersion7> {
        let uuid = Uuid::try_parse(text).map_err(|_| NotVersion7)?;
        if uuid.get_version_num() != 7 {
            return Err(NotVersion7);
        }
        Ok(Request(uuid.as_u128()))
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Uuid::from_u128(self.0))
    }
}

/// weight returns the rendezvous-hash weight of `member` for `item`; the
/// member with the highest weight is chosen.
pub fn weight(item: &[u8], member: u64) -> u64 {
    xxh3_64_with_seed(item, member)
}

/// shard returns which of `count` shards `job` belongs to.
pub fn shard(job: Job, count: u16) -> u16 {
    (xxh3_64_with_seed(&job.0.to_le_bytes(), 0) % u64::from(count.max(1))) as u16
}
