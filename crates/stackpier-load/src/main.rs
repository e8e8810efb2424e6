// SPDX-License-Identifier: Apache-2.0
//! `stackpier-load routing | cell | steps | capacity --seed S` runs seeded experiments with
//! stackpier's decisions and prints tables or JSON.

use anyhow::{Result, bail};
use lexopt::{Arg, Parser, ValueExt};
use stackpier_load::{capacity, cell, routing};

/// HELP is the text of `--help`.
const HELP: &str = "\
Usage: stackpier-load COMMAND [--seed N] [--json]

Commands:
  capacity   bytes and processor time of decisions at several sizes
  cell       simulate the heavy scenarios of a cell, each with the pairs learnt and known
  routing    compare routing policies over scenarios and loads
  steps      time the owner's decisions at 500, 2,000 and 16,000 workers
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
        "cell" => cell::scenarios::run(seed, json),
        "routing" => routing::run(seed, json),
        "steps" => cell::timing::run(seed, json),
        _ => bail!("no such command\n{HELP}"),
    }
}
