// SPDX-License-Identifier: Apache-2.0
//! What client accounts ask: to take a job, to tell its state, to cancel it,
//! and to count the jobs that wait. Any daemon answers.

use std::time::Duration;

use stackpier_cell::{Event, Queue};
use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::codec::{decode, encode};
use stackpier_state::job::{Progress, Record, Spec, State};
use tokio::time::Instant;

use crate::{
    Platform,
    keys::{self, OWNER},
    link::{Request, Response},
    node::{Node, Owned, pause},
    store::{Committed, Condition, Item, Put, Transaction},
};

/// TAKE_LIMIT is how long a daemon tries to get a job into the store. Clients
/// wait three seconds, and need time for another daemon.
const TAKE_LIMIT: Duration = Duration::from_millis(1_600);
/// LAST_TRY_MS is how long before the end of a planned stop the last try to write begins: it
/// takes 0.65 s at most, by way of a peer, and its answer has to reach the client.
const LAST_TRY_MS: u64 = 800;
/// PASS_LIMIT bounds passing a write on to a peer.
const PASS_LIMIT: Duration = Duration::from_millis(500);
/// STORE_LIMIT bounds asking a peer whether it has the store: some round trips
/// between data centres.
const STORE_LIMIT: Duration = Duration::from_millis(150);
/// PASSES is how many peers a write may be passed to.
const PASSES: usize = 4;
/// RETRY_MS is the pause between two tries.
const RETRY_MS: u64 = 50;
/// ASK_LIMIT bounds a question to the owner.
const ASK_LIMIT: Duration = Duration::from_millis(350);
/// TELL_TRIES is how often the owner is told of a job. It also finds the job
/// in the store.
const TELL_TRIES: usize = 2;
/// COME_BACK_MS is when a client should come back after a refusal: a take-over
/// or a short outage lasts about this long.
const COME_BACK_MS: u64 = 1_000;

/// Source is how the owner learns of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A client account handed it in here, or asked for it.
    Client,
    /// Another daemon's message.
    Message,
    /// The watch of the store, or a later listing.
    Watch,
    /// The reading of the cell at a take-over, with the progress of all jobs.
    Store,
}

impl<P: Platform> Node<P> {
    /// submit keeps a job in the store and tells the owner. It returns `Ok`
    /// once the job is kept, now or earlier. An error of a kind that has not
    /// run means that the job was not taken and never runs.
    pub async fn submit(&self, job: key::Job, queue: &Queue, spec: Spec) -> Result<()> {
        let end = self.last_try();
        if Instant::now() >= end {
            return Err(refusal("this daemon is about to end", false));
        }
        // Whether an earlier try may have been done.
        let mut unclear = false;
        while Instant::now() < end {
            let owned = self.owned.borrow().clone();
            let Some(owned) = owned else {
                return Err(refusal("no owner of the cell is known", unclear));
            };
            let record = Record {
                queue: queue.clone(),
                spec: spec.clone(),
                fence: owned.ownership.fence,
                accepted_ms: self.now().unix.0,
            };
            match self.commit(&acceptance(job, &record, &owned)?, end).await {
                Committed::Done(_) => {
                    self.accepted(job, record);
                    return Ok(());
                }
                Committed::Conflict(items) => {
                    if self.settle(job, &items)? {
                        return Ok(());
                    }
                    if !items.iter().any(|item| item.key == OWNER) {
                        return Err(refusal("the cell has no owner", unclear));
                    }
                }
                Committed::Refused if unclear => pause(RETRY_MS).await,
                Committed::Refused => return Err(refusal("the store takes no writes", false)),
                Committed::Unknown => unclear = true,
            }
        }
        Err(refusal("the store did not answer in time", unclear))
    }

    /// last_try returns until when a daemon begins to write. One that stops answers before its
    /// end: connections that were opened before it closed its port may bring requests until
    /// then, and tries for as long as usual were cut off in the soak. What comes too late to
    /// be tried is refused at once.
    fn last_try(&self) -> Instant {
        let now = Instant::now();
        let Some(ends_at) = self.ends_at.get() else {
            return now + TAKE_LIMIT;
        };
        let left_ms = ends_at.0.saturating_sub(self.mono().0 + LAST_TRY_MS);
        now + TAKE_LIMIT.min(Duration::from_millis(left_ms))
    }

