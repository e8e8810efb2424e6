// SPDX-License-Identifier: Apache-2.0
//! The helper's side: sends calls to workers for the owner, and returns the answers.

use std::{rc::Rc, time::Duration};

use stackpier_cell::{Renewal, Renewed, Start, Started};
use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::codec::decode;
use stackpier_state::job::Record;
use tokio::time::timeout;

use crate::{
    Platform, keys,
    link::Request,
    node::{Node, pause},
};

use super::batch::{Batch, Numbered, Outcome};

/// START_LIMIT bounds a start that is sent for the owner. Workers answer within a few
/// milliseconds; starts that the owner sends itself may take 700 ms.
const START_LIMIT: Duration = Duration::from_millis(300);
/// PAYLOAD_LIMIT bounds reading a payload from the store. With `START_LIMIT` and the way to the
/// owner it leaves time for an answer before the owner gives up the start.
const PAYLOAD_LIMIT: Duration = Duration::from_millis(200);
/// GATHER_MS is how long answers are gathered for one message to the owner. Where tasks end
/// often, several answers share a message.
const GATHER_MS: u64 = 5;
/// ANSWER_LIMIT bounds sending a message with answers: the time that the owner waits for the
/// answer to a start. After half of it the message is sent again, which must not happen already
/// while it only waits on the owner's link.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);

impl<P: Platform> Node<P> {
    /// send_batch sends the calls of a batch to their workers. A second copy of a batch is
    /// ignored.
    pub(crate) fn send_batch(&self, mut batch: Batch) {
        let first = batch.first_number();
        if first.is_some_and(|first| !self.relays.received.borrow_mut().insert(first)) {
            let text = format!(
                "a batch of calls from {} arrived twice, the second copy is ignored",
                batch.owner
            );
            self.log_line("relay", &text);
            return;
        }
        let starts = batch.take_starts(&mut self.relays.payloads.borrow_mut());
        let fence = batch.fence();
        for (job, calls) in starts {
            let (node, owner) = (self.clone(), batch.owner.clone());
            tokio::task::spawn_local(async move {
                let payload = node.find_payload(job).await;
                for Numbered { number, item } in calls {
                    let start = payload
                        .clone()
                        .map(|payload| item.into_start(fence, payload));
                    let (node, owner) = (node.clone(), owner.clone());
                    tokio::task::spawn_local(async move {
                        let item = node.send_start_for(start).await;
                        node.answer_owner(owner, Numbered { number, item }).await;
                    });
                }
            });
        }
        for Numbered { number, item } in batch.take_renewals() {
            let (node, owner) = (self.clone(), batch.owner.clone());
            tokio::task::spawn_local(async move {
                let item = Outcome::Renewed(node.send_renewal_for(&item).await);
                node.answer_owner(owner, Numbered { number, item }).await;
            });
        }
    }

    /// find_payload returns the payload of a job, which the owner has sent or the store has. The
    /// owner sends it if there is none.
    pub(super) async fn find_payload(&self, job: key::Job) -> Option<Rc<str>> {
        let slot = self.relays.payloads.borrow_mut().slot(job);
        let read = slot.get_or_try_init(|| self.read_payload(job));
        match timeout(PAYLOAD_LIMIT, read).await {
            Ok(Ok(payload)) => Some(Rc::clone(payload)),
            Ok(Err(error)) => {
                let text = format!("no payload of job {}: {error}", keys::hex(job));
                self.log_line("relay", &text);
                None
            }
            Err(_) => {
                let text = format!("no payload of job {} in time", keys::hex(job));
                self.log_line("relay", &text);
                None
            }
        }
    }

    async fn read_payload(&self, job: key::Job) -> Result<Rc<str>> {
        if !self.store_answers() {
            return Err(Error::new(
                Kind::StoreUnavailable,
                "the store does not answer",
            ));
        }
        let missing = || Error::new(Kind::NotFound, "the store does not hold the job");
        let item = self.store_get(&keys::job(job)).await?.ok_or_else(missing)?;
        let record: Record = decode(&item.value)?;
        if record.is_trimmed() {
            return Err(missing());
        }
        Ok(Rc::from(record.spec.payload))
    }

    async fn send_start_for(&self, start: Option<Start>) -> Outcome {
        let Some(start) = start else {
            return Outcome::NoPayload;
        };
        let sent = timeout(START_LIMIT, self.platform.start(&start)).await;
        Outcome::Started(sent.unwrap_or(Started::Silent))
    }

    async fn send_renewal_for(&self, renewal: &Renewal) -> Renewed {
        self.platform.renew(renewal).await
    }

    /// answer_owner sends an answer to the owner, together with others that are ready within
    /// `GATHER_MS`.
    async fn answer_owner(&self, owner: String, answer: Numbered<Outcome>) {
        let first = {
            let mut answers = self.relays.answers.borrow_mut();
            let answers = answers.entry(owner.clone()).or_default();
            answers.push(answer);
            answers.len() == 1
        };
        if !first {
            return;
        }
        pause(GATHER_MS).await;
        let Some(answers) = self.relays.answers.borrow_mut().remove(&owner) else {
            return;
        };
        let request = Request::Answers(answers);
        if let Err(error) = self.links.call(&owner, &request, ANSWER_LIMIT).await {
            self.log_line("relay", &format!("cannot send answers to {owner}: {error}"));
        }
    }
}
