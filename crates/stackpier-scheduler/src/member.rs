// SPDX-License-Identifier: Apache-2.0
//! The other daemons: who there is, who owns the cell, and when to take over.
//!
//! Followers send heartbeats to the owner. When it does not answer, the
//! daemons step in by rank: each waits a little longer than the one before it.
//! A candidate first asks the others whether they hear the owner. The store
//! decides: the ownership is changed by compare-and-swap, and its fence rises.

use std::time::Duration;

use stackpier_cell::Mechanism;
use stackpier_core::{Millis, key};
use stackpier_protocol::codec::encode;

use crate::{
    Platform,
    cluster::Cluster,
    handover::Earlier,
    keys::{self, Member, OWNER, Ownership},
    link::{Alive, Heartbeat, Request, Response},
    node::{Node, Owned, Registered, pause},
    store::{Committed, Item, Put, Transaction},
    watch::follow,
};

/// HEARTBEAT_MS is the time between two heartbeats.
const HEARTBEAT_MS: u64 = 250;
/// WATCHERS is how many daemons, those that would take over first, send a heartbeat each
/// time. The others' would be of no use sooner: they wait for seconds before they take
/// over. 96 followers on one interval send 390 heartbeats a second; without most of them,
/// and with fewer log lines, an owner of 0.12 cores served 0.66 instead of 0.51 of a day.
const WATCHERS: u64 = 8;
/// SELDOM_MS is the time between two heartbeats of the others. They also bring the newest
/// configuration to a daemon without the store.
const SELDOM_MS: u64 = 1_500;
/// HEARTBEAT_LIMIT bounds the wait for a heartbeat's answer.
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(400);
/// SILENT_MS is how long the owner may be silent before a take-over: three
/// heartbeats and a little. A configuration that comes over a slow link takes longer, see
/// [`Monitor::patience_ms`].
const SILENT_MS: u64 = 900;
/// CELL_BYTES is what the store keeps of a cell of today's users, which a new owner reads
/// before it can do anything.
const CELL_BYTES: u64 = 384 * 1024;
/// BITS is the number of bits that a byte of the store's answers takes: four thirds of
/// eight in base64, and a tenth for heads.
const BITS: u64 = 12;
/// STORELESS_MS is how long the owner may be without the store, while this
/// daemon has it, before a take-over.
const STORELESS_MS: u64 = 1_000;
/// RANK_MS is how much longer each daemon waits than the one before it.
const RANK_MS: u64 = 250;
/// VOTE_LIMIT bounds the wait for another daemon's word on the owner.
const VOTE_LIMIT: Duration = Duration::from_millis(150);
/// REGISTER_RETRY_MS is the pause before registering is tried again.
const REGISTER_RETRY_MS: u64 = 200;
/// PROBE_MS is the time between two cheap reads that tell whether the store
/// answers.
const PROBE_MS: u64 = 400;

/// Doubt is why a daemon would take over, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// Nobody owns the cell, or its owner gave it up or was restarted: it
    /// orders nothing any more.
    Vacant,
    /// The owner does not answer.
    Silent,
    /// The owner can't reach the store.
    Storeless,
}

/// Monitor sends heartbeats and takes over when it has to.
struct Monitor<P> {
    node: Node<P>,
    doubt: Option<(Doubt, Millis)>,
    /// When the last heartbeat was sent.
    sent: Millis,
    /// The fence of the owner that last answered.
    answered: u64,
    storeless_since: Option<Millis>,
}

/// run registers this daemon, follows the others and watches over the owner,
/// for the life of the process.
pub(crate) async fn run<P: Platform>(node: Node<P>) {
    register(&node).await;
    tokio::task::spawn_local(follow(node.clone(), Cluster { node: node.clone() }, None));
    tokio::task::spawn_local(probe(node.clone()));
    let mut monitor = Monitor {
        node: node.clone(),
        doubt: None,
        sent: Millis(0),
        answered: 0,
        storeless_since: None,
    };
    loop {
        pause(HEARTBEAT_MS).await;
        if !node.stopping.get() {
            monitor.turn().await;
        }
    }
}

