// SPDX-License-Identifier: Apache-2.0
//! Controls a running deployment: injects faults, reads logs, and runs the
//! command-line tool.

use std::{fs, net::SocketAddr, process::Command};

use anyhow::{Result, ensure};
use serde_json::Value;
use stackpier_standin::{
    platform::{Faults, Stats},
    proxy::Mode,
    worker_http::{Execution, Knobs, Log},
};

use super::Cluster;
use crate::{
    caller::{Answer, Call},
    process::binary,
    wait,
};

impl Cluster {
    /// set_faults sets the faults of the platform.
    pub fn set_faults(&self, faults: Faults) -> Result<()> {
        post(self.platforms[0], "/faults", &serde_json::to_vec(&faults)?)
    }

    /// stats returns the platform's counts of calls.
    pub fn stats(&self) -> Result<Stats> {
        Ok(serde_json::from_slice(&get(self.platforms[0], "/stats")?)?)
    }

    /// set_proxy_mode sets the mode of the proxy with this control port.
    pub fn set_proxy_mode(&self, control: SocketAddr, mode: Mode) -> Result<()> {
        post(control, "/", &serde_json::to_vec(&mode)?)
    }

    /// set_link_mode sets the mode of both proxies between two data centres.
    pub fn set_link_mode(&self, one: usize, other: usize, mode: Mode) -> Result<()> {
        for pair in [(one, other), (other, one)] {
            self.set_proxy_mode(self.links[&pair], mode)?;
        }
        Ok(())
    }

    /// await_answers waits until each daemon answers a keyed request to a
    /// service.
    pub fn await_answers(&self, service: &str) -> Result<()> {
        for daemon in &self.daemons {
            wait::until("the daemon answers", || {
                let once = Call::keyed(daemon.callers, service, "ready");
                once.send() == Answer::Done("ready".to_owned())
            })?;
        }
        Ok(())
    }

    /// log returns the log of a worker.
    pub fn log(&self, index: usize) -> Result<Log> {
        let bytes = get(self.workers[index].address, "/log")?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// set_knobs changes the behaviour of a worker.
    pub fn set_knobs(&self, index: usize, knobs: Knobs) -> Result<()> {
        post(
            self.workers[index].address,
            "/knobs",
            &serde_json::to_vec(&knobs)?,
        )
    }

    /// executions returns how often the running workers have executed requests with
    /// this key.
    pub fn executions(&self, key: &str) -> Result<usize> {
        let mut count = 0;
        for index in 0..self.workers.len() {
            if self.workers[index].process.is_some() {
                let log = self.log(index)?;
                let same = |run: &&Execution| run.key.as_deref() == Some(key);
                count += log.executions.iter().filter(same).count();
            }
        }
        Ok(count)
    }

    /// submit submits an intent through one daemon with the command-line tool.
    pub fn submit(&self, index: usize, intent: &Value) -> Result<()> {
        let label = intent.as_object().and_then(|fields| fields.values().next());
        let label = label
            .and_then(|fields| fields["name"].as_str())
            .unwrap_or("intent");
        let file = self.folder.join(format!("{label}.json"));
        fs::write(&file, serde_json::to_vec_pretty(intent)?)?;
        let file = file.display().to_string();
        let (code, output) = self.run_tool(index, &["submit", &file])?;
        ensure!(code == 0, "submit failed: {output}");
        Ok(())
    }

    /// run_tool runs the command-line tool against one daemon and returns its exit
    /// code and its output.
    pub fn run_tool(&self, index: usize, args: &[&str]) -> Result<(i32, String)> {
        let server = self.daemons[index].operators.to_string();
        let output = Command::new(binary("stackpier")?)
            .args(["--server", &server])
            .args(args)
            .output()?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// await_running waits until a daemon reports that exactly this many tasks of an
    /// intent run.
    pub fn await_running(&self, index: usize, intent: &str, count: usize) -> Result<()> {
        let what = format!("{count} tasks of '{intent}' run");
        wait::until(&what, || {
            let shown = self.run_tool(index, &["--json", "status", intent]);
            let Ok((0, text)) = shown else { return false };
            text.matches("\"running\": true").count() == count
        })
    }
}

/// get sends a GET request to a stand-in or an operators' port.
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

/// post sends a POST request to a stand-in.
pub(super) fn post(address: SocketAddr, path: &str, body: &[u8]) -> Result<()> {
    let url = format!("http://{address}{path}");
    let response = minreq::post(url).with_timeout(5).with_body(body).send()?;
    ensure!(
        response.status_code == 200,
        "status {}",
        response.status_code
    );
    Ok(())
}
