// SPDX-License-Identifier: Apache-2.0
//! Tests of the metrics page.

use rstest::rstest;
use stackpier_scheduler::metrics::Metrics;

/// Guards against a metrics page without the gauges: a gauge appears once it has a value, and
/// only owners set these.
#[rstest]
#[case::running("stackpier_running")]
#[case::waiting("stackpier_waiting")]
#[case::longest_wait("stackpier_longest_wait_milliseconds")]
fn gauges_of_a_daemon_that_never_owned_the_cell_are_zero(#[case] gauge: &str) {
    let text = Metrics::new().unwrap().text().unwrap();
    let text = String::from_utf8(text).unwrap();
    let is_of_gauge = |line: &&str| line.starts_with(gauge);
    let line = text.lines().find(is_of_gauge).unwrap_or_default();
    assert!(line.ends_with(" 0"), "{line}");
}
