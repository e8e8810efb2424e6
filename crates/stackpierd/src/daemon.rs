// SPDX-License-Identifier: Apache-2.0
//! The state that the parts of a daemon share.

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
    backend::Backend, clock, metrics::Metrics, reach::Observed, routing::Routing, scheduler::Input,
    settings::Settings,
};

/// PEER_LIMIT is the time limit for a message to another daemon and its answer.
pub const PEER_LIMIT: Duration = Duration::from_millis(1_000);

/// Daemon is the state shared by the parts of one daemon.
pub struct Daemon<B> {
    /// The checked settings.
    pub settings: Settings,
    /// This run of the daemon.
    pub me: Member,
    /// The platform and the workers.
    pub backend: Observed<B>,
    /// The other daemons.
    pub peers: Peers,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// The VMs and daemons that are known, and which of them are live.
    pub table: Mutex<Table>,
    /// The accepted intents.
    pub catalogue: Mutex<Catalogue>,
    /// The newest report of each rack of the data centre.
    pub racks: Mutex<BTreeMap<Name, RackReport>>,
    /// What the heartbeats to other daemons tell about racks.
    pub announcement: Mutex<Announcement>,
    /// The router, which chooses upstreams for requests.
    pub routing: Routing,
    /// The records of the request keys that this daemon holds.
    pub holder: Mutex<Holder>,
    /// The numbering of writes to the store.
    pub writer: Mutex<Writer>,
    /// The channel to the scheduler's thread.
    pub scheduler: Sender<Input>,
    /// Whether another daemon may know a newer holder map, so that the map must be
    /// read again.
    pub holder_map_outdated: AtomicBool,
    stopping: AtomicBool,
}

/// Announcement holds what this daemon tells other daemons about racks.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// Reports of the racks whose leases it renews.
    pub reports: Vec<RackReport>,
    /// Promises not to renew a rack under terms below a given one.
    pub renounced: Vec<Renounced>,
}

/// Parts are the values that a [`Daemon`] is built from.
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
    /// The channel to the scheduler's thread.
    pub scheduler: Sender<Input>,
}

/// lock locks a mutex, also when a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<B: Backend> Daemon<B> {
    /// new returns a daemon that knows no other VM yet.
    pub fn new(parts: Parts<B>) -> anyhow::Result<Daemon<B>> {
        let settings = parts.settings;
        let me = Member {
            vm: settings.vm,
            boot: parts.boot,
        };
        let table = Table::new(me, settings.data_centre, settings.membership);
        Ok(Daemon {
            me,
            backend: Observed::new(parts.backend),
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

    /// is_stopping reports whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// stop begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        lock(&self.table).stop();
    }

    /// address returns the address of a VM, if the list of VMs has it.
    pub fn address(&self, vm: Name) -> Option<SocketAddr> {
        let table = lock(&self.table);
        table.vm(vm).and_then(|vm| vm.address.parse().ok())
    }

    /// call_daemon sends a message to the daemon on a VM and waits for the answer.
    pub fn call_daemon(&self, vm: Name, request: &Request) -> Option<Response> {
        let address = self.address(vm)?;
        self.peers.call(address, request, PEER_LIMIT).ok()
    }

    /// broadcast sends a message to all other daemons of the data centre without
    /// waiting for answers.
    pub fn broadcast(&self, request: &Request) -> Result<()> {
        for address in self.local_peers() {
            self.peers.send(address, request, PEER_LIMIT)?;
        }
        Ok(())
    }

    /// renewer returns the VM of the daemon that renews a rack, according to the
    /// rack's newest known report.
    pub fn renewer(&self, rack: Name) -> Option<Name> {
        lock(&self.racks).get(&rack).map(|report| report.renewer)
    }

    /// placer returns the VM of the daemon that normally places a shard.
    pub fn placer(&self, shard: u16) -> Option<Name> {
        let table = lock(&self.table);
        let item = placer::item(table.data_centre(), shard);
        table.chosen(clock::now(), &item).map(|member| member.vm)
    }

    /// local_peers returns the addresses of the other daemons of the data centre.
    pub fn local_peers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let here = table.data_centre();
        let near = table.peers().filter(|vm| vm.data_centre == here);
        near.filter_map(|vm| vm.address.parse().ok()).collect()
    }

    /// refresh_routes passes the endpoints on live workers to the router.
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

    /// apply_report stores a rack's report, unless this or a newer one is known,
    /// and reports whether it did.
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
