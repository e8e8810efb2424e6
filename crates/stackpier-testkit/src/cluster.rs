// SPDX-License-Identifier: Apache-2.0
//! A small deployment on loopback: the platform, workers and daemons of
//! several data centres, with a proxy on each way that tests cut.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    sync::atomic::{AtomicU32, Ordering},
};

use anyhow::{Context, Result, ensure};
use serde_json::{Value, json};
use stackpier_core::{Name, Size};
use stackpier_protocol::platform::{Role, Roster, Standing, Vm};
use stackpier_standin::{
    platform::{Faults, Stats},
    proxy::Mode,
    worker_http::{Knobs, Log},
};

use crate::{
    caller::{Answer, Call},
    ports,
    process::{Process, binary},
    wait,
};

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
    routes: BTreeMap<(usize, Name), SocketAddr>,
    roster: Roster,
    others: Vec<Process>,
}

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// CAPACITY is what each worker offers.
pub const CAPACITY: Size = Size {
    milli_cores: 32_000,
    memory_mib: 125_000,
    accelerators: 0,
};

/// data_centre returns the name of a data centre by its number.
pub fn data_centre(number: usize) -> Name {
    name(&format!("dc-{}", char::from(b'a' + number as u8)))
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
            self.platforms.push(ports::free());
            for number in 0..self.plan.daemons {
                let vm = name(&format!(
                    "entry-{}{number}",
                    char::from(b'a' + centre as u8)
                ));
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
                let letter = char::from(b'a' + centre as u8);
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

    /// start_links starts a proxy for each ordered pair of data centres.
    fn start_links(&mut self) -> Result<()> {
        for from in 0..self.plan.data_centres {
            for to in (0..self.plan.data_centres).filter(|to| *to != from) {
                let control = ports::free();
                let mut forwards = Vec::new();
                for daemon in self
                    .daemons
                    .iter()
                    .filter(|d| d.data_centre == data_centre(to))
                {
                    let listen = ports::free();
                    self.routes.insert((from, daemon.vm), listen);
                    forwards.push((listen, daemon.peers));
                }
                self.links.insert((from, to), control);
                let log = self.folder.join(format!("link-{from}-{to}.log"));
                self.others.push(proxy(control, &forwards, &log)?);
            }
        }
        Ok(())
    }

    fn start_platform(&mut self) -> Result<()> {
        let mut args = vec!["platform".to_owned()];
        for (centre, listen) in self.platforms.iter().enumerate() {
            let file = self.folder.join(format!("roster-{centre}.json"));
            fs::write(&file, serde_json::to_vec(&self.view(centre))?)?;
            args.extend(["--listen".to_owned(), listen.to_string()]);
            args.extend(["--roster".to_owned(), file.display().to_string()]);
        }
        let log = self.folder.join("platform.log");
        self.others
            .push(Process::start("stackpier-standin", &args, &log)?);
        let address = self.platforms[0];
        wait::until("the platform answers", || get(address, "/stats").is_ok())
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

    fn start_workers(&mut self) -> Result<()> {
        for place in 0..self.workers.len() {
            self.start_worker(place)?;
            let worker = &self.workers[place];
            let forwards = [(worker.reached, worker.address)];
            let log = self.folder.join(format!("{}-proxy.log", worker.name));
            let process = proxy(worker.switch, &forwards, &log)?;
            self.others.push(process);
        }
        Ok(())
    }

    /// start_worker starts a worker that does not run.
    pub fn start_worker(&mut self, place: usize) -> Result<()> {
        let worker = &self.workers[place];
        let args = [
            "worker".to_owned(),
            "--listen".to_owned(),
            worker.address.to_string(),
            "--name".to_owned(),
            worker.name.to_string(),
            "--slots".to_owned(),
            self.plan.slots.to_string(),
            "--connections".to_owned(),
            self.plan.connections.to_string(),
            "--work-ms".to_owned(),
            self.plan.work_ms.to_string(),
        ];
        let log = self.folder.join(format!("{}.log", worker.name));
        let process = Process::start("stackpier-standin", &args, &log)?;
        self.workers[place].process = Some(process);
        Ok(())
    }

    fn write_settings(&self, place: usize) -> Result<()> {
        let daemon = &self.daemons[place];
        let seeds = self
            .daemons
            .iter()
            .filter(|other| other.data_centre == daemon.data_centre && other.vm != daemon.vm);
        let seeds: Vec<String> = seeds.map(|other| other.peers.to_string()).collect();
        let settings = json!({
            "vm": daemon.vm,
            "data_centre": daemon.data_centre,
            "callers": daemon.callers,
            "operators": daemon.operators,
            "peers": daemon.peers,
            "platform": self.platform_of(place),
            "seeds": seeds,
            "times": self.plan.times,
        });
        Ok(fs::write(
            &daemon.settings,
            serde_json::to_vec_pretty(&settings)?,
        )?)
    }

    /// platform_of returns the port of the proxy between a daemon and the
    /// platform. It is kept beside the settings, so that a restart finds it.
    fn platform_of(&self, place: usize) -> SocketAddr {
        let daemon = &self.daemons[place];
        let key = (usize::MAX, daemon.vm);
        self.routes
            .get(&key)
            .copied()
            .unwrap_or(self.platforms[self.centre(place)])
    }

    fn centre(&self, place: usize) -> usize {
        place / self.plan.daemons
    }

    fn start_platform_proxy(&mut self, place: usize) -> Result<()> {
        let listen = ports::free();
        let vm = self.daemons[place].vm;
        self.routes.insert((usize::MAX, vm), listen);
        self.write_settings(place)?;
        let to = self.platforms[self.centre(place)];
        let log = self.folder.join(format!("{vm}-platform.log"));
        let control = self.daemons[place].platform_switch;
        self.others.push(proxy(control, &[(listen, to)], &log)?);
        Ok(())
    }

    /// start_daemon starts a daemon that does not run.
    pub fn start_daemon(&mut self, place: usize) -> Result<()> {
        let daemon = &mut self.daemons[place];
        let log = self.folder.join(format!("{}.log", daemon.vm));
        let settings = daemon.settings.display().to_string();
        let process = Process::start("stackpierd", &["--settings".to_owned(), settings], &log)?;
        daemon.process = Some(process);
        Ok(())
    }

    /// await_ready waits until a daemon says that it is ready.
    pub fn await_ready(&self, place: usize) -> Result<()> {
        let address = self.daemons[place].operators;
        wait::until("the daemon is ready", || get(address, "/readyz").is_ok())
    }

    /// kill_daemon ends a daemon at once.
    pub fn kill_daemon(&mut self, place: usize) -> Result<()> {
        let process = self.daemons[place].process.take();
        process.context("the daemon runs")?.kill()
    }

    /// kill_worker ends a worker at once.
    pub fn kill_worker(&mut self, place: usize) -> Result<()> {
        let process = self.workers[place].process.take();
        process.context("the worker runs")?.kill()
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

    /// faults switches faults of the platform.
    pub fn faults(&self, faults: Faults) -> Result<()> {
        post(self.platforms[0], "/faults", &serde_json::to_vec(&faults)?)
    }

    /// stats returns the counts of calls to the platform.
    pub fn stats(&self) -> Result<Stats> {
        Ok(serde_json::from_slice(&get(self.platforms[0], "/stats")?)?)
    }

    /// switch sets the mode of a proxy.
    pub fn switch(&self, control: SocketAddr, mode: Mode) -> Result<()> {
        post(control, "/", &serde_json::to_vec(&mode)?)
    }

    /// link sets the mode of both proxies between two data centres.
    pub fn link(&self, one: usize, other: usize, mode: Mode) -> Result<()> {
        for pair in [(one, other), (other, one)] {
            self.switch(self.links[&pair], mode)?;
        }
        Ok(())
    }

    /// await_answers waits until each daemon answers a keyed request to a
    /// service.
    pub fn await_answers(&self, service: &str) -> Result<()> {
        for daemon in &self.daemons {
            wait::until("the daemon answers", || {
                let once = Call::once(daemon.callers, service, "ready");
                once.send() == Answer::Done("ready".to_owned())
            })?;
        }
        Ok(())
    }

    /// log returns what a worker has run.
    pub fn log(&self, place: usize) -> Result<Log> {
        let bytes = get(self.workers[place].address, "/log")?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// knobs changes how a worker behaves.
    pub fn knobs(&self, place: usize, knobs: Knobs) -> Result<()> {
        post(
            self.workers[place].address,
            "/knobs",
            &serde_json::to_vec(&knobs)?,
        )
    }

    /// executions counts how often a key was run, at all workers that run.
    pub fn executions(&self, key: &str) -> Result<usize> {
        let mut count = 0;
        for place in 0..self.workers.len() {
            if self.workers[place].process.is_some() {
                let log = self.log(place)?;
                let same = |run: &&stackpier_standin::worker_http::Execution| {
                    run.key.as_deref() == Some(key)
                };
                count += log.executions.iter().filter(same).count();
            }
        }
        Ok(count)
    }

    /// submit submits an intent by the command-line tool through one daemon.
    pub fn submit(&self, place: usize, intent: &Value) -> Result<()> {
        let label = intent.as_object().and_then(|fields| fields.values().next());
        let label = label
            .and_then(|fields| fields["name"].as_str())
            .unwrap_or("intent");
        let file = self.folder.join(format!("{label}.json"));
        fs::write(&file, serde_json::to_vec_pretty(intent)?)?;
        let file = file.display().to_string();
        let (code, output) = self.tool(place, &["submit", &file])?;
        ensure!(code == 0, "submit failed: {output}");
        Ok(())
    }

    /// tool runs the command-line tool against one daemon and returns its exit
    /// code and what it printed.
    pub fn tool(&self, place: usize, words: &[&str]) -> Result<(i32, String)> {
        let server = self.daemons[place].operators.to_string();
        let output = Command::new(binary("stackpier")?)
            .args(["--server", &server])
            .args(words)
            .output()?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// await_running waits until a daemon shows this many tasks of an intent
    /// running.
    pub fn await_running(&self, place: usize, intent: &str, count: usize) -> Result<()> {
        let what = format!("{count} tasks of '{intent}' run");
        wait::until(&what, || {
            let shown = self.tool(place, &["--json", "status", intent]);
            let Ok((0, text)) = shown else { return false };
            text.matches("\"running\": true").count() == count
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// service builds a service intent with replicas in the first data centres.
pub fn service(label: &str, replicas: &[u32]) -> Value {
    let replicas: BTreeMap<Name, u32> = replicas
        .iter()
        .enumerate()
        .map(|(centre, count)| (data_centre(centre), *count))
        .collect();
    json!({"service": {
        "name": label,
        "team": "team-a",
        "replicas": replicas,
        "size": {"milli_cores": 2_000, "memory_mib": 1_024},
        "priority": 100,
        "latency_target_ms": 50,
    }})
}

/// batch builds a batch intent in the first data centre.
pub fn batch(label: &str, tasks: u32, milli_cores: u32, run_time_ms: u64) -> Value {
    json!({"batch": {
        "name": label,
        "team": "team-a",
        "data_centre": data_centre(0),
        "tasks": tasks,
        "size": {"milli_cores": milli_cores, "memory_mib": 512},
        "deadline_unix_ms": 4_000_000_000_000_u64,
        "checkpointable": true,
        "run_time_ms": run_time_ms,
    }})
}

fn proxy(
    control: SocketAddr,
    forwards: &[(SocketAddr, SocketAddr)],
    log: &Path,
) -> Result<Process> {
    let mut args = vec![
        "proxy".to_owned(),
        "--control".to_owned(),
        control.to_string(),
    ];
    for (listen, to) in forwards {
        args.extend(["--listen".to_owned(), listen.to_string()]);
        args.extend(["--to".to_owned(), to.to_string()]);
    }
    let process = Process::start("stackpier-standin", &args, log)?;
    let pass = serde_json::to_vec(&Mode::Pass)?;
    wait::until("the proxy answers", || post(control, "/", &pass).is_ok())?;
    Ok(process)
}

/// get reads a path of a stand-in or an operators' port.
pub fn get(address: SocketAddr, path: &str) -> Result<Vec<u8>> {
    let response = minreq::get(format!("http://{address}{path}"))
        .with_timeout(5)
        .send()?;
    ensure!(
        response.status_code == 200,
        "status {}",
        response.status_code
    );
    Ok(response.into_bytes())
}

fn post(address: SocketAddr, path: &str, body: &[u8]) -> Result<()> {
    let url = format!("http://{address}{path}");
    let response = minreq::post(url).with_timeout(5).with_body(body).send()?;
    ensure!(
        response.status_code == 200,
        "status {}",
        response.status_code
    );
    Ok(())
}
