// SPDX-License-Identifier: Apache-2.0
//! Which VM owns the cell better. The load is a cell of some hundred kilobytes, which a new owner
//! reads over its link and decodes on its processor.

use rstest::rstest;
use stackpier_scheduler::capacity::Capacity;

const LARGE: Capacity = capacity(500, 200_000);
const SMALL: Capacity = capacity(120, 10_000);

const fn capacity(milli_cores: u32, link_kbps: u32) -> Capacity {
    Capacity {
        milli_cores,
        link_kbps,
    }
}

// Guards against a rank by processors only, which prefers a slightly faster processor on a link
// that takes seconds.
#[rstest]
#[case::more_of_both(LARGE, SMALL)]
#[case::faster_processor(capacity(500, 10_000), capacity(120, 10_000))]
#[case::faster_link(capacity(500, 200_000), capacity(500, 10_000))]
#[case::faster_link_with_little_less_processor(capacity(450, 200_000), capacity(500, 10_000))]
#[case::faster_processor_with_little_less_link(capacity(500, 190_000), capacity(120, 200_000))]
fn the_vm_that_reads_the_cell_sooner_is_better(#[case] better: Capacity, #[case] worse: Capacity) {
    assert!(better.reading_us() < worse.reading_us());
}

// Guards against a small VM that does not wait for large ones, and against waits among VMs of
// about the same size.
#[rstest]
#[case::large_and_small(LARGE, SMALL, true)]
#[case::small_and_large(SMALL, LARGE, false)]
#[case::same(LARGE, LARGE, false)]
#[case::link_only(LARGE, capacity(500, 10_000), true)]
#[case::slightly_larger(capacity(550, 200_000), LARGE, false)]
fn only_a_vm_of_twice_the_speed_is_clearly_larger(
    #[case] one: Capacity,
    #[case] other: Capacity,
    #[case] expected: bool,
) {
    assert_eq!(one.is_clearly_larger(other), expected);
}
