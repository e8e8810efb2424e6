// SPDX-License-Identifier: Apache-2.0
//! Tests that are known to fail: `KNOWN-RED.txt` lists them, one line each, as
//! `TEST: cause, issue`. A run of all tests skips exactly these and prints them.

use std::{fs, io::ErrorKind};

use anyhow::{Context, Result, ensure};

use crate::cargo;

/// LIST is the file with the tests that are known to fail.
const LIST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
/// MAX_KNOWN is the maximum number of tests in the list.
const MAX_KNOWN: usize = 3;

/// test runs all tests except those that are known to fail.
pub fn test() -> Result<()> {
    let known = read_known_failures()?;
    ensure!(
        known.len() <= MAX_KNOWN,
        "{LIST} lists {} tests, {MAX_KNOWN} are allowed",
        known.len()
    );
    let mut words = vec!["test", "--workspace", "--", "--exact"];
    for line in &known {
        println!("known failure, skipped: {line}");
        let (name, _) = line
            .split_once(": ")
            .with_context(|| format!("{LIST}: no cause in '{line}'"))?;
        words.extend(["--skip", name]);
    }
    cargo(&words)
}

/// read_known_failures returns the non-empty lines of the list, or none if the file does not exist.
fn read_known_failures() -> Result<Vec<String>> {
    match fs::read_to_string(LIST) {
        Ok(text) => {
            let lines = text.lines().filter(|line| !line.trim().is_empty());
            Ok(lines.map(str::to_owned).collect())
        }
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error).context(LIST),
    }
}
