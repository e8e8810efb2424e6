// SPDX-License-Identifier: Apache-2.0
//! Heartbeats between daemons, fetching intents pages from daemons that have
//! newer ones, and reading the platform's list of VMs.
//!
//! Each heartbeat goes to all daemons of the own data centre, but to only one
//! daemon of each other data centre, which changes from round to round. So the
//! cost does not grow with the square of the number of all daemons.

pub mod pending;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use flume::Sender;
use slog::{debug, info};
use stackpier_core::{Name, key::Boot};
use stackpier_protocol::{
    peer::{Heartbeat, HeartbeatReply, RackReport, Request, Response, ShardPage},
    platform::Roster,
};
use stackpier_transport::platform::Roster as _;

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, PEER_LIMIT, lock},
    reach::Watch,
    scheduler::Input,
};

use pending::{Pending, Sent};

/// start starts the threads that send heartbeats and read the list of VMs.
pub fn start<B: Backend>(daemon: &Arc<Daemon<B>>) -> std::io::Result<()> {
    let sending = Arc::clone(daemon);
    let (behind, pulls) = flume::bounded(1);
    thread::Builder::new()
        .name("heartbeat".to_owned())
        .spawn(move || send_rounds(&sending, &behind))?;
    let pulling = Arc::clone(daemon);
    thread::Builder::new()
        .name("pull".to_owned())
        .spawn(move || {
            for address in pulls {
                pull_intents(&pulling, address);
            }
        })?;
    let reading = Arc::clone(daemon);
    thread::Builder::new()
        .name("list".to_owned())
        .spawn(move || {
            let mut read = read_list(&reading);
            loop {
                thread::sleep(time_to_next_read(reading.settings.list_ms));
                if !read || should_read_list(&reading) {
                    read = read_list(&reading);
                }
            }
        })?;
    Ok(())
}

/// time_to_next_read returns the time until the wall clock reaches the next
/// multiple of `list_ms`, so that all daemons agree on the intervals in which
/// each of them reads the list.
fn time_to_next_read(list_ms: u64) -> Duration {
    Duration::from_millis(list_ms - clock::unix().0 % list_ms)
}

/// should_read_list reports whether this daemon reads the list of VMs in the
/// current interval. The live daemons of a data centre take turns, one in each
/// `list_ms`; heartbeats tell the others which workers are leaving. A daemon
/// whose last read failed, or that does not count as live itself, reads in every
/// interval.
fn should_read_list<B: Backend>(daemon: &Daemon<B>) -> bool {
    let live = lock(&daemon.table).live(clock::now(), daemon.settings.data_centre);
    let reader = clock::unix().0 / daemon.settings.list_ms % live.len().max(1) as u64;
    let index = live.iter().position(|member| *member == daemon.me);
    index.is_none_or(|index| index as u64 == reader)
}

/// read_list reads the list of VMs from the platform and reports whether that
/// succeeded.
fn read_list<B: Backend>(daemon: &Daemon<B>) -> bool {
    match daemon.backend.list() {
        Ok(roster) => {
            apply_list(daemon, roster);
            true
        }
        Err(error) => {
            debug!(daemon.log, "member: list of VMs not read"; "why" => %error);
            if lock(&daemon.table).racks().is_empty() {
                read_list_from_seeds(daemon);
            }
            false
        }
    }
}

/// read_list_from_seeds takes the list of VMs from another daemon, so that a
/// daemon can start while the platform does not answer.
fn read_list_from_seeds<B: Backend>(daemon: &Daemon<B>) {
    for address in &daemon.settings.seeds {
        let answer = daemon.peers.call(*address, &Request::Roster, PEER_LIMIT);
        if let Ok(Response::Roster(roster)) = answer {
            info!(daemon.log, "member: list of VMs read from a peer"; "peer" => %address);
            apply_list(daemon, roster);
            return;
        }
    }
}

fn apply_list<B: Backend>(daemon: &Daemon<B>, roster: Roster) {
    lock(&daemon.table).update_roster(roster);
    daemon.refresh_routes();
}

