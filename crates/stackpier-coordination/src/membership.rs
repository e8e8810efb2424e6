// SPDX-License-Identifier: Apache-2.0
//! Which daemons and workers exist: the platform's list, which lags, combined
//! with heartbeats.
//!
//! A daemon is *live* if heartbeats arrive from it, and *able* if it also reaches
//! the store or no live daemon of its data centre does. Racks, shards and the
//! holder map go to able daemons; requests and running work don't depend on it.

use std::collections::{BTreeMap, BTreeSet};

use stackpier_core::{
    Millis, Name,
    key::{Boot, weight},
};
use stackpier_protocol::{
    peer::{Heartbeat, HeartbeatReply},
    platform::{Role, Roster, Standing, Vm},
};
use stackpier_state::holders::Member;

/// Options hold the times of membership.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time without a heartbeat or reply, in milliseconds, after which a daemon
    /// counts as unreachable.
    pub silence_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options { silence_ms: 3_000 }
    }
}

/// Daemon holds what heartbeats and replies show of one entry VM.
#[derive(Clone, Copy, Debug)]
struct Daemon {
    boot: Boot,
    data_centre: Name,
    leaving: bool,
    last_contact: Millis,
}

/// Table is one daemon's view of the others.
#[derive(Debug)]
pub struct Table {
    me: Member,
    data_centre: Name,
    options: Options,
    roster: BTreeMap<Name, Vm>,
    daemons: BTreeMap<Name, Daemon>,
    /// Boots of daemons that are over, with the VM they ran on.
    ended: BTreeSet<Member>,
    /// Workers that peers or [`Table::depart`] reported as leaving or gone.
    departing: BTreeSet<Name>,
    /// Daemons that reported that they do not reach the store, and when.
    storeless: BTreeMap<Member, Millis>,
    /// Whether the own daemon does not reach the store.
    store_lost: bool,
    stopping: bool,
}

impl Table {
    /// new returns a view that knows only its own daemon.
    pub fn new(me: Member, data_centre: Name, options: Options) -> Table {
        Table {
            me,
            data_centre,
            options,
            roster: BTreeMap::new(),
            daemons: BTreeMap::new(),
            ended: BTreeSet::new(),
            departing: BTreeSet::new(),
            storeless: BTreeMap::new(),
            store_lost: false,
            stopping: false,
        }
    }

    /// me returns the own daemon.
    pub fn me(&self) -> Member {
        self.me
    }

    /// data_centre returns the own data centre.
    pub fn data_centre(&self) -> Name {
        self.data_centre
    }

    /// stop marks the own daemon as stopping.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// stopping reports whether the own daemon is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// set_store_lost sets whether the own daemon does not reach the store.
    pub fn set_store_lost(&mut self, lost: bool) {
        self.store_lost = lost;
    }

    /// store_lost reports whether the own daemon does not reach the store.
    pub fn store_lost(&self) -> bool {
        self.store_lost
    }

    /// record_storeless records another daemon's report that it does not reach
    /// the store. It holds until the silence is over, unless it is repeated.
    pub fn record_storeless(&mut self, now: Millis, from: Member) {
        let silence_ms = self.options.silence_ms;
        self.storeless.retain(|_, at| now.since(*at) < silence_ms);
        self.storeless.insert(from, now);
    }

    /// update_roster merges in the platform's list. As the list may lag, a VM
    /// once listed as gone stays gone, and one once listed as leaving does not
    /// become live again.
    pub fn update_roster(&mut self, roster: Roster) {
        for vm in roster.vms {
            let standing = self.roster.get(&vm.name).map(|old| old.standing);
            let kept = worse(standing.unwrap_or(Standing::Live), vm.standing);
            self.roster.insert(
                vm.name,
                Vm {
                    standing: kept,
                    ..vm
                },
            );
        }
    }

    /// record_heartbeat records a heartbeat of another daemon.
    pub fn record_heartbeat(&mut self, now: Millis, beat: &Heartbeat) {
        self.departing.extend(beat.departing.iter().copied());
        self.record_contact(now, beat.from, beat.data_centre, beat.leaving);
    }

    /// record_reply records the reply to a heartbeat of this daemon.
    pub fn record_reply(&mut self, now: Millis, reply: &HeartbeatReply) {
        let listed = self.roster.get(&reply.from.vm).map(|vm| vm.data_centre);
        if let Some(data_centre) = listed {
            self.record_contact(now, reply.from, data_centre, reply.leaving);
        }
    }

    /// record_contact records that a message of a daemon's boot arrived.
    fn record_contact(&mut self, now: Millis, from: Member, data_centre: Name, leaving: bool) {
        let before = self.daemons.get(&from.vm).copied();
        let known = before.map_or(from.boot, |daemon| daemon.boot);
        // Boots are ordered by their start, so a late message of an earlier
        // boot never ends a later one.
        if known != from.boot {
            self.ended.insert(Member {
                vm: from.vm,
                boot: known.min(from.boot),
            });
        }
        if from.boot < known || self.ended.contains(&from) {
            return;
        }
        let stays = before.is_some_and(|daemon| daemon.boot == from.boot && daemon.leaving);
        self.daemons.insert(
            from.vm,
            Daemon {
                boot: from.boot,
                data_centre,
                leaving: leaving || stays,
                last_contact: now,
            },
        );
    }

    /// gone reports whether a boot of a daemon is proven to be over: its VM is
    /// listed as gone, or the VM runs a later boot.
    pub fn gone(&self, member: Member) -> bool {
        let listed = self.roster.get(&member.vm).map(|vm| vm.standing);
        listed == Some(Standing::Gone) || self.ended.contains(&member)
    }

