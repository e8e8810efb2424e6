// SPDX-License-Identifier: Apache-2.0
//! The list of what is known to fail: tests, which are skipped, and cases outside the suite.

use xtask::known_failures::{Kind, describe, parse, read, skip_arguments};

const LIST: &str = "\
a_test: fails on a busy machine, issue 1

a_test::case_2: earns too little, issue 2
folder/2: bench run day.toml, jobs wait, issue 3
folder/3: bash folder/3/run.sh, jobs wait, issue 3
";

/// Guards against cases outside the suite that are passed to the test run or count as tests.
#[test]
fn only_tests_are_skipped_and_counted() {
    let with_third_test = format!("{LIST}another_test: issue 4\n");
    let entries = parse(&with_third_test).expect("three tests are allowed");
    let kinds: Vec<Kind> = entries.iter().map(|entry| entry.kind).collect();
    assert_eq!(
        kinds,
        [Kind::Test, Kind::Test, Kind::Case, Kind::Case, Kind::Test]
    );
    let skipped = [
        "--skip",
        "a_test",
        "--skip",
        "a_test::case_2",
        "--skip",
        "another_test",
    ];
    assert_eq!(skip_arguments(&entries), skipped);
    let with_fourth_test = format!("{with_third_test}a_fourth_test: issue 5\n");
    assert!(parse(&with_fourth_test).is_err(), "a fourth test is listed");
}

/// Guards against known failures that a test run does not name.
#[test]
fn every_entry_is_described() {
    let lines = LIST.lines().filter(|line| !line.is_empty());
    let entries = parse(LIST).expect("the list is valid");
    assert_eq!(entries.len(), 4);
    for (entry, line) in entries.iter().zip(lines) {
        assert!(describe(entry).ends_with(line));
    }
}

/// Guards against entries that say nothing about the failure.
#[test]
fn an_entry_needs_a_cause() {
    assert!(parse("a_test").is_err());
}

/// Guards against a list of the repository that no test run can use.
#[test]
fn the_list_of_the_repository_is_valid() {
    read().expect("the list is valid");
}
