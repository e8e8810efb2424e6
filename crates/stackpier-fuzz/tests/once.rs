// SPDX-License-Identifier: Apache-2.0
//! Stateful fuzz of requests that run at most once, and of "not run" being
//! true: repeats through other daemons and data centres, holders that restart
//! or freeze, maps that change, lost and late messages, clocks that differ.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rstest::rstest;
use stackpier_fuzz::{
    counts,
    once::{Guard, Step, World},
};

/// CASES is used unless PROPTEST_CASES names another count.
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

// The state is the count of data centres.
oracle!(Step, (2..4_usize));

struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test(centres: &usize) -> World {
        counts::hit("cases");
        World::new(Guard::Whole, *centres)
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        counts::hit("transitions");
        world.step(step);
        world
    }
}

prop_state_machine! {
    #![proptest_config(common::config(CASES, "regressions/once.txt"))]
    fn run_once(sequential 100..400 => AtMostOnce);
}

#[test]
fn request_runs_at_most_once_and_not_run_is_true() {
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
#[case::earlier_holders_not_asked(Guard::NoEarlierHolders)]
#[case::other_data_centres_not_asked(Guard::NoOtherCentres)]
#[case::silence_taken_as_free(Guard::SilenceIsFree)]
#[case::version_retired_when_the_next_is_written(Guard::RetireAtOnce)]
fn oracle_sees_a_missing_guard(#[case] guard: Guard) {
    let run = |steps: Vec<Step>| {
        let mut world = World::new(guard, 2);
        steps.into_iter().for_each(|step| world.step(step));
    };
    assert!(common::fails(step(), 400, run), "{guard:?} was not seen");
}
