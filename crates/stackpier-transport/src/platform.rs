// SPDX-License-Identifier: Apache-2.0
//! The traits behind which the platform and the workers stand. Nothing above
//! them knows their wire protocol.

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

    /// swap replaces a value if it still has the expected revision.
    fn swap(&self, key: Key, expect: Revision, page: &Page) -> Swapped;

    /// watch waits up to `wait_ms` until a value has a later revision than
    /// `after`, and returns the revision then, or `None` without an answer.
    fn watch(&self, key: Key, after: Revision, wait_ms: u64) -> Option<Revision>;
}

/// Roster is the platform's lagging list of VMs.
pub trait Roster: Send + Sync + 'static {
    /// list returns the list.
    fn list(&self) -> Result<List>;
}

/// Request is a caller's request as it goes to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query behind the service's name, with a leading slash.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// Sent is the outcome of a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The whole answer.
    Whole(Answer),
    /// The upstream had no free slot and did not run it.
    Busy,
    /// The upstream was not reached, or said that it did not run it.
    NotRun,
    /// No whole answer came in time; it may have run.
    Broken,
}

/// Upstream says where a request goes.
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
    /// sync makes the renewer's call. `None` says that no answer came.
    fn sync(&self, address: &str, call: &Call) -> Option<Reply>;

    /// send sends a caller's request to a service task and waits at most about
    /// `timeout_ms`.
    fn send(&self, upstream: Upstream<'_>, request: &Request, timeout_ms: u64) -> Sent;
}
