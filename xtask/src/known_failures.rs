// SPDX-License-Identifier: Apache-2.0
//! What is known to fail: `KNOWN-RED.txt` lists it, one line each, as `NAME: cause, issue`.
//!
//! A run of all tests skips the tests of the list and prints every line. The list also names cases
//! outside the test suite, by their folders, which no test run has to skip.

use std::{fs, io::ErrorKind};

use anyhow::{Context, Error, Result, ensure};

/// LIST is the file with what is known to fail.
const LIST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
/// MAX_TESTS is the maximum number of tests in the list.
const MAX_TESTS: usize = 3;
/// FOLDER_SEPARATOR is in the name of each case, and in the name of no test.
const FOLDER_SEPARATOR: char = '/';

/// Kind is what an entry of the list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A test of the workspace.
    Test,
    /// A case outside the test suite, by its folder.
    Case,
}

/// Entry is one line of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What the entry names.
    pub kind: Kind,
    /// The name of the test, or the folder of the case.
    pub name: String,
    /// The whole line.
    pub line: String,
}

impl TryFrom<&str> for Entry {
    type Error = Error;

    fn try_from(line: &str) -> Result<Entry> {
        let (name, _) = line
            .split_once(": ")
            .with_context(|| format!("no cause in '{line}'"))?;
        let kind = match name.contains(FOLDER_SEPARATOR) {
            true => Kind::Case,
            false => Kind::Test,
        };
        Ok(Entry {
            kind,
            name: name.to_owned(),
            line: line.to_owned(),
        })
    }
}

/// parse parses the text of a list, and fails if it has too many tests.
pub fn parse(text: &str) -> Result<Vec<Entry>> {
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    let entries: Vec<Entry> = lines.map(Entry::try_from).collect::<Result<_>>()?;
    let tests = tests(&entries).count();
    ensure!(
        tests <= MAX_TESTS,
        "{tests} tests are listed, {MAX_TESTS} are allowed"
    );
    Ok(entries)
}

/// read reads the list, which is empty if the file does not exist.
pub fn read() -> Result<Vec<Entry>> {
    match fs::read_to_string(LIST) {
        Ok(text) => parse(&text).context(LIST),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(error) => Err(error).context(LIST),
    }
}

/// skip_arguments returns the arguments that make a test run skip the tests of a list.
pub fn skip_arguments(entries: &[Entry]) -> Vec<&str> {
    let skips = tests(entries).map(|entry| ["--skip", entry.name.as_str()]);
    skips.flatten().collect()
}

/// describe returns the line that a test run prints for an entry.
pub fn describe(entry: &Entry) -> String {
    let what = match entry.kind {
        Kind::Test => "skipped",
        Kind::Case => "not part of the test suite",
    };
    format!("known failure, {what}: {}", entry.line)
}

fn tests(entries: &[Entry]) -> impl Iterator<Item = &Entry> {
    entries.iter().filter(|entry| entry.kind == Kind::Test)
}
