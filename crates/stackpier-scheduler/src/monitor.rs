// SPDX-License-Identifier: Apache-2.0
//! Heartbeats to the cell's owner, and the takeover of the cell when the owner fails.
//!
//! Followers send heartbeats to the owner. When it does not answer, the daemons try to take
//! over by rank: each waits a little longer than the one ranked before it. A candidate first asks
//! those on larger VMs whether they can take over, and all others whether they still reach the
//! owner. The store decides: the ownership is changed by compare-and-swap, and its fence rises with
//! each change.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use stackpier_cell::Mechanism;
use stackpier_core::{Millis, key};
use stackpier_protocol::codec::encode;

use crate::{
    Platform,
    candidate::{Candidate, Observation, Rank, Reason, Step},
    capacity::Capacity,
    cluster::Cluster,
    detector::SILENT_MS,
    handover::Predecessor,
    keys::{self, COVERAGE, Coverage, Member, OWNER, Ownership},
    link::{Alive, Heartbeat, Request, Response},
    node::{Node, Owned, Registered, pause},
    saving::put,
    store::{Committed, Condition, Item, Put, Transaction},
    watch::follow,
};

/// HEARTBEAT_MS is the time between two heartbeats.
pub(crate) const HEARTBEAT_MS: u64 = 250;
/// FREQUENT_FOLLOWERS is how many daemons, those that would take over first, send a
/// heartbeat every [`HEARTBEAT_MS`]. The others wait for seconds before they take over, so
/// faster detection does not help them, and answering 96 followers on one interval would take
/// 390 heartbeats a second.
const FREQUENT_FOLLOWERS: usize = 8;
/// SLOW_HEARTBEAT_MS is the time between two heartbeats of all other followers. Heartbeats
/// also bring the newest configuration to a daemon that can't reach the store.
const SLOW_HEARTBEAT_MS: u64 = 1_500;
/// HEARTBEAT_TIMEOUT bounds the wait for the answer to a heartbeat.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// STORELESS_MS is how long the owner may be without the store, while this daemon reaches it,
/// before a takeover.
const STORELESS_MS: u64 = 1_000;
/// REGISTER_RETRY_MS is the pause before registering is retried.
const REGISTER_RETRY_MS: u64 = 200;
/// MAX_ASKED is how many daemons on larger VMs a candidate asks whether they can take over.
const MAX_ASKED: usize = 8;
/// PROBE_MS is the time between two cheap reads that check whether the store answers.
const PROBE_MS: u64 = 400;

/// Members holds the daemons' entries by VM.
type Members = BTreeMap<String, Registered>;

/// Monitor sends heartbeats to the owner and takes the cell over when the owner fails.
struct Monitor<P> {
    node: Node<P>,
    candidate: Candidate,
    /// When this daemon last sent a heartbeat.
    sent: Millis,
    /// Since when the owner has been without the store while this daemon reaches it.
    storeless_since: Option<Millis>,
}

/// run registers this daemon, follows the cluster and monitors the owner for the life of
/// the process.
pub(crate) async fn run<P: Platform>(node: Node<P>) {
    register(&node).await;
    tokio::task::spawn_local(follow(node.clone(), Cluster { node: node.clone() }, None));
    tokio::task::spawn_local(probe(node.clone()));
    let mut monitor = Monitor {
        node: node.clone(),
        candidate: Candidate::default(),
        sent: Millis(0),
        storeless_since: None,
    };
    loop {
        pause(HEARTBEAT_MS).await;
        if !node.stopping.get() {
            monitor.check_and_take_over().await;
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
    let value = encode(&member).expect("a member can be encoded");
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
    node.log_line("member", "registered in the store");
}

/// deregister removes this daemon's entry, so that no candidate waits for it to take the cell over.
/// The entry of a later process on the same VM stays.
pub(crate) async fn deregister<P: Platform>(node: Node<P>) {
    let vm = &node.settings.vm;
    let registered = node.members.borrow().get(vm).cloned();
    let Some(own) = registered.filter(|entry| entry.member.boot == node.boot) else {
        return;
    };
    let key = keys::member(vm);
    let transaction = Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            revision: own.revision,
        }],
        removals: vec![key],
        ..Transaction::default()
    };
    let committed = node.store_commit(&transaction).await;
    let done = matches!(committed, Committed::Done(_));
    node.log_line(
        "member",
        &format!("left the candidates, known to the store: {done}"),
    );
}

