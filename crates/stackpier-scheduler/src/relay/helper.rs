// SPDX-License-Identifier: Apache-2.0
//! The helper's side: sends calls to workers for the owner, and returns the answers.

use std::time::Duration;

use stackpier_cell::{Renewal, Renewed, Start, Started};
use tokio::time::timeout;

use crate::{
    Platform,
    link::Request,
    node::{Node, pause},
};

use super::batch::{Batch, Numbered, Outcome};

/// START_LIMIT bounds a start that is sent for the owner. Workers answer within a few
/// milliseconds; starts that the owner sends itself may take 700 ms.
const START_LIMIT: Duration = Duration::from_millis(300);
/// GATHER_MS is how long answers are gathered for one message to the owner. Where tasks end
/// often, several answers share a message.
const GATHER_MS: u64 = 5;
/// ANSWER_LIMIT bounds sending a message with answers. The owner waits no longer for them.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

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
        for Numbered { number, item } in starts {
            let (node, owner) = (self.clone(), batch.owner.clone());
            tokio::task::spawn_local(async move {
                let item = node.send_start_for(item).await;
                node.answer_owner(owner, Numbered { number, item }).await;
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
