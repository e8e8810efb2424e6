// SPDX-License-Identifier: Apache-2.0
//! The heavy days by name. Sizes, rates and pairs are those of a customer's sheet of 66
//! workers: wholesale orders (short), production plans (filling) and route tracking
//! (serving). Faults are as strong and as long as the sheet says they may be.

use stackpier_cell::Options;
use stackpier_core::Size;
use stackpier_standin::fleet::listing::Listing;

use super::{
    deployment::{Deployment, Kind, Role},
    fault::{Fault, TimedFault},
    ground_truth::{Pairs, Serving},
    simulation::Scenario,
};

/// SHORT names the kind of the short tasks.
pub const SHORT: &str = "order-intake";
/// BEST_EFFORT names the kind of the filling tasks.
pub const BEST_EFFORT: &str = "bake-plan";
/// SERVING names the kind of the tasks that last.
pub const SERVING: &str = "route-watch";
/// BEST_EFFORT_INDEX is the place of the filling kind.
const BEST_EFFORT_INDEX: usize = 1;
/// USUAL are the pairs of most days: a good half presses, but few so hard that a start
/// of seven cores moves a load of 0.45 over its limit.
const USUAL: Pairs = Pairs {
    heavy_share: 0.25,
    heavy_range: (0.03, 0.06),
    light_range: (0.001, 0.008),
};
/// HARD are the pairs of the days on which most disturb each other: what was learnt on
/// one such day had 0.03 to 0.09 for six pairs of ten.
const HARD: Pairs = Pairs {
    heavy_share: 0.75,
    heavy_range: (0.03, 0.09),
    light_range: (0.001, 0.008),
};

/// deployment returns the deployment: 66 workers of 64 cores, of which serving tasks hold 94%
/// at the beginning and less as they end.
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
        pairs: USUAL,
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

/// Pattern is a heavy day by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Nothing happens: what the others are compared with.
    Calm,
    /// Most pairs of images disturb each other throughout.
    HeavyPairs,
    /// A third of the workers, a data centre, is cut off while the room is full.
    CutWhenFull,
    /// BestEffort jobs come 2.6 times as often for four seconds, with wide steps.
    WideBurst,
    /// Workers are slow, fail what they start, or stand still, one after the other and
    /// together; orders are carried out late.
    BadWorkers,
    /// The store is away for 4.5 s in the middle of a burst.
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

    /// scenario returns the pattern as a day.
    pub fn scenario(self) -> Scenario {
        let mut deployment = deployment();
        if self == Pattern::HeavyPairs {
            deployment.pairs = HARD;
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