async fn register<P: Platform>(node: &Node<P>) {
    let member = Member {
        vm: node.settings.vm.clone(),
        boot: node.boot,
        address: node.settings.advertised.to_string(),
        data_centre: node.settings.data_centre.clone(),
        milli_cores: node.settings.milli_cores,
        link_kbps: node.settings.link_kbps,
    };
    let value = encode(&member).expect("a member is encoded");
    let transaction = Transaction {
        puts: vec![Put {
            key: keys::member(&member.vm),
            value,
        }],
        ..Transaction::default()
    };
    while !matches!(node.store_commit(&transaction).await, Committed::Done(_)) {
        pause(REGISTER_RETRY_MS).await;
    }
    node.say("member", "registered in the store");
}

async fn probe<P: Platform>(node: Node<P>) {
    loop {
        pause(PROBE_MS).await;
        // The outcome is kept by the node.
        drop(node.store_probe(OWNER).await);
    }
}

impl<P: Platform> Node<P> {
    /// alive answers a heartbeat.
    pub(crate) fn alive(&self, heartbeat: &Heartbeat) -> Alive {
        let fence = self
            .owned
            .borrow()
            .as_ref()
            .map_or(0, |owned| owned.ownership.fence);
        if heartbeat.fence > fence {
            self.depose(heartbeat.fence, "a follower knows a later owner");
        }
        Alive {
            boot: self.boot,
            fence,
            owner: self.is_owner() || self.loading.get(),
            store: self.store_answers(),
            config: self.config_version(),
        }
    }

    /// heard_owner tells whether the owner with this fence was heard lately.
    pub(crate) fn heard_owner(&self, fence: u64) -> bool {
        let known = self
            .owned
            .borrow()
            .as_ref()
            .map_or(0, |owned| owned.ownership.fence);
        known > fence || known == fence && self.mono().since(self.heard.get()) < SILENT_MS / 2
    }

    /// unloaded returns the ownership if the store shows it as this daemon's and
    /// the cell was not read: the answer to the swap was lost, and the daemon
    /// learnt of it later.
    fn unloaded(&self) -> Option<Owned> {
        let owned = self.owned.borrow().clone()?;
        let ownership = &owned.ownership;
        let own = ownership.boot == self.boot && !ownership.released;
        let outdated = self.outdated.get() >= ownership.fence;
        (own && !outdated && !self.is_owner()).then_some(owned)
    }
}

impl<P: Platform> Monitor<P> {
    async fn turn(&mut self) {
        self.node.update_helper_count();
        if let Some(own) = self.node.unloaded() {
            let earlier = Earlier {
                may_act: true,
                address: None,
            };
            self.node.load(own, earlier).await;
            return;
        }
        let owned = self.node.owned.borrow().clone();
        let now = self.node.mono();
        let doubt = match &owned {
            _ if self.node.members.borrow().is_empty() => None,
            None => Some(Doubt::Vacant),
            Some(owned) => self.check(owned).await,
        };
        self.doubt = match (doubt, self.doubt) {
            (Some(new), Some((old, since))) if new == old => Some((old, since)),
            (Some(new), _) => Some((new, now)),
            (None, _) => None,
        };
        let Some((doubt, since)) = self.doubt else {
            return;
        };
        let delay = self.rank(owned.as_ref()) * RANK_MS;
        if self.node.mono().since(since) >= delay && self.node.store_answers() {
            self.take_over(doubt, owned).await;
        }
    }

    /// check tells whether something speaks against the owner.
    async fn check(&mut self, owned: &Owned) -> Option<Doubt> {
        let ownership = &owned.ownership;
        if ownership.boot == self.node.boot {
            return ownership.released.then_some(Doubt::Vacant);
        }
        if ownership.released || self.is_over(owned) {
            return Some(Doubt::Vacant);
        }
        if !self.is_due(owned) {
            return None;
        }
        self.sent = self.node.mono();
        match self.heartbeat(ownership).await {
            Some(alive) if alive.owner => {
                let now = self.node.mono();
                self.node.heard.set(now);
                self.answered = ownership.fence;
                self.check_store(alive, now)
            }
            _ => self.is_silent().then_some(Doubt::Silent),
        }
    }

