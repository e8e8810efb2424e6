// SPDX-License-Identifier: Apache-2.0
//! Counts of what a fuzz run reached, so that a run that never reaches a
//! branch is seen to prove nothing about it.

use std::{cell::RefCell, collections::BTreeMap};

thread_local! {
    /// COUNTS belongs to one test, which runs on one thread.
    static COUNTS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// hit counts one occurrence.
pub fn hit(what: &'static str) {
    COUNTS.with_borrow_mut(|counts| *counts.entry(what).or_default() += 1);
}

/// TRACE names the environment variable that prints what happens.
const TRACE: &str = "STACKPIER_FUZZ_TRACE";

/// trace prints one line if [`TRACE`] is set.
pub fn trace<D: std::fmt::Debug>(what: &str, value: &D) {
    static ON: std::sync::LazyLock<bool> =
        std::sync::LazyLock::new(|| std::env::var_os(TRACE).is_some());
    if *ON {
        println!("{what} {value:?}");
    }
}

/// count returns how often something occurred.
pub fn count(what: &'static str) -> u64 {
    COUNTS.with_borrow(|counts| counts.get(what).copied().unwrap_or(0))
}

/// print prints all counts.
pub fn print(title: &str) {
    println!("{title}:");
    COUNTS.with_borrow(|counts| {
        for (what, count) in counts {
            println!("  {count:>9}  {what}");
        }
    });
}

/// require fails unless each of these occurred.
pub fn require(all: &[&'static str]) {
    for what in all {
        assert!(count(what) > 0, "the fuzz never reached: {what}");
    }
}
