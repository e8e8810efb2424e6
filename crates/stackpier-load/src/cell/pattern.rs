// SPDX-License-Identifier: Apache-2.0
//! The heavy scenarios by name. Sizes, rates and pairs come from the specification of a deployment
//! of 66 workers that runs wholesale orders (short), production plans (best-effort) and route
//! tracking (serving). Faults are as strong and as long as that specification allows.

use stackpier_cell::Options;
use stackpier_core::Size;
use stackpier_standin::fleet::listing::Listing;

use super::{
    deployment::{Deployment, Kind, Role},
    fault::{Fault, TimedFault},
    ground_truth::{Pairs, Serving},
    simulation::Scenario,
};

/// SHORT is the name of the kind of short jobs.
pub const SHORT: &str = "order-intake";
/// BEST_EFFORT is the name of the kind of best-effort jobs.
pub const BEST_EFFORT: &str = "bake-plan";
/// SERVING is the name of the kind of serving jobs.
pub const SERVING: &str = "route-watch";
/// BEST_EFFORT_INDEX is the index of the best-effort kind in the deployment's kinds.
const BEST_EFFORT_INDEX: usize = 1;
/// USUAL_PAIRS describes the pairs of most scenarios. A good half of the pairs disturb each other,
/// but only a few so strongly that a start of seven cores raises a load of 0.45 over its limit.
const USUAL_PAIRS: Pairs = Pairs {
    heavy_share: 0.25,
    heavy_range: (0.03, 0.06),
    light_range: (0.001, 0.008),
};
/// HEAVY_PAIRS describes the pairs of scenarios in which most images disturb each other. In such a
/// scenario the owner learnt coefficients of 0.03 to 0.09 for six pairs of ten.
const HEAVY_PAIRS: Pairs = Pairs {
    heavy_share: 0.75,
    heavy_range: (0.03, 0.09),
    light_range: (0.001, 0.008),
};

/// deployment returns a deployment of 66 workers of 64 cores. Serving tasks are allocated 94% of
/// the cores at the beginning, and less as they end.
pub fn deployment() -> Deployment {
    Deployment {
        workers: 66,
        per_rack: 11,
        capacity: Size {
            milli_cores: 64_000,
            memory_mib: 250_000,
            accelerators: 0,
        },
        kinds: vec![
            Kind {
                name: SHORT,
                role: Role::Short,
                per_s: 5.09,
                at_start: 0,
                steps: 1.6,
                width: (6.0, 36),
                work_ms: 800.0,
                size: (6.3, 13.0),
                estimate_error: 0.5,
                stretch: 1.5,
                target_ms: 250,
                priority: 0,
                attempts: 3,
                value: 0.383,
                late_value: 0.0575,
                images: 1,
                one_per_worker: 0.15,
                failure_share: 0.05,
            },
            Kind {
                name: BEST_EFFORT,
                role: Role::BestEffort,
                per_s: 8.8,
                at_start: 15,
                steps: 2.0,
                width: (8.0, 32),
                work_ms: 1_700.0,
                size: (7.0, 13.0),
                estimate_error: 0.9,
                stretch: 2.0,
                target_ms: 1_000,
                priority: 2,
                attempts: 2,
                value: 1.11,
                late_value: 0.166,
                images: 9,
                one_per_worker: 0.0,
                failure_share: 0.05,
            },
            Kind {
                name: SERVING,
                role: Role::Serving,
                per_s: 0.283,
                at_start: 51,
                steps: 1.0,
                width: (6.0, 12),
                work_ms: 70_000.0,
                size: (13.0, 26.0),
                estimate_error: 0.2,
                stretch: 2.2,
                target_ms: 2_500,
                priority: 0,
                attempts: 2,
                value: 0.306,
                late_value: 0.0459,
                images: 5,
                one_per_worker: 0.5,
                failure_share: 0.03,
            },
        ],
        pairs: USUAL_PAIRS,
        serving: Serving {
            tail_ms: 10.0,
            target_factor: 5.0,
            load: 0.45,
            swing: 0.5,
            swing_s: 14.0,
        },
        length_ms: 40_000,
    }
}

/// Pattern identifies a heavy scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// No fault: the baseline for the others.
    Calm,
    /// Most pairs of images disturb each other all the time.
    HeavyPairs,
    /// A third of the workers, a data centre, is unreachable while no capacity is free.
    CutWhenFull,
    /// Best-effort jobs, whose steps are wide, arrive 2.6 times as often for four seconds.
    WideBurst,
    /// Workers are slow, fail the tasks that they start, or make no progress, partly at the same
    /// time; start orders are executed late.
    BadWorkers,
    /// The store is unavailable for 4.5 s in the middle of a burst.
    StoreAway,
}

impl Pattern {
    /// ALL lists the patterns.
    pub const ALL: [Pattern; 6] = [
        Pattern::Calm,
        Pattern::HeavyPairs,
        Pattern::CutWhenFull,
        Pattern::WideBurst,
        Pattern::BadWorkers,
        Pattern::StoreAway,
    ];

    /// as_str returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Pattern::Calm => "calm",
            Pattern::HeavyPairs => "heavy pairs",
            Pattern::CutWhenFull => "cut when full",
            Pattern::WideBurst => "wide burst",
            Pattern::BadWorkers => "bad workers",
            Pattern::StoreAway => "store away",
        }
    }

    /// scenario returns the pattern's scenario.
    pub fn scenario(self) -> Scenario {
        let mut deployment = deployment();
        if self == Pattern::HeavyPairs {
            deployment.pairs = HEAVY_PAIRS;
        }
        Scenario {
            deployment,
            timed_faults: self.timed_faults(),
            options: Options::default(),
            known_pairs: false,
            listing: Listing::default(),
        }
    }

    fn timed_faults(self) -> Vec<TimedFault> {
        let timed_fault = |at_ms, for_ms, fault| TimedFault {
            at_ms,
            for_ms,
            fault,
        };
        let burst = timed_fault(14_000, 4_000, Fault::Burst(BEST_EFFORT_INDEX, 2.6));
        match self {
            Pattern::Calm | Pattern::HeavyPairs => Vec::new(),
            Pattern::CutWhenFull => vec![timed_fault(12_000, 5_500, Fault::Cut(1.0 / 3.0))],
            Pattern::WideBurst => vec![burst],
            Pattern::BadWorkers => vec![
                timed_fault(4_000, 7_000, Fault::Slow(0.17, 15)),
                timed_fault(8_000, 6_500, Fault::Errors(0.085)),
                timed_fault(16_000, 5_500, Fault::Hang(0.1)),
                timed_fault(18_000, 5_500, Fault::LateOrders(0.055)),
            ],
            Pattern::StoreAway => vec![burst, timed_fault(15_000, 4_500, Fault::StoreAway)],
        }
    }
}
