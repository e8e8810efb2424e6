// SPDX-License-Identifier: Apache-2.0
//! Calls of the daemon to workers, to the adviser and to hosts.

use std::future::Future;

use stackpier_cell::{
    AdviceRequest, Advised, Pace, Renewal, Renewed, Start, Started, Stop, Stopped,
    maintenance::{TakeDown, TakenDown},
};

/// Fleet sends calls to workers. Each call ends within a bounded time.
pub trait Fleet {
    /// start orders a worker to start a run.
    fn start(&self, start: &Start) -> impl Future<Output = Started>;

    /// stop orders a worker to stop a run.
    fn stop(&self, stop: &Stop) -> impl Future<Output = Stopped>;

    /// pace sets the pace of a run and returns whether the worker accepted it.
    fn pace(&self, pace: &Pace) -> impl Future<Output = bool>;

    /// renew renews a worker's lease and returns the worker's report.
    fn renew(&self, renewal: &Renewal) -> impl Future<Output = Renewed>;
}

/// Adviser tells which workers may run a step.
pub trait Adviser {
    /// advise returns the adviser's answer, or `None` if it gave none.
    fn advise(&self, request: &AdviceRequest) -> impl Future<Output = Option<Advised>>;
}

/// Hosts orders maintenance of the hosts that workers run on.
pub trait Hosts {
    /// take_down orders a host down for maintenance on behalf of this daemon's VM.
    fn take_down(&self, order: &TakeDown, vm: &str) -> impl Future<Output = TakenDown>;
}
