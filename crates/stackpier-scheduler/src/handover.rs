// SPDX-License-Identifier: Apache-2.0
//! Hands over to the cell's new owner what its predecessor could not save.
//!
//! The successor requests it when it takes over. A predecessor that was unreachable then
//! sends it when it learns that it was replaced. Both may happen, and the same progress may
//! arrive twice.
//!
//! The successor also asks earlier owners whether they have stopped acting, so that it need not
//! wait for the end of their authority.

use std::time::Duration;

use stackpier_cell::{Event, Unsaved, release};
use stackpier_core::Result;

use crate::{
    Platform,
    authority::Holder,
    link::{Alive, Heartbeat, Request, Response},
    monitor::{HEARTBEAT_MS, HEARTBEAT_TIMEOUT},
    node::{Node, pause},
    owner::Owner,
};

/// QUERY_TIMEOUT bounds the wait for the predecessor's answer. Until the answer arrives or this
/// time has passed, the successor starts no inherited tasks.
const QUERY_TIMEOUT: Duration = Duration::from_millis(350);
/// RETRY_MS is the pause before a message to the successor is sent again.
const RETRY_MS: u64 = 200;
/// HANDOVER_MS is how long a predecessor tries to hand over. No lease lasts longer, so
/// after this time the successor has restarted the tasks that it inherited.
const HANDOVER_MS: u64 = 16_000;
/// JOBS_PER_MESSAGE bounds the size of a message, so that a slow link carries it within the
/// timeout of a request.
const JOBS_PER_MESSAGE: usize = 32;

/// Predecessor is what a daemon that takes the cell over knows of the previous owner.
#[derive(Clone, Debug)]
pub(crate) struct Predecessor {
    /// Whether it may still act as the owner.
    pub may_act: bool,
    /// Whether it released the cell.
    pub released: bool,
    /// How long it, or an owner before it, may still act.
    pub acting_ms: u64,
    /// The address on which it takes messages, if known.
    pub address: Option<String>,
}

impl<P: Platform> Node<P> {
    /// keep_unsaved keeps what a replaced owner could not save and starts sending it to the
    /// successor. It returns the number of jobs.
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

    /// hand_over sends the unsaved jobs until the successor has received them or
    /// [`HANDOVER_MS`] has passed.
    async fn hand_over(&self) {
        let end = self.mono().plus(HANDOVER_MS);
        while self.mono() < end && !self.unsaved.borrow().is_empty() {
            let unsaved = self.unsaved.borrow().clone();
            if self.send_unsaved(&unsaved).await.is_ok() {
                self.unsaved.borrow_mut().drain(..unsaved.len());
                let text = format!("{} unsaved jobs are handed over", unsaved.len());
                self.log_line("owner", &text);
            } else {
                // The successor may be unknown as yet, or still be reading the cell.
                pause(RETRY_MS).await;
            }
        }
        let left = std::mem::take(&mut *self.unsaved.borrow_mut());
        if !left.is_empty() {
            let text = format!("{} unsaved jobs reached no successor", left.len());
            self.log_line("owner", &text);
        }
    }

    /// hand_over_runs starts telling the successor of an owner that was replaced what it has left on
    /// workers, until the successor has received it or [`HANDOVER_MS`] has passed.
    pub(crate) fn hand_over_runs(&self, fence: u64, owner: &Owner) {
        let record = owner.cell.release_cell().record;
        let (node, begun) = (self.clone(), self.mono());
        tokio::task::spawn_local(async move {
            loop {
                let age_ms = node.mono().since(begun);
                if age_ms >= HANDOVER_MS || node.send_runs(fence, record.after(age_ms)).await {
                    return;
                }
                pause(RETRY_MS).await;
            }
        });
    }