/// Receipts holds what each other daemon has acknowledged, so that a report is
/// sent to it only until then.
#[derive(Debug, Default)]
struct Receipts {
    by_address: HashMap<SocketAddr, Receipt>,
}

/// Receipt holds the versions of this daemon's rack reports that one run of
/// another daemon has acknowledged.
#[derive(Debug, Default)]
struct Receipt {
    boot: Boot,
    racks: BTreeMap<Name, Version>,
}

/// Version identifies one state of a rack's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Version {
    term: u64,
    change: u64,
}

impl Receipts {
    /// unacknowledged returns the reports that a daemon has not acknowledged yet.
    fn unacknowledged(&self, address: SocketAddr, reports: &[RackReport]) -> Vec<RackReport> {
        let receipt = self.by_address.get(&address);
        let has = |report: &&RackReport| {
            let version = receipt.and_then(|receipt| receipt.racks.get(&report.rack));
            version == Some(&version_of(report))
        };
        reports
            .iter()
            .filter(|report| !has(report))
            .cloned()
            .collect()
    }

    /// record stores that a run of a daemon acknowledged these reports. What an
    /// earlier run acknowledged is dropped, as the new run does not have it.
    fn record(&mut self, address: SocketAddr, boot: Boot, reports: &[RackReport]) {
        let receipt = self.by_address.entry(address).or_default();
        if receipt.boot != boot {
            *receipt = Receipt {
                boot,
                racks: BTreeMap::new(),
            };
        }
        let versions = reports
            .iter()
            .map(|report| (report.rack, version_of(report)));
        receipt.racks.extend(versions);
    }
}

fn version_of(report: &RackReport) -> Version {
    Version {
        term: report.term,
        change: report.change,
    }
}

/// send_rounds sends heartbeats at their pace, and handles the replies to all
/// rounds as they come. Daemons whose intents pages differ go to `behind`.
fn send_rounds<B: Backend>(daemon: &Daemon<B>, behind: &Sender<SocketAddr>) {
    let interval = Duration::from_millis(daemon.settings.heartbeat_ms);
    let mut receipts = Receipts::default();
    let mut pending = Pending::default();
    let mut watch = Watch::new(daemon.settings.membership.silence_ms);
    let mut next = Instant::now();
    for round in 0.. {
        watch.run_round(daemon);
        send_heartbeats(daemon, round, &receipts, &mut pending);
        // Missed rounds are not made up for.
        next = (next + interval).max(Instant::now());
        while let Some((sent, reply)) = pending.next_reply(next) {
            receipts.record(sent.address, reply.from.boot, &sent.reports);
            handle_reply(daemon, sent.address, &reply, behind);
        }
    }
}

/// send_heartbeats sends one round of heartbeats. Only daemons of the own data
/// centre get reports and promises on racks.
fn send_heartbeats<B: Backend>(
    daemon: &Daemon<B>,
    round: usize,
    receipts: &Receipts,
    pending: &mut Pending,
) {
    let storeless = lock(&daemon.table).store_lost();
    let (local, remote) = choose_targets(daemon, round);
    let full = build_heartbeat(daemon, true);
    let brief = build_heartbeat(daemon, false);
    for address in local {
        if !pending.has_room(address) {
            continue;
        }
        let racks = receipts.unacknowledged(address, &full.racks);
        let beat = Heartbeat {
            racks,
            ..full.clone()
        };
        send_heartbeat(daemon, address, beat, pending);
        if storeless {
            let message = Request::Storeless(daemon.me);
            if let Err(error) = daemon.peers.send(address, &message, PEER_LIMIT) {
                // The next round repeats it.
                debug!(daemon.log, "member: loss of the store not reported";
                    "peer" => %address, "why" => %error);
            }
        }
    }
    for address in remote {
        if pending.has_room(address) {
            send_heartbeat(daemon, address, brief.clone(), pending);
        }
    }
}

