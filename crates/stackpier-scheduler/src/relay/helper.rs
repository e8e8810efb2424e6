// SPDX-License-Identifier: Apache-2.0
//! The side of a daemon that calls workers for the owner.

use std::time::Duration;

use stackpier_cell::{Renewal, Renewed, Start, Started};
use tokio::time::timeout;

use crate::{
    Platform,
    link::Request,
    node::{Node, pause},
};

use super::batch::{Batch, Numbered, Outcome};

/// START_LIMIT bounds a start that is sent for the owner: workers answer within some
/// milliseconds, and the owner's own calls wait for 700 ms.
const START_LIMIT: Duration = Duration::from_millis(300);
/// GATHER_MS is how long answers are gathered: more than one of them goes into a message
/// where work ends often.
const GATHER_MS: u64 = 5;
/// ANSWER_LIMIT bounds a message with answers: the owner waits no longer.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

impl<P: Platform> Node<P> {
    /// call_for sends the calls of a batch to their workers, unless it is a second copy.
    pub(crate) fn call_for(&self, mut batch: Batch) {
        let first = batch.first();
        if first.is_some_and(|first| !self.relays.taken.borrow_mut().insert(first)) {
            let text = format!("calls of {} came twice and are sent once", batch.owner);
            self.say("relay", &text);
            return;
        }
        let starts = batch.take_starts(&mut self.relays.payloads.borrow_mut());
        for Numbered { number, item } in starts {
            let (node, owner) = (self.clone(), batch.owner.clone());
            tokio::task::spawn_local(async move {
                let item = node.start_for(item).await;
                node.answer_owner(owner, Numbered { number, item }).await;
            });
        }
        for Numbered { number, item } in batch.take_looks() {
            let (node, owner) = (self.clone(), batch.owner.clone());
            tokio::task::spawn_local(async move {
                let item = Outcome::Held(node.hold_for(&item).await);
                node.answer_owner(owner, Numbered { number, item }).await;
            });
        }
    }

    async fn start_for(&self, start: Option<Start>) -> Outcome {
        let Some(start) = start else {
            return Outcome::NoPayload;
        };
        let sent = timeout(START_LIMIT, self.platform.start(&start)).await;
        Outcome::Started(sent.unwrap_or(Started::Silent))
    }

    async fn hold_for(&self, hold: &Renewal) -> Renewed {
        self.platform.hold(hold).await
    }

    /// answer_owner sends an answer, with others that come within a short while.
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
            self.say("relay", &format!("answers did not reach {owner}: {error}"));
        }
    }
}
