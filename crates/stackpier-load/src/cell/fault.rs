// SPDX-License-Identifier: Apache-2.0
//! Faults and bursts of the simulation, each with its start and its duration.

/// Fault is a fault or a change in the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This share of the workers, counted from the first, is unreachable for the owner. Their tasks
    /// run on under their leases.
    Cut(f64),
    /// This share of the workers, counted from the last, works at this percentage of its speed.
    Slow(f64, u64),
    /// This share of the workers, counted from the middle, fails every task that it starts.
    Errors(f64),
    /// Tasks on this share of the workers, counted from the middle, make no progress.
    Hang(f64),
    /// This share of the start orders is not answered and is executed up to three seconds later.
    LateOrders(f64),
    /// The store is unavailable: nothing is saved, confirmed or accepted.
    StoreAway,
    /// Jobs of the kind with this index arrive this many times as often.
    Burst(usize, f64),
    /// This share of the submitted jobs is cancelled within a second.
    Cancels(f64),
}

/// TimedFault is a fault with its start and its duration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// When it starts, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// The fault.
    pub fault: Fault,
}

impl TimedFault {
    /// is_active reports whether the fault is present at a time.
    pub fn is_active(&self, now_ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&now_ms)
    }
}

/// worker_range returns the indices of a share of the workers, counted from the index `from`.
pub fn worker_range(workers: usize, from: usize, share: f64) -> std::ops::Range<usize> {
    let count = (workers as f64 * share).round() as usize;
    from..(from + count).min(workers)
}