    /// settle takes in what a conflict shows, and tells whether the job is in
    /// the store already.
    fn settle(&self, job: key::Job, items: &[Item]) -> Result<bool> {
        if let Some(item) = items.iter().find(|item| item.key == OWNER) {
            self.apply_ownership(item);
        }
        let key = keys::job(job);
        let kept = items
            .iter()
            .find(|item| item.key == key && item.revision > 0);
        if let Some(item) = kept {
            let record =
                decode(&item.value).map_err(|error| unreadable(Kind::WriteUnknown, &error))?;
            self.accepted(job, record);
        }
        Ok(kept.is_some())
    }

    /// commit does a transaction, by way of a peer if this daemon can't
    /// reach the store. The transaction's conditions must make it safe to be
    /// done twice. No further peer is tried from `end` on: all of them together may take
    /// three seconds, longer than clients wait, and past the end of a planned stop.
    async fn commit(&self, transaction: &Transaction, end: Instant) -> Committed {
        let mut unclear = false;
        if self.store_answers() {
            match self.store_commit(transaction).await {
                Committed::Unknown => unclear = true,
                Committed::Refused => {}
                settled => return settled,
            }
        }
        for peer in self.peers(PASSES) {
            if Instant::now() >= end {
                break;
            }
            if !self.has_store(&peer).await {
                continue;
            }
            let request = Request::Write(transaction.clone());
            let passed = self.links.call(&peer, &request, PASS_LIMIT).await;
            match passed {
                Ok(Response::Written(Committed::Unknown)) | Err(_) => unclear = true,
                Ok(Response::Written(Committed::Refused)) => {}
                Ok(Response::Written(settled)) => return settled,
                Ok(_) => {}
            }
        }
        if unclear {
            Committed::Unknown
        } else {
            Committed::Refused
        }
    }

    /// has_store tells whether a peer answers and has the store. A write that is
    /// passed to one that does not answer may or may not be done.
    async fn has_store(&self, peer: &str) -> bool {
        let asked = self.links.call(peer, &Request::Store, STORE_LIMIT).await;
        matches!(asked, Ok(Response::Flag(true)))
    }

    /// peers returns the addresses of some other daemons: the owner, then any.
    fn peers(&self, count: usize) -> Vec<String> {
        let own = &self.settings.vm;
        let owned = self.owned.borrow();
        let owner = owned.as_ref().map(|owned| owned.ownership.vm.as_str());
        let members = self.members.borrow();
        let others = members.values().map(|entry| &entry.member);
        let others = others.filter(|member| member.vm != *own);
        let mut others: Vec<_> = others.collect();
        // Another start for each daemon, so that they don't all ask the same.
        let place = |vm: &str| key::weight(vm.as_bytes(), self.boot.0);
        others.sort_by_key(|member| (Some(member.vm.as_str()) != owner, place(&member.vm)));
        let addresses = others.into_iter().map(|member| member.address.clone());
        addresses.take(count).collect()
    }

    /// write_for commits a transaction that a peer passed on.
    pub(crate) async fn write_for(&self, transaction: &Transaction) -> Committed {
        if !self.store_answers() {
            return Committed::Refused;
        }
        self.store_commit(transaction).await
    }

    /// accepted tells the owner of a job that is in the store.
    fn accepted(&self, job: key::Job, record: Record) {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        match own {
            Some(fence) => self.take_in(fence, Source::Client, job, Box::new(record), None),
            None => self.tell(Request::Accepted(job, Box::new(record))),
        }
    }

    /// take_in gives the cell a job that is in the store. A line tells by which way the owner
    /// first learnt of it, and with what progress: whether a successor knew what had been done.
    ///
    /// A job that was accepted under an earlier owner may have begun, and only the reading of
    /// the cell tells how far it is. If it did not bring the job, as that or its progress could
    /// not be read or is forgotten, then no other way begins it.
    pub(crate) fn take_in(
        &self,
        fence: u64,
        source: Source,
        job: key::Job,
        record: Box<Record>,
        progress: Option<Box<Progress>>,
    ) {
        if self.is_at(fence) && self.job_state(job).is_none() {
            let begins = source == Source::Store || record.fence >= fence;
            let state = progress.as_ref().map(|progress| progress.state);
            let text = format!(
                "job {} by {source:?}, accepted under fence {}, saved state {state:?}",
                if begins { "taken in" } else { "left alone" },
                record.fence
            );
            self.say_of("job", Some(keys::hex(job)), &text);
            if !begins {
                return;
            }
        }
        let event = Event::Accepted {
            job,
            record,
            progress,
            cancelled: false,
        };
        self.feed(fence, event);
    }

