// SPDX-License-Identifier: Apache-2.0
//! The traits of the platform and the workers. Code that uses them does not
//! depend on the wire protocol.

use stackpier_core::{Name, Result};
use stackpier_protocol::{
    platform::Roster as List,
    sync::{Call, Reply},
};
use stackpier_state::{
    Page, Revision,
    ledger::{Header, Reply as Answer},
    page::{Fetched, Key, Swapped},
    work::Run,
};

/// Store is the platform's key-value service.
pub trait Store: Send + Sync + 'static {
    /// read returns a value.
    fn read(&self, key: Key) -> Fetched;

    /// swap replaces a value if it has the expected revision.
    fn swap(&self, key: Key, expect: Revision, page: &Page) -> Swapped;

    /// watch waits, at most `wait_ms`, for a revision of a value later than
    /// `after`. It returns the value's revision at the end of the wait, or
    /// `None` if the platform did not answer.
    fn watch(&self, key: Key, after: Revision, wait_ms: u64) -> Option<Revision>;
}

/// Roster is the platform's list of VMs. It lags behind their real state.
pub trait Roster: Send + Sync + 'static {
    /// list returns the current list.
    fn list(&self) -> Result<List>;
}

/// Request is a caller's request as it is forwarded to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query after the service's name, with a leading slash.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// Sent is the outcome of a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The complete answer arrived.
    Whole(Answer),
    /// The upstream had no free slot and did not run the request.
    Busy,
    /// The upstream was not reached, or reported that it did not run the
    /// request.
    NotRun,
    /// No complete answer arrived in time. The request may have run.
    Broken,
}

/// Upstream is the destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream<'a> {
    /// Address of the worker as `IP:port`.
    pub address: &'a str,
    /// The service.
    pub service: Name,
    /// The run of the service task.
    pub run: Run,
}

/// Worker is a machine that runs tasks.
pub trait Worker: Send + Sync + 'static {
    /// sync makes the lease renewer's call. It returns `None` without an answer.
    fn sync(&self, address: &str, call: &Call) -> Option<Reply>;

    /// send sends a caller's request to a service task. It waits for
    /// about `timeout_ms` at most: the HTTP client rounds up to whole seconds.
    fn send(&self, upstream: Upstream<'_>, request: &Request, timeout_ms: u64) -> Sent;
}
