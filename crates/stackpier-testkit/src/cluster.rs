// SPDX-License-Identifier: Apache-2.0
//! A small deployment on loopback: the platform, workers and daemons of
//! several data centres, with a proxy on each way that tests cut.

mod control;
mod intents;
mod start;

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
};

use anyhow::{Context, Result};
use serde_json::{Value, json};
use stackpier_core::{Name, Size};
use stackpier_protocol::platform::{Role, Roster, Standing, Vm};

use crate::{ports, process::Process};

use control::post;

pub use control::get;
pub use intents::{batch, service};

/// CAPACITY is what each worker offers.
pub const CAPACITY: Size = Size {
    milli_cores: 32_000,
    memory_mib: 125_000,
    accelerators: 0,
};

/// CLUSTERS counts the deployments of this process, for their folders.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Plan is the shape of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Count of data centres.
    pub data_centres: usize,
    /// Daemons in each.
    pub daemons: usize,
    /// Workers in each.
    pub workers: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Slots of a worker.
    pub slots: usize,
    /// Requests in service at a worker at once, refused ones included.
    pub connections: usize,
    /// Time a request takes at a worker, in milliseconds.
    pub work_ms: u64,
    /// Settings merged into every daemon's.
    pub times: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            data_centres: 1,
            daemons: 3,
            workers: 2,
            workers_per_rack: 1,
            slots: 8,
            connections: 64,
            work_ms: 2,
            times: json!({}),
        }
    }
}

/// Daemon is one daemon and its addresses.
pub struct Daemon {
    /// Name of its VM.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Callers' port.
    pub callers: SocketAddr,
    /// Operators' port.
    pub operators: SocketAddr,
    /// Peers' port.
    pub peers: SocketAddr,
    /// Control port of the proxy between it and the platform.
    pub platform_switch: SocketAddr,
    /// The process, unless it was killed.
    pub process: Option<Process>,
    settings: PathBuf,
}

/// Worker is one worker and its addresses.
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack.
    pub rack: Name,
    /// Its own port.
    pub address: SocketAddr,
    /// Port of the proxy that daemons reach it by.
    pub reached: SocketAddr,
    /// Control port of that proxy.
    pub switch: SocketAddr,
    /// The process, unless it was killed.
    pub process: Option<Process>,
}

/// Cluster is a running deployment. Everything ends when it is dropped.
pub struct Cluster {
    /// The daemons, data centre by data centre.
    pub daemons: Vec<Daemon>,
    /// The workers, data centre by data centre.
    pub workers: Vec<Worker>,
    /// One port of the platform for each data centre.
    pub platforms: Vec<SocketAddr>,
    /// Control ports of the proxies from one data centre to another.
    pub links: BTreeMap<(usize, usize), SocketAddr>,
    /// Where settings and logs are.
    pub folder: PathBuf,
    plan: Plan,
    /// Ports of the proxies from a data centre to a daemon in another one.
    routes: BTreeMap<(usize, Name), SocketAddr>,
    /// Ports of the proxies from each daemon to the platform.
    platform_routes: BTreeMap<Name, SocketAddr>,
    roster: Roster,
    others: Vec<Process>,
}

/// data_centre returns the name of a data centre by its number.
pub fn data_centre(number: usize) -> Name {
    name(&format!("dc-{}", letter(number)))
}

/// letter returns the letter of a data centre in names.
fn letter(centre: usize) -> char {
    char::from(b'a' + centre as u8)
}

/// name builds a name that is known to be valid.
pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}