async fn probe<P: Platform>(node: Node<P>) {
    loop {
        pause(PROBE_MS).await;
        // store_probe records the outcome.
        drop(node.store_probe(OWNER).await);
    }
}

impl<P: Platform> Node<P> {
    /// alive answers a heartbeat. If the follower knows a later fence, this daemon gives up
    /// the cell.
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

    /// has_owner_contact answers another daemon's vote request: it reports whether the
    /// owner with `fence` was reachable from here within half of [`SILENT_MS`], or has
    /// already been replaced.
    pub(crate) fn has_owner_contact(&self, fence: u64) -> bool {
        let known = self
            .owned
            .borrow()
            .as_ref()
            .map_or(0, |owned| owned.ownership.fence);
        known > fence
            || known == fence && self.mono().since(self.last_contact.get()) < SILENT_MS / 2
    }

    /// can_take_over reports whether this daemon could take the cell over now.
    pub(crate) fn can_take_over(&self) -> bool {
        self.store_answers() && !self.stopping.get()
    }

    /// unloaded returns the ownership if the store shows it as this daemon's but the cell
    /// was not loaded. This happens when the answer to the swap was lost and the daemon
    /// learnt of its success later.
    fn unloaded(&self) -> Option<Owned> {
        let owned = self.owned.borrow().clone()?;
        let ownership = &owned.ownership;
        let own = ownership.boot == self.boot && !ownership.released;
        let outdated = self.outdated.get() >= ownership.fence;
        (own && !outdated && !self.is_owner()).then_some(owned)
    }
}

impl<P: Platform> Monitor<P> {
    /// check_and_take_over runs once per [`HEARTBEAT_MS`]. It loads the cell if this daemon
    /// owns it without having loaded it. Otherwise it checks the owner, and takes over once a
    /// reason to do so has lasted for as long as this daemon's rank requires.
    async fn check_and_take_over(&mut self) {
        self.node.update_helper_count();
        if let Some(own) = self.node.unloaded() {
            let predecessor = Predecessor {
                may_act: true,
                released: false,
                acting_ms: self.node.settings.cell.authority_ms,
                address: None,
            };
            self.node.load(own, predecessor).await;
            return;
        }
        let owned = self.node.owned.borrow().clone();
        let began = self.node.mono();
        let reason = match &owned {
            _ if self.node.members.borrow().is_empty() => None,
            None => Some(Reason::Vacant),
            Some(owned) => self.check(owned).await,
        };
        self.candidate.observe(Observation {
            began,
            now: self.node.mono(),
            reason,
            store_answers: self.node.store_answers(),
        });
        self.advance(owned).await;
    }

    /// advance does what the candidate has to do after a check.
    async fn advance(&mut self, owned: Option<Owned>) {
        let Some(reason) = self.candidate.reason() else {
            return;
        };
        let (rank, larger) = {
            let members = self.node.members.borrow();
            let before = self.before(&members, owned.as_ref());
            let larger = self.addresses_of_larger(&before);
            let rank = Rank {
                before: before.len() as u64,
                has_larger: !larger.is_empty(),
            };
            (rank, larger)
        };
        match self.candidate.step(rank) {
            Step::Wait => {}
            Step::AskLarger if self.is_left_to(larger).await => {}
            Step::AskLarger | Step::TakeOver => self.take_over(reason, owned).await,
        }
    }

    /// check returns the reason to take over from the owner, if there is one.
    async fn check(&mut self, owned: &Owned) -> Option<Reason> {
        let ownership = &owned.ownership;
        if ownership.boot == self.node.boot {
            return ownership.released.then_some(Reason::Vacant);
        }
        if ownership.released || self.node.is_gone(&owned.holder()) {
            return Some(Reason::Vacant);
        }
        if !self.is_heartbeat_due(owned) {
            return None;
        }
        self.sent = self.node.mono();
        match self.heartbeat(ownership).await {
            Some(alive) if alive.owner => {
                let now = self.node.mono();
                self.node.last_contact.set(now);
                self.node.answered.set(ownership.fence);
                self.node
                    .refresh_outlook(&ownership.address, ownership.fence);
                self.check_store(alive, now)
            }
            _ => self.is_silent().then_some(Reason::Silent),
        }
    }

