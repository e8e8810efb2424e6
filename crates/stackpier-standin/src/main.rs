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

/// Args holds the values from the command line.
#[derive(Default)]
struct Args {
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
    let mut args = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) if command.is_empty() => command = value.string()?,
            Arg::Long("listen") => args.listen.push(parser.value()?.string()?),
            Arg::Long("to") => args.to.push(parser.value()?.string()?),
            Arg::Long("control") => args.control = parser.value()?.string()?,
            Arg::Long("roster") => args.roster.push(parser.value()?.string()?),
            Arg::Long("name") => args.name = parser.value()?.string()?,
            Arg::Long("slots") => args.slots = Some(parser.value()?.parse()?),
            Arg::Long("connections") => args.connections = Some(parser.value()?.parse()?),
            Arg::Long("work-ms") => args.work_ms = Some(parser.value()?.parse()?),
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_str() {
        "platform" => run_platform(&args),
        "worker" => run_worker(&args),
        "proxy" => run_proxy(&args),
        _ => bail!("no such command\n{HELP}"),
    }
}

fn run_platform(args: &Args) -> Result<()> {
    let pairs = args.listen.iter().zip(&args.roster);
    let views = pairs.map(|(listen, file)| {
        let text = std::fs::read(file).context("reading the roster")?;
        Ok(platform::View {
            listen: listen.clone(),
            roster: from_json(&text)?,
        })
    });
    platform::run(views.collect::<Result<_>>()?)
}

fn run_proxy(args: &Args) -> Result<()> {
    let pairs = args.listen.iter().zip(&args.to);
    let forwards = pairs.map(|(listen, to)| proxy::Forward {
        listen: listen.clone(),
        to: to.clone(),
    });
    proxy::run(forwards.collect(), &args.control)
}

fn run_worker(args: &Args) -> Result<()> {
    let options = worker_http::Options {
        name: Name::try_from(args.name.as_str()).context("--name")?,
        slots: args.slots.unwrap_or(8),
        connections: args.connections.unwrap_or(64),
        work_ms: args.work_ms.unwrap_or(2),
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?;
    worker_http::run(
        args.listen.first().context("--listen")?,
        options,
        Boot(since.as_nanos() as u64),
    )
}
