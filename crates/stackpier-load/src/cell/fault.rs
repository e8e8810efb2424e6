// SPDX-License-Identifier: Apache-2.0
//! Faults and bursts of the model, each from a time and for a time.

/// Fault is one of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This share of the workers, the first ones, is out of the owner's reach and runs
    /// on under its leases.
    Cut(f64),
    /// This share of the workers, from the end, works at this percent of its speed.
    Slow(f64, u64),
    /// This share of the workers, from the middle, fails all that it starts.
    Errors(f64),
    /// Tasks on this share of the workers, from the middle, stand still.
    Hang(f64),
    /// This share of the starts is not answered and is carried out up to three seconds
    /// later.
    LateOrders(f64),
    /// The store is away: nothing is saved, confirmed or accepted.
    StoreAway,
    /// A kind, by its place, comes this many times as often.
    Burst(usize, f64),
    /// This share of the jobs handed in is cancelled within a second.
    Cancels(f64),
}

/// TimedFault is a fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it goes on.
    pub for_ms: u64,
    /// What it is.
    pub fault: Fault,
}

impl TimedFault {
    /// is_active tells whether it goes on at a time.
    pub fn is_active(&self, now_ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&now_ms)
    }
}

/// worker_range returns the places of a share of some workers, from a place on.
pub fn worker_range(workers: usize, from: usize, share: f64) -> std::ops::Range<usize> {
    let count = (workers as f64 * share).round() as usize;
    from..(from + count).min(workers)
}
