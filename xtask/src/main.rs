// SPDX-License-Identifier: Apache-2.0
//! `cargo xtask demo | test | fuzz | measure`: runs the demo, the tests, the fuzz tests and the
//! experiments.

mod demo;
mod measure;

use std::process::Command;

use anyhow::{Result, bail, ensure};
use xtask::known_failures;

/// HELP is the usage text.
const HELP: &str = "\
Usage:
  cargo xtask demo    run a small deployment on loopback and print what happens
  cargo xtask test    run all tests except those listed in KNOWN-RED.txt
  cargo xtask fuzz --cases N --seed S
                      run the stateful fuzz tests with N cases
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
            test()
        }
        ["measure", "capacity"] => {
            cargo(&["build", "--workspace", "--release"])?;
            run_load_tool(&["capacity"])?;
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
        ["measure", experiment @ ("routing" | "cell" | "steps")] => run_load_tool(&[*experiment]),
        [
            "measure",
            experiment @ ("routing" | "cell" | "steps"),
            "--seed",
            seed,
        ] => run_load_tool(&[*experiment, "--seed", *seed]),
        ["fuzz", "--cases", cases, "--seed", seed] => fuzz(cases, seed),
        _ => bail!("unknown command\n{HELP}"),
    }
}

/// test runs all tests except those that are known to fail, and prints all known failures.
fn test() -> Result<()> {
    let entries = known_failures::read()?;
    for entry in &entries {
        println!("{}", known_failures::describe(entry));
    }
    let mut words = vec!["test", "--workspace", "--", "--exact"];
    words.extend(known_failures::skip_arguments(&entries));
    cargo(&words)
}

/// run_load_tool runs `stackpier-load`, the tool for experiments.
fn run_load_tool(words: &[&str]) -> Result<()> {
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

/// fuzz runs all stateful fuzz tests with the given number of cases, and prints their coverage.
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
    ensure!(status.success(), "the fuzz tests failed");
    Ok(())
}

fn cargo(words: &[&str]) -> Result<()> {
    let status = Command::new(env!("CARGO")).args(words).status()?;
    ensure!(status.success(), "cargo {} failed", words.join(" "));
    Ok(())
}
