// SPDX-License-Identifier: Apache-2.0
//! Checks that `docs/ERRORS.md` has the same table of error kinds as the code.

use stackpier_core::error::{ANSWERS, Ran};

const PAGE: &str = include_str!("../../../docs/ERRORS.md");

#[test]
fn every_kind_has_its_own_row() {
    for answer in ANSWERS {
        assert_eq!(answer.kind.answer(), answer);
    }
}

#[test]
fn page_has_the_same_table() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let wanted: Vec<String> = ANSWERS
        .iter()
        .map(|answer| {
            let ran = match answer.ran {
                Ran::No => "no",
                Ran::Unknown => "unknown",
            };
            let after = answer
                .retry_after_s
                .map_or("–".to_owned(), |s| format!("{s} s"));
            let (kind, status, exit) = (answer.kind, answer.status, answer.exit);
            format!("| `{kind}` | {status} | {exit} | {ran} | {after} |")
        })
        .collect();
    assert_eq!(rows.len(), wanted.len(), "rows on the page");
    for (row, wanted) in rows.iter().zip(&wanted) {
        assert!(
            row.starts_with(wanted.as_str()),
            "page: {row}\ntable: {wanted}"
        );
    }
}
