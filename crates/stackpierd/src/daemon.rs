// SPDX-License-Identifier: Apache-2.0
//! What the parts of a daemon share.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use flume::Sender;
use slog::Logger;
use stackpier_coordination::{effect::Writer, holder::Holder, membership::Table, placer};
use stackpier_core::{Name, Result, key::Boot};
use stackpier_protocol::peer::{Endpoint, RackReport, Renounced, Request, Response};
use stackpier_state::{catalogue::Catalogue, holders::Member};
use stackpier_transport::peers::Peers;

use crate::{
    backend::Backend, clock, metrics::Metrics, routing::Routing, scheduler::Input,
    settings::Settings,
};

/// PEER_LIMIT bounds a message to another daemon.
pub const PEER_LIMIT: Duration = Duration::from_millis(1_000);

/// Daemon is the state shared by the parts of one daemon.
pub struct Daemon<B> {
    /// The checked settings.
    pub settings: Settings,
    /// This daemon.
    pub me: Member,
    /// The platform and the workers.
    pub backend: B,
    /// The other daemons.
    pub peers: Peers,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// Who is there.
    pub table: Mutex<Table>,
    /// The accepted intents.
    pub catalogue: Mutex<Catalogue>,
    /// The newest report of each rack of the data centre.
    pub racks: Mutex<BTreeMap<Name, RackReport>>,
    /// The reports and promises of this daemon's own racks.
    pub announcement: Mutex<Announcement>,
    /// The choice of upstreams.
    pub routing: Routing,
    /// The records of keys that fall to this daemon.
    pub holder: Mutex<Holder>,
    /// Numbers the writes to the store.
    pub writer: Mutex<Writer>,
    /// The way to the scheduler.
    pub scheduler: Sender<Input>,
    /// Whether another daemon knows a newer holder map.
    pub holder_map_outdated: AtomicBool,
    stopping: AtomicBool,
}

/// Announcement is what this daemon says of racks.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// Reports of the racks it renews.
    pub reports: Vec<RackReport>,
    /// Promises not to renew.
    pub renounced: Vec<Renounced>,
}

/// Parts are what a daemon is made of.
pub struct Parts<B> {
    /// The checked settings.
    pub settings: Settings,
    /// This run of the daemon.
    pub boot: Boot,
    /// The platform and the workers.
    pub backend: B,
    /// The other daemons.
    pub peers: Peers,
    /// The log.
    pub log: Logger,
    /// The way to the scheduler.
    pub scheduler: Sender<Input>,
}

/// lock takes a mutex; a thread that panicked while it held one leaves plain
/// data behind.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<B: Backend> Daemon<B> {
    /// new puts the parts together.
    pub fn new(parts: Parts<B>) -> anyhow::Result<Daemon<B>> {
        let settings = parts.settings;
        let me = Member {
            vm: settings.vm,
            boot: parts.boot,
        };
        let table = Table::new(me, settings.data_centre, settings.membership);
        Ok(Daemon {
            me,
            backend: parts.backend,
            metrics: Metrics::new(&parts.peers)?,
            peers: parts.peers,
            log: parts.log,
            table: Mutex::new(table),
            catalogue: Mutex::default(),
            racks: Mutex::default(),
            announcement: Mutex::default(),
            routing: Routing::new(settings.route, parts.boot),
            holder: Mutex::new(Holder::new(parts.boot)),
            writer: Mutex::new(Writer::new(parts.boot)),
            scheduler: parts.scheduler,
            holder_map_outdated: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            settings,
        })
    }

    /// stopping tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// stop begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        lock(&self.table).stop();
    }

    /// address returns the peers' port of a VM, if the list names it.
    pub fn address(&self, vm: Name) -> Option<SocketAddr> {
        let table = lock(&self.table);
        table.vm(vm).and_then(|vm| vm.address.parse().ok())
    }

    /// call_daemon sends a message to a daemon and waits for the answer.
    pub fn call_daemon(&self, vm: Name, request: &Request) -> Option<Response> {
        let address = self.address(vm)?;
        self.peers.call(address, request, PEER_LIMIT).ok()
    }

    /// broadcast sends a message to all other daemons of the data centre and waits
    /// for no answer.
    pub fn broadcast(&self, request: &Request) -> Result<()> {
        for address in self.local_peers() {
            self.peers.send(address, request, PEER_LIMIT)?;
        }
        Ok(())
    }

    /// renewer returns the VM of the daemon that renews a rack, as reported.
    pub fn renewer(&self, rack: Name) -> Option<Name> {
        lock(&self.racks).get(&rack).map(|report| report.renewer)
    }

    /// placer returns the VM of the daemon that normally places a shard.
    pub fn placer(&self, shard: u16) -> Option<Name> {
        let table = lock(&self.table);
        let item = placer::item(table.data_centre(), shard);
        table.chosen(clock::now(), &item).map(|member| member.vm)
    }

    /// local_peers returns the other daemons of the data centre.
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let here = table.data_centre();
        let near = table.peers().filter(|vm| vm.data_centre == here);
        near.filter_map(|vm| vm.address.parse().ok()).collect()
    }

    /// refresh_routes gives the router the upstreams that may get requests.
    pub fn refresh_routes(&self) {
        let mut endpoints: Vec<Endpoint> = Vec::new();
        {
            let table = lock(&self.table);
            let accepts_requests = |endpoint: &&Endpoint| {
                use stackpier_protocol::platform::Standing;
                table.standing(endpoint.worker) == Some(Standing::Live)
            };
            for report in lock(&self.racks).values() {
                endpoints.extend(report.endpoints.iter().filter(accepts_requests));
            }
        }
        self.routing.update(&endpoints);
    }

    /// apply_report takes a rack's report unless a newer one is known. It
    /// returns whether it did.
    pub fn apply_report(&self, report: &RackReport) -> bool {
        let mut racks = lock(&self.racks);
        let order = |report: &RackReport| (report.term, report.change);
        let known = racks.get(&report.rack).map(order);
        if known.is_some_and(|known| known >= order(report)) {
            return false;
        }
        racks.insert(report.rack, report.clone());
        true
    }
}
