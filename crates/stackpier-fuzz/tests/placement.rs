// SPDX-License-Identifier: Apache-2.0
//! Stateful fuzz of placement: no worker over-committed, no task in two
//! places, evicted work resumed once, under kills, freezes, lost and late
//! calls, and races.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rstest::rstest;
use stackpier_fuzz::{
    counts,
    placement::{Guard, Step, World},
};

/// CASES is used unless PROPTEST_CASES names another count.
const CASES: u32 = 96;

/// step generates one transition.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<u8>().prop_map(Step::Tick),
        6 => (0..700_u16).prop_map(Step::Wait),
        20 => any::<u8>().prop_map(Step::Deliver),
        3 => any::<u8>().prop_map(Step::LoseAnswer),
        2 => any::<u8>().prop_map(Step::LoseCall),
        3 => any::<u8>().prop_map(Step::Detach),
        3 => any::<u8>().prop_map(Step::Late),
        2 => any::<u8>().prop_map(Step::Freeze),
        2 => any::<u8>().prop_map(Step::Thaw),
        1 => any::<u8>().prop_map(Step::Restart),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(from, to)| Step::Beat(from, to)),
        10 => any::<u8>().prop_map(Step::Arrive),
        2 => any::<u8>().prop_map(Step::Vanish),
        6 => any::<u8>().prop_map(Step::Hold),
        4 => any::<u8>().prop_map(Step::Release),
        1 => any::<u8>().prop_map(Step::Reboot),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(n, cut)| Step::Cut(n, cut)),
        1 => (2..4_u8).prop_map(Step::Leave),
        1 => any::<u8>().prop_map(Step::Gone),
        1 => any::<u8>().prop_map(Step::Lost),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(n, count)| Step::Scale(n, count)),
        3 => any::<u8>().prop_map(Step::Submit),
        2 => any::<u8>().prop_map(Step::Cancel),
        3 => any::<u8>().prop_map(Step::Learn),
        3 => any::<u8>().prop_map(Step::List),
        4 => any::<u8>().prop_map(Step::Calm),
    ]
}

oracle!(Step, Just(0_usize));

struct Placement;

impl StateMachineTest for Placement {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test(_: &usize) -> World {
        counts::hit("cases");
        World::new(Guard::Whole)
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        counts::hit("transitions");
        world.step(step);
        world.check();
        world
    }

    fn teardown(mut world: World, _: usize) {
        world.settle();
        world.check_rest();
    }
}

prop_state_machine! {
    #![proptest_config(common::config(CASES, "regressions/placement.txt"))]
    fn run_placement(sequential 50..300 => Placement);
}

#[test]
fn no_worker_over_committed_no_task_in_two_places_evicted_resumes_once() {
    run_placement();
    counts::print("placement");
    counts::require(&[
        "branch: late swap lost",
        "fault: placer's word arrived late",
        "branch: lease lapsed as evidence",
        "branch: worker's new boot as evidence",
        "branch: run evicted with a checkpoint",
        "branch: promise not to renew heard",
        "branch: worker ignored a call older than its lease",
        "rest: every wanted service task runs",
    ]);
}

#[rstest]
#[case::swap_without_compare(Guard::NoCompare)]
#[case::lease_longer_than_the_wait(Guard::NoLeaseWait)]
#[case::late_calls_renew(Guard::NoStaleCheck)]
#[case::late_claims_are_taken(Guard::NoSettled)]
fn oracle_sees_a_missing_guard(#[case] guard: Guard) {
    let run = |steps: Vec<Step>| {
        let mut world = World::new(guard);
        for step in steps {
            world.step(step);
            world.check();
        }
    };
    assert!(common::fails(step(), 300, run), "{guard:?} was not seen");
}
