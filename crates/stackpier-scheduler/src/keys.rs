// SPDX-License-Identifier: Apache-2.0
//! The daemon's own keys in the store, and the values of some of them.

use serde::{Deserialize, Serialize};
use stackpier_core::key::{self, Boot};

use crate::capacity::Capacity;

/// CLUSTER is the prefix that all daemons follow.
pub(crate) const CLUSTER: &str = "cluster/";
/// OWNER is the key of the cell's ownership.
pub(crate) const OWNER: &str = "cluster/owner";
/// MEMBERS is the prefix of the daemons' entries.
pub(crate) const MEMBERS: &str = "cluster/member/";
/// JOBS is the prefix of accepted jobs and of their cancellations.
pub(crate) const JOBS: &str = "job/";
/// PROGRESS is the prefix of the jobs' progress.
pub(crate) const PROGRESS: &str = "progress/";
/// REJECTIONS is the prefix of the jobs that were rejected lately.
pub(crate) const REJECTIONS: &str = "rejected/";
/// ROSTER is the key of the roster: the workers that may run something for the cell.
pub(crate) const ROSTER: &str = "roster";
/// SUSPENSIONS is the key of the suspended workers, in which each owner also confirms those of its
/// predecessor.
pub(crate) const SUSPENSIONS: &str = "suspensions";
/// RELEASE is the key of what the last owner that released the cell told its successor.
pub(crate) const RELEASE: &str = "release";
/// DOWNTIMES is the key of the downtimes of long-running tasks.
pub(crate) const DOWNTIMES: &str = "downtimes";
/// ASSIGNMENTS is the prefix of the workers to which the tasks of jobs are assigned.
pub(crate) const ASSIGNMENTS: &str = "assigned/";
/// COVERAGE is the key that tells whether a new owner may rely on the assignments. Each takeover
/// writes it together with the ownership.
pub(crate) const COVERAGE: &str = "cluster/coverage";
/// MEMORY is the key of the saved model: what the owners learnt of pairs of images and of the
/// load of serving tasks.
pub(crate) const MEMORY: &str = "memory";
/// MAINTENANCE is the key of the state of the maintenance plans.
pub(crate) const MAINTENANCE: &str = "maintenance";
/// CANCEL is the suffix of the key of a job's cancellation.
const CANCEL: &str = "/cancel";
/// ID_RADIX is the radix of a job's id in a key.
const ID_RADIX: u32 = 16;

/// Ownership is the value of [`OWNER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ownership {
    /// The VM of the owner.
    pub vm: String,
    /// The id of its process, new with each start.
    pub boot: Boot,
    /// The address for its peers.
    pub address: String,
    /// The fencing token, which rises by one with each change of owner.
    pub fence: u64,
    /// Whether the owner has given up the cell and sends no more orders.
    pub released: bool,
}

/// Coverage is the value of [`COVERAGE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Coverage {
    /// The fencing token of the owner that wrote it. One of a version without assignments leaves
    /// that of an earlier owner.
    pub fence: u64,
    /// Whether all runs of long-running tasks that may exist are assigned.
    pub complete: bool,
}

impl Coverage {
    /// follows returns the coverage that the owner after the one with `fence` begins with.
    pub(crate) fn follows(earlier: Option<Coverage>, fence: u64) -> Coverage {
        let covers = |earlier: Coverage| earlier.fence == fence && earlier.complete;
        Coverage {
            fence: fence + 1,
            complete: fence == 0 || earlier.is_some_and(covers),
        }
    }
}

/// Member is the value of a daemon's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The VM.
    pub vm: String,
    /// The id of its process, new with each start.
    pub boot: Boot,
    /// The address for its peers.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The VM's processor capacity, in thousandths of a core.
    pub milli_cores: u32,
    /// The bandwidth of its link, in kbit/s.
    pub link_kbps: u32,
}

impl Member {
    /// capacity returns what limits the VM as an owner.
    pub(crate) fn capacity(&self) -> Capacity {
        Capacity {
            milli_cores: self.milli_cores,
            link_kbps: self.link_kbps,
        }
    }
}

/// Entry is what a key under [`JOBS`] stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// A job.
    Job(key::Job),
    /// The cancellation of a job.
    Cancel(key::Job),
}

/// member returns the key of a daemon's entry.
pub(crate) fn member(vm: &str) -> String {
    format!("{MEMBERS}{vm}")
}

/// hex formats a job's id as client accounts write it.
pub(crate) fn hex(job: key::Job) -> String {
    format!("{:016x}", job.0)
}

/// job returns a job's key.
pub(crate) fn job(job: key::Job) -> String {
    format!("{JOBS}{}", hex(job))
}

/// cancel returns the key of a job's cancellation.
pub(crate) fn cancel(job: key::Job) -> String {
    format!("{JOBS}{}{CANCEL}", hex(job))
}

/// rejection returns the key of a job's rejection.
pub(crate) fn rejection(job: key::Job) -> String {
    format!("{REJECTIONS}{}", hex(job))
}

/// rejected parses a key under [`REJECTIONS`].
pub(crate) fn rejected(key: &str) -> Option<key::Job> {
    let hex = key.strip_prefix(REJECTIONS)?;
    u64::from_str_radix(hex, ID_RADIX).ok().map(key::Job)
}

/// progress returns the key of a job's progress.
pub(crate) fn progress(job: key::Job) -> String {
    format!("{PROGRESS}{}", hex(job))
}

/// entry parses a key under [`JOBS`].
pub(crate) fn entry(key: &str) -> Option<Entry> {
    let rest = key.strip_prefix(JOBS)?;
    let parse = |hex: &str| u64::from_str_radix(hex, ID_RADIX).ok().map(key::Job);
    match rest.strip_suffix(CANCEL) {
        Some(hex) => parse(hex).map(Entry::Cancel),
        None => parse(rest).map(Entry::Job),
    }
}

/// assignments returns the key of the assignments of a job's tasks.
pub(crate) fn assignments(job: key::Job) -> String {
    format!("{ASSIGNMENTS}{}", hex(job))
}

/// assignments_of parses a key under [`ASSIGNMENTS`].
pub(crate) fn assignments_of(key: &str) -> Option<key::Job> {
    let hex = key.strip_prefix(ASSIGNMENTS)?;
    u64::from_str_radix(hex, ID_RADIX).ok().map(key::Job)
}

/// progress_of parses a key under [`PROGRESS`].
pub(crate) fn progress_of(key: &str) -> Option<key::Job> {
    let hex = key.strip_prefix(PROGRESS)?;
    u64::from_str_radix(hex, ID_RADIX).ok().map(key::Job)
}
