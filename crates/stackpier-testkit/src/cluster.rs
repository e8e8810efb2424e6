// SPDX-License-Identifier: Apache-2.0
//! A small deployment on loopback: the platform, and the workers and daemons of
//! several data centres, with proxies on the connections that tests cut.

mod control;
mod intents;
mod start;

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use anyhow::{Context, Result};
use serde_json::{Value, json};
use stackpier_core::{Name, Size};
use stackpier_protocol::platform::{Role, Roster, Standing, Vm};

use crate::{folder::Folder, ports, process::Process};

use control::post;

pub use control::get;
pub use intents::{batch, service};

/// CAPACITY is the capacity of each worker.
pub const CAPACITY: Size = Size {
    milli_cores: 32_000,
    memory_mib: 125_000,
    accelerators: 0,
};

/// Plan describes a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of data centres.
    pub data_centres: usize,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// Workers in each data centre.
    pub workers: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Requests that a worker runs at once.
    pub slots: usize,
    /// Requests that a worker handles at once, refused ones included.
    pub connections: usize,
    /// The time that a request takes at a worker, in milliseconds.
    pub work_ms: u64,
    /// The `times` section of every daemon's settings.
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

/// Daemon holds a daemon and its addresses.
pub struct Daemon {
    /// The name of its VM.
    pub vm: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its callers' port.
    pub callers: SocketAddr,
    /// Its operators' port.
    pub operators: SocketAddr,
    /// Its peers' port.
    pub peers: SocketAddr,
    /// The control port of the proxy between it and the platform.
    pub platform_proxy_control: SocketAddr,
    /// The process, unless it was killed.
    pub process: Option<Process>,
    settings: PathBuf,
}

/// Worker holds a worker and its addresses.
pub struct Worker {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Its rack.
    pub rack: Name,
    /// Its own port.
    pub address: SocketAddr,
    /// The port of the proxy by which daemons reach it.
    pub proxied_address: SocketAddr,
    /// The control port of that proxy.
    pub proxy_control: SocketAddr,
    /// The process, unless it was killed.
    pub process: Option<Process>,
}

/// Cluster is a running deployment. Dropping it kills all its processes and keeps its folder, as a
/// test that fails does. A test that passes ends with [`Cluster::finish`].
pub struct Cluster {
    /// The daemons, data centre by data centre.
    pub daemons: Vec<Daemon>,
    /// The workers, data centre by data centre.
    pub workers: Vec<Worker>,
    /// One port of the platform for each data centre.
    pub platforms: Vec<SocketAddr>,
    /// The control ports of the proxies, by the data centres from and to which they
    /// lead.
    pub links: BTreeMap<(usize, usize), SocketAddr>,
    plan: Plan,
    /// The ports of the proxies from a data centre to a daemon in another one.
    routes: BTreeMap<(usize, Name), SocketAddr>,
    /// The ports of the proxies from each daemon to the platform.
    platform_routes: BTreeMap<Name, SocketAddr>,
    roster: Roster,
    /// The processes of the platform and the proxies.
    stand_ins: Vec<Process>,
    /// The folder with settings and logs.
    pub folder: Folder,
}

/// data_centre returns the name of the data centre with this number.
pub fn data_centre(number: usize) -> Name {
    name(&format!("dc-{}", letter(number)))
}

/// letter returns the letter that stands for a data centre in names.
fn letter(centre: usize) -> char {
    char::from(b'a' + centre as u8)
}

/// name converts a text into a name. It panics if the text is not a valid one.
pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}

impl Cluster {
    /// start starts all processes and waits until each daemon is ready.
    pub fn start(plan: Plan) -> Result<Cluster> {
        let mut cluster = Cluster {
            daemons: Vec::new(),
            workers: Vec::new(),
            platforms: Vec::new(),
            links: BTreeMap::new(),
            plan,
            routes: BTreeMap::new(),
            platform_routes: BTreeMap::new(),
            roster: Roster::default(),
            stand_ins: Vec::new(),
            folder: Folder::create("stackpier")?,
        };
        cluster.lay_out();
        cluster.start_links()?;
        cluster.start_platform()?;
        cluster.start_workers()?;
        for index in 0..cluster.daemons.len() {
            cluster.write_settings(index)?;
            cluster.start_platform_proxy(index)?;
            cluster.start_daemon(index)?;
        }
        for index in 0..cluster.daemons.len() {
            cluster.await_ready(index)?;
        }
        Ok(cluster)
    }

    /// finish kills all processes and removes the folder. Tests call it once they have passed.
    pub fn finish(self) -> Result<()> {
        drop((self.daemons, self.workers, self.stand_ins));
        self.folder.remove()
    }

    /// lay_out gives all daemons and workers their names and addresses.
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
                    platform_proxy_control: ports::free(),
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
                    proxied_address: ports::free(),
                    proxy_control: ports::free(),
                    process: None,
                });
            }
        }
        self.roster = self.initial_roster();
    }

    fn initial_roster(&self) -> Roster {
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
            address: worker.proxied_address.to_string(),
            capacity: CAPACITY,
            standing: Standing::Live,
        };
        let daemons = self.daemons.iter().map(entry);
        Roster {
            vms: daemons.chain(self.workers.iter().map(worker)).collect(),
        }
    }

    /// roster_seen_from returns the list of VMs as a data centre sees it: daemons in
    /// others have the address of the proxy between the two.
    fn roster_seen_from(&self, centre: usize) -> Roster {
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

    /// platform_address returns the port of the proxy between a daemon and the
    /// platform, which a restarted daemon uses again, or the platform's own port before
    /// the proxy is started.
    fn platform_address(&self, index: usize) -> SocketAddr {
        let route = self.platform_routes.get(&self.daemons[index].vm);
        route
            .copied()
            .unwrap_or(self.platforms[self.centre_of(index)])
    }

    /// centre_of returns the number of a daemon's data centre.
    fn centre_of(&self, index: usize) -> usize {
        index / self.plan.daemons
    }

    /// worker returns the worker with this name.
    pub fn worker(&self, name: Name) -> Result<&Worker> {
        let found = self.workers.iter().find(|worker| worker.name == name);
        found.context("no such worker")
    }

    /// set_standing sets the standing of a VM in the platform's list.
    pub fn set_standing(&mut self, vm: Name, standing: Standing) -> Result<()> {
        let found = self.roster.vms.iter_mut().find(|row| row.name == vm);
        found.context("the VM is not listed")?.standing = standing;
        for (centre, address) in self.platforms.iter().enumerate() {
            post(
                *address,
                "/roster",
                &serde_json::to_vec(&self.roster_seen_from(centre))?,
            )?;
        }
        Ok(())
    }
}
