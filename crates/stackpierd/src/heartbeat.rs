// SPDX-License-Identifier: Apache-2.0
//! Heartbeats to other daemons, and what is pulled from them when they know
//! more.
//!
//! Every daemon of the own data centre gets each heartbeat; of each other
//! data centre one daemon in turn does, so that the cost does not grow with
//! the square of all daemons.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use slog::{debug, info};
use stackpier_core::{Name, key::Boot};
use stackpier_protocol::{
    peer::{Heartbeat, HeartbeatReply, RackReport, Request, Response, ShardPage},
    platform::Roster,
};

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, PEER_LIMIT, lock},
    scheduler::Input,
};

/// start sends heartbeats and reads the list on threads of their own.
pub fn start<B: Backend>(daemon: &Arc<Daemon<B>>) -> std::io::Result<()> {
    let beating = Arc::clone(daemon);
    thread::Builder::new()
        .name("heartbeat".to_owned())
        .spawn(move || {
            let mut known = Known::default();
            for round in 0.. {
                beat(&beating, round, &mut known);
                thread::sleep(Duration::from_millis(beating.settings.heartbeat_ms));
            }
        })?;
    let listing = Arc::clone(daemon);
    thread::Builder::new()
        .name("list".to_owned())
        .spawn(move || {
            let mut read = read_list(&listing);
            loop {
                thread::sleep(until_next_turn(listing.settings.list_ms));
                if !read || has_turn(&listing) {
                    read = read_list(&listing);
                }
            }
        })?;
    Ok(())
}

/// until_next_turn returns the time to the next full `list_ms` of the wall
/// clock, so that the turns of several daemons follow each other.
fn until_next_turn(list_ms: u64) -> Duration {
    Duration::from_millis(list_ms - clock::unix().0 % list_ms)
}

/// has_turn tells whether it is this daemon's turn to read the list. Together
/// the daemons of a data centre read it once in `list_ms`, and heartbeats pass
/// on the word of leaving workers. A daemon that could not read it does not
/// wait for its turn.
fn has_turn<B: Backend>(daemon: &Daemon<B>) -> bool {
    let live = lock(&daemon.table).live(clock::now(), daemon.settings.data_centre);
    let turn = clock::unix().0 / daemon.settings.list_ms % live.len().max(1) as u64;
    let place = live.iter().position(|member| *member == daemon.me);
    place.is_none_or(|place| place as u64 == turn)
}

/// read_list reads the list and returns whether it was read.
fn read_list<B: Backend>(daemon: &Daemon<B>) -> bool {
    match daemon.backend.list() {
        Ok(roster) => {
            take_list(daemon, roster);
            true
        }
        Err(error) => {
            debug!(daemon.log, "member: no list of VMs"; "why" => %error);
            if lock(&daemon.table).racks().is_empty() {
                seed(daemon);
            }
            false
        }
    }
}

/// seed starts a fresh daemon from others while the platform is away.
fn seed<B: Backend>(daemon: &Daemon<B>) {
    for address in &daemon.settings.seeds {
        let answer = daemon.peers.call(*address, &Request::Roster, PEER_LIMIT);
        if let Ok(Response::Roster(roster)) = answer {
            info!(daemon.log, "member: list of VMs from a peer"; "peer" => %address);
            take_list(daemon, roster);
            return;
        }
    }
}

fn take_list<B: Backend>(daemon: &Daemon<B>, roster: Roster) {
    lock(&daemon.table).update_roster(roster);
    daemon.refresh_routes();
}

/// Known is what other daemons have acknowledged of this daemon's reports.
#[derive(Debug, Default)]
struct Known {
    by_address: HashMap<SocketAddr, Acknowledged>,
}

/// Acknowledged is what one run of another daemon has of this one's reports.
#[derive(Debug, Default)]
struct Acknowledged {
    boot: Boot,
    racks: BTreeMap<Name, Mark>,
}

/// Mark names one state of a rack's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mark {
    term: u64,
    change: u64,
}

impl Known {
    /// news returns the reports that a daemon does not have yet.
    fn news(&self, address: SocketAddr, reports: &[RackReport]) -> Vec<RackReport> {
        let known = self.by_address.get(&address);
        let has = |report: &&RackReport| {
            let mark = known.and_then(|known| known.racks.get(&report.rack));
            mark == Some(&mark_of(report))
        };
        reports
            .iter()
            .filter(|report| !has(report))
            .cloned()
            .collect()
    }

    /// acknowledged notes that a run of a daemon took these reports. An earlier
    /// run's are forgotten, as the new one does not have them.
    fn acknowledged(&mut self, address: SocketAddr, boot: Boot, reports: &[RackReport]) {
        let known = self.by_address.entry(address).or_default();
        if known.boot != boot {
            *known = Acknowledged {
                boot,
                racks: BTreeMap::new(),
            };
        }
        let marks = reports.iter().map(|report| (report.rack, mark_of(report)));
        known.racks.extend(marks);
    }
}