    /// is_heartbeat_due reports whether to send a heartbeat now.
    fn is_heartbeat_due(&self, owned: &Owned) -> bool {
        let waited_ms = self.node.mono().since(self.sent);
        self.candidate.reason().is_some()
            || waited_ms >= SLOW_HEARTBEAT_MS
            || self.before(&self.node.members.borrow(), Some(owned)).len() < FREQUENT_FOLLOWERS
    }

    fn is_silent(&self) -> bool {
        self.node.mono().since(self.node.last_contact.get()) >= self.silence_limit_ms()
    }

    /// silence_limit_ms returns how long the owner may leave heartbeats unanswered.
    fn silence_limit_ms(&self) -> u64 {
        let config = self.node.config_item.borrow();
        let config_bytes = config.as_ref().map_or(0, |item| item.value.len() as u64);
        let owned = self.node.owned.borrow();
        let members = self.node.members.borrow();
        let owner = owned.as_ref().map(|owned| &owned.ownership.vm);
        let link = owner.and_then(|vm| Some(members.get(vm)?.member.link_kbps));
        let has_answered = owned.as_ref().is_none_or(|owned| self.has_answered(owned));
        self.node.detector.borrow().limit_ms(
            self.node.mono(),
            link.unwrap_or(u32::MAX),
            config_bytes,
            has_answered,
        )
    }

    /// has_answered reports whether the owner has answered a heartbeat since it took the
    /// cell over.
    fn has_answered(&self, owned: &Owned) -> bool {
        self.node.answered.get() == owned.ownership.fence
    }

