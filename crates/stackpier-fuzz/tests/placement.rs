// SPDX-License-Identifier: Apache-2.0
//! Stateful fuzz of placement: no worker runs more than its capacity, no task
//! runs on two workers, and an evicted run resumes once from its checkpoint. The
//! faults: daemons and workers that restart or end, freezes, daemons without the
//! store, lost and late calls, and races.

mod common;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rstest::rstest;
use stackpier_fuzz::{
    counts,
    placement::{Mutation, Simulation, Step},
};

/// CASES is the number of cases, unless PROPTEST_CASES sets another one.
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
        2 => (any::<u8>(), any::<bool>()).prop_map(|(n, cut)| Step::CutStore(n, cut)),
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

/// Placement connects the simulation to the state machine test.
struct Placement;

impl StateMachineTest for Placement {
    type SystemUnderTest = Simulation;
    type Reference = Oracle;

    fn init_test(_: &usize) -> Simulation {
        counts::hit("cases");
        Simulation::new(Mutation::Original)
    }

    fn apply(mut simulation: Simulation, _: &usize, step: Step) -> Simulation {
        counts::hit("transitions");
        simulation.step(step);
        simulation.check();
        simulation
    }

    fn teardown(mut simulation: Simulation, _: usize) {
        simulation.settle();
        simulation.check_at_rest();
    }
}

prop_state_machine! {
    #![proptest_config(common::config(CASES, "regressions/placement.txt"))]
    fn run_placement(sequential 50..300 => Placement);
}

#[test]
fn no_overcommit_no_duplicate_run_and_evicted_runs_resume_once() {
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
        "branch: daemon left out, as it does not reach the store",
        "branch: renewer left out",
        "rest: a daemon does not reach the store",
        "rest: every wanted service task runs",
        "rest: every batch task is done",
    ]);
}

#[rstest]
#[case::swap_without_compare(Mutation::NoCompare)]
#[case::lease_longer_than_the_wait(Mutation::NoLeaseWait)]
#[case::late_calls_renew(Mutation::NoStaleCheck)]
#[case::late_claims_are_accepted(Mutation::NoSettledRevisions)]
fn oracle_detects_a_disabled_rule(#[case] mutation: Mutation) {
    let run = |steps: Vec<Step>| {
        let mut simulation = Simulation::new(mutation);
        for step in steps {
            simulation.step(step);
            simulation.check();
        }
    };
    assert!(
        common::fails(step(), 300, run),
        "{mutation:?} was not detected"
    );
}
