// SPDX-License-Identifier: Apache-2.0
//! Serving tasks with best-effort jobs beside them, and starts that are answered late. Seeds are
//! fixed; `FUZZ_SEEDS=FROM..TO` sets others.

use stackpier_cell::Mechanism;
use stackpier_fuzz::starvation::{Simulation, Workload};

/// UNLIMITED_SEEDS is how many seeds are tried until one shows that the limits that protect other
/// tasks would keep steps waiting.
const UNLIMITED_SEEDS: u64 = 40;

/// The simulation shows that steps have to start regardless of the limits that protect other tasks
/// once they have waited: without that, some wait for too long.
#[test]
fn steps_would_wait_if_limits_held_forever() {
    let breaks = |seed| {
        let mut workload = Workload::draw(seed);
        workload.options.without = [Mechanism::Starving].into_iter().collect();
        let mut simulation = Simulation::with_workload(seed, workload);
        let violation = simulation.run();
        if let Some(violation) = &violation {
            println!("seed {seed}: {violation}");
        }
        violation.is_some()
    };
    assert!((0..UNLIMITED_SEEDS).any(breaks));
}