    /// send_runs sends the record of the owner with `fence`, and reports whether its direct successor
    /// has received it or has been replaced itself.
    async fn send_runs(&self, fence: u64, record: release::Record) -> bool {
        let known = self.fence();
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        match own {
            _ if known > fence + 1 => true,
            Some(own) => {
                self.feed(own, Event::RunsHandedOver(record));
                true
            }
            None if known <= fence => false,
            None => {
                let request = Request::HandOverRuns(record);
                self.ask_owner(&request).await.is_ok()
            }
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

    /// unsaved_for gives up the cell to the owner with `fence` and returns all unsaved jobs
    /// in one message. If the message is too long to arrive in time on a slow link,
    /// `hand_over` sends the jobs in parts.
    pub(crate) fn unsaved_for(&self, fence: u64) -> Vec<Unsaved> {
        self.depose(fence, "its successor requests the unsaved jobs");
        self.unsaved.borrow().clone()
    }

    /// query_predecessor requests from the predecessor what it could not save, and passes
    /// the answer to the cell.
    pub(crate) async fn query_predecessor(&self, fence: u64, address: &str) {
        let request = Request::Unsaved(fence);
        let answer = self.links.call(address, &request, QUERY_TIMEOUT).await;
        let unsaved = match answer {
            Ok(Response::Unsaved(unsaved)) => unsaved,
            other => {
                let text = format!("the predecessor did not send its unsaved jobs: {other:?}");
                self.log_line("owner", &text);
                Vec::new()
            }
        };
        self.feed(fence, Event::PredecessorAnswered(unsaved));
    }

    /// ask_earlier_owners asks each owner that may still act, until it is known to have stopped.
    pub(crate) fn ask_earlier_owners(&self, fence: u64) {
        let holders: Vec<Holder> = self.authorities.borrow().holders().cloned().collect();
        for holder in holders {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.ask_until_stopped(fence, holder).await });
        }
    }

    /// ask_until_stopped sends heartbeats with the later fence to an earlier owner, which make it
    /// give up the cell. It ends when the owner says that it has, when a new process has registered
    /// on its VM, or when its authority has ended.
    async fn ask_until_stopped(&self, fence: u64, holder: Holder) {
        while self.owns_with(fence) && self.may_act(&holder) {
            let restarted = self.is_gone(&holder);
            if restarted || self.says_stopped(fence, &holder).await {
                self.record_stopped(fence, &holder, restarted);
                return;
            }
            pause(HEARTBEAT_MS).await;
        }
    }

    fn may_act(&self, holder: &Holder) -> bool {
        let now = self.mono();
        self.authorities.borrow().may_act(holder, now)
    }

    async fn says_stopped(&self, fence: u64, holder: &Holder) -> bool {
        let answer = self.ask_alive(fence, &holder.address).await;
        answer.is_some_and(|alive| holder.has_stopped(&alive, fence))
    }

    /// ask_alive sends a heartbeat to the daemon at an address.
    async fn ask_alive(&self, fence: u64, address: &str) -> Option<Alive> {
        let request = Request::Heartbeat(Heartbeat {
            vm: self.settings.vm.clone(),
            fence,
            config: self.config_version(),
        });
        match self.links.call(address, &request, HEARTBEAT_TIMEOUT).await {
            Ok(Response::Alive(alive)) => Some(alive),
            // It is asked again, and counts as acting until then.
            Ok(_) | Err(_) => None,
        }
    }

    /// record_stopped records that an earlier owner does not act any more, and tells the cell.
    fn record_stopped(&self, fence: u64, holder: &Holder, restarted: bool) {
        self.authorities
            .borrow_mut()
            .remove(holder.boot, holder.fence);
        let acting_ms = self.acting_ms();
        let how = match restarted {
            true => "a new process has registered on its VM",
            false => "it answers that it does not own the cell",
        };
        let text = format!(
            "{} with fence {} has stopped acting: {how}; other earlier owners act for {acting_ms} \
             ms more at most",
            holder.vm, holder.fence
        );
        self.log_line("owner", &text);
        self.feed(fence, Event::PredecessorStopped { acting_ms });
    }
}