fn mark_of(report: &RackReport) -> Mark {
    Mark {
        term: report.term,
        change: report.change,
    }
}

/// beat sends one round of heartbeats and takes the replies.
fn beat<B: Backend>(daemon: &Daemon<B>, round: usize, known: &mut Known) {
    let (near, far) = targets(daemon, round);
    let full = heartbeat(daemon, true);
    let brief = heartbeat(daemon, false);
    let near = near.into_iter().map(|address| {
        let racks = known.news(address, &full.racks);
        (
            address,
            Heartbeat {
                racks,
                ..full.clone()
            },
        )
    });
    let far = far.into_iter().map(|address| (address, brief.clone()));
    let sent: Vec<_> = near
        .chain(far)
        .filter_map(|(address, beat)| {
            let reports = beat.racks.clone();
            let message = Request::Heartbeat(beat);
            let answer = daemon.peers.send(address, &message, PEER_LIMIT).ok()?;
            Some((address, reports, answer))
        })
        .collect();
    for (address, reports, answer) in sent {
        if let Ok(Ok(Response::Heartbeat(reply))) = answer.recv() {
            known.acknowledged(address, reply.from.boot, &reports);
            take_reply(daemon, address, &reply);
        }
    }
}

/// targets returns the daemons of the own data centre, and one of each other.
fn targets<B: Backend>(daemon: &Daemon<B>, round: usize) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let table = lock(&daemon.table);
    let here = table.data_centre();
    let mut near = Vec::new();
    let mut others: BTreeMap<Name, Vec<SocketAddr>> = BTreeMap::new();
    for vm in table.peers() {
        let Ok(address) = vm.address.parse() else {
            continue;
        };
        match vm.data_centre == here {
            true => near.push(address),
            false => others.entry(vm.data_centre).or_default().push(address),
        }
    }
    let far = others.values().map(|all| all[round % all.len()]);
    (near, far.collect())
}

fn heartbeat<B: Backend>(daemon: &Daemon<B>, full: bool) -> Heartbeat {
    let sum = lock(&daemon.catalogue).digest().sum();
    let holders = lock(&daemon.holder).map().number();
    let own = match full {
        true => lock(&daemon.own).clone(),
        false => Default::default(),
    };
    Heartbeat {
        from: daemon.me,
        data_centre: daemon.settings.data_centre,
        leaving: daemon.stopping(),
        sum,
        holders,
        departing: lock(&daemon.table).departing(),
        racks: own.reports,
        renounced: own.renounced,
    }
}

fn take_reply<B: Backend>(daemon: &Daemon<B>, address: SocketAddr, reply: &HeartbeatReply) {
    lock(&daemon.table).record_reply(clock::now(), reply);
    let sum = lock(&daemon.catalogue).digest().sum();
    if reply.sum != sum {
        pull(daemon, address);
    }
}

/// pull takes the intents pages of which a peer has a newer revision.
fn pull<B: Backend>(daemon: &Daemon<B>, address: SocketAddr) {
    let Ok(Response::Digest(digest)) = daemon.peers.call(address, &Request::Digest, PEER_LIMIT)
    else {
        return;
    };
    let behind = lock(&daemon.catalogue).behind(&digest);
    if behind.is_empty() {
        return;
    }
    let answer = daemon
        .peers
        .call(address, &Request::Shards(behind), PEER_LIMIT);
    if let Ok(Response::Shards(pages)) = answer {
        pages
            .into_iter()
            .for_each(|page| daemon.take_shard(page, "peer"));
    }
}

impl<B: Backend> Daemon<B> {
    /// take_shard takes an intents page if it is newer than the known one.
    pub fn take_shard(&self, page: ShardPage, from: &'static str) {
        let (shard, revision) = (page.shard, page.revision);
        let taken = lock(&self.catalogue).offer(shard, revision, page.page);
        if taken {
            info!(self.log, "config: page in force";
                "shard" => shard, "revision" => revision.0, "from" => from);
        }
    }

    /// take_heartbeat serves another daemon's heartbeat.
    pub fn take_heartbeat(&self, beat: &Heartbeat) -> HeartbeatReply {
        lock(&self.table).record_heartbeat(clock::now(), beat);
        if beat.data_centre == self.settings.data_centre {
            let taken = beat
                .racks
                .iter()
                .filter(|report| self.take_report(report))
                .count();
            if taken > 0 || !beat.departing.is_empty() {
                self.refresh_routes();
            }
            if beat.holders > lock(&self.holder).map().number() {
                self.holders_due.store(true, Ordering::SeqCst);
            }
            if !beat.renounced.is_empty() {
                let promises = Input::Renounced(beat.from, beat.renounced.clone());
                let _ = self.scheduler.send(promises);
            }
        }
        HeartbeatReply {
            from: self.me,
            leaving: self.stopping(),
            sum: lock(&self.catalogue).digest().sum(),
        }
    }
}
