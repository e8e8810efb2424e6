// SPDX-License-Identifier: Apache-2.0
//! `stackpier-standin platform | worker | proxy`: the stand-ins as processes.

use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail};
use lexopt::{Arg, Parser, ValueExt};
use stackpier_core::{Name, key::Boot};
use stackpier_protocol::codec::from_json;
use stackpier_standin::{platform, proxy, worker_http};

/// HELP is the text of `--help`.
const HELP: &str = "\
Usage:
  stackpier-standin platform --listen IP:PORT --roster FILE [--listen ... --roster ...]
  stackpier-standin worker --listen IP:PORT --name NAME [--slots 8] [--connections 64] [--work-ms 2]
  stackpier-standin proxy --control IP:PORT --listen IP:PORT --to IP:PORT [--listen ... --to ...]
";

/// Given is what the command line says.
#[derive(Default)]
struct Given {
    listen: Vec<String>,
    to: Vec<String>,
    roster: Vec<String>,
    control: String,
    name: String,
    slots: Option<usize>,
    connections: Option<usize>,
    work_ms: Option<u64>,
}

fn main() -> Result<()> {
    let mut parser = Parser::from_env();
    let mut command = String::new();
    let mut given = Given::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) if command.is_empty() => command = value.string()?,
            Arg::Long("listen") => given.listen.push(parser.value()?.string()?),
            Arg::Long("to") => given.to.push(parser.value()?.string()?),
            Arg::Long("control") => given.control = parser.value()?.string()?,
            Arg::Long("roster") => given.roster.push(parser.value()?.string()?),
            Arg::Long("name") => given.name = parser.value()?.string()?,
            Arg::Long("slots") => given.slots = Some(parser.value()?.parse()?),
            Arg::Long("connections") => given.connections = Some(parser.value()?.parse()?),
            Arg::Long("work-ms") => given.work_ms = Some(parser.value()?.parse()?),
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_str() {
        "platform" => run_platform(&given),
        "worker" => run_worker(&given),
        "proxy" => run_proxy(&given),
        _ => bail!("no such command\n{HELP}"),
    }
}

fn run_platform(given: &Given) -> Result<()> {
    let pairs = given.listen.iter().zip(&given.roster);
    let views = pairs.map(|(listen, file)| {
        let text = std::fs::read(file).context("reading the roster")?;
        Ok(platform::View {
            listen: listen.clone(),
            roster: from_json(&text)?,
        })
    });
    platform::run(views.collect::<Result<_>>()?)
}

fn run_proxy(given: &Given) -> Result<()> {
    let pairs = given.listen.iter().zip(&given.to);
    let forwards = pairs.map(|(listen, to)| proxy::Forward {
        listen: listen.clone(),
        to: to.clone(),
    });
    proxy::run(forwards.collect(), &given.control)
}

fn run_worker(given: &Given) -> Result<()> {
    let options = worker_http::Options {
        name: Name::try_from(given.name.as_str()).context("--name")?,
        slots: given.slots.unwrap_or(8),
        connections: given.connections.unwrap_or(64),
        work_ms: given.work_ms.unwrap_or(2),
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    worker_http::run(
        given.listen.first().context("--listen")?,
        options,
        Boot(since.as_nanos() as u64),
    )
}