impl Cluster {
    /// start starts everything and waits until each daemon is ready.
    pub fn start(plan: Plan) -> Result<Cluster> {
        let number = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let folder = format!("stackpier-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder)?;
        let mut cluster = Cluster {
            daemons: Vec::new(),
            workers: Vec::new(),
            platforms: Vec::new(),
            links: BTreeMap::new(),
            folder,
            plan,
            routes: BTreeMap::new(),
            platform_routes: BTreeMap::new(),
            roster: Roster::default(),
            others: Vec::new(),
        };
        cluster.lay_out();
        cluster.start_links()?;
        cluster.start_platform()?;
        cluster.start_workers()?;
        for place in 0..cluster.daemons.len() {
            cluster.write_settings(place)?;
            cluster.start_platform_proxy(place)?;
            cluster.start_daemon(place)?;
        }
        for place in 0..cluster.daemons.len() {
            cluster.await_ready(place)?;
        }
        Ok(cluster)
    }

    fn lay_out(&mut self) {
        for centre in 0..self.plan.data_centres {
            let letter = letter(centre);
            self.platforms.push(ports::free());
            for number in 0..self.plan.daemons {
                let vm = name(&format!("entry-{letter}{number}"));
                self.daemons.push(Daemon {
                    vm,
                    data_centre: data_centre(centre),
                    callers: ports::free(),
                    operators: ports::free(),
                    peers: ports::free(),
                    platform_switch: ports::free(),
                    process: None,
                    settings: self.folder.join(format!("{vm}.json")),
                });
            }
            for number in 0..self.plan.workers {
                let rack = number / self.plan.workers_per_rack;
                self.workers.push(Worker {
                    name: name(&format!("worker-{letter}{number}")),
                    data_centre: data_centre(centre),
                    rack: name(&format!("rack-{letter}{rack}")),
                    address: ports::free(),
                    reached: ports::free(),
                    switch: ports::free(),
                    process: None,
                });
            }
        }
        self.roster = self.first_roster();
    }

    fn first_roster(&self) -> Roster {
        let entry = |daemon: &Daemon| Vm {
            name: daemon.vm,
            role: Role::Entry,
            data_centre: daemon.data_centre,
            rack: None,
            address: daemon.peers.to_string(),
            capacity: Size::default(),
            standing: Standing::Live,
        };
        let worker = |worker: &Worker| Vm {
            name: worker.name,
            role: Role::Worker,
            data_centre: worker.data_centre,
            rack: Some(worker.rack),
            address: worker.reached.to_string(),
            capacity: CAPACITY,
            standing: Standing::Live,
        };
        let daemons = self.daemons.iter().map(entry);
        Roster {
            vms: daemons.chain(self.workers.iter().map(worker)).collect(),
        }
    }

    /// view is the list as one data centre sees it: daemons of others by way
    /// of the proxy between the two.
    fn view(&self, centre: usize) -> Roster {
        let seen = |vm: &Vm| {
            let route = self.routes.get(&(centre, vm.name));
            let address = route.map_or_else(|| vm.address.clone(), SocketAddr::to_string);
            Vm {
                address,
                ..vm.clone()
            }
        };
        Roster {
            vms: self.roster.vms.iter().map(seen).collect(),
        }
    }

    /// platform_of returns the port of the proxy between a daemon and the
    /// platform. It is kept beside the settings, so that a restart finds it.
    fn platform_of(&self, place: usize) -> SocketAddr {
        let route = self.platform_routes.get(&self.daemons[place].vm);
        route.copied().unwrap_or(self.platforms[self.centre(place)])
    }

    fn centre(&self, place: usize) -> usize {
        place / self.plan.daemons
    }

    /// worker returns the worker of this name.
    pub fn worker(&self, name: Name) -> Result<&Worker> {
        let found = self.workers.iter().find(|worker| worker.name == name);
        found.context("no such worker")
    }

    /// list sets what the platform says of a VM.
    pub fn list(&mut self, vm: Name, standing: Standing) -> Result<()> {
        let found = self.roster.vms.iter_mut().find(|row| row.name == vm);
        found.context("the VM is listed")?.standing = standing;
        for (centre, address) in self.platforms.iter().enumerate() {
            post(
                *address,
                "/roster",
                &serde_json::to_vec(&self.view(centre))?,
            )?;
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
