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
    /// What the sender is and knows.
    Heartbeat(Heartbeat),
    /// Asks which intents pages the answering daemon has.
    Digest,
    /// Asks for intents pages.
    Shards(Vec<u16>),
    /// Asks a holder to grant a key under a version of the holder map.
    Grant(Grant),
    /// Asks a holder to grant a key no more.
    Seal(Seal),
    /// Tells a holder the outcome of a key.
    Finish(Finish),
    /// Asks any daemon of another data centre to seal a key there.
    SealThere(Key),
    /// Says that pages changed.
    Hint(Hint),
    /// Asks for the holder map of the answering daemon's data centre.
    Map,
    /// Asks for the list of VMs as the answering daemon knows it.
    Roster,
}

/// Response answers a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// What the answering daemon has.
    Heartbeat(HeartbeatReply),
    /// The intents pages the daemon has.
    Digest(Digest),
    /// The intents pages that were asked for and are known.
    Shards(Vec<ShardPage>),
    /// Answer to a grant or a seal.
    Held(Held),
    /// Answer to [`Request::SealThere`].
    SealedThere(Sealing),
    /// The holder map the daemon knows.
    Map(Map),
    /// The list of VMs the daemon knows.
    Roster(Roster),
    /// The message was taken.
    Taken,
    /// The message could not be served.
    Failed(Kind),
}

/// Heartbeat says what the sender is and knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Member,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Checksum of the digest of the intents it has.
    pub sum: u64,
    /// The version of the holder map it goes by.
    pub holders: u64,
    /// Workers it knows to be leaving or gone.
    pub departing: Vec<Name>,
    /// The racks it renews, for daemons of its own data centre.
    pub racks: Vec<RackReport>,
    /// Racks it has given up, each with the term it saw.
    pub renounced: Vec<Renounced>,
}

/// HeartbeatReply says what the answering daemon is and has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The answering daemon.
    pub from: Member,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Checksum of the digest of the intents it has.
    pub sum: u64,
}

/// Renounced promises not to renew a rack below a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renounced {
    /// The rack.
    pub rack: Name,
    /// The promise holds for terms below this one.
    pub below: u64,
}

/// RackReport is a renewer's word on its rack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RackReport {
    /// The rack.
    pub rack: Name,
    /// The VM of the renewer.
    pub renewer: Name,
    /// The renewer's term; a report with a lower one is out of date.
    pub term: u64,
    /// Counts the changes of the report within the term.
    pub change: u64,
    /// The workers that take tasks.
    pub workers: Vec<WorkerReport>,
    /// The service tasks that run.
    pub endpoints: Vec<Endpoint>,
    /// Pairs known to interfere.
    pub pairs: Vec<PairReport>,
}

/// WorkerReport says what is left on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker.
    pub worker: Name,
    /// What it offers in all.
    pub capacity: Size,
    /// What is not committed.
    pub free: Size,
    /// Slowdown of the service tasks on it, in thousandths; 1,000 is none.
    pub slowdown_milli: u32,
}

/// PairReport is what is believed of a service beside a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PairReport {
    /// The service.
    pub victim: Name,
    /// The batch job.
    pub neighbour: Name,
    /// Slowdown that one task of the job adds to a fully loaded service task,
    /// in thousandths.
    pub excess_milli: u32,
    /// Standard deviation of that, in thousandths.
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

/// ShardPage is an intents page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardPage {
    /// The shard.
    pub shard: u16,
    /// Its revision.
    pub revision: Revision,
    /// Its value.
    pub page: intent::Shard,
}

/// Grant asks the holder of a key to let `to` run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The key.
    pub key: Key,
    /// The version of the holder map the sender goes by.
    pub version: u64,
    /// The holder it is meant for.
    pub holder: Boot,
    /// The try that will run it.
    pub to: Grantee,
}

/// Seal asks a holder to grant a key no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The key.
    pub key: Key,
    /// The holder it is meant for.
    pub holder: Boot,
    /// Why: the record is taken at a later holder, or nowhere here.
    pub closing: Closing,
    /// The version the sender takes for the newest, at that version's holder;
    /// `None` at the holders of earlier versions.
    pub newest: Option<u64>,
}

/// Finish tells the holder of a key how its run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The key.
    pub key: Key,
    /// The try it was granted to.
    pub by: Grantee,
    /// What is known of the run.
    pub record: Record,
}

/// Held is a holder's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Held {
    /// Answer to a grant.
    Granting(Granting),
    /// Answer to a seal.
    Record(Record),
    /// The holder goes by a newer version of the map, which follows.
    Newer(Map),
    /// The holder does not know the sender's version yet.
    Behind,
    /// The message is meant for another run of the daemon.
    OtherBoot,
}

/// Sealing is the outcome of sealing a key in a whole data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sealing {
    /// Every holder there refuses the key from now on.
    Sealed,
    /// The key has this record there.
    Found(Record),
    /// Some holder there can't be asked.
    Unknown,
}

/// Claims says what the homes of a shard claim on a rack, as stored at one
/// revision. A claim stands until the rack's page shows its run as ended, so
/// the word may be taken late, but not after rows were dropped by a later
/// revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The shard of the data centre.
    pub shard: u16,
    /// The rack.
    pub rack: Name,
    /// The revision of the shard.
    pub revision: Revision,
    /// Claims that are new or are to be stopped.
    pub claimed: Vec<Home>,
    /// Runs that are claimed here no more.
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

/// Hint says that a page changed, so that its readers need not poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hint {
    /// What a shard of homes claims on a rack changed.
    Claims(Claims),
    /// Runs of a shard ended on a rack, by the rack's page.
    Ended {
        /// The shard of the data centre.
        shard: u16,
        /// The rack.
        rack: Name,
        /// The runs and how they ended.
        ended: Vec<Ended>,
    },
    /// The rack's page names this renewer.
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