    fn tell(&self, request: Request) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..TELL_TRIES {
                if node.ask_owner(&request).await.is_ok() {
                    return;
                }
                pause(RETRY_MS).await;
            }
        });
    }

    /// ask_owner sends a message to the owner.
    pub(crate) async fn ask_owner(&self, request: &Request) -> Result<Response> {
        let address = self
            .owned
            .borrow()
            .as_ref()
            .map(|owned| owned.ownership.address.clone());
        let unknown = || Error::new(Kind::Unreachable, "no owner of the cell is known");
        let address = address.ok_or_else(unknown)?;
        match self.links.call(&address, request, ASK_LIMIT).await? {
            Response::NotOwner => Err(Error::new(Kind::Unreachable, "the cell changes its owner")),
            response => Ok(response),
        }
    }

    /// state returns the state of a job, or `None` if there is no such job.
    pub async fn state(&self, job: key::Job) -> Result<Option<State>> {
        if let Some(state) = self.job_state(job) {
            return Ok(Some(state));
        }
        if !self.is_owner()
            && let Ok(Response::State(Some(state))) = self.ask_owner(&Request::State(job)).await
        {
            return Ok(Some(state));
        }
        self.stored_state(job).await
    }

    /// stored_state returns the state of a job by the store's word.
    async fn stored_state(&self, job: key::Job) -> Result<Option<State>> {
        let unknown = |error| unreadable(Kind::StoreUnavailable, &error);
        if let Some(item) = self.store_get(&keys::progress(job)).await? {
            let progress: Progress = decode(&item.value).map_err(unknown)?;
            if progress.state != State::Pending {
                return Ok(Some(progress.state));
            }
        }
        let Some(item) = self.store_get(&keys::job(job)).await? else {
            return Ok(None);
        };
        self.accepted(job, decode(&item.value).map_err(unknown)?);
        let cancelled = self.store_get(&keys::cancel(job)).await?.is_some();
        Ok(Some(if cancelled {
            State::Cancelled
        } else {
            State::Pending
        }))
    }

    /// cancel keeps the cancelling of a job in the store and tells the owner.
    /// It returns whether there is such a job.
    pub async fn cancel(&self, job: key::Job) -> Result<bool> {
        let end = self.last_try();
        match self.state(job).await? {
            None => return Ok(false),
            Some(state) if state.is_final() => return Ok(true),
            Some(_) => {}
        }
        let mut unclear = false;
        while Instant::now() < end {
            match self.commit(&cancelling(job), end).await {
                Committed::Done(_) => {
                    self.cancelled(job);
                    return Ok(true);
                }
                Committed::Unknown => unclear = true,
                Committed::Conflict(_) | Committed::Refused => {}
            }
            pause(RETRY_MS).await;
        }
        Err(refusal("the store took no cancelling in time", unclear))
    }

    fn cancelled(&self, job: key::Job) {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        match own {
            Some(fence) => self.feed(fence, Event::Cancelled(job)),
            None => self.tell(Request::Cancelled(job)),
        }
    }

    /// waiting returns how many jobs of a queue have not begun.
    pub async fn waiting(&self, queue: &str) -> Result<u64> {
        if let Some(owner) = self.owner.borrow().as_ref() {
            return Ok(owner.cell.waiting(queue));
        }
        match self.ask_owner(&Request::Waiting(queue.to_owned())).await? {
            Response::Count(count) => Ok(count),
            _ => Err(refusal("the owner of the cell gave no count", false)),
        }
    }
}

fn acceptance(job: key::Job, record: &Record, owned: &Owned) -> Result<Transaction> {
    let key = keys::job(job);
    let conditions = vec![
        Condition {
            key: key.clone(),
            revision: 0,
        },
        Condition {
            key: OWNER.to_owned(),
            revision: owned.revision,
        },
    ];
    let value = encode(record)?;
    Ok(Transaction {
        conditions,
        puts: vec![Put { key, value }],
        removals: Vec::new(),
    })
}

fn cancelling(job: key::Job) -> Transaction {
    Transaction {
        puts: vec![Put {
            key: keys::cancel(job),
            value: Vec::new(),
        }],
        ..Transaction::default()
    }
}

/// refusal builds the error for a job that was not taken, or may have been.
fn refusal(why: &str, unclear: bool) -> Error {
    let kind = if unclear {
        Kind::WriteUnknown
    } else {
        Kind::StoreUnavailable
    };
    Error::new(kind, why).after(COME_BACK_MS)
}

/// unreadable builds the error for what the store has of a job and can't be decoded. The fault
/// is not the client account's.
fn unreadable(kind: Kind, error: &Error) -> Error {
    let why = format!("what is kept of the job is not readable: {}", error.message);
    Error::new(kind, why).after(COME_BACK_MS)
}
