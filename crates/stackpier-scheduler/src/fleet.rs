// SPDX-License-Identifier: Apache-2.0
//! What the daemon asks of workers.

use std::future::Future;

use stackpier_cell::{
    AdviceRequest, Advised, Pace, Renewal, Renewed, Start, Started, Stop, Stopped,
    maintenance::{TakeDown, TakenDown},
};

/// Fleet speaks to workers. Each call ends within a bounded time.
pub trait Fleet {
    /// start asks a worker to start a run.
    fn start(&self, start: &Start) -> impl Future<Output = Started>;

    /// stop asks a worker to stop a run.
    fn stop(&self, stop: &Stop) -> impl Future<Output = Stopped>;

    /// pace sets the pace of a run and tells whether the worker took it.
    fn pace(&self, pace: &Pace) -> impl Future<Output = bool>;

    /// hold renews a lease and returns the worker's report.
    fn hold(&self, hold: &Renewal) -> impl Future<Output = Renewed>;
}

/// Adviser knows which workers may run a step.
pub trait Adviser {
    /// advise returns the adviser's answer, or `None` if it gave none.
    fn advise(&self, ask: &AdviceRequest) -> impl Future<Output = Option<Advised>>;
}

/// Hosts are what workers run on.
pub trait Hosts {
    /// take_down orders a host down for maintenance, in the name of this VM.
    fn take_down(&self, order: &TakeDown, vm: &str) -> impl Future<Output = TakenDown>;
}
