// SPDX-License-Identifier: Apache-2.0
//! Requests of client accounts: submitting a job, its state, and the number of waiting jobs. Any
//! daemon answers them.

use std::time::Duration;

use stackpier_cell::{Event, Queue};
use stackpier_core::{Error, Kind, Result, key};
use stackpier_protocol::codec::decode;
use stackpier_state::job::{Progress, Record, Spec, State};
use tokio::time::Instant;

use crate::{
    Platform,
    keys::{self, OWNER},
    link::{Request, Response},
    node::{Node, pause},
    refusal::refuse_here,
    retry::Cause,
    store::{Committed, Item, Transaction},
    submission::{self, Content},
};

/// SUBMIT_LIMIT is how long a daemon tries to write a job to the store. Client accounts wait
/// three seconds in all, and need the rest to try another daemon.
const SUBMIT_LIMIT: Duration = Duration::from_millis(1_600);
/// LAST_WRITE_MS is how long before the end of a planned stop the last attempt to write may
/// begin. An attempt takes up to 0.65 s, if it goes through a peer, and its answer still has to
/// reach the client account.
const LAST_WRITE_MS: u64 = 800;
/// FORWARD_LIMIT bounds forwarding a write to a peer.
const FORWARD_LIMIT: Duration = Duration::from_millis(500);
/// STORE_LIMIT bounds asking a peer whether it reaches the store. It allows for
/// several round trips between data centres.
const STORE_LIMIT: Duration = Duration::from_millis(150);
/// MAX_FORWARDS is how many peers a write may be forwarded to.
const MAX_FORWARDS: usize = 4;
/// RETRY_MS is the pause between two attempts.
pub(crate) const RETRY_MS: u64 = 50;
/// ASK_LIMIT bounds a message to the owner.
const ASK_LIMIT: Duration = Duration::from_millis(350);
/// PAYLOAD_LINK_KBPS is the bandwidth of the owner's link, in kbit/s, from which it is sent the
/// payloads of new jobs: thirty jobs a second with 4,000 bytes each take a fifth of it.
const PAYLOAD_LINK_KBPS: u32 = 5_000;
/// NOTIFY_TRIES is how many times a daemon tries to send the owner a message
/// about an accepted job. The owner also finds the job in the store.
const NOTIFY_TRIES: usize = 2;
/// UNREADABLE_RETRY_MS is how long a client account should wait until it asks again for a job whose
/// entry can't be read.
const UNREADABLE_RETRY_MS: u64 = 1_000;

/// Source tells how the owner learnt of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A client account submitted the job to this daemon, or asked for it.
    Client,
    /// Another daemon reported it.
    Message,
    /// A watch of the store, or a listing after the takeover, showed it.
    Watch,
    /// Loading the cell at a takeover, with the progress of all jobs, showed it.
    Store,
}

impl<P: Platform> Node<P> {
    /// submit writes a job to the store and notifies the owner. It returns `Ok`
    /// once the job is in the store, also if an earlier attempt wrote it. After an
    /// error of kind [`Kind::WriteUnknown`] the job may have been accepted; any other
    /// error means that it was not and never runs.
    pub async fn submit(&self, job: key::Job, queue: &Queue, spec: Spec) -> Result<()> {
        let end = self.write_deadline();
        if Instant::now() >= end {
            return Err(refuse_here("this daemon is about to end", false));
        }
        self.check_admission(job, queue, &spec).await?;
        // The revision of the job's rejection, zero if there is none.
        let mut rejection = 0;
        // Whether an earlier attempt may have written the job.
        let mut unconfirmed = false;
        while Instant::now() < end {
            let owned = self.owned.borrow().clone();
            let Some(owned) = owned else {
                let why = "no owner of the cell is known";
                return Err(self.refuse_for(Cause::Owner, job, why, unconfirmed));
            };
            let record = Record {
                queue: queue.clone(),
                spec: spec.clone(),
                fence: owned.ownership.fence,
                accepted_ms: self.now().unix.0,
            };
            let mut acceptance = submission::acceptance(job, &record, owned.revision)?;
            if self.is_rejecting() {
                submission::withdraw_rejection(&mut acceptance, job, rejection);
            }
            match self.commit(&acceptance, end).await {
                Committed::Done(_) => {
                    let now = self.mono();
                    self.planner.borrow_mut().record_accepted(now);
                    self.notify_accepted(job, record);
                    return Ok(());
                }
                Committed::Conflict(items) => {
                    if self.apply_conflict(job, &items)? {
                        return Ok(());
                    }
                    rejection = submission::rejection_revision(&items, job);
                    if !items.iter().any(|item| item.key == OWNER) {
                        let why = "the cell has no owner";
                        return Err(self.refuse_for(Cause::Owner, job, why, unconfirmed));
                    }
                }
                Committed::Refused if unconfirmed => pause(RETRY_MS).await,
                Committed::Refused => {
                    let why = "the write was not done";
                    return Err(self.refuse_for(Cause::Store, job, why, false));
                }
                Committed::Unknown => unconfirmed = true,
            }
        }
        let why = "the store did not answer in time";
        Err(self.refuse_for(Cause::Store, job, why, unconfirmed))
    }