    /// is_over tells whether the owner's process has ended: another one has registered on its
    /// VM since. An entry that is older than the ownership tells nothing, as news of the two
    /// come by different ways.
    fn is_over(&self, owned: &Owned) -> bool {
        let members = self.node.members.borrow();
        let entry = members.get(&owned.ownership.vm);
        let restarted = |entry: &Registered| entry.member.boot != owned.ownership.boot;
        entry.is_some_and(|entry| entry.revision > owned.revision && restarted(entry))
    }

    /// is_due tells whether to send a heartbeat now.
    fn is_due(&self, owned: &Owned) -> bool {
        let waited_ms = self.node.mono().since(self.sent);
        self.doubt.is_some() || waited_ms >= SELDOM_MS || self.rank(Some(owned)) < WATCHERS
    }

    fn is_silent(&self) -> bool {
        self.node.mono().since(self.node.heard.get()) >= self.patience_ms()
    }

    /// patience_ms returns for how long the owner may be silent. A new configuration comes
    /// to all daemons at once and is held up by nothing, so an owner on a slow link is
    /// silent while its own comes: for one second with 256 KB on 2 Mbit/s. A take-over
    /// would bring another owner that waits as long, and cost all the same.
    fn patience_ms(&self) -> u64 {
        let config = self.node.config_item.borrow();
        let bytes = config.as_ref().map_or(0, |item| item.value.len() as u64);
        let owned = self.node.owned.borrow();
        let owner = owned.as_ref().map(|owned| &owned.ownership.vm);
        let members = self.node.members.borrow();
        let link = owner.and_then(|vm| Some(members.get(vm)?.member.link_kbps));
        let kbps = u64::from(link.unwrap_or(u32::MAX).max(1));
        let new = owned
            .as_ref()
            .is_some_and(|owned| !self.has_answered(owned));
        let bytes = if new { bytes.max(CELL_BYTES) } else { bytes };
        SILENT_MS + bytes * BITS / kbps
    }

    /// has_answered tells whether the owner has answered since it took the cell over.
    fn has_answered(&self, owned: &Owned) -> bool {
        self.answered == owned.ownership.fence
    }

    fn check_store(&mut self, alive: Alive, now: Millis) -> Option<Doubt> {
        if alive.store || !self.node.store_answers() {
            self.storeless_since = None;
            return None;
        }
        let since = *self.storeless_since.get_or_insert(now);
        let replaced = !self.is_without(Mechanism::Storeless);
        (replaced && now.since(since) >= STORELESS_MS).then_some(Doubt::Storeless)
    }

    async fn heartbeat(&self, ownership: &Ownership) -> Option<Alive> {
        let heartbeat = Heartbeat {
            vm: self.node.settings.vm.clone(),
            fence: ownership.fence,
            config: self.node.config_version(),
        };
        let request = Request::Heartbeat(heartbeat);
        let answer = self
            .node
            .links
            .call(&ownership.address, &request, HEARTBEAT_LIMIT)
            .await;
        match answer {
            Ok(Response::Alive(alive)) if alive.boot == ownership.boot => {
                if alive.config > self.node.config_version() {
                    let node = self.node.clone();
                    let address = ownership.address.clone();
                    tokio::task::spawn_local(async move { node.fetch_config(&address).await });
                }
                Some(alive)
            }
            _ => None,
        }
    }