    fn check_store(&mut self, alive: Alive, now: Millis) -> Option<Reason> {
        if alive.store || !self.node.store_answers() {
            self.storeless_since = None;
            return None;
        }
        let since = *self.storeless_since.get_or_insert(now);
        let enabled = !self.is_switched_off(Mechanism::Storeless);
        (enabled && now.since(since) >= STORELESS_MS).then_some(Reason::Storeless)
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
            .call(&ownership.address, &request, HEARTBEAT_TIMEOUT)
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

    /// before returns the members that would take over before this daemon. VMs that read the cell
    /// sooner come first, as an owner's work grows with its cell.
    fn before<'a>(&self, members: &'a Members, owned: Option<&Owned>) -> Vec<&'a Member> {
        let settings = &self.node.settings;
        let owner = owned.map(|owned| &owned.ownership);
        if owner.is_some_and(|owner| owner.vm == settings.vm) {
            return Vec::new();
        }
        let item = owner.map_or(0, |owner| owner.fence).to_le_bytes();
        let weight = |vm: &str| key::weight(&item, key::weight(vm.as_bytes(), 0));
        let place = |capacity: Capacity, vm: &str| (capacity.reading_us(), Reverse(weight(vm)));
        let own = place(settings.capacity(), &settings.vm);
        let is_before = |member: &&Member| {
            let other = place(member.capacity(), &member.vm);
            owner.is_none_or(|owner| owner.vm != member.vm) && other < own
        };
        let members = members.values().map(|entry| &entry.member);
        members.filter(is_before).collect()
    }

    /// addresses_of_larger returns the addresses of the largest of these members, as far as they
    /// are on clearly larger VMs than this daemon.
    fn addresses_of_larger(&self, members: &[&Member]) -> Vec<String> {
        let own = self.node.settings.capacity();
        let is_larger = |member: &&&Member| member.capacity().is_clearly_larger(own);
        let mut larger: Vec<_> = members.iter().filter(is_larger).collect();
        larger.sort_by_key(|member| member.capacity().reading_us());
        let addresses = larger.iter().map(|member| member.address.clone());
        addresses.take(MAX_ASKED).collect()
    }

    /// is_left_to asks the daemons at these addresses, all on clearly larger VMs, and reports
    /// whether to leave the takeover to them for now.
    async fn is_left_to(&mut self, addresses: Vec<String>) -> bool {
        let larger = self.node.ask_larger(addresses).await;
        let is_left = self.candidate.yields_to(larger);
        let text = format!("daemons on larger VMs are {larger:?}; waiting for them: {is_left}");
        self.node.log_line("member", &text);
        is_left
    }

    /// take_over tries to become the owner, unless other daemons still reach the present
    /// one.
    async fn take_over(&mut self, reason: Reason, owned: Option<Owned>) {
        let fence = owned.as_ref().map_or(0, |owned| owned.ownership.fence);
        let needs_votes = reason == Reason::Silent && !self.is_switched_off(Mechanism::Votes);
        if needs_votes && self.is_reachable_by_others(&owned, fence).await {
            self.candidate.restart();
            self.node.last_contact.set(self.node.mono());
            return;
        }
        let text = format!(
            "taking over: owner is {reason:?}, last contact {} ms ago",
            self.node.mono().since(self.node.last_contact.get())
        );
        self.node.log_line("member", &text);
        self.candidate.restart();
        self.swap(reason, owned, fence).await;
    }

    fn is_switched_off(&self, mechanism: Mechanism) -> bool {
        self.node.settings.cell.without.contains(mechanism)
    }

    async fn is_reachable_by_others(&self, owned: &Option<Owned>, fence: u64) -> bool {
        let own = &self.node.settings.vm;
        let owner = owned.as_ref().map(|owned| &owned.ownership.vm);
        let others: Vec<String> = {
            let members = self.node.members.borrow();
            let members = members.values().map(|entry| &entry.member);
            let others = members.filter(|member| member.vm != *own && Some(&member.vm) != owner);
            others.map(|member| member.address.clone()).collect()
        };
        self.node.is_owner_reachable_by(others, fence).await
    }

    /// swap changes the ownership in the store by compare-and-swap, and loads the cell on
    /// success. A daemon that is stopping leaves the cell to others.
    async fn swap(&mut self, reason: Reason, owned: Option<Owned>, fence: u64) {
        if self.node.stopping.get() {
            return;
        }
        let revision = owned.as_ref().map_or(0, |owned| owned.revision);
        let Some(item) = self.write_ownership(revision, fence + 1).await else {
            return;
        };
        self.node.apply_ownership(&item);
        let won = self.node.owned.borrow().clone();
        let boot = self.node.boot;
        let own = |won: &Owned| won.ownership.boot == boot && !won.ownership.released;
        if let Some(won) = won.filter(own) {
            let predecessor = Predecessor {
                may_act: reason != Reason::Vacant,
                released: owned.as_ref().is_some_and(|owned| owned.ownership.released),
                acting_ms: self.node.acting_ms(),
                address: owned.map(|owned| owned.ownership.address),
            };
            self.node.load(won, predecessor).await;
        }
    }

    /// coverage_of returns what the store has of the coverage of assignments. It is read if this
    /// daemon has not seen yet what the owner with `fence` wrote.
    async fn coverage_of(&self, fence: u64) -> Option<Coverage> {
        let seen = self.node.coverage.get();
        if fence == 0 || seen.is_some_and(|seen| seen.fence == fence) {
            return seen;
        }
        let item = self.node.store_get(COVERAGE).await.ok().flatten()?;
        let what = "the coverage of assignments";
        self.node.decode_or_log(None, what, &item.value)
    }

    /// write_ownership replaces the ownership at `revision` by this daemon's, and returns
    /// the ownership that the store holds afterwards, if that is known.
    async fn write_ownership(&self, revision: u64, fence: u64) -> Option<Item> {
        let ownership = Ownership {
            vm: self.node.settings.vm.clone(),
            boot: self.node.boot,
            address: self.node.settings.advertised.to_string(),
            fence,
            released: false,
        };
        let value = encode(&ownership).expect("an ownership can be encoded");
        let coverage = Coverage::follows(self.coverage_of(fence - 1).await, fence - 1);
        let mut transaction = Transaction::swap(OWNER, revision, value.clone());
        // The ownership comes last: its revision is that of the transaction.
        let coverage = put(COVERAGE.to_owned(), &coverage);
        transaction.puts.insert(0, coverage);
        self.node.record_swap(fence);
        match self.node.store_commit(&transaction).await {
            Committed::Done(revision) => Some(Item {
                key: OWNER.to_owned(),
                value,
                revision,
            }),
            // The outcome of an unanswered swap is read back: it may have taken effect.
            Committed::Conflict(_) | Committed::Unknown => {
                self.node.store_get(OWNER).await.ok().flatten()
            }
            Committed::Refused => None,
        }
    }
}
