// SPDX-License-Identifier: Apache-2.0
//! Serving a caller's request, from its arrival to the answer.

mod call;
mod dispatch;
mod keyed;

use std::sync::{Arc, atomic::AtomicU64};

use stackpier_core::{Error, Kind, Millis, Result};
use stackpier_state::ledger::Reply;
use stackpier_transport::callers;

use self::dispatch::Delivery;
use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
    metrics,
    pool::Pool,
};

/// Callers serves requests on the callers' port.
pub struct Callers<B: Backend> {
    daemon: Arc<Daemon<B>>,
    pool: Pool<Delivery<B>>,
    next_number: AtomicU64,
}

impl<B: Backend> Callers<B> {
    /// new returns the service of a daemon.
    pub fn new(daemon: Arc<Daemon<B>>) -> Callers<B> {
        Callers {
            daemon,
            pool: Pool::default(),
            next_number: AtomicU64::new(0),
        }
    }
}

impl<B: Backend> callers::Service for Callers<B> {
    fn serve(&self, raw: callers::Request) -> Result<Reply> {
        let arrived = clock::now();
        let answer = self.answer(arrived, raw);
        let kind = answer
            .as_ref()
            .map_or_else(|error| error.kind.as_str(), |_| "done");
        let took = clock::now().since(arrived);
        self.daemon
            .metrics
            .answers
            .add(1, &metrics::kind_label(kind));
        self.daemon
            .metrics
            .latency
            .record(took as f64 / 1_000.0, &metrics::kind_label(kind));
        answer
    }

    fn closing(&self) -> bool {
        self.daemon.is_stopping()
    }
}

impl<B: Backend> Callers<B> {
    /// answer checks a request, sends it to an upstream and returns the answer.
    fn answer(&self, arrived: Millis, raw: callers::Request) -> Result<Reply> {
        if self.daemon.is_stopping() {
            return Err(Error::new(Kind::Stopping, "this entry VM is stopping"));
        }
        let call = call::check(arrived, raw, self.daemon.settings.deadline_ms)?;
        if lock(&self.daemon.catalogue).object(call.service).is_none() {
            let text = format!("no service '{}' is known", call.service);
            return Err(Error::new(Kind::NotFound, text));
        }
        match call.key {
            None => self.dispatch(&call, None),
            Some(key) => self.dispatch_once(&call, key),
        }
    }
}
