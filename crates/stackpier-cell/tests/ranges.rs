// SPDX-License-Identifier: Apache-2.0
//! Sets of numbers in few ranges.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stackpier_cell::ranges::Ranges;

/// NUMBERS is how many numbers a set may have.
const NUMBERS: u32 = 60;

#[test]
fn numbers_in_any_order_end_as_one_range() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut ranges, mut expected) = (Ranges::default(), BTreeSet::new());
        while expected.len() < NUMBERS as usize {
            let number = rng.random_range(0..NUMBERS);
            assert_eq!(ranges.insert(number), expected.insert(number));
            let listed: Vec<u32> = ranges.iter().flatten().collect();
            assert_eq!(listed, expected.iter().copied().collect::<Vec<u32>>());
            for number in 0..NUMBERS {
                assert_eq!(ranges.contains(number), expected.contains(&number));
                let absent = (number..).find(|number| !expected.contains(number));
                assert_eq!(Some(ranges.next_absent(number)), absent);
            }
        }
        assert_eq!(ranges.len(), 1);
    }
}
