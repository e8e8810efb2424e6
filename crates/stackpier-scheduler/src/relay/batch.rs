// SPDX-License-Identifier: Apache-2.0
//! The messages between the owner and its helpers, and the payloads of jobs that helpers keep.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

use serde::{Deserialize, Serialize};
use stackpier_cell::{self as cell, Renewal, Renewed, Start, Started, TaskName, WorkerKey};
use stackpier_core::key;
use tokio::sync::OnceCell;

/// MAX_PAYLOADS is how many payloads a helper keeps, and for how many jobs the owner remembers
/// that the helper has the payload. The tasks of a job start within some seconds, during which
/// a large cell accepts 60 jobs. A payload has at most 4,000 bytes, so all of them take half a
/// megabyte at most.
pub(super) const MAX_PAYLOADS: usize = 128;

/// Batch holds calls to workers that a helper sends for the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// The address to which the answers go.
    pub(super) owner: String,
    /// The owner's fence.
    fence: u64,
    /// Payloads that the helper may lack. It reads others from the store.
    payloads: Vec<Payload>,
    starts: Vec<Numbered<StartCall>>,
    #[serde(rename = "looks")]
    renewals: Vec<Numbered<RenewalCall>>,
}

/// Numbered pairs a call or an answer with the number that the owner gave the call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Numbered<T> {
    /// The number of the call.
    pub number: u64,
    /// The call or the answer.
    pub item: T,
}

/// Payload holds the payload of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Payload {
    job: key::Job,
    text: String,
}

/// StartCall orders a start, without the job's payload.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StartCall {
    address: String,
    /// The id of the worker that the call is for, which all its incarnations share.
    #[serde(rename = "life")]
    worker_id: String,
    task: TaskName,
    run: u32,
    /// The end of the lease, by the worker's clock in milliseconds.
    deadline_ms: u64,
    checkpoint: Option<String>,
    ticket: Option<String>,
}

/// RenewalCall orders a lease renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RenewalCall {
    address: String,
    /// The id of the worker that the call is for, which all its incarnations share.
    #[serde(rename = "life")]
    worker_id: String,
    deadline_ms: Option<u64>,
    #[serde(rename = "noted")]
    acked: u64,
    wait_ms: u64,
}

/// Outcome holds the answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    /// The start was sent, and this is the worker's answer.
    Started(Started),
    /// The start was not sent, as the helper does not have the job's payload.
    NoPayload,
    /// The worker's answer to a lease renewal.
    #[serde(rename = "Held")]
    Renewed(Renewed),
}

impl Batch {
    /// new returns an empty batch whose answers go to the address `owner`.
    pub fn new(owner: String) -> Batch {
        Batch {
            owner,
            fence: 0,
            payloads: Vec::new(),
            starts: Vec::new(),
            renewals: Vec::new(),
        }
    }

    /// add_start adds a start, and its job's payload if the batch shall carry it. No two calls
    /// of the owner have the same number.
    pub fn add_start(&mut self, number: u64, start: &Start, carries_payload: bool) {
        let job = start.order.task.job;
        self.fence = start.order.fence;
        if carries_payload {
            self.payloads.push(Payload {
                job,
                text: start.payload.to_string(),
            });
        }
        let item = StartCall {
            address: start.order.address.clone(),
            worker_id: start.order.worker_id.clone(),
            task: start.order.task,
            run: start.order.run,
            deadline_ms: start.deadline_ms,
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        };
        self.starts.push(Numbered { number, item });
    }

    /// add_renewal adds a lease renewal.
    pub(super) fn add_renewal(&mut self, number: u64, renewal: &Renewal) {
        self.fence = renewal.fence;
        let item = RenewalCall {
            address: renewal.address.clone(),
            worker_id: renewal.worker_id.clone(),
            deadline_ms: renewal.deadline_ms,
            acked: renewal.acked,
            wait_ms: renewal.wait_ms,
        };
        self.renewals.push(Numbered { number, item });
    }

