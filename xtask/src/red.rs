// SPDX-License-Identifier: Apache-2.0
//! Tests that are known to fail: `KNOWN-RED.txt` names them, one line each, as
//! `TEST: cause, issue`. A run of all tests passes over just these and prints
//! them.

use std::{fs, io::ErrorKind};

use anyhow::{Context, Result, ensure};

use crate::cargo;

/// LIST is the file with the tests that are known to fail.
const LIST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
/// MOST is how many tests may be known to fail at a time.
const MOST: usize = 3;

/// test runs all tests but those that are known to fail.
pub fn test() -> Result<()> {
    let known = known()?;
    ensure!(
        known.len() <= MOST,
        "{LIST} lists {} tests, {MOST} are allowed",
        known.len()
    );
    let mut words = vec!["test", "--workspace", "--", "--exact"];
    for line in &known {
        println!("known red, not run: {line}");
        let (name, _) = line
            .split_once(": ")
            .with_context(|| format!("{LIST}: no cause in '{line}'"))?;
        words.extend(["--skip", name]);
    }
    cargo(&words)
}

/// known returns the lines of the list, none if there is no such file.
fn known() -> Result<Vec<String>> {
    match fs::read_to_string(LIST) {
        Ok(text) => {
            let lines = text.lines().filter(|line| !line.trim().is_empty());
            Ok(lines.map(str::to_owned).collect())
        }
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error).context(LIST),
    }
}