    /// rank returns this daemon's place among those that could take over:
    /// larger VMs first, as an owner's work grows with its cell.
    fn rank(&self, owned: Option<&Owned>) -> u64 {
        let owner = owned.map(|owned| &owned.ownership);
        if owner.is_some_and(|owner| owner.vm == self.node.settings.vm) {
            return 0;
        }
        let item = owner.map_or(0, |owner| owner.fence).to_le_bytes();
        let weight = |vm: &str| key::weight(&item, key::weight(vm.as_bytes(), 0));
        let own = (
            self.node.settings.milli_cores,
            weight(&self.node.settings.vm),
        );
        let members = self.node.members.borrow();
        let before = |member: &&Member| {
            let other = (member.milli_cores, weight(&member.vm));
            owner.is_none_or(|owner| owner.vm != member.vm) && other > own
        };
        let members = members.values().map(|entry| &entry.member);
        members.filter(before).count() as u64
    }

    /// take_over tries to own the cell, unless others still hear its owner.
    async fn take_over(&mut self, doubt: Doubt, owned: Option<Owned>) {
        let fence = owned.as_ref().map_or(0, |owned| owned.ownership.fence);
        let asks = doubt == Doubt::Silent && !self.is_without(Mechanism::Votes);
        if asks && self.is_heard(&owned, fence).await {
            self.doubt = None;
            self.node.heard.set(self.node.mono());
            return;
        }
        let text = format!(
            "taking over: owner is {doubt:?}, last heard {} ms ago",
            self.node.mono().since(self.node.heard.get())
        );
        self.node.say("member", &text);
        self.doubt = None;
        self.swap(doubt, owned, fence).await;
    }

    fn is_without(&self, mechanism: Mechanism) -> bool {
        self.node.settings.cell.without.contains(mechanism)
    }

    async fn is_heard(&self, owned: &Option<Owned>, fence: u64) -> bool {
        let own = &self.node.settings.vm;
        let owner = owned.as_ref().map(|owned| owned.ownership.vm.clone());
        let members = self.node.members.borrow().clone();
        let others = members
            .into_values()
            .map(|entry| entry.member)
            .filter(|member| member.vm != *own && Some(&member.vm) != owner.as_ref());
        let asked: Vec<_> = others
            .map(|member| {
                let node = self.node.clone();
                tokio::task::spawn_local(async move {
                    let request = Request::Heard(fence);
                    let asked = node.links.call(&member.address, &request, VOTE_LIMIT);
                    matches!(asked.await, Ok(Response::Flag(true)))
                })
            })
            .collect();
        let mut heard = false;
        for answer in asked {
            heard |= answer.await.unwrap_or(false);
        }
        heard
    }

    /// swap changes the ownership in the store, if nobody else did.
    async fn swap(&mut self, doubt: Doubt, owned: Option<Owned>, fence: u64) {
        let revision = owned.as_ref().map_or(0, |owned| owned.revision);
        let Some(item) = self.write_ownership(revision, fence + 1).await else {
            return;
        };
        self.node.take_ownership(&item);
        let won = self.node.owned.borrow().clone();
        let boot = self.node.boot;
        let own = |won: &Owned| won.ownership.boot == boot && !won.ownership.released;
        if let Some(won) = won.filter(own) {
            let earlier = Earlier {
                may_act: doubt != Doubt::Vacant,
                address: owned.map(|owned| owned.ownership.address),
            };
            self.node.load(won, earlier).await;
        }
    }

    /// write_ownership writes this daemon as the owner over a revision, and
    /// returns what the store then holds, if that is known.
    async fn write_ownership(&self, revision: u64, fence: u64) -> Option<Item> {
        let ownership = Ownership {
            vm: self.node.settings.vm.clone(),
            boot: self.node.boot,
            address: self.node.settings.advertised.to_string(),
            fence,
            released: false,
        };
        let value = encode(&ownership).expect("an ownership is encoded");
        let transaction = Transaction::swap(OWNER, revision, value.clone());
        self.node.note_swap(fence);
        match self.node.store_commit(&transaction).await {
            Committed::Done(revision) => Some(Item {
                key: OWNER.to_owned(),
                value,
                revision,
            }),
            // An unclear swap is read back: it may have been done.
            Committed::Conflict(_) | Committed::Unknown => {
                self.node.store_get(OWNER).await.ok().flatten()
            }
            Committed::Refused => None,
        }
    }
}
