// SPDX-License-Identifier: Apache-2.0
//! Starts and kills the processes of a deployment.

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
    /// start_links starts a proxy for each ordered pair of data centres, with a port
    /// for each daemon of the second one.
    pub(super) fn start_links(&mut self) -> Result<()> {
        for from in 0..self.plan.data_centres {
            for to in (0..self.plan.data_centres).filter(|to| *to != from) {
                let control = ports::free();
                let mut forwards = Vec::new();
                let is_in_target = |daemon: &&Daemon| daemon.data_centre == data_centre(to);
                for daemon in self.daemons.iter().filter(is_in_target) {
                    let listen = ports::free();
                    self.routes.insert((from, daemon.vm), listen);
                    forwards.push((listen, daemon.peers));
                }
                self.links.insert((from, to), control);
                let log = self.folder.join(format!("link-{from}-{to}.log"));
                self.stand_ins.push(start_proxy(control, &forwards, &log)?);
            }
        }
        Ok(())
    }

    pub(super) fn start_platform(&mut self) -> Result<()> {
        let mut args = vec!["platform".to_owned()];
        for (centre, listen) in self.platforms.iter().enumerate() {
            let file = self.folder.join(format!("roster-{centre}.json"));
            fs::write(&file, serde_json::to_vec(&self.roster_seen_from(centre))?)?;
            args.extend(["--listen".to_owned(), listen.to_string()]);
            args.extend(["--roster".to_owned(), file.display().to_string()]);
        }
        let log = self.folder.join("platform.log");
        self.stand_ins
            .push(Process::start("stackpier-standin", &args, &log)?);
        let address = self.platforms[0];
        wait::until("the platform answers", || get(address, "/stats").is_ok())
    }

    pub(super) fn start_workers(&mut self) -> Result<()> {
        for index in 0..self.workers.len() {
            self.start_worker(index)?;
            let worker = &self.workers[index];
            let forwards = [(worker.proxied_address, worker.address)];
            let log = self.folder.join(format!("{}-proxy.log", worker.name));
            let process = start_proxy(worker.proxy_control, &forwards, &log)?;
            self.stand_ins.push(process);
        }
        Ok(())
    }

    /// start_worker starts a worker that is not running.
    pub fn start_worker(&mut self, index: usize) -> Result<()> {
        let worker = &self.workers[index];
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
        self.workers[index].process = Some(process);
        Ok(())
    }

    pub(super) fn write_settings(&self, index: usize) -> Result<()> {
        let daemon = &self.daemons[index];
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
            "platform": self.platform_address(index),
            "seeds": seeds,
            "times": self.plan.times,
        });
        Ok(fs::write(
            &daemon.settings,
            serde_json::to_vec_pretty(&settings)?,
        )?)
    }

    pub(super) fn start_platform_proxy(&mut self, index: usize) -> Result<()> {
        let listen = ports::free();
        let vm = self.daemons[index].vm;
        self.platform_routes.insert(vm, listen);
        self.write_settings(index)?;
        let to = self.platforms[self.centre_of(index)];
        let log = self.folder.join(format!("{vm}-platform.log"));
        let control = self.daemons[index].platform_proxy_control;
        self.stand_ins
            .push(start_proxy(control, &[(listen, to)], &log)?);
        Ok(())
    }

    /// start_daemon starts a daemon that is not running.
    pub fn start_daemon(&mut self, index: usize) -> Result<()> {
        let daemon = &mut self.daemons[index];
        let log = self.folder.join(format!("{}.log", daemon.vm));
        let settings = daemon.settings.display().to_string();
        let process = Process::start("stackpierd", &["--settings".to_owned(), settings], &log)?;
        daemon.process = Some(process);
        Ok(())
    }

    /// await_ready waits until a daemon reports that it is ready.
    pub fn await_ready(&self, index: usize) -> Result<()> {
        let address = self.daemons[index].operators;
        wait::until("the daemon is ready", || get(address, "/readyz").is_ok())
    }

    /// kill_daemon kills a daemon.
    pub fn kill_daemon(&mut self, index: usize) -> Result<()> {
        let process = self.daemons[index].process.take();
        process.context("the daemon is not running")?.kill()
    }

    /// kill_worker kills a worker.
    pub fn kill_worker(&mut self, index: usize) -> Result<()> {
        let process = self.workers[index].process.take();
        process.context("the worker is not running")?.kill()
    }
}

/// start_proxy starts a proxy that forwards each of its ports to another one.
fn start_proxy(
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
