// SPDX-License-Identifier: Apache-2.0
//! Entries of workers with values that no worker has, by another writer: beside those of the
//! workers, or in place of one of them, also under the next owner. The owner goes on, and so do the
//! other workers.

mod common;

use common::{Owner, info, sized, step};
use proptest::{prelude::*, test_runner::RngSeed};
use stackpier_cell::{Event, Info};
use stackpier_core::{Size, Unix};

/// WORKERS is the number of workers.
const WORKERS: usize = 3;
/// LASTS is the job with long-running tasks.
const LASTS: u64 = 1;
/// SHORT is the first of the jobs that end.
const SHORT: u64 = 2;
/// FILLS is the job whose tasks use what others leave unused.
const FILLS: u64 = 9;

/// run_jobs submits a job of each kind.
fn run_jobs(owner: &mut Owner) {
    owner.submit_long_running(LASTS, sized(2_000, 3));
    owner.submit(SHORT, common::spec(vec![sized(1_000, 6)]));
    let mut fills = step(6);
    fills.best_effort = true;
    owner.submit(FILLS, common::spec(vec![fills]));
}

/// odd_number draws numbers at the ends of their range.
fn odd_number() -> impl Strategy<Value = u32> {
    prop_oneof![
        Just(0),
        Just(1),
        Just(u32::MAX - 1),
        Just(u32::MAX),
        any::<u32>()
    ]
}

/// odd_stay draws how long a draining worker says that it stays.
fn odd_stay() -> impl Strategy<Value = Option<u64>> {
    prop_oneof![
        Just(None),
        Just(Some(0)),
        Just(Some(u64::MAX)),
        Just(Some(u64::MAX - 1)),
        any::<u64>().prop_map(Some)
    ]
}

/// odd_text draws short, empty and long texts.
fn odd_text() -> impl Strategy<Value = String> {
    prop_oneof![
        Just(String::new()),
        Just("service".to_owned()),
        Just("r0".to_owned()),
        Just("x".repeat(10_000)),
        any::<String>()
    ]
}

prop_compose! {
    /// odd_info draws an entry, at the address of one of the workers: of that worker, or of none.
    fn odd_info()(
        place in 0..WORKERS,
        own in any::<bool>(),
        started_at in proptest::option::of(any::<u64>()),
        service in odd_text(),
        rack in odd_text(),
        labels in proptest::collection::vec(odd_text(), 0..4),
        (milli_cores, memory_mib, accelerators) in (odd_number(), odd_number(), any::<u16>()),
        draining in any::<bool>(),
        remaining_ms in odd_stay(),
    ) -> Info {
        let id = if own { info(place).id } else { "another".to_owned() };
        Info {
            id,
            started_at: started_at.map(Unix),
            service,
            capacity: Size { milli_cores, memory_mib, accelerators },
            labels,
            rack,
            draining,
            remaining_ms,
            ..info(place)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an odd entry that ends the owner, and each one after it.
    #[test]
    fn owners_go_on_beside_odd_entries(entries in proptest::collection::vec(odd_info(), 1..4)) {
        let mut owner = Owner::new(WORKERS);
        run_jobs(&mut owner);
        owner.advance(400);
        for entry in &entries {
            owner.feed(Event::Listed(entry.clone()));
            owner.advance(300);
        }
        owner.submit(SHORT + 1, common::spec(vec![sized(500, 4)]));
        owner.advance(3_000);
        let mut next = Owner::with(WORKERS, 2, true);
        for entry in &entries {
            next.feed(Event::Listed(entry.clone()));
        }
        for place in 0..WORKERS {
            next.feed(Event::Listed(info(place)));
        }
        run_jobs(&mut next);
        next.advance(4_000);
    }
}

/// Guards against runs that are stopped at once on a worker that leaves, because the time for which
/// it says that it stays is too large to add.
#[test]
fn runs_go_on_where_a_worker_says_that_it_stays_for_ever() {
    let mut owner = Owner::new(1);
    owner.submit(SHORT, common::spec(vec![sized(1_000, 4)]));
    owner.advance(300);
    owner.feed(Event::Listed(Info {
        draining: true,
        remaining_ms: Some(u64::MAX),
        ..info(0)
    }));
    owner.advance(2_000);
    assert_eq!(owner.places(SHORT, 0).len(), 4, "each task began once");
    assert_eq!(owner.workers[0].runs.len(), 0, "and ended");
    assert_eq!(
        owner.state(SHORT),
        Some(stackpier_state::job::State::Completed)
    );
}
