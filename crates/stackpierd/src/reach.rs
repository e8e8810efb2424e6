// SPDX-License-Identifier: Apache-2.0
//! Whether this daemon and its peers reach the platform's store: the record of
//! the store's answers, and the probes while nothing else is read.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use slog::{info, warn};
use stackpier_coordination::reach::{Change, Reach};
use stackpier_core::{Millis, Result};
use stackpier_protocol::{
    platform::Roster as List,
    sync::{Call, Reply},
};
use stackpier_state::{
    Page, Revision,
    holders::Member,
    page::{Fetched, Key, Swapped},
};
use stackpier_transport::platform::{
    Request as CallerRequest, Roster, Sent, Store, Upstream, Worker,
};

use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
};

/// Observed is a backend that records when the store last answered. The list of
/// VMs is no evidence, as the platform may serve it without the store.
pub struct Observed<B> {
    inner: B,
    answered: AtomicU64,
}

impl<B> Observed<B> {
    /// new returns a backend whose store counts as having just answered.
    pub fn new(inner: B) -> Observed<B> {
        Observed {
            inner,
            answered: AtomicU64::new(clock::now().0),
        }
    }

    /// answered returns when the store last answered.
    pub fn answered(&self) -> Millis {
        Millis(self.answered.load(Ordering::Relaxed))
    }

    fn record(&self, answered: bool) {
        if answered {
            self.answered.fetch_max(clock::now().0, Ordering::Relaxed);
        }
    }
}

impl<B: Store> Store for Observed<B> {
    fn read(&self, key: Key) -> Fetched {
        let fetched = self.inner.read(key);
        self.record(!matches!(fetched, Fetched::Failed));
        fetched
    }

    fn swap(&self, key: Key, expect: Revision, page: &Page) -> Swapped {
        let swapped = self.inner.swap(key, expect, page);
        self.record(matches!(swapped, Swapped::Won(_) | Swapped::Lost));
        swapped
    }

    fn watch(&self, key: Key, after: Revision, wait_ms: u64) -> Option<Revision> {
        let revision = self.inner.watch(key, after, wait_ms);
        self.record(revision.is_some());
        revision
    }
}

impl<B: Roster> Roster for Observed<B> {
    fn list(&self) -> Result<List> {
        self.inner.list()
    }
}

impl<B: Worker> Worker for Observed<B> {
    fn sync(&self, address: &str, call: &Call) -> Option<Reply> {
        self.inner.sync(address, call)
    }

    fn send(&self, upstream: Upstream<'_>, request: &CallerRequest, timeout_ms: u64) -> Sent {
        self.inner.send(upstream, request, timeout_ms)
    }
}

/// start starts the thread that reads from the store whenever it has not
/// answered for half of the silence, so that an idle daemon does not count as
/// cut off.
pub fn start<B: Backend>(daemon: &Arc<Daemon<B>>) -> std::io::Result<()> {
    let daemon = Arc::clone(daemon);
    let interval_ms = daemon.settings.membership.silence_ms / 2;
    let pause = Duration::from_millis(interval_ms);
    thread::Builder::new()
        .name("probe".to_owned())
        .spawn(move || {
            loop {
                let due = daemon.backend.answered().plus(interval_ms);
                match due.since(clock::now()) {
                    0 if probe(&daemon) => {}
                    0 => thread::sleep(pause),
                    wait_ms => thread::sleep(Duration::from_millis(wait_ms)),
                }
            }
        })?;
    Ok(())
}

/// probe reads from the store and reports whether it answered.
fn probe<B: Backend>(daemon: &Daemon<B>) -> bool {
    daemon.metrics.store_reads.add(1, &[]);
    let key = Key::Holders(daemon.settings.data_centre);
    !matches!(daemon.backend.read(key), Fetched::Failed)
}

/// Watch follows whether this daemon and its peers reach the store.
pub struct Watch {
    reach: Reach,
    left_out: Vec<Member>,
}

impl Watch {
    /// new returns a watch that begins now.
    pub fn new(silence_ms: u64) -> Watch {
        Watch {
            reach: Reach::new(clock::now(), silence_ms),
            left_out: Vec::new(),
        }
    }

    /// run_round passes to the table whether the store is reached. The heartbeats
    /// tell the other daemons while it is not.
    pub fn run_round<B: Backend>(&mut self, daemon: &Daemon<B>) {
        let now = clock::now();
        match self.reach.observe(now, daemon.backend.answered()) {
            Some(Change::Lost(silent_ms)) => {
                daemon.metrics.store_losses.add(1, &[]);
                warn!(daemon.log, "member: store lost"; "silent_ms" => silent_ms);
            }
            Some(Change::Regained(silent_ms)) => {
                info!(daemon.log, "member: store answers again"; "silent_ms" => silent_ms);
            }
            None => {}
        }
        let left_out = {
            let mut table = lock(&daemon.table);
            table.set_store_lost(self.reach.lost());
            table.left_out(now)
        };
        self.log_left_out(daemon, left_out);
    }

    fn log_left_out<B: Backend>(&mut self, daemon: &Daemon<B>, left_out: Vec<Member>) {
        let before = std::mem::replace(&mut self.left_out, left_out);
        for member in self.left_out.iter().filter(|now| !before.contains(now)) {
            info!(daemon.log, "member: daemon left out, as it does not reach the store";
                "vm" => %member.vm);
        }
        for member in before.iter().filter(|old| !self.left_out.contains(old)) {
            info!(daemon.log, "member: daemon no longer left out"; "vm" => %member.vm);
        }
    }
}
