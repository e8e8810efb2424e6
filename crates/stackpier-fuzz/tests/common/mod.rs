// SPDX-License-Identifier: Apache-2.0
//! What the fuzz tests share: seeds, counts of cases, and the red runs.

use proptest::{
    prelude::*,
    test_runner::{FileFailurePersistence, RngSeed, TestRunner},
};

/// SEED is used unless PROPTEST_RNG_SEED names another one.
const SEED: u64 = 20_261;
/// RED_CASES is the most cases tried to see a missing guard.
const RED_CASES: u32 = 4_000;

/// config runs `cases` cases unless PROPTEST_CASES names another count, and
/// keeps the seeds of failures in a file.
pub fn config(cases: u32, regressions: &'static str) -> ProptestConfig {
    let defaults = ProptestConfig::default();
    let rng_seed = match defaults.rng_seed {
        RngSeed::Random => RngSeed::Fixed(SEED),
        fixed => fixed,
    };
    let cases = match std::env::var("PROPTEST_CASES") {
        Ok(_) => defaults.cases,
        Err(_) => cases,
    };
    ProptestConfig {
        rng_seed,
        cases,
        max_shrink_iters: 4_000,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(regressions))),
        ..defaults
    }
}

/// fails tells whether some random sequence of steps breaks an invariant.
pub fn fails<S, T, F>(step: S, length: usize, run: F) -> bool
where
    S: Strategy<Value = T>,
    T: std::fmt::Debug,
    F: Fn(Vec<T>),
{
    let mut runner = TestRunner::new(ProptestConfig {
        cases: RED_CASES,
        max_shrink_iters: 0,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    });
    let steps = proptest::collection::vec(step, length);
    let run = |steps| {
        run(steps);
        Ok(())
    };
    runner.run(&steps, run).is_err()
}

/// oracle defines `Oracle`, which generates the transitions of `step()` for
/// every state. What must hold is asserted in the world, so the state only
/// names the kind of world, as drawn from `$state`.
#[macro_export]
macro_rules! oracle {
    ($step:ty, $state:expr) => {
        struct Oracle;

        impl proptest_state_machine::ReferenceStateMachine for Oracle {
            type State = usize;
            type Transition = $step;

            fn init_state() -> BoxedStrategy<usize> {
                $state.boxed()
            }

            fn transitions(_: &usize) -> BoxedStrategy<$step> {
                step().boxed()
            }

            fn apply(state: usize, _: &$step) -> usize {
                state
            }
        }
    };
}
