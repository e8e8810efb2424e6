// SPDX-License-Identifier: Apache-2.0
//! The metrics page of a daemon.

use rstest::rstest;
use stackpier_scheduler::metrics::Metrics;

/// Guards against a page that lacks the gauges until its daemon has owned the cell.
#[rstest]
#[case::running("stackpier_running")]
#[case::waiting("stackpier_waiting")]
#[case::longest_wait("stackpier_longest_wait_milliseconds")]
fn gauges_of_a_daemon_that_never_owned_the_cell_are_zero(#[case] gauge: &str) {
    let text = Metrics::new().unwrap().text().unwrap();
    let text = String::from_utf8(text).unwrap();
    let is_its = |line: &&str| line.starts_with(gauge);
    let line = text.lines().find(is_its).unwrap_or_default();
    assert!(line.ends_with(" 0"), "{line}");
}
