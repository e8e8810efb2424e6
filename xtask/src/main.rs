// SPDX-License-Identifier: Apache-2.0
//! `cargo xtask demo | test | fuzz | measure`: the demo, the tests, the fuzz and
//! the experiments.

mod demo;
mod measure;
mod red;

use std::process::Command;

use anyhow::{Result, bail, ensure};

/// HELP is the list of commands.
const HELP: &str = "\
Usage:
  cargo xtask demo    run the whole path on loopback and say what was seen
  cargo xtask test    run all tests but those that KNOWN-RED.txt names
  cargo xtask fuzz --cases N --seed S
                      run the stateful fuzz with many cases
  cargo xtask measure routing [--seed S]
  cargo xtask measure cell | steps [--seed S]
  cargo xtask measure capacity
                      run an experiment and print its tables
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
            red::test()
        }
        ["measure", "capacity"] => {
            cargo(&["build", "--workspace", "--release"])?;
            load(&["capacity"])?;
            cargo(&[
                "run",
                "--quiet",
                "--release",
                "--package",
                "xtask",
                "--",
                "measure-daemons",
            ])
        }
        ["measure-daemons"] => measure::run(),
        ["measure", experiment @ ("routing" | "cell" | "steps")] => load(&[*experiment]),
        [
            "measure",
            experiment @ ("routing" | "cell" | "steps"),
            "--seed",
            seed,
        ] => load(&[*experiment, "--seed", *seed]),
        ["fuzz", "--cases", cases, "--seed", seed] => fuzz(cases, seed),
        _ => bail!("no such command\n{HELP}"),
    }
}

/// load runs the experiment tool.
fn load(words: &[&str]) -> Result<()> {
    let mut all = vec![
        "run",
        "--quiet",
        "--release",
        "--package",
        "stackpier-load",
        "--",
    ];
    all.extend(words);
    cargo(&all)
}

/// fuzz runs all stateful fuzz tests with many cases, and prints what they
/// reached.
fn fuzz(cases: &str, seed: &str) -> Result<()> {
    let status = Command::new(env!("CARGO"))
        .args([
            "test",
            "--release",
            "--package",
            "stackpier-fuzz",
            "--",
            "--nocapture",
        ])
        .env("PROPTEST_CASES", cases)
        .env("PROPTEST_RNG_SEED", seed)
        .status()?;
    ensure!(status.success(), "the fuzz failed");
    Ok(())
}

fn cargo(words: &[&str]) -> Result<()> {
    let status = Command::new(env!("CARGO")).args(words).status()?;
    ensure!(status.success(), "cargo {} failed", words.join(" "));
    Ok(())
}
