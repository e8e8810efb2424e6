// SPDX-License-Identifier: Apache-2.0
//! The daemon's own keys in the store, and the values under some of them.

use serde::{Deserialize, Serialize};
use stackpier_core::key::{self, Boot};

/// CLUSTER is the prefix of what all daemons watch.
pub(crate) const CLUSTER: &str = "cluster/";
/// OWNER is the key of the cell's ownership.
pub(crate) const OWNER: &str = "cluster/owner";
/// MEMBERS is the prefix of the daemons.
pub(crate) const MEMBERS: &str = "cluster/member/";
/// JOBS is the prefix of accepted jobs and of their cancelling.
pub(crate) const JOBS: &str = "job/";
/// PROGRESS is the prefix of the progress of jobs.
pub(crate) const PROGRESS: &str = "progress/";
/// ROSTER is the key of the workers that may run something.
pub(crate) const ROSTER: &str = "roster";
/// MEMORY is the key of what the owners have learnt.
pub(crate) const MEMORY: &str = "memory";
/// MAINTENANCE is the key of how far the plans of maintenance are.
pub(crate) const MAINTENANCE: &str = "maintenance";
/// CANCEL ends the key of a job's cancelling.
const CANCEL: &str = "/cancel";
/// ID_RADIX is the radix of a job's id in a key.
const ID_RADIX: u32 = 16;

/// Ownership is the value under [`OWNER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// The VM of the owner.
    pub vm: String,
    /// The run of its process.
    pub boot: Boot,
    /// Where its peers reach it.
    pub address: String,
    /// Rises by one with each change of owner.
    pub fence: u64,
    /// Whether the owner has given it up and orders nothing any more.
    pub released: bool,
}

/// Member is the value under a daemon's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The VM.
    pub vm: String,
    /// The run of its process.
    pub boot: Boot,
    /// Where its peers reach it.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The processor that it has, in thousandths of a core.
    pub milli_cores: u32,
    /// Its link, in kbit/s.
    pub link_kbps: u32,
}

/// Entry is what a key under [`JOBS`] is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// A job.
    Job(key::Job),
    /// The cancelling of a job.
    Cancel(key::Job),
}

/// member returns a daemon's key.
pub(crate) fn member(vm: &str) -> String {
    format!("{MEMBERS}{vm}")
}

/// hex writes a job's id as client accounts do.
pub(crate) fn hex(job: key::Job) -> String {
    format!("{:016x}", job.0)
}

/// job returns a job's key.
pub(crate) fn job(job: key::Job) -> String {
    format!("{JOBS}{}", hex(job))
}

/// cancel returns the key of a job's cancelling.
pub(crate) fn cancel(job: key::Job) -> String {
    format!("{JOBS}{}{CANCEL}", hex(job))
}

/// progress returns the key of a job's progress.
pub(crate) fn progress(job: key::Job) -> String {
    format!("{PROGRESS}{}", hex(job))
}

/// entry reads a key under [`JOBS`].
pub(crate) fn entry(key: &str) -> Option<Entry> {
    let rest = key.strip_prefix(JOBS)?;
    let parse = |hex: &str| u64::from_str_radix(hex, ID_RADIX).ok().map(key::Job);
    match rest.strip_suffix(CANCEL) {
        Some(hex) => parse(hex).map(Entry::Cancel),
        None => parse(rest).map(Entry::Job),
    }
}

/// progress_of reads a key under [`PROGRESS`].
pub(crate) fn progress_of(key: &str) -> Option<key::Job> {
    let hex = key.strip_prefix(PROGRESS)?;
    u64::from_str_radix(hex, ID_RADIX).ok().map(key::Job)
}