fn send_heartbeat<B: Backend>(
    daemon: &Daemon<B>,
    address: SocketAddr,
    beat: Heartbeat,
    pending: &mut Pending,
) {
    let reports = beat.racks.clone();
    let message = Request::Heartbeat(beat);
    match daemon.peers.send(address, &message, PEER_LIMIT) {
        Ok(answer) => pending.push(Sent {
            address,
            reports,
            answer,
        }),
        Err(error) => {
            debug!(daemon.log, "member: heartbeat not sent";
                "peer" => %address, "why" => %error);
        }
    }
}

/// choose_targets returns the daemons of the own data centre, and one daemon of each
/// other data centre.
fn choose_targets<B: Backend>(
    daemon: &Daemon<B>,
    round: usize,
) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let table = lock(&daemon.table);
    let here = table.data_centre();
    let mut local = Vec::new();
    let mut others: BTreeMap<Name, Vec<SocketAddr>> = BTreeMap::new();
    for vm in table.peers() {
        let Ok(address) = vm.address.parse() else {
            continue;
        };
        match vm.data_centre == here {
            true => local.push(address),
            false => others.entry(vm.data_centre).or_default().push(address),
        }
    }
    let remote = others.values().map(|all| all[round % all.len()]);
    (local, remote.collect())
}

/// build_heartbeat returns a heartbeat, with reports and promises on racks if it is
/// `full`.
fn build_heartbeat<B: Backend>(daemon: &Daemon<B>, full: bool) -> Heartbeat {
    let sum = lock(&daemon.catalogue).digest().sum();
    let holders = lock(&daemon.holder).map().number();
    let announcement = match full {
        true => lock(&daemon.announcement).clone(),
        false => Default::default(),
    };
    Heartbeat {
        from: daemon.me,
        data_centre: daemon.settings.data_centre,
        leaving: daemon.is_stopping(),
        sum,
        holders,
        departing: lock(&daemon.table).departing(),
        racks: announcement.reports,
        renounced: announcement.renounced,
    }
}

/// handle_reply records a reply, and has intents pages fetched if the peer's
/// differ. If others are being fetched, the next reply tells it again.
fn handle_reply<B: Backend>(
    daemon: &Daemon<B>,
    address: SocketAddr,
    reply: &HeartbeatReply,
    behind: &Sender<SocketAddr>,
) {
    lock(&daemon.table).record_reply(clock::now(), reply);
    let sum = lock(&daemon.catalogue).digest().sum();
    if reply.sum != sum {
        let _ = behind.try_send(address);
    }
}

/// pull_intents fetches the intents pages of which a peer has a newer revision.
fn pull_intents<B: Backend>(daemon: &Daemon<B>, address: SocketAddr) {
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
            .for_each(|page| daemon.apply_shard(page, "peer"));
    }
}

impl<B: Backend> Daemon<B> {
    /// apply_shard stores an intents page if it is newer than the known one. `from`
    /// is the source that the log names.
    pub fn apply_shard(&self, page: ShardPage, from: &'static str) {
        let (shard, revision) = (page.shard, page.revision);
        let applied = lock(&self.catalogue).offer(shard, revision, page.page);
        if applied {
            info!(self.log, "config: intents page applied";
                "shard" => shard, "revision" => revision.0, "from" => from);
        }
    }

    /// handle_heartbeat applies another daemon's heartbeat and returns the reply.
    pub fn handle_heartbeat(&self, beat: &Heartbeat) -> HeartbeatReply {
        lock(&self.table).record_heartbeat(clock::now(), beat);
        if beat.data_centre == self.settings.data_centre {
            let applied = beat
                .racks
                .iter()
                .filter(|report| self.apply_report(report))
                .count();
            if applied > 0 || !beat.departing.is_empty() {
                self.refresh_routes();
            }
            if beat.holders > lock(&self.holder).map().number() {
                self.holder_map_outdated.store(true, Ordering::SeqCst);
            }
            if !beat.renounced.is_empty() {
                let promises = Input::Renounced(beat.from, beat.renounced.clone());
                let _ = self.scheduler.send(promises);
            }
        }
        HeartbeatReply {
            from: self.me,
            leaving: self.is_stopping(),
            sum: lock(&self.catalogue).digest().sum(),
        }
    }
}
