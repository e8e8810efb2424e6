// SPDX-License-Identifier: Apache-2.0
//! Messages between daemons, sent as `bincode` on `h2` streams.

use crate::{platform::Roster, sync::Ended};
use serde::{Deserialize, Serialize};
use stackpier_core::{
    Kind, Name, Size,
    key::{Boot, Request as Key, weight},
};
use stackpier_state::{
    Revision,
    catalogue::Digest,
    holders::{Map, Member},
    homes::Home,
    intent,
    ledger::{Closing, Grantee, Granting, Record},
    work::Run,
};

/// Request is a message that expects a [`Response`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Sends the sender's state and what it knows.
    Heartbeat(Heartbeat),
    /// Requests the list of intents pages that the answering daemon has.
    Digest,
    /// Requests the intents pages of these shards.
    Shards(Vec<u16>),
    /// Requests that a holder grant a key under a version of the holder map.
    Grant(Grant),
    /// Requests that a holder no longer grant a key.
    Seal(Seal),
    /// Reports the outcome of a key to its holder.
    Finish(Finish),
    /// Requests that a daemon of another data centre seal a key there.
    SealThere(Key),
    /// Reports that pages changed.
    Hint(Hint),
    /// Requests the holder map of the answering daemon's data centre.
    Map,
    /// Requests the list of VMs as the answering daemon knows it.
    Roster,
    /// Reports that this daemon of the data centre does not reach the store. It
    /// is repeated with each heartbeat. Earlier builds answer it with
    /// [`Response::Failed`].
    Storeless(Member),
}

/// Response answers a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Answer to [`Request::Heartbeat`].
    Heartbeat(HeartbeatReply),
    /// The list of intents pages that the daemon has.
    Digest(Digest),
    /// Those of the requested intents pages that the daemon has.
    Shards(Vec<ShardPage>),
    /// Answer to a grant or a seal.
    Held(Held),
    /// Answer to [`Request::SealThere`].
    SealedThere(Sealing),
    /// The holder map that the daemon knows.
    Map(Map),
    /// The list of VMs that the daemon knows.
    Roster(Roster),
    /// The message was received; it has no other answer.
    Taken,
    /// The message could not be processed.
    Failed(Kind),
}

/// Heartbeat is the state of the sender and what it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Checksum of the digest of the intents that it has.
    pub sum: u64,
    /// The version of the holder map that it uses.
    pub holders: u64,
    /// Workers that it knows to be leaving or gone.
    pub departing: Vec<Name>,
    /// Reports on the racks that it renews, for daemons of its data centre.
    pub racks: Vec<RackReport>,
    /// Racks that it no longer renews, each with the term that it saw.
    pub renounced: Vec<Renounced>,
}

/// HeartbeatReply is the state of the answering daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The answering daemon.
    pub from: Member,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Checksum of the digest of the intents that it has.
    pub sum: u64,
}

/// Renounced is a promise not to renew leases in a rack under terms below a
/// given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renounced {
    /// The rack.
    pub rack: Name,
    /// The promise applies to terms below this one.
    pub below: u64,
}

/// RackReport is a renewer's report on its rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackReport {
    /// The rack.
    pub rack: Name,
    /// The VM of the renewer.
    pub renewer: Name,
    /// The renewer's term. Reports with a lower term are out of date.
    pub term: u64,
    /// The number of the report's changes within the term.
    pub change: u64,
    /// The workers that accept tasks.
    pub workers: Vec<WorkerReport>,
    /// The service tasks that are running.
    pub endpoints: Vec<Endpoint>,
    /// Pairs known to interfere.
    pub pairs: Vec<PairReport>,
}

/// WorkerReport is the capacity of a worker and how much of it is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: Name,
    /// Its total capacity.
    pub capacity: Size,
    /// The part of the capacity that is not committed to runs.
    pub free: Size,
    /// Slowdown of the service tasks on it, in thousandths; 1,000 means none.
    pub slowdown_milli: u32,
}

