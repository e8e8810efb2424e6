// SPDX-License-Identifier: Apache-2.0
//! Starting and ending the processes of a deployment.

use std::{fs, net::SocketAddr, path::Path};

use anyhow::{Context, Result};
use serde_json::json;
use stackpier_standin::proxy::Mode;

use super::{
    Cluster, Daemon,
    control::{get, post},
    data_centre,
};
use crate::{ports, process::Process, wait};

impl Cluster {
    /// start_links starts a proxy for each ordered pair of data centres.
    pub(super) fn start_links(&mut self) -> Result<()> {
        for from in 0..self.plan.data_centres {
            for to in (0..self.plan.data_centres).filter(|to| *to != from) {
                let control = ports::free();
                let mut forwards = Vec::new();
                let there = |daemon: &&Daemon| daemon.data_centre == data_centre(to);
                for daemon in self.daemons.iter().filter(there) {
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

    pub(super) fn start_platform(&mut self) -> Result<()> {
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

    pub(super) fn start_workers(&mut self) -> Result<()> {
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

    pub(super) fn write_settings(&self, place: usize) -> Result<()> {
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

    pub(super) fn start_platform_proxy(&mut self, place: usize) -> Result<()> {
        let listen = ports::free();
        let vm = self.daemons[place].vm;
        self.platform_routes.insert(vm, listen);
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
}

/// proxy starts a proxy that forwards each port to another one.
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
