// SPDX-License-Identifier: Apache-2.0
//! `cargo xtask demo | test`: the two commands of the README.

mod demo;

use std::process::Command;

use anyhow::{Result, bail, ensure};

const HELP: &str = "\
Usage:
  cargo xtask demo    run the whole path on loopback and say what was seen
  cargo xtask test    run all tests
";

fn main() -> Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["demo"] => {
            cargo(&["build", "--workspace"])?;
            demo::run()
        }
        ["test"] => {
            cargo(&["build", "--workspace"])?;
            cargo(&["test", "--workspace"])
        }
        _ => bail!("no such command\n{HELP}"),
    }
}

fn cargo(words: &[&str]) -> Result<()> {
    let status = Command::new(env!("CARGO")).args(words).status()?;
    ensure!(status.success(), "cargo {} failed", words.join(" "));
    Ok(())
}
