// SPDX-License-Identifier: Apache-2.0
//! The message with the starts that another daemon is to send, and the payloads of jobs
//! that both sides keep.

use std::{
    collections::{HashSet, VecDeque},
    rc::Rc,
};

use serde::{Deserialize, Serialize};
use stackpier_cell::{self as cell, Start, Started, TaskName};
use stackpier_core::key;

/// KEPT is how many payloads a daemon keeps. The tasks of a job start over some seconds,
/// in which a large cell of today's users takes 60 jobs; the largest payload has 4,000
/// bytes, so this is half a megabyte at most.
const KEPT: usize = 128;

/// Batch is starts that another daemon is to send.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Batch {
    /// The owner's fence.
    fence: u64,
    /// The payloads that the other daemon is not known to have.
    payloads: Vec<Payload>,
    orders: Vec<Order>,
}

/// Payload is the payload of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Payload {
    job: key::Job,
    text: String,
}

/// Order is one start of a batch.
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

/// Outcome is what became of one start of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was sent, and this is the worker's answer.
    Sent(Started),
    /// It was not sent, as its job's payload is not known.
    NoPayload,
}

impl Batch {
    /// add adds a start, with its payload if the other daemon is not known to have it.
    pub(super) fn add(&mut self, start: &Start, known: &mut Known) {
        let job = start.order.task.job;
        self.fence = start.order.fence;
        if known.insert(job) {
            self.payloads.push(Payload {
                job,
                text: start.payload.to_string(),
            });
        }
        self.orders.push(Order {
            address: start.order.address.clone(),
            life: start.order.life.clone(),
            task: start.order.task,
            run: start.order.run,
            deadline_ms: start.deadline_ms,
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        });
    }

    /// starts returns the starts of a batch, `None` for those without a payload.
    pub(super) fn starts(self, payloads: &mut Payloads) -> Vec<Option<Start>> {
        for payload in self.payloads {
            payloads.insert(payload.job, payload.text);
        }
        let orders = self.orders.into_iter();
        orders
            .map(|order| order.start(self.fence, payloads))
            .collect()
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
                life: self.life,
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

/// Known is the jobs whose payloads another daemon was sent and still keeps.
#[derive(Debug, Default)]
pub(super) struct Known {
    jobs: HashSet<key::Job>,
    order: VecDeque<key::Job>,
}

impl Known {
    /// insert notes a job and tells whether it is new.
    fn insert(&mut self, job: key::Job) -> bool {
        if !self.jobs.insert(job) {
            return false;
        }
        self.order.push_back(job);
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        true
    }

    /// remove notes that the other daemon does not have a payload after all.
    pub(super) fn remove(&mut self, job: key::Job) {
        self.jobs.remove(&job);
        self.order.retain(|other| *other != job);
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
