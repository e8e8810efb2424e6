// SPDX-License-Identifier: Apache-2.0
//! The messages between an owner and the daemons that call workers for it, and the
//! payloads of jobs that both sides keep.

use std::{collections::VecDeque, rc::Rc};

use serde::{Deserialize, Serialize};
use stackpier_cell::{self as cell, Renewal, Renewed, Start, Started, TaskName, WorkerKey};
use stackpier_core::key;

use super::recent::Recent;

/// KEPT is how many payloads a daemon keeps. The tasks of a job start over some seconds,
/// in which a large cell of today's users takes 60 jobs; the largest payload has 4,000
/// bytes, so this is half a megabyte at most.
pub(super) const KEPT: usize = 128;

/// Batch is calls to workers that another daemon is to send.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Where the owner takes the answers.
    pub(super) owner: String,
    /// The owner's fence.
    fence: u64,
    /// The payloads that the other daemon is not known to have.
    payloads: Vec<Payload>,
    starts: Vec<Numbered<Order>>,
    looks: Vec<Numbered<Look>>,
}

/// Numbered is a call or an answer with the owner's number of the call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Numbered<T> {
    /// The number.
    pub number: u64,
    /// The call or the answer.
    pub item: T,
}

/// Payload is the payload of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Payload {
    job: key::Job,
    text: String,
}

/// Order is a start.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Order {
    address: String,
    /// The life of the worker that is meant.
    life: String,
    task: TaskName,
    run: u32,
    /// The end of the lease, by the worker's clock in milliseconds.
    deadline_ms: u64,
    checkpoint: Option<String>,
    ticket: Option<String>,
}

/// Look is a hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Look {
    address: String,
    /// The life of the worker that is meant.
    life: String,
    deadline_ms: Option<u64>,
    noted: u64,
    wait_ms: u64,
}

/// Outcome is the answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    /// The start was sent, and this is the worker's answer.
    Started(Started),
    /// The start was not sent, as its job's payload is not known.
    NoPayload,
    /// The worker's answer to a look.
    Held(Renewed),
}

impl Batch {
    /// new holds no calls. Answers go to `owner`.
    pub fn new(owner: String) -> Batch {
        Batch {
            owner,
            fence: 0,
            payloads: Vec::new(),
            starts: Vec::new(),
            looks: Vec::new(),
        }
    }

    /// add_start adds a start, with its payload if the other daemon is not known to have
    /// it. The owner gives no other call the same number.
    pub fn add_start(&mut self, number: u64, start: &Start, known: &mut Recent<key::Job>) {
        let job = start.order.task.job;
        self.fence = start.order.fence;
        if known.insert(job) {
            self.payloads.push(Payload {
                job,
                text: start.payload.to_string(),
            });
        }
        let item = Order {
            address: start.order.address.clone(),
            life: start.order.worker_id.clone(),
            task: start.order.task,
            run: start.order.run,
            deadline_ms: start.deadline_ms,
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        };
        self.starts.push(Numbered { number, item });
    }

    /// add_look adds a look at a worker.
    pub(super) fn add_look(&mut self, number: u64, hold: &Renewal) {
        self.fence = hold.fence;
        let item = Look {
            address: hold.address.clone(),
            life: hold.worker_id.clone(),
            deadline_ms: hold.deadline_ms,
            noted: hold.acked,
            wait_ms: hold.wait_ms,
        };
        self.looks.push(Numbered { number, item });
    }

    /// sorts returns of how many sorts of calls there are any.
    pub(super) fn sorts(&self) -> u32 {
        u32::from(!self.starts.is_empty()) + u32::from(!self.looks.is_empty())
    }

    /// numbers returns the numbers of all calls.
    pub(super) fn numbers(&self) -> Vec<u64> {
        let starts = self.starts.iter().map(|start| start.number);
        starts
            .chain(self.looks.iter().map(|look| look.number))
            .collect()
    }

    /// first returns the number of the first call, which no other batch has: each process
    /// numbers its calls from a random start.
    pub(super) fn first(&self) -> Option<u64> {
        let start = self.starts.first().map(|start| start.number);
        start.or(self.looks.first().map(|look| look.number))
    }

    /// take_starts returns the starts, `None` for those without a payload.
    pub(super) fn take_starts(&mut self, payloads: &mut Payloads) -> Vec<Numbered<Option<Start>>> {
        for payload in self.payloads.drain(..) {
            payloads.insert(payload.job, payload.text);
        }
        let fence = self.fence;
        let start = |Numbered { number, item }: Numbered<Order>| Numbered {
            number,
            item: item.start(fence, payloads),
        };
        self.starts.drain(..).map(start).collect()
    }

    /// take_looks returns the looks.
    pub(super) fn take_looks(&mut self) -> Vec<Numbered<Renewal>> {
        let fence = self.fence;
        let look = |Numbered { number, item }: Numbered<Look>| Numbered {
            number,
            item: item.hold(fence),
        };
        self.looks.drain(..).map(look).collect()
    }
}

impl Order {
    fn start(self, fence: u64, payloads: &Payloads) -> Option<Start> {
        let payload = payloads.get(self.task.job)?;
        Some(Start {
            order: cell::Order {
                // Only the owner's arena knows the run.
                key: Default::default(),
                address: self.address,
                worker_id: self.life,
                task: self.task,
                run: self.run,
                fence,
            },
            data_centre: String::new(),
            payload,
            deadline_ms: self.deadline_ms,
            checkpoint: self.checkpoint,
            ticket: self.ticket,
        })
    }
}

impl Look {
    fn hold(self, fence: u64) -> Renewal {
        Renewal {
            // Only the owner's arena knows the worker.
            worker: WorkerKey::default(),
            data_centre: String::new(),
            address: self.address,
            worker_id: self.life,
            fence,
            deadline_ms: self.deadline_ms,
            acked: self.noted,
            wait_ms: self.wait_ms,
        }
    }
}

/// Payloads are the latest payloads that a daemon was sent.
#[derive(Debug, Default)]
pub(super) struct Payloads {
    latest: VecDeque<(key::Job, Rc<str>)>,
}

impl Payloads {
    fn insert(&mut self, job: key::Job, text: String) {
        self.latest.retain(|(other, _)| *other != job);
        self.latest.push_back((job, Rc::from(text)));
        if self.latest.len() > KEPT {
            self.latest.pop_front();
        }
    }

    fn get(&self, job: key::Job) -> Option<Rc<str>> {
        let found = self.latest.iter().rev().find(|(other, _)| *other == job);
        found.map(|(_, text)| Rc::clone(text))
    }
}