/// PairReport is the estimated effect of a batch job on a service whose task
/// shares a worker with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairReport {
    /// The service.
    pub victim: Name,
    /// The batch job.
    pub neighbour: Name,
    /// Slowdown that one task of the job adds to a fully loaded service task,
    /// in thousandths.
    pub excess_milli: u32,
    /// Standard deviation of `excess_milli`, in thousandths.
    pub deviation_milli: u32,
}

/// Endpoint is a running service task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// The service.
    pub service: Name,
    /// The worker it runs on.
    pub worker: Name,
    /// The run.
    pub run: Run,
}

/// ShardPage is one intents page and its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardPage {
    /// The shard.
    pub shard: u16,
    /// The revision of the page.
    pub revision: Revision,
    /// The page.
    pub page: intent::Shard,
}

/// Grant requests that the holder of a key let `to` run the keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The key.
    pub key: Key,
    /// The version of the holder map that the sender uses.
    pub version: u64,
    /// The holder that the message is meant for.
    pub holder: Boot,
    /// The attempt that will run the request.
    pub to: Grantee,
}

/// Seal requests that a holder no longer grant a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The key.
    pub key: Key,
    /// The holder that the message is meant for.
    pub holder: Boot,
    /// Why: the key may be granted by a later holder, or nowhere in this data
    /// centre.
    pub closing: Closing,
    /// The newest version of the map that the sender knows, if the message goes
    /// to that version's holder; `None` for the holders of earlier versions.
    pub newest: Option<u64>,
}

/// Finish reports to the holder of a key how the run of the request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The key.
    pub key: Key,
    /// The attempt that the key was granted to.
    pub by: Grantee,
    /// What is known of the run.
    pub record: Record,
}

/// Held is a holder's answer to a [`Grant`] or a [`Seal`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Held {
    /// Answer to a grant.
    Granting(Granting),
    /// Answer to a seal.
    Record(Record),
    /// The holder uses a newer version of the map, which is included.
    Newer(Map),
    /// The holder does not know the sender's version of the map yet.
    Behind,
    /// The message is meant for another run of the daemon.
    OtherBoot,
}

/// Sealing is the outcome of sealing a key in a whole data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sealing {
    /// Every holder there now refuses the key.
    Sealed,
    /// A holder there has this record of the key.
    Found(Record),
    /// At least one holder there can't be reached.
    Unknown,
}

/// Claims lists what the homes of a shard claim on a rack, as stored at one
/// revision. A claim remains until the rack's page shows that its run has ended,
/// so the message may be applied late, but not after a later revision has
/// dropped rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The shard of the data centre.
    pub shard: u16,
    /// The rack.
    pub rack: Name,
    /// The revision of the shard.
    pub revision: Revision,
    /// Claims that are new or whose run must be stopped.
    pub claimed: Vec<Home>,
    /// Runs that are no longer claimed here.
    pub released: Vec<Run>,
    /// Checksum of all runs claimed here, see [`claims_sum`].
    pub sum: u64,
}

/// claims_sum returns a checksum of runs that does not depend on their order.
pub fn claims_sum(runs: impl Iterator<Item = Run>) -> u64 {
    let hash = |run: Run| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&run.task.job.0.to_le_bytes());
        bytes[8..12].copy_from_slice(&run.task.index.to_le_bytes());
        bytes[12..].copy_from_slice(&run.attempt.0.to_le_bytes());
        weight(&bytes, 0)
    };
    runs.map(hash).fold(0, u64::wrapping_add)
}

/// Hint reports that a page changed, so that its readers need not wait for
/// their next poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// The claims of a shard of homes on a rack changed.
    Claims(Claims),
    /// Runs of a shard ended on a rack, according to the rack's page.
    Ended {
        /// The shard of the data centre.
        shard: u16,
        /// The rack.
        rack: Name,
        /// The runs and how they ended.
        ended: Vec<Ended>,
    },
    /// The rack's page names a new renewer.
    TakenOver {
        /// The rack.
        rack: Name,
        /// The renewer.
        renewer: Member,
        /// Its term.
        term: u64,
    },
    /// The holder map of the data centre changed.
    Holders,
}
