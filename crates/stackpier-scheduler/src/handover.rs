// SPDX-License-Identifier: Apache-2.0
//! Handing over what an owner could not save to the daemon that owns the cell next.
//!
//! The successor asks for it as it takes over. An owner that was cut off by then sends it
//! when it learns that it was replaced. Both may happen, and either may come twice.

use std::time::Duration;

use stackpier_cell::{Event, Unsaved};
use stackpier_core::Result;

use crate::{
    Platform,
    link::{Request, Response},
    node::{Node, pause},
    owner::Owner,
};

/// QUERY_TIMEOUT bounds asking the earlier owner. Inherited tasks wait for as long.
const QUERY_TIMEOUT: Duration = Duration::from_millis(350);
/// RETRY_MS is the pause before a message to the successor is sent again.
const RETRY_MS: u64 = 200;
/// HANDOVER_MS is for how long an earlier owner tries: by then its successor has started again
/// what it inherited, as no lease lasts longer.
const HANDOVER_MS: u64 = 16_000;
/// JOBS_PER_MESSAGE bounds a message: a slow link carries it within the time of a question.
const JOBS_PER_MESSAGE: usize = 32;

/// Predecessor is what a daemon that takes the cell over knows of the owner before it.
#[derive(Clone, Debug)]
pub(crate) struct Predecessor {
    /// Whether it may still act.
    pub may_act: bool,
    /// Where it takes messages, if that is known.
    pub address: Option<String>,
}

impl<P: Platform> Node<P> {
    /// keep_unsaved keeps what an owner that was replaced could not save, and has it sent to its
    /// successor. It returns for how many jobs.
    pub(crate) fn keep_unsaved(&self, owner: &Owner) -> usize {
        let unsaved = owner.cell.unsaved();
        let jobs = unsaved.len();
        let is_sending = !self.unsaved.borrow().is_empty();
        self.unsaved.borrow_mut().extend(unsaved);
        if jobs > 0 && !is_sending {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.hand_over().await });
        }
        jobs
    }

    /// hand_over sends what is kept until the successor has it or nobody waits for it any more.
    async fn hand_over(&self) {
        let end = self.mono().plus(HANDOVER_MS);
        while self.mono() < end && !self.unsaved.borrow().is_empty() {
            let unsaved = self.unsaved.borrow().clone();
            if self.send_unsaved(&unsaved).await.is_ok() {
                self.unsaved.borrow_mut().drain(..unsaved.len());
                let text = format!("{} unsaved jobs are handed over", unsaved.len());
                self.say("owner", &text);
            } else {
                // The successor may not be known yet, or is still reading the cell.
                pause(RETRY_MS).await;
            }
        }
        let left = std::mem::take(&mut *self.unsaved.borrow_mut());
        if !left.is_empty() {
            let text = format!("{} unsaved jobs reached no successor", left.len());
            self.say("owner", &text);
        }
    }

    async fn send_unsaved(&self, unsaved: &[Unsaved]) -> Result<()> {
        for jobs in unsaved.chunks(JOBS_PER_MESSAGE) {
            let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
            match own {
                Some(fence) => self.feed(fence, Event::HandedOver(jobs.to_vec())),
                None => {
                    let request = Request::HandOver(jobs.to_vec());
                    self.ask_owner(&request).await?;
                }
            }
        }
        Ok(())
    }

    /// unsaved_for answers the daemon that owns the cell with a fence, in one message. What is
    /// too long to come in time on a slow link is sent in parts by `hand_over`.
    pub(crate) fn unsaved_for(&self, fence: u64) -> Vec<Unsaved> {
        self.depose(fence, "its successor asks for what is not saved");
        self.unsaved.borrow().clone()
    }

    /// query_predecessor asks the earlier owner for what it could not save.
    pub(crate) async fn query_predecessor(&self, fence: u64, address: &str) {
        let request = Request::Unsaved(fence);
        let asked = self.links.call(address, &request, QUERY_TIMEOUT).await;
        let unsaved = match asked {
            Ok(Response::Unsaved(unsaved)) => unsaved,
            other => {
                let text = format!("the earlier owner did not tell what is not saved: {other:?}");
                self.say("owner", &text);
                Vec::new()
            }
        };
        self.feed(fence, Event::PredecessorAnswered(unsaved));
    }
}
