// SPDX-License-Identifier: Apache-2.0
//! Cancels jobs for client accounts, and tells the owner of the cell of cancellations.

use stackpier_cell::Event;
use stackpier_core::{Kind, Result, key};
use stackpier_protocol::codec::decode;
use stackpier_state::job::{Progress, State};
use tokio::time::Instant;

use crate::{
    Platform,
    jobs::{RETRY_MS, unreadable},
    keys,
    link::{Request, Response},
    node::{Node, pause},
    retry::Cause,
    store::{Committed, Item},
    submission,
};

impl<P: Platform> Node<P> {
    /// cancel writes the cancellation of a job to the store and notifies the owner.
    /// It returns whether there is such a job.
    pub async fn cancel(&self, job: key::Job) -> Result<bool> {
        let end = self.write_deadline();
        match self.reachable_state(job, end).await? {
            None => return Ok(false),
            Some(state) if state.is_final() => return Ok(true),
            Some(_) => {}
        }
        let mut unconfirmed = false;
        while Instant::now() < end {
            match self.commit(&submission::cancellation(job), end).await {
                Committed::Done(_) => {
                    self.notify_cancelled(job);
                    return Ok(true);
                }
                Committed::Unknown => unconfirmed = true,
                Committed::Conflict(_) | Committed::Refused => {}
            }
            pause(RETRY_MS).await;
        }
        let why = "the store did not confirm the cancellation in time";
        Err(self.refuse_for(Cause::Store, job, why, unconfirmed))
    }

    /// reachable_state returns the state of a job, or `None` if there is no such job. A peer reads it
    /// if this daemon can't reach the store.
    async fn reachable_state(&self, job: key::Job, end: Instant) -> Result<Option<State>> {
        if let Some(state) = self.owner_state(job).await {
            return Ok(Some(state));
        }
        if self.store_answers()
            && let Ok(state) = self.stored_state(job).await
        {
            return Ok(state);
        }
        let inquiry = submission::inquiry(job);
        match self.commit_through_peer(&inquiry, end).await {
            Committed::Done(_) => Ok(None),
            Committed::Conflict(items) => self.found_state(job, &items),
            Committed::Refused | Committed::Unknown => {
                let why = "neither this daemon nor a peer can read the job's state";
                Err(self.refuse_for(Cause::Store, job, why, false))
            }
        }
    }

    /// found_state returns the state of a job by what the store holds about it, and passes its
    /// cancellation to the owner if that is there.
    fn found_state(&self, job: key::Job, items: &[Item]) -> Result<Option<State>> {
        if let Some(item) = submission::find(items, &keys::progress(job)) {
            let progress: Progress =
                decode(&item.value).map_err(|error| unreadable(Kind::StoreUnavailable, &error))?;
            if progress.state != State::Pending {
                return Ok(Some(progress.state));
            }
        }
        if submission::find(items, &keys::job(job)).is_none() {
            return Ok(None);
        }
        if submission::find(items, &keys::cancel(job)).is_none() {
            return Ok(Some(State::Pending));
        }
        self.notify_cancelled(job);
        Ok(Some(State::Cancelled))
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
