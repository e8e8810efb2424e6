// SPDX-License-Identifier: Apache-2.0
//! Stateful fuzz of operators' changes: accepted changes reach all daemons, no
//! daemon goes back to an older revision, and refused changes are never stored.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rstest::rstest;
use stackpier_fuzz::{
    config::{Mutation, Simulation, Step},
    counts,
};

/// CASES is the number of cases, unless PROPTEST_CASES sets another one.
const CASES: u32 = 800;

/// step generates one transition.
fn step() -> impl Strategy<Value = Step> {
    let three_bytes = || (any::<u8>(), any::<u8>(), any::<u8>());
    prop_oneof![
        4 => three_bytes().prop_map(|(n, expect, size)| Step::Submit(n, expect, size)),
        1 => three_bytes().prop_map(|(n, expect, size)| Step::Cancel(n, expect, size)),
        12 => any::<u8>().prop_map(Step::Serve),
        2 => any::<u8>().prop_map(Step::LoseAnswer),
        1 => any::<u8>().prop_map(Step::Lose),
        2 => any::<u8>().prop_map(Step::Detach),
        2 => any::<u8>().prop_map(Step::Late),
        2 => any::<u8>().prop_map(Step::Read),
        2 => any::<u8>().prop_map(Step::Arrive),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(to, from)| Step::Pull(to, from)),
        1 => any::<u8>().prop_map(Step::Restart),
    ]
}

oracle!(Step, Just(0_usize));

/// AcceptedIntents connects the simulation to the state machine test.
struct AcceptedIntents;

impl StateMachineTest for AcceptedIntents {
    type SystemUnderTest = Simulation;
    type Reference = Oracle;

    fn init_test(_: &usize) -> Simulation {
        counts::hit("cases");
        Simulation::new(Mutation::Original)
    }

    fn apply(mut simulation: Simulation, _: &usize, step: Step) -> Simulation {
        counts::hit("transitions");
        simulation.step(step);
        simulation
    }

    fn teardown(mut simulation: Simulation, _: usize) {
        simulation.settle();
    }
}

prop_state_machine! {
    #![proptest_config(common::config(CASES, "regressions/config.txt"))]
    fn run_config(sequential 50..200 => AcceptedIntents);
}

#[test]
fn accepted_changes_persist_and_refused_changes_are_never_stored() {
    run_config();
    counts::print("accepted intents");
    counts::require(&[
        "branch: change accepted",
        "branch: change refused",
        "branch: change not known",
        "branch: late swap took effect",
        "branch: late swap lost",
        "branch: stale page refused",
        "branch: page pulled from a peer",
        "branch: swap lost to a racing operator",
    ]);
}

#[rstest]
#[case::missing_answer_counts_as_refused(Mutation::UnclearIsRefused)]
#[case::stale_page_accepted(Mutation::AcceptStalePage)]
#[case::submission_not_looked_up(Mutation::NoSubmissionLookup)]
fn oracle_detects_a_disabled_rule(#[case] mutation: Mutation) {
    let run = |steps: Vec<Step>| {
        let mut simulation = Simulation::new(mutation);
        steps.into_iter().for_each(|step| simulation.step(step));
        simulation.settle();
    };
    assert!(
        common::fails(step(), 200, run),
        "{mutation:?} was not detected"
    );
}