    /// write_deadline returns the time until which attempts to write may begin. In a planned stop
    /// it lies before the daemon's end: requests may arrive until the end, on connections that
    /// were opened before the port was closed, and the end would cut off attempts that went on
    /// for as long as usual. A request that arrives after the deadline is refused at once.
    pub(crate) fn write_deadline(&self) -> Instant {
        let now = Instant::now();
        let Some(ends_at) = self.ends_at.get() else {
            return now + SUBMIT_LIMIT;
        };
        let left_ms = ends_at.0.saturating_sub(self.mono().0 + LAST_WRITE_MS);
        now + SUBMIT_LIMIT.min(Duration::from_millis(left_ms))
    }

    /// apply_conflict records the ownership that a conflicting write found, passes on a job that it
    /// found, and returns whether the job is in the store already. It returns an error if the job was
    /// cancelled before it was accepted.
    fn apply_conflict(&self, job: key::Job, items: &[Item]) -> Result<bool> {
        if let Some(item) = items.iter().find(|item| item.key == OWNER) {
            self.apply_ownership(item);
        }
        let Some(item) = submission::find(items, &keys::job(job)) else {
            return Ok(false);
        };
        let content = Content::try_from(item);
        match content.map_err(|error| unreadable(Kind::WriteUnknown, &error))? {
            Content::Job(record) => {
                self.report_conflicting(job, *record);
                Ok(true)
            }
            Content::Tombstone => {
                let why = "the job was cancelled before it was submitted";
                Err(Error::new(Kind::Cancelled, why))
            }
        }
    }

