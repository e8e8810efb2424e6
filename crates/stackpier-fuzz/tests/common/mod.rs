// SPDX-License-Identifier: Apache-2.0
//! Shared by the fuzz tests: seeds, numbers of cases, and runs that are expected to fail because
//! a safety rule is disabled.

use proptest::{
    prelude::*,
    test_runner::{FileFailurePersistence, RngSeed, TestRunner},
};

/// SEED is the seed unless PROPTEST_RNG_SEED sets another one.
const SEED: u64 = 20_261;
/// MAX_DISABLED_RULE_CASES is how many cases are tried until one shows that a safety rule is
/// disabled.
const MAX_DISABLED_RULE_CASES: u32 = 4_000;

/// config returns the settings for `cases` cases, or as many as PROPTEST_CASES
/// sets. Seeds of failures are stored in the file `regressions`.
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

/// fails reports whether some random sequence of steps violates an invariant.
pub fn fails<S, T, F>(step: S, length: usize, run: F) -> bool
where
    S: Strategy<Value = T>,
    T: std::fmt::Debug,
    F: Fn(Vec<T>),
{
    let mut runner = TestRunner::new(ProptestConfig {
        cases: MAX_DISABLED_RULE_CASES,
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

/// oracle defines `Oracle`, a reference state machine that generates the
/// transitions of `step()` in every state. The simulation itself asserts the
/// invariants, so the state is only the kind of simulation, drawn from `$state`.
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