    /// live returns the daemons of a data centre that can be given work: those
    /// with a recent contact that are neither leaving nor gone. This daemon is
    /// included in its own data centre unless it is stopping.
    pub fn live(&self, now: Millis, data_centre: Name) -> Vec<Member> {
        let mut live: Vec<Member> = self
            .daemons
            .iter()
            .filter(|(_, daemon)| daemon.data_centre == data_centre && !daemon.leaving)
            .filter(|(_, daemon)| now.since(daemon.last_contact) < self.options.silence_ms)
            .map(|(vm, daemon)| Member {
                vm: *vm,
                boot: daemon.boot,
            })
            .filter(|member| !self.listed_departing(member.vm) && !self.gone(*member))
            .collect();
        if data_centre == self.data_centre && !self.stopping {
            live.push(self.me);
        }
        live.sort();
        live
    }

    /// left_out returns the live daemons of this data centre that get no racks,
    /// shards or holder map, as they do not reach the store while another live
    /// one does.
    pub fn left_out(&self, now: Millis) -> Vec<Member> {
        let live = self.live(now, self.data_centre);
        let storeless = |member: &&Member| self.is_storeless(now, **member);
        let out: Vec<Member> = live.iter().filter(storeless).copied().collect();
        match out.len() == live.len() {
            true => Vec::new(),
            false => out,
        }
    }

    /// able returns the live daemons of this data centre that are not left out.
    pub fn able(&self, now: Millis) -> Vec<Member> {
        let out = self.left_out(now);
        let mut live = self.live(now, self.data_centre);
        live.retain(|member| !out.contains(member));
        live
    }

    fn is_storeless(&self, now: Millis, member: Member) -> bool {
        if member == self.me {
            return self.store_lost;
        }
        let reported = self.storeless.get(&member);
        reported.is_some_and(|at| now.since(*at) < self.options.silence_ms)
    }

    /// alive reports whether a boot of a daemon is among the live ones of this
    /// data centre that are not left out.
    pub fn alive(&self, now: Millis, member: Member) -> bool {
        self.able(now).contains(&member)
    }

    /// chosen returns the daemon that normally does the work on `item` in this
    /// data centre. It reduces contention and gives no exclusive right: daemons
    /// may disagree on who is live.
    pub fn chosen(&self, now: Millis, item: &str) -> Option<Member> {
        let able = self.able(now);
        let by_weight = |member: &Member| (weight(item.as_bytes(), member.boot.0), *member);
        able.into_iter().max_by_key(by_weight)
    }

    /// preferred reports whether this daemon is the chosen one for `item`.
    pub fn preferred(&self, now: Millis, item: &str) -> bool {
        self.chosen(now, item) == Some(self.me)
    }

    /// standing returns the worst standing of a worker by the list and by
    /// peers.
    pub fn standing(&self, worker: Name) -> Option<Standing> {
        let listed = self.roster.get(&worker)?.standing;
        let by_peers = match self.departing.contains(&worker) {
            true => Standing::Leaving,
            false => Standing::Live,
        };
        Some(worse(listed, by_peers))
    }

    /// departing returns the workers known to be leaving or gone.
    pub fn departing(&self) -> Vec<Name> {
        let listed = self
            .roster
            .values()
            .filter(|vm| vm.role == Role::Worker && vm.standing != Standing::Live)
            .map(|vm| vm.name);
        let all: BTreeSet<Name> = listed.chain(self.departing.iter().copied()).collect();
        all.into_iter().collect()
    }

    /// depart marks a worker as leaving.
    pub fn depart(&mut self, worker: Name) {
        self.departing.insert(worker);
    }

    /// vm returns the listed VM with this name.
    pub fn vm(&self, name: Name) -> Option<&Vm> {
        self.roster.get(&name)
    }

    /// names returns the names of all listed VMs.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.roster.keys().copied()
    }

    /// workers returns the listed workers of a rack.
    pub fn workers(&self, rack: Name) -> impl Iterator<Item = &Vm> {
        self.roster
            .values()
            .filter(move |vm| vm.role == Role::Worker && vm.rack == Some(rack))
    }

    /// racks returns the racks of the own data centre.
    pub fn racks(&self) -> BTreeSet<Name> {
        self.roster
            .values()
            .filter(|vm| vm.data_centre == self.data_centre)
            .filter_map(|vm| vm.rack)
            .collect()
    }

    /// data_centres returns all listed data centres, in the order that all
    /// daemons use.
    pub fn data_centres(&self) -> BTreeSet<Name> {
        self.roster.values().map(|vm| vm.data_centre).collect()
    }

    /// peers returns the listed entry VMs that are not gone, without the own
    /// one.
    pub fn peers(&self) -> impl Iterator<Item = &Vm> {
        self.roster.values().filter(|vm| {
            vm.role == Role::Entry && vm.name != self.me.vm && vm.standing != Standing::Gone
        })
    }

    /// reachable reports whether a data centre has any live daemon.
    pub fn reachable(&self, now: Millis, data_centre: Name) -> bool {
        !self.live(now, data_centre).is_empty()
    }

    fn listed_departing(&self, vm: Name) -> bool {
        let listed = self.roster.get(&vm).map(|vm| vm.standing);
        matches!(listed, Some(Standing::Leaving | Standing::Gone))
    }
}

/// worse returns the standing of the two that is nearer to gone.
fn worse(one: Standing, other: Standing) -> Standing {
    let rank = |standing: Standing| match standing {
        Standing::Live => 0,
        Standing::Leaving => 1,
        Standing::Gone => 2,
    };
    if rank(one) >= rank(other) { one } else { other }
}
