// SPDX-License-Identifier: Apache-2.0
//! What tests ask of a running deployment: faults, logs, and the command-line
//! tool.

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
                let same = |run: &&Execution| run.key.as_deref() == Some(key);
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

/// post sends a body to a path of a stand-in.
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