    /// report_conflicting passes a job that a conflicting write found to the owner. If its
    /// cancellation can't be read, the owner learns of both from its watch.
    fn report_conflicting(&self, job: key::Job, record: Record) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = node.report_stored(job, record).await {
                let text = format!("not passed on, its cancellation is not readable: {error}");
                node.log_about("job", Some(keys::hex(job)), &text);
            }
        });
    }

    /// report_stored passes a job that was found in the store to the owner, or only its
    /// cancellation if the store holds one: the job alone would start. It returns whether the job is
    /// cancelled.
    async fn report_stored(&self, job: key::Job, record: Record) -> Result<bool> {
        let cancelled = self.store_get(&keys::cancel(job)).await?.is_some();
        if cancelled {
            self.notify_cancelled(job);
        } else {
            self.notify_accepted(job, record);
        }
        Ok(cancelled)
    }

    /// commit commits a transaction, through a peer if this daemon can't reach the
    /// store. The transaction's conditions must make it safe to be done twice. No
    /// further peer is tried from `end` on: all of them together may take three
    /// seconds, which is longer than client accounts wait and may pass the end of a planned stop.
    pub(crate) async fn commit(&self, transaction: &Transaction, end: Instant) -> Committed {
        let mut unconfirmed = false;
        if self.store_answers() {
            match self.store_commit(transaction).await {
                Committed::Unknown => unconfirmed = true,
                Committed::Refused => {}
                outcome => return outcome,
            }
        }
        match self.commit_through_peer(transaction, end).await {
            Committed::Refused if unconfirmed => Committed::Unknown,
            outcome => outcome,
        }
    }

    /// commit_through_peer commits a transaction through a peer that reaches the store.
    pub(crate) async fn commit_through_peer(
        &self,
        transaction: &Transaction,
        end: Instant,
    ) -> Committed {
        let mut unconfirmed = false;
        for peer in self.peers(MAX_FORWARDS) {
            if Instant::now() >= end {
                break;
            }
            if !self.reaches_store(&peer).await {
                continue;
            }
            let request = Request::Write(transaction.clone());
            let forwarded = self.links.call(&peer, &request, FORWARD_LIMIT).await;
            match forwarded {
                Ok(Response::Written(Committed::Unknown)) | Err(_) => unconfirmed = true,
                Ok(Response::Written(Committed::Refused)) => {}
                Ok(Response::Written(outcome)) => return outcome,
                Ok(_) => {}
            }
        }
        if unconfirmed {
            Committed::Unknown
        } else {
            Committed::Refused
        }
    }

    /// reaches_store reports whether a peer answers and reaches the store. It is
    /// asked before a write is forwarded: if a peer doesn't answer a write, it is
    /// unknown whether the write was done.
    async fn reaches_store(&self, peer: &str) -> bool {
        let sent = self.links.call(peer, &Request::Store, STORE_LIMIT).await;
        matches!(sent, Ok(Response::Flag(true)))
    }

    /// peers returns the addresses of up to `count` other daemons, the owner's first.
    fn peers(&self, count: usize) -> Vec<String> {
        let own = &self.settings.vm;
        let owned = self.owned.borrow();
        let owner = owned.as_ref().map(|owned| owned.ownership.vm.as_str());
        let members = self.members.borrow();
        let others = members.values().map(|entry| &entry.member);
        let others = others.filter(|member| member.vm != *own);
        let mut others: Vec<_> = others.collect();
        // The order differs between daemons, so that they don't all ask the same peer.
        let weight = |vm: &str| key::weight(vm.as_bytes(), self.boot.0);
        others.sort_by_key(|member| (Some(member.vm.as_str()) != owner, weight(&member.vm)));
        let addresses = others.into_iter().map(|member| member.address.clone());
        addresses.take(count).collect()
    }

    /// commit_for_peer commits a transaction that a peer forwarded.
    pub(crate) async fn commit_for_peer(&self, transaction: &Transaction) -> Committed {
        if !self.store_answers() {
            return Committed::Refused;
        }
        self.store_commit(transaction).await
    }

    /// notify_accepted passes a job that is in the store to the owner, which may be this daemon.
    fn notify_accepted(&self, job: key::Job, record: Record) {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        match own {
            Some(fence) => self.add_job(fence, Source::Client, job, Box::new(record), None),
            None if self.is_owner_link_slow() => {
                let mut record = record;
                record.spec.payload.clear();
                self.notify_owner(Request::Announced(job, Box::new(record)));
            }
            None => self.notify_owner(Request::Accepted(job, Box::new(record))),
        }
    }

    /// is_owner_link_slow reports whether the owner's link should carry no payloads that the
    /// helpers can read from the store.
    fn is_owner_link_slow(&self) -> bool {
        let owned = self.owned.borrow();
        let members = self.members.borrow();
        let owner = owned
            .as_ref()
            .and_then(|owned| members.get(&owned.ownership.vm));
        owner.is_some_and(|entry| entry.member.link_kbps < PAYLOAD_LINK_KBPS)
    }

    /// add_job passes a job that is in the store to the cell. It logs how the owner first learnt of
    /// the job and with what progress, which shows whether a successor knew what was done
    /// before.
    ///
    /// A job that was accepted under a predecessor may have begun, and only loading the cell
    /// shows its progress. If loading did not yield the job, because the job or its progress
    /// could not be read or was removed from the store, the job is ignored whatever the source.
    pub(crate) fn add_job(
        &self,
        fence: u64,
        source: Source,
        job: key::Job,
        record: Box<Record>,
        progress: Option<Box<Progress>>,
    ) {
        if self.owns_with(fence) && self.job_state(job).is_none() {
            let is_added = source == Source::Store || record.fence >= fence;
            let state = progress.as_ref().map(|progress| progress.state);
            let text = format!(
                "job {}, learnt from {source:?}, accepted under fence {}, saved state {state:?}",
                if is_added { "added" } else { "ignored" },
                record.fence
            );
            self.log_about("job", Some(keys::hex(job)), &text);
            if !is_added {
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

    fn notify_owner(&self, request: Request) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..NOTIFY_TRIES {
                if node.ask_owner(&request).await.is_ok() {
                    return;
                }
                pause(RETRY_MS).await;
            }
        });
    }

    /// ask_owner sends a message to the owner and returns the answer.
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
        match self.owner_state(job).await {
            Some(state) => Ok(Some(state)),
            None => self.stored_state(job).await,
        }
    }

    /// owner_state returns the state of a job as the owner has it, if it answers and knows the job.
    pub(crate) async fn owner_state(&self, job: key::Job) -> Option<State> {
        if self.is_owner() {
            return self.job_state(job);
        }
        match self.ask_owner(&Request::State(job)).await {
            Ok(Response::State(state)) => state,
            // The store holds the state, too.
            Ok(_) | Err(_) => None,
        }
    }

    /// stored_state returns the state of a job as the store has it.
    pub(crate) async fn stored_state(&self, job: key::Job) -> Result<Option<State>> {
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
        let Content::Job(record) = Content::try_from(&item).map_err(unknown)? else {
            return Ok(None);
        };
        let cancelled = self.report_stored(job, *record).await?;
        Ok(Some(if cancelled {
            State::Cancelled
        } else {
            State::Pending
        }))
    }

    /// waiting returns how many jobs of a queue have not begun.
    pub async fn waiting(&self, queue: &str) -> Result<u64> {
        if let Some(owner) = self.owner.borrow().as_ref() {
            return Ok(owner.cell.waiting(queue));
        }
        match self.ask_owner(&Request::Waiting(queue.to_owned())).await? {
            Response::Count(count) => Ok(count),
            _ => Err(refuse_here("the owner of the cell gave no count", false)),
        }
    }
}

/// unreadable builds the error for a job's entry in the store that can't be decoded. The request
/// itself is valid, so the answer tells the client account when to try again.
pub(crate) fn unreadable(kind: Kind, error: &Error) -> Error {
    let why = format!(
        "the entry of the job in the store is not readable: {}",
        error.message
    );
    Error::new(kind, why).after(UNREADABLE_RETRY_MS)
}
