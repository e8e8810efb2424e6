// SPDX-License-Identifier: Apache-2.0
//! `stackpier-load routing | placement | capacity --seed S`: seeded
//! experiments with the decisions, as tables and JSON.

mod capacity;
mod label;
mod placement;
mod routing;
mod table;

use anyhow::{Result, bail};
use lexopt::{Arg, Parser, ValueExt};

/// HELP is the text of `--help`.
const HELP: &str = "\
Usage: stackpier-load COMMAND [--seed N] [--json]

Commands:
  capacity   bytes and processor time of decisions at several sizes
  placement  compare placement policies over two seasons
  routing    compare routing policies over scenarios and loads
";

/// DEFAULT_SEED is used when none is given.
const DEFAULT_SEED: u64 = 1;

fn main() -> Result<()> {
    let mut parser = Parser::from_env();
    let mut command = String::new();
    let mut seed = DEFAULT_SEED;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) if command.is_empty() => command = value.string()?,
            Arg::Long("seed") => seed = parser.value()?.parse()?,
            Arg::Long("json") => json = true,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    match command.as_str() {
        "capacity" => capacity::run(json),
        "placement" => placement::run(seed, json),
        "routing" => routing::run(seed, json),
        _ => bail!("no such command\n{HELP}"),
    }
}
