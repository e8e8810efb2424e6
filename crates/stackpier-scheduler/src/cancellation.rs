// SPDX-License-Identifier: Apache-2.0
//! Cancels jobs for client accounts, and tells the owner of the cell of cancellations.

use stackpier_cell::Event;
use stackpier_core::{Result, key};
use stackpier_state::job::State;
use tokio::time::Instant;

use crate::{
    Platform,
    jobs::RETRY_MS,
    keys,
    link::{Request, Response},
    node::{Node, pause},
    retry::Cause,
    store::Committed,
    submission,
};

impl<P: Platform> Node<P> {
    /// cancel cancels a job, and returns whether there is such a job. If there is none, its tombstone
    /// is in the store, so that a submission that is still on its way is not accepted.
    pub async fn cancel(&self, job: key::Job) -> Result<bool> {
        let (end, asked) = (self.write_deadline(), self.mono());
        let state = self.known_state(job).await;
        self.log_state(job, state, self.mono().since(asked));
        if state.is_some_and(State::is_final) {
            return Ok(true);
        }
        if state.is_none() && self.write_tombstone(job, end).await? {
            return Ok(false);
        }
        self.write_cancellation(job, end).await?;
        Ok(true)
    }

    /// log_state logs the state on which a cancellation is decided.
    fn log_state(&self, job: key::Job, state: Option<State>, took_ms: u64) {
        let shown = match state {
            Some(state) => format!("{state:?}"),
            None => "known neither to the owner nor to the store".to_owned(),
        };
        let text = format!("cancelled by its client account: {shown}, read in {took_ms} ms");
        self.log_about("cancellation", Some(keys::hex(job)), &text);
    }

    /// write_cancellation writes the cancellation of a job that is in the store, and notifies the
    /// owner.
    async fn write_cancellation(&self, job: key::Job, end: Instant) -> Result<()> {
        let mut unconfirmed = false;
        while Instant::now() < end {
            match self.commit(&submission::cancellation(job), end).await {
                Committed::Done(_) => {
                    self.notify_cancelled(job);
                    return Ok(());
                }
                Committed::Unknown => unconfirmed = true,
                Committed::Conflict(_) | Committed::Refused => {}
            }
            pause(RETRY_MS).await;
        }
        let why = "the store did not confirm the cancellation in time";
        Err(self.refuse_for(Cause::Store, job, why, unconfirmed))
    }

    /// known_state returns the state of a job as the owner or the store has it, or `None` if neither
    /// shows the job. The condition of its tombstone decides whether it is in the store.
    async fn known_state(&self, job: key::Job) -> Option<State> {
        if let Some(state) = self.owner_state(job).await {
            return Some(state);
        }
        if !self.store_answers() {
            return None;
        }
        match self.stored_state(job).await {
            Ok(state) => state,
            Err(error) => {
                let text = format!("its state can't be read: {error}");
                self.log_about("cancellation", Some(keys::hex(job)), &text);
                None
            }
        }
    }

    /// notify_cancelled passes a cancellation that is in the store to the owner, which may be this
    /// daemon. Messages to another one are repeated until an owner accepts one or `cancel_ms` has
    /// passed: after that no owner starts tasks without having seen the cancellation in the store.
    pub(crate) fn notify_cancelled(&self, job: key::Job) {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let Some(fence) = own {
            self.feed(fence, Event::Cancelled(job));
            return;
        }
        let until = self.mono().plus(self.settings.cancel_ms);
        let is_sending = !self.cancellations.borrow().is_empty();
        self.cancellations.borrow_mut().add(job, until);
        if !is_sending {
            let node = self.clone();
            tokio::task::spawn_local(async move { node.send_cancellations().await });
        }
    }

    /// send_cancellations sends cancellations, one message at a time, until none waits.
    async fn send_cancellations(&self) {
        loop {
            let expired = self.cancellations.borrow_mut().expire(self.mono());
            if expired > 0 {
                let text = format!("{expired} cancellations were accepted by no owner in time");
                self.log_line("cancellation", &text);
            }
            let batch = self.cancellations.borrow().batch();
            if batch.is_empty() {
                return;
            }
            match self.send_cancelled(&batch).await {
                Ok(()) => self.cancellations.borrow_mut().record_accepted(&batch),
                Err(error) => {
                    let pause_ms = self.cancellations.borrow_mut().record_failed();
                    let text = format!("sent again in {pause_ms} ms: {error}");
                    self.log_line("cancellation", &text);
                    pause(pause_ms).await;
                }
            }
        }
    }

    /// send_cancelled passes cancellations to the owner, in one message to another daemon.
    async fn send_cancelled(&self, jobs: &[key::Job]) -> Result<()> {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let Some(fence) = own {
            return self.take_cancelled(fence, jobs).into_result();
        }
        let request = match jobs {
            [job] => Request::Cancelled(*job),
            jobs => Request::CancelledJobs(jobs.to_vec()),
        };
        self.ask_owner(&request).await?.into_result()
    }

    /// take_cancelled passes cancellations to the cell, and answers whether it took them all.
    pub(crate) fn take_cancelled(&self, fence: u64, jobs: &[key::Job]) -> Response {
        for job in jobs {
            self.feed(fence, Event::Cancelled(*job));
        }
        match self.owns_with(fence) {
            true => Response::Flag(true),
            false => Response::NotOwner,
        }
    }
}
