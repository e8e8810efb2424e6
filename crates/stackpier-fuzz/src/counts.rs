// SPDX-License-Identifier: Apache-2.0
//! Counts of the situations that a fuzz run reached: a run that never reaches a
//! branch proves nothing about it, and [`require`] makes it fail.

use std::{cell::RefCell, collections::BTreeMap};

thread_local! {
    /// COUNTS holds the counts of one test, which runs on one thread.
    static COUNTS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// hit adds one occurrence of `what`.
pub fn hit(what: &'static str) {
    COUNTS.with_borrow_mut(|counts| *counts.entry(what).or_default() += 1);
}

/// TRACE names the environment variable that turns on the output of [`trace`].
const TRACE: &str = "STACKPIER_FUZZ_TRACE";

/// trace prints a value after its label if [`TRACE`] is set.
pub fn trace<D: std::fmt::Debug>(what: &str, value: &D) {
    static ON: std::sync::LazyLock<bool> =
        std::sync::LazyLock::new(|| std::env::var_os(TRACE).is_some());
    if *ON {
        println!("{what} {value:?}");
    }
}

/// count returns how often `what` occurred.
pub fn count(what: &'static str) -> u64 {
    COUNTS.with_borrow(|counts| counts.get(what).copied().unwrap_or(0))
}

/// print prints all counts under a title.
pub fn print(title: &str) {
    println!("{title}:");
    COUNTS.with_borrow(|counts| {
        for (what, count) in counts {
            println!("  {count:>9}  {what}");
        }
    });
}

/// require panics unless each of `all` occurred.
pub fn require(all: &[&'static str]) {
    for what in all {
        assert!(count(what) > 0, "the fuzz never reached: {what}");
    }
}
