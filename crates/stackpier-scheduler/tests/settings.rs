// SPDX-License-Identifier: Apache-2.0
//! Tests of reading settings. An invalid setting is refused with an error of one line that
//! names it.

use rstest::rstest;
use stackpier_cell::{Mechanism, RATINGS_PER_CORE};
use stackpier_scheduler::Settings;

/// text returns settings with the given values of `cores` and `without`.
fn text(cores: &str, without: &str) -> String {
    format!(
        r#"{{"vm":"a","data_centre":"dc","callers":"127.0.0.1:1","readiness":"127.0.0.1:2",
        "peers":"127.0.0.1:3","metrics":"127.0.0.1:4","store":"127.0.0.1:5",
        "longest_lease_ms":10000,"stop_ms":900,"early_ms":250,"shown_s":120,"grace_s":6,
        "cores":{cores},"without":{without}}}"#
    )
}

#[rstest]
fn mechanisms_are_switched_off_by_name() {
    let settings = Settings::parse(text("1", r#"["pace","votes"]"#).as_bytes()).unwrap();
    let without = settings.cell.without;
    let off = |mechanism: &Mechanism| without.contains(*mechanism);
    let off: Vec<Mechanism> = Mechanism::ALL.into_iter().filter(off).collect();
    assert_eq!(off, [Mechanism::Pace, Mechanism::Votes]);
}

#[rstest]
fn every_mechanism_is_known_by_its_name() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.as_str().parse::<Mechanism>().unwrap(), mechanism);
    }
}

#[rstest]
fn an_unknown_mechanism_is_refused() {
    let error = Settings::parse(text("1", r#"["haste"]"#).as_bytes()).unwrap_err();
    let line = error.to_string();
    assert!(line.contains("without") && line.contains("haste"), "{line}");
    assert!(!line.contains('\n'));
}

#[rstest]
#[case::none("0")]
#[case::too_many("1001")]
fn cores_out_of_bounds_are_refused(#[case] cores: &str) {
    let error = Settings::parse(text(cores, "[]").as_bytes()).unwrap_err();
    assert!(error.to_string().contains("cores"), "{error}");
}

#[rstest]
fn placement_budget_shrinks_with_the_vm() {
    let settings = Settings::parse(text("0.25", "[]").as_bytes()).unwrap();
    assert_eq!(settings.cell.ratings_per_ms, RATINGS_PER_CORE / 4);
}

/// with_cancel_ms returns settings with a time within which a cancellation has to be in force.
fn with_cancel_ms(cancel_ms: &str) -> String {
    let usual = text("1", "[]");
    let (head, _) = usual.rsplit_once('}').expect("an object");
    format!("{head},\"cancel_ms\":{cancel_ms}}}")
}

#[rstest]
#[case::whole("4000", 3_500)]
#[case::fraction("4000.0", 3_500)]
#[case::least("1800", 1_300)]
fn starts_need_knowledge_that_is_younger_than_the_time_of_a_cancellation(
    #[case] cancel_ms: &str,
    #[case] max_age_ms: u64,
) {
    let settings = Settings::parse(with_cancel_ms(cancel_ms).as_bytes()).unwrap();
    assert_eq!(settings.cell.max_jobs_age_ms, max_age_ms);
}

#[rstest]
#[case::too_short("1799")]
#[case::negative("-1")]
fn times_of_a_cancellation_out_of_bounds_are_refused(#[case] cancel_ms: &str) {
    let error = Settings::parse(with_cancel_ms(cancel_ms).as_bytes()).unwrap_err();
    assert!(error.to_string().contains("cancel_ms"), "{error}");
}

/// with_heartbeat returns settings whose workers write their entries every so many milliseconds.
fn with_heartbeat(heartbeat_ms: &str) -> String {
    let usual = text("1", "[]");
    let (head, _) = usual.rsplit_once('}').expect("an object");
    format!(r#"{head},"worker_heartbeat_ms":{heartbeat_ms}}}"#)
}

#[rstest]
fn entries_become_stale_by_the_workers_heartbeat() {
    let usual = Settings::parse(text("1", "[]").as_bytes()).unwrap();
    assert_eq!(usual.cell.stale_entry_ms, 6_000);
    let slow = Settings::parse(with_heartbeat("4000").as_bytes()).unwrap();
    assert_eq!(slow.cell.stale_entry_ms, 16_000);
}

#[rstest]
#[case::none("0")]
#[case::too_long("600001")]
fn a_heartbeat_out_of_bounds_is_refused(#[case] heartbeat_ms: &str) {
    let error = Settings::parse(with_heartbeat(heartbeat_ms).as_bytes()).unwrap_err();
    let line = error.to_string();
    assert!(line.contains("worker_heartbeat_ms"), "{line}");
    assert!(!line.contains('\n'));
}
