// SPDX-License-Identifier: Apache-2.0
//! Tests of telling an outage of the store from a store that one daemon does not reach.

use rstest::rstest;
use stackpier_scheduler::{
    outage::is_outage,
    votes::Answered::{self, No, Nothing, Yes},
};

/// Guards against an owner that takes its own congested link for an outage of the store, and starts
/// tasks of jobs that were cancelled meanwhile.
#[rstest]
#[case::alone(&[], true)]
#[case::nobody_reaches_it(&[No, No], true)]
#[case::a_data_centre_is_cut_off(&[No, Nothing], true)]
#[case::a_peer_reaches_it(&[No, Yes, Nothing], false)]
#[case::no_peer_answers(&[Nothing, Nothing], false)]
fn an_outage_is_one_that_peers_see(#[case] answers: &[Answered], #[case] expected: bool) {
    assert_eq!(is_outage(answers), expected);
}