    /// count_kinds returns how many kinds of calls, starts and renewals, the batch contains.
    pub(super) fn count_kinds(&self) -> u32 {
        u32::from(!self.starts.is_empty()) + u32::from(!self.renewals.is_empty())
    }

    /// numbers returns the numbers of all calls.
    pub(super) fn numbers(&self) -> Vec<u64> {
        let starts = self.starts.iter().map(|start| start.number);
        starts
            .chain(self.renewals.iter().map(|renewal| renewal.number))
            .collect()
    }

    /// first_number returns the number of the first call. It identifies the batch, as each process
    /// numbers its calls from a random start.
    pub(super) fn first_number(&self) -> Option<u64> {
        let start = self.starts.first().map(|start| start.number);
        start.or(self.renewals.first().map(|renewal| renewal.number))
    }

    /// take_starts stores the payloads, and removes and returns the starts by job.
    pub(super) fn take_starts(
        &mut self,
        payloads: &mut Payloads,
    ) -> BTreeMap<key::Job, Vec<Numbered<StartCall>>> {
        for payload in self.payloads.drain(..) {
            payloads.insert(payload.job, payload.text);
        }
        let mut starts: BTreeMap<key::Job, Vec<_>> = BTreeMap::new();
        for start in self.starts.drain(..) {
            starts.entry(start.item.task.job).or_default().push(start);
        }
        starts
    }

    /// fence returns the owner's fence.
    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    /// take_renewals removes and returns the renewals.
    pub(super) fn take_renewals(&mut self) -> Vec<Numbered<Renewal>> {
        let fence = self.fence;
        let renewal = |Numbered { number, item }: Numbered<RenewalCall>| Numbered {
            number,
            item: item.into_renewal(fence),
        };
        self.renewals.drain(..).map(renewal).collect()
    }
}

impl StartCall {
    /// into_start returns the start of an owner with `fence`, with the payload of its job.
    pub(super) fn into_start(self, fence: u64, payload: Rc<str>) -> Start {
        Start {
            order: cell::Order {
                // Keys of runs are only valid in the owner.
                key: Default::default(),
                address: self.address,
                worker_id: self.worker_id,
                task: self.task,
                run: self.run,
                fence,
            },
            data_centre: String::new(),
            payload,
            deadline_ms: self.deadline_ms,
            checkpoint: self.checkpoint,
            ticket: self.ticket,
        }
    }
}

impl RenewalCall {
    fn into_renewal(self, fence: u64) -> Renewal {
        Renewal {
            // Keys of workers are only valid in the owner.
            worker: WorkerKey::default(),
            data_centre: String::new(),
            address: self.address,
            worker_id: self.worker_id,
            fence,
            deadline_ms: self.deadline_ms,
            acked: self.acked,
            wait_ms: self.wait_ms,
        }
    }
}

/// Slot holds the payload of a job: empty until the payload has been received or read.
pub(super) type Slot = Rc<OnceCell<Rc<str>>>;

/// Payloads holds the latest payloads that a helper was sent or has read, by job.
#[derive(Debug, Default)]
pub(super) struct Payloads {
    latest: VecDeque<(key::Job, Slot)>,
}

impl Payloads {
    fn insert(&mut self, job: key::Job, text: String) {
        // The payload of a job never changes, so one that is already there can stay.
        let _ = self.slot(job).set(Rc::from(text));
    }

    /// slot returns the slot of a job. The oldest one is removed if there are too many.
    pub(super) fn slot(&mut self, job: key::Job) -> Slot {
        let found = self.latest.iter().rev().find(|(other, _)| *other == job);
        if let Some((_, slot)) = found {
            return Rc::clone(slot);
        }
        let slot = Slot::default();
        self.latest.push_back((job, Rc::clone(&slot)));
        if self.latest.len() > MAX_PAYLOADS {
            self.latest.pop_front();
        }
        slot
    }
}
