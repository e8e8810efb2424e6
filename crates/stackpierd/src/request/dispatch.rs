// SPDX-License-Identifier: Apache-2.0
//! Sending a request to upstreams, with retries, until it has an answer.

use std::{sync::Arc, time::Duration};

use flume::Sender;
use slog::info;
use stackpier_coordination::route::Outcome;
use stackpier_core::{Error, Kind, Millis, Name, Result, error::Ran};
use stackpier_state::ledger::{Record, Reply};
use stackpier_transport::platform::{Sent, Upstream, Worker};

use super::{Callers, call::Call, keyed::OpenGrant};
use crate::{
    backend::Backend,
    clock,
    daemon::{Daemon, lock},
    pool::Job,
    routing::{Acquired, Slot},
};

/// MAX_SENDS bounds how often one request is sent.
const MAX_SENDS: usize = 4;
/// MAX_KEPT_BODY is the largest answer body, in bytes, that is kept for repeats of
/// a request. A repeat of a request with a larger one is answered that the request
/// may have run.
const MAX_KEPT_BODY: usize = 64 * 1024;
/// OUTCOME_WAIT_MS is how long the daemon waits past the caller's deadline for the
/// outcome of a request that must not be repeated, so that a repeat gets it.
const OUTCOME_WAIT_MS: u64 = 10_000;

impl<B: Backend> Callers<B> {
    /// dispatch sends a request to one upstream after the other until one answers or
    /// no further attempt is allowed. A request with a `grant` is not sent again
    /// once it may have run.
    pub(super) fn dispatch(&self, call: &Call, grant: Option<OpenGrant>) -> Result<Reply> {
        let mut avoid: Vec<Name> = Vec::new();
        let mut last_error = Error::new(
            Kind::NoUpstream,
            format!("no upstream runs '{}'", call.service),
        );
        for sends in 0..MAX_SENDS {
            if sends > 0 && !self.daemon.routing.consume_retry(call.service) {
                break;
            }
            let slot = match self.acquire(call, &avoid) {
                Ok(slot) => slot,
                Err(error) => {
                    last_error = error;
                    break;
                }
            };
            avoid.push(slot.endpoint.worker);
            if sends > 0 {
                self.daemon.metrics.retries.add(1, &[]);
            }
            match self.send(call, slot, grant) {
                Attempt::Whole(reply) => return Ok(reply),
                Attempt::NotRun(error) => last_error = error,
                Attempt::Unknown(error) => {
                    // The request may have run, so it is sent again only if it
                    // may be repeated.
                    if grant.is_some() || clock::now() >= call.deadline {
                        return Err(error);
                    }
                    last_error = error;
                }
            }
        }
        if let Some(grant) = grant {
            self.daemon.finish_grant(grant, Record::NotRun);
            // No earlier attempt with this key ran, or the holders would not have
            // granted it, and none of those above did.
            return Err(last_error.with_ran(Ran::No));
        }
        Err(last_error)
    }

    fn acquire(&self, call: &Call, avoid: &[Name]) -> Result<Slot> {
        match self
            .daemon
            .routing
            .acquire(call.service, call.deadline, avoid)
        {
            Acquired::Slot(slot) if self.daemon.is_stopping() => {
                self.daemon.routing.release(slot, 0, Outcome::Busy);
                Err(Error::new(Kind::Stopping, "this entry VM is stopping"))
            }
            Acquired::Slot(slot) => Ok(slot),
            Acquired::Shed(ms) => {
                let text = format!("the wait for '{}' would pass the deadline", call.service);
                Err(Error::new(Kind::Overloaded, text).after(ms))
            }
            Acquired::NoUpstream => {
                let text = format!("no upstream runs '{}'", call.service);
                Err(Error::new(Kind::NoUpstream, text))
            }
            Acquired::DeadlinePassed => Err(Error::new(
                Kind::DeadlinePassed,
                "the deadline passed in the queue",
            )),
        }
    }

