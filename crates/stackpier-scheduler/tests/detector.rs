// SPDX-License-Identifier: Apache-2.0
//! How long an owner may be silent. The load is a cell of many jobs on VMs with slow links, where
//! a takeover keeps the link of the new owner busy for seconds.

use rstest::rstest;
use stackpier_core::Millis;
use stackpier_scheduler::detector::Detector;

/// SLOW_KBPS is a link on which the cell takes 2.4 s.
const SLOW_KBPS: u32 = 2_000;
/// FAST_KBPS is a link on which it takes no noticeable time.
const FAST_KBPS: u32 = 1_000_000;
/// CONFIG_BYTES is the size of a small configuration.
const CONFIG_BYTES: u64 = 1_000;
/// BUSY_MS is how long a new owner leaves heartbeats unanswered on the slow link: it reads half a
/// megabyte, then it receives the reports of 147 workers.
const BUSY_MS: u64 = 1_400;

fn detector(takeovers: &[u64]) -> Detector {
    let mut detector = Detector::default();
    for at in takeovers {
        detector.record_takeover(Millis(*at));
    }
    detector
}

#[test]
fn a_settled_owner_is_replaced_after_three_heartbeats() {
    let limit_ms = detector(&[1_000]).limit_ms(Millis(60_000), SLOW_KBPS, CONFIG_BYTES, true);
    assert!((900..1_000).contains(&limit_ms), "{limit_ms} ms");
}

#[rstest]
#[case::that_has_not_answered(false, 300)]
#[case::that_has_answered_once(true, 300)]
#[case::that_collects_reports(true, 4_000)]
fn a_new_owner_on_a_slow_link_is_not_replaced_while_it_is_busy(
    #[case] has_answered: bool,
    #[case] age_ms: u64,
) {
    let began = 100_000;
    let now = Millis(began + age_ms);
    let limit_ms = detector(&[began]).limit_ms(now, SLOW_KBPS, CONFIG_BYTES, has_answered);
    assert!(limit_ms > BUSY_MS, "{limit_ms} ms");
}

#[test]
fn an_owner_after_a_row_of_takeovers_gets_more_time() {
    let now = Millis(30_000);
    let first = detector(&[29_000]).limit_ms(now, SLOW_KBPS, CONFIG_BYTES, true);
    let third = detector(&[22_000, 26_000, 29_000]).limit_ms(now, SLOW_KBPS, CONFIG_BYTES, true);
    assert!(third > first + BUSY_MS, "{first} ms, then {third} ms");
}

#[test]
fn rows_of_takeovers_do_not_delay_the_next_one_without_end() {
    let takeovers: Vec<u64> = (10..30).map(|second| second * 1_000).collect();
    let limit_ms = detector(&takeovers).limit_ms(Millis(30_000), SLOW_KBPS, CONFIG_BYTES, true);
    assert!(limit_ms < 6_000, "{limit_ms} ms");
}

#[test]
fn takeovers_cost_no_time_on_fast_links() {
    let takeovers = [20_000, 23_000, 26_000, 29_000];
    let limit_ms = detector(&takeovers).limit_ms(Millis(29_500), FAST_KBPS, CONFIG_BYTES, true);
    assert!(limit_ms < 950, "{limit_ms} ms");
}
