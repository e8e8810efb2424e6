// SPDX-License-Identifier: Apache-2.0
//! Stateful fuzz of accepted intents: in force everywhere, never going back,
//! and what was refused never stored.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rstest::rstest;
use stackpier_fuzz::{
    config::{Guard, Step, World},
    counts,
};

/// CASES is used unless PROPTEST_CASES names another count.
const CASES: u32 = 800;

/// step generates one transition.
fn step() -> impl Strategy<Value = Step> {
    let three = || (any::<u8>(), any::<u8>(), any::<u8>());
    prop_oneof![
        4 => three().prop_map(|(n, expect, size)| Step::Submit(n, expect, size)),
        1 => three().prop_map(|(n, expect, size)| Step::Cancel(n, expect, size)),
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

struct InForce;

impl StateMachineTest for InForce {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test(_: &usize) -> World {
        counts::hit("cases");
        World::new(Guard::Whole)
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        counts::hit("transitions");
        world.step(step);
        world
    }

    fn teardown(mut world: World, _: usize) {
        world.settle();
    }
}

prop_state_machine! {
    #![proptest_config(common::config(CASES, "regressions/config.txt"))]
    fn run_config(sequential 50..200 => InForce);
}

#[test]
fn accepted_is_in_force_and_never_reverts_refused_never_is() {
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
#[case::no_answer_taken_as_refused(Guard::UnclearIsRefused)]
#[case::any_page_taken(Guard::TakeAny)]
#[case::submission_not_looked_for(Guard::NoSubmission)]
fn oracle_sees_a_missing_guard(#[case] guard: Guard) {
    let run = |steps: Vec<Step>| {
        let mut world = World::new(guard);
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
    };
    assert!(common::fails(step(), 200, run), "{guard:?} was not seen");
}