    /// send sends a request once and waits for the outcome until the deadline.
    fn send(&self, call: &Call, slot: Slot, grant: Option<OpenGrant>) -> Attempt {
        let (reply, answered) = flume::bounded(1);
        self.pool.run(Delivery {
            daemon: Arc::clone(&self.daemon),
            call: call.clone(),
            slot,
            grant,
            reply,
        });
        let left = call.deadline.since(clock::now());
        let attempt = match answered.recv_timeout(Duration::from_millis(left)) {
            Ok(attempt) => attempt,
            Err(_) => unknown_outcome("the deadline passed after the request was sent"),
        };
        info!(self.daemon.log, "route: sent";
            "service" => %call.service, "upstream" => %slot.endpoint.worker,
            "key" => call.key.map(|key| key.to_string()),
            "result" => attempt.as_str());
        attempt
    }
}

/// Attempt is the outcome of sending a request once.
enum Attempt {
    Whole(Reply),
    NotRun(Error),
    Unknown(Error),
}

impl Attempt {
    fn as_str(&self) -> &'static str {
        match self {
            Attempt::Whole(_) => "done",
            Attempt::NotRun(_) => "not-run",
            Attempt::Unknown(_) => "unknown",
        }
    }
}

fn unknown_outcome(text: &str) -> Attempt {
    Attempt::Unknown(Error::new(Kind::OutcomeUnknown, text))
}

/// Delivery sends a request to one upstream and waits for its answer, past the
/// caller's deadline if the request has a grant. Then it releases the slot and
/// reports the outcome to the key's holder.
pub(super) struct Delivery<B: Backend> {
    daemon: Arc<Daemon<B>>,
    call: Call,
    slot: Slot,
    grant: Option<OpenGrant>,
    reply: Sender<Attempt>,
}

impl<B: Backend> Job for Delivery<B> {
    fn run(self) {
        let started = clock::now();
        let sent = self.exchange(started);
        let took = clock::now().since(started);
        let deadline_passed = clock::now() >= self.call.deadline;
        self.daemon
            .routing
            .release(self.slot, took, to_outcome(&sent, deadline_passed));
        if let (Some(grant), Some(record)) = (self.grant, to_record(&sent)) {
            self.daemon.finish_grant(grant, record);
        }
        // This fails if the caller's thread has given up at the deadline.
        let _ = self.reply.send(to_attempt(sent));
    }
}

impl<B: Backend> Delivery<B> {
    /// exchange sends the request to its upstream and waits for the answer.
    fn exchange(&self, started: Millis) -> Sent {
        let endpoint = self.slot.endpoint;
        let address = {
            let table = lock(&self.daemon.table);
            table.vm(endpoint.worker).map(|vm| vm.address.clone())
        };
        let Some(address) = address else {
            return Sent::NotRun;
        };
        let upstream = Upstream {
            address: &address,
            service: endpoint.service,
            run: endpoint.run,
        };
        let left = self.call.deadline.since(started);
        let extra = if self.grant.is_some() {
            OUTCOME_WAIT_MS
        } else {
            0
        };
        self.daemon
            .backend
            .send(upstream, &self.call.request, left + extra)
    }
}

fn to_outcome(sent: &Sent, deadline_passed: bool) -> Outcome {
    match sent {
        Sent::Whole(_) => Outcome::Answered,
        Sent::Busy => Outcome::Busy,
        Sent::NotRun => Outcome::Refused,
        Sent::Broken if deadline_passed => Outcome::TimedOut,
        Sent::Broken => Outcome::Broken,
    }
}

/// to_record returns the outcome to report to the key's holder. There is none
/// for a request that was not run: its key stays granted, as the request may be
/// sent to another upstream.
fn to_record(sent: &Sent) -> Option<Record> {
    match sent {
        Sent::Whole(reply) if reply.body.len() > MAX_KEPT_BODY => Some(Record::Unknown),
        Sent::Whole(reply) => Some(Record::Done(reply.clone())),
        Sent::Broken => Some(Record::Unknown),
        Sent::Busy | Sent::NotRun => None,
    }
}

fn to_attempt(sent: Sent) -> Attempt {
    match sent {
        Sent::Whole(reply) => Attempt::Whole(reply),
        Sent::Busy => Attempt::NotRun(Error::new(Kind::Overloaded, "every slot is taken")),
        Sent::NotRun => Attempt::NotRun(Error::new(Kind::NoUpstream, "the upstream is not there")),
        Sent::Broken => unknown_outcome("the upstream gave no whole answer"),
    }
}
