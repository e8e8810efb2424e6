// SPDX-License-Identifier: Apache-2.0
//! Stateful fuzz of requests that run at most once. It also checks that a
//! request whose caller received "not run" did not run. The faults: repeats
//! through other daemons and data centres, holders that restart or freeze, maps
//! that change, messages that are lost or late, clocks that differ.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rstest::rstest;
use stackpier_fuzz::{
    counts,
    once::{Mutation, Simulation, Step},
};

/// CASES is the number of cases, unless PROPTEST_CASES sets another one.
const CASES: u32 = 600;

/// step generates one transition.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<u8>().prop_map(Step::First),
        1 => any::<u8>().prop_map(Step::FirstLate),
        2 => any::<u8>().prop_map(Step::Arrive),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(n, daemon)| Step::Again(n, daemon)),
        24 => any::<u8>().prop_map(Step::Serve),
        1 => any::<u8>().prop_map(Step::LoseAnswer),
        1 => any::<u8>().prop_map(Step::Lose),
        2 => any::<u8>().prop_map(Step::Detach),
        2 => any::<u8>().prop_map(Step::Late),
        4 => any::<u8>().prop_map(Step::Run),
        1 => any::<u8>().prop_map(Step::RunBroken),
        2 => any::<u8>().prop_map(Step::Refuse),
        2 => any::<u8>().prop_map(Step::RunLater),
        2 => any::<u8>().prop_map(Step::RunNow),
        8 => any::<u8>().prop_map(Step::Learn),
        2 => (any::<u8>(), 1..8_u8).prop_map(|(n, subset)| Step::Renew(n, subset)),
        1 => any::<u8>().prop_map(Step::Freeze),
        2 => any::<u8>().prop_map(Step::Thaw),
        1 => any::<u8>().prop_map(Step::Restart),
        3 => any::<u8>().prop_map(Step::List),
        3 => (0..400_u16).prop_map(Step::Wait),
    ]
}

// The state is the number of data centres.
oracle!(Step, (2..4_usize));

/// AtMostOnce connects the simulation to the state machine test.
struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = Simulation;
    type Reference = Oracle;

    fn init_test(centres: &usize) -> Simulation {
        counts::hit("cases");
        Simulation::new(Mutation::Original, *centres)
    }

    fn apply(mut simulation: Simulation, _: &usize, step: Step) -> Simulation {
        counts::hit("transitions");
        simulation.step(step);
        simulation
    }
}

prop_state_machine! {
    #![proptest_config(common::config(CASES, "regressions/once.txt"))]
    fn run_once(sequential 100..400 => AtMostOnce);
}

#[test]
fn requests_run_at_most_once_and_not_run_answers_are_true() {
    run_once();
    counts::print("at most once");
    counts::require(&[
        "branch: sealed key refused",
        "branch: key in progress",
        "branch: unknown answer",
        "branch: holder unreachable, not run",
        "branch: repeat got the kept answer",
        "branch: receiver behind the holder",
        "branch: version retired",
        "branch: upstream refused",
        "fault: message served late",
    ]);
}

#[rstest]
#[case::earlier_holders_not_asked(Mutation::NoEarlierHolders)]
#[case::other_data_centres_not_asked(Mutation::NoOtherDataCentres)]
#[case::silence_counts_as_no_record(Mutation::SilenceIsNoRecord)]
#[case::version_retired_when_next_is_written(Mutation::RetireImmediately)]
fn oracle_detects_a_disabled_rule(#[case] mutation: Mutation) {
    let run = |steps: Vec<Step>| {
        let mut simulation = Simulation::new(mutation, 2);
        steps.into_iter().for_each(|step| simulation.step(step));
    };
    assert!(
        common::fails(step(), 400, run),
        "{mutation:?} was not detected"
    );
}
