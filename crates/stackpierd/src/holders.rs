// SPDX-License-Identifier: Apache-2.0
//! Maintenance of the data centre's holder map: reading it, adding a version when
//! daemons start or stop, and acknowledging versions.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use slog::info;
use stackpier_core::Millis;
use stackpier_protocol::peer::{Hint, Request, Response};
use stackpier_state::{
    Page, Revision,
    holders::{Map, Member},
    page::{ABSENT, Fetched, Key, Swapped},
};
use stackpier_transport::platform::Store;

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
};

/// ROUND_PAUSE is the pause between two rounds of maintenance.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// MAX_READ_GAP_MS is the longest time between two reads of the page, in
/// milliseconds.
const MAX_READ_GAP_MS: u64 = 3_000;
/// MIN_UNCHANGED_MS is how long the set of live daemons must stay unchanged before
/// it becomes a version, in milliseconds.
const MIN_UNCHANGED_MS: u64 = 1_000;

/// start starts the thread that maintains the map.
pub fn start<B: Backend>(daemon: &Arc<Daemon<B>>) -> std::io::Result<()> {
    let daemon = Arc::clone(daemon);
    thread::Builder::new()
        .name("holders".to_owned())
        .spawn(move || {
            let mut maintainer = Maintainer {
                daemon: &daemon,
                read_at: None,
                live_members: Vec::new(),
                unchanged_since: Millis(0),
            };
            loop {
                maintainer.run_round();
                thread::sleep(ROUND_PAUSE);
            }
        })?;
    Ok(())
}

/// Maintainer updates the holder map to the set of live daemons.
struct Maintainer<'a, B> {
    daemon: &'a Daemon<B>,
    read_at: Option<Millis>,
    live_members: Vec<Member>,
    unchanged_since: Millis,
}

impl<B: Backend> Maintainer<'_, B> {
    /// run_round reads and updates the map if that is due, and drops old records.
    fn run_round(&mut self) {
        let now = clock::now();
        let daemon = self.daemon;
        let live = lock(&daemon.table).live(now, daemon.settings.data_centre);
        if live != self.live_members {
            self.live_members = live;
            self.unchanged_since = now;
        }
        let settled = now.since(self.unchanged_since) >= MIN_UNCHANGED_MS;
        let known = lock(&daemon.holder).map().clone();
        let requested = daemon.holder_map_outdated.swap(false, Ordering::SeqCst);
        let read_due = requested
            || self
                .read_at
                .is_none_or(|at| now.since(at) >= MAX_READ_GAP_MS);
        let is_responsible = lock(&daemon.table).preferred(now, "holders");
        let differs = known.newest().map(|newest| &newest.members) != Some(&self.live_members);
        if read_due || (is_responsible && settled && differs) || self.has_unacknowledged(&known) {
            self.read_at = Some(now);
            self.update(is_responsible && settled);
        }
        let oldest = daemon.settings.once.oldest(clock::unix());
        lock(&daemon.holder).drop_old(oldest);
    }

    /// has_unacknowledged reports whether this daemon is a member of an earlier
    /// version and has not yet acknowledged a later one.
    fn has_unacknowledged(&self, map: &Map) -> bool {
        let me = &self.daemon.me;
        let earlier = map.versions.iter().rev().skip(1);
        let open = |v: &stackpier_state::holders::Version| {
            v.members.contains(me) && !v.stopped.contains(me)
        };
        earlier.clone().any(open)
    }

    /// update reads the map and revises it. `may_renew` tells whether a version with
    /// the live daemons may be added.
    fn update(&self, may_renew: bool) {
        match self
            .daemon
            .backend
            .read(Key::Holders(self.daemon.settings.data_centre))
        {
            Fetched::Found(revision, Page::Holders(map)) => self.revise(revision, map, may_renew),
            Fetched::Absent => self.revise(ABSENT, Map::default(), may_renew),
            Fetched::Found(..) | Fetched::Failed => self.fetch_from_peers(),
        }
    }

    /// fetch_from_peers gets the map from other daemons while the store does not
    /// answer, if this daemon has none yet.
    fn fetch_from_peers(&self) {
        if lock(&self.daemon.holder).map().number() > 0 {
            return;
        }
        for address in self.daemon.local_peers() {
            let answer = self
                .daemon
                .peers
                .call(address, &Request::Map, crate::daemon::PEER_LIMIT);
            if let Ok(Response::Map(map)) = answer {
                lock(&self.daemon.holder).learn(map);
            }
        }
    }

    /// revise adopts the map that was read, adds a version if `may_renew`, and
    /// acknowledges the version that was the newest one. It writes the map if that
    /// changed it.
    fn revise(&self, revision: Revision, map: Map, may_renew: bool) {
        let daemon = self.daemon;
        // From here on this daemon grants no key under an earlier version. So the
        // acknowledgement below, which states this, is true when it is written.
        lock(&daemon.holder).learn(map.clone());
        let mut next = map.clone();
        if may_renew {
            next.renew(self.live_members.clone());
        }
        let now = clock::unix();
        let number = map.number();
        next.acknowledge(daemon.me, number, now);
        self.acknowledge_gone(&mut next, number);
        let window = daemon.settings.once.window_ms + 2 * daemon.settings.once.allowance_ms;
        next.drop_old(now, window);
        if next == map {
            return;
        }
        next.write = lock(&daemon.writer).number();
        let key = Key::Holders(daemon.settings.data_centre);
        let swapped = daemon
            .backend
            .swap(key, revision, &Page::Holders(next.clone()));
        if let Swapped::Won(_) = swapped {
            let version_added = next.number() > number;
            lock(&daemon.holder).learn(next);
            if version_added {
                let version = number + 1;
                info!(daemon.log, "member: holder map changed";
                    "version" => version, "members" => self.live_members.len());
                let _ = daemon.broadcast(&Request::Hint(Hint::Holders));
            }
        }
    }

    /// acknowledge_gone acknowledges the version in the name of members that are
    /// known to have ended for good.
    fn acknowledge_gone(&self, next: &mut Map, number: u64) {
        let members: Vec<Member> = {
            let table = lock(&self.daemon.table);
            let all = next.versions.iter().flat_map(|version| &version.members);
            all.filter(|member| table.gone(**member)).copied().collect()
        };
        for member in members {
            next.acknowledge(member, number, clock::unix());
        }
    }
}
