// SPDX-License-Identifier: Apache-2.0
//! Starts the daemon's servers and followers, answers its peers, and carries out a planned
//! stop.

use std::{cell::Cell, rc::Rc};

use anyhow::Result;
use bytes::Bytes;
use http::{Request as Query, Response as Answer};
use http_body_util::Full;
use hyper::body::Incoming;
use stackpier_cell::{Event, release::Release};
use stackpier_protocol::explain;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{
    Platform,
    configs::Configs,
    expiry,
    http::{Handler, answer, listen, serve},
    jobs::Source,
    keys::{DOWNTIMES, OWNER, Ownership, RELEASE, ROSTER, SUSPENSIONS},
    link::{self, Request, Response},
    monitor,
    node::{Node, pause},
    saving::{owner_condition, put},
    store::{Committed, Item, Transaction},
    watch::follow,
};

/// DRAIN_MS is how long a stopping daemon still accepts connections. The load balancer
/// checks once a second and stops sending requests after two failed checks.
const DRAIN_MS: u64 = 2_300;
/// STOP_MARGIN_MS is how long before the kill deadline a stopping daemon exits, even with
/// connections still open.
const STOP_MARGIN_MS: u64 = 1_000;
/// RELEASE_RETRY_MS is the pause before the store is told again that the cell is released.
const RELEASE_RETRY_MS: u64 = 60;
/// STOP_POLL_MS is the time between two checks of whether work is still open.
const STOP_POLL_MS: u64 = 50;

/// run serves until the process receives a signal to stop. `callers` handles the requests
/// of client accounts.
pub async fn run<P: Platform, H: Handler>(node: Node<P>, callers: H) -> Result<()> {
    let settings = node.settings.clone();
    let (close, closing) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let callers_port = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let peers = listen(settings.peers).await?;
    // The connections of the load balancer, operators and peers. A stop does not wait for
    // them.
    let other_open = Rc::new(Cell::new(0));
    tokio::task::spawn_local(serve(
        callers_port,
        callers,
        closing.clone(),
        Rc::clone(&open),
    ));
    tokio::task::spawn_local(serve(
        readiness,
        Readiness(node.clone()),
        closing.clone(),
        Rc::clone(&other_open),
    ));
    tokio::task::spawn_local(serve(
        metrics,
        Metrics(node.clone()),
        closing,
        Rc::clone(&other_open),
    ));
    tokio::task::spawn_local(link::serve(peers, node.clone(), other_open));
    tokio::task::spawn_local(follow(node.clone(), Configs::new(node.clone()), None));
    tokio::task::spawn_local(monitor::run(node.clone()));
    tokio::task::spawn_local(expiry::run(node.clone()));
    node.log_line("daemon", &format!("started: {settings:?}"));
    wait_for_stop(&node).await?;
    stop(&node, &close, &open).await;
    Ok(())
}

async fn wait_for_stop<P: Platform>(node: &Node<P>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            // Settings are fixed for the life of the process. What operators change at run
            // time comes through the store.
            _ = hangup.recv() => node.log_line("daemon", "SIGHUP ignored: settings are not reloaded"),
        }
    }
}

async fn stop<P: Platform>(node: &Node<P>, close: &watch::Sender<bool>, open: &Cell<usize>) {
    let start = node.mono();
    let limit_ms = node.settings.grace_ms.saturating_sub(STOP_MARGIN_MS);
    node.stopping.set(true);
    node.ends_at.set(Some(start.plus(limit_ms)));
    node.log_line("daemon", "stopping");
    let releasing = node.clone();
    tokio::task::spawn_local(async move { releasing.release().await });
    tokio::task::spawn_local(monitor::deregister(node.clone()));
    let drain_ms = DRAIN_MS.min(limit_ms);
    while node.mono().since(start) < drain_ms {
        pause(STOP_POLL_MS).await;
    }
    close.send_replace(true);
    let has_messages =
        || !node.unsaved.borrow().is_empty() || !node.cancellations.borrow().is_empty();
    let has_requests = || open.get() > 0 || node.open_requests.get() > 0;
    let has_cell = || node.loading.get() || node.releasing.get();
    let has_work = || has_cell() || has_requests() || has_messages();
    while has_work() && node.mono().since(start) < limit_ms {
        pause(STOP_POLL_MS).await;
    }
    let text = format!("stopped with {} connections open", open.get());
    node.log_line("daemon", &text);
}

impl<P: Platform> Node<P> {
    /// release gives up the cell before a planned stop, so that another daemon can take it
    /// over at once.
    pub(crate) async fn release(&self) {
        // From here on this daemon sends no orders.
        let Some(owner) = self.owner.replace(None) else {
            return;
        };
        let revision = owner.revision;
        let jobs = self.keep_unsaved(&owner);
        let mut ownership = match self.owned.borrow().as_ref() {
            Some(owned) => owned.ownership.clone(),
            None => return,
        };
        ownership.released = true;
        let Release {
            record,
            roster,
            downtimes,
            suspensions,
        } = owner.cell.release_cell();
        let mut puts = vec![
            put(OWNER.to_owned(), &ownership),
            put(RELEASE.to_owned(), &record),
            put(DOWNTIMES.to_owned(), &downtimes),
            put(SUSPENSIONS.to_owned(), &suspensions),
        ];
        puts.extend(roster.map(|roster| put(ROSTER.to_owned(), &roster)));
        let transaction = Transaction {
            conditions: vec![owner_condition(revision)],
            puts,
            removals: Vec::new(),
        };
        self.releasing.set(true);
        let done = self.commit_release(&transaction).await;
        self.releasing.set(false);
        let text = format!(
            "cell released, known to the store: {done}; {jobs} jobs are not saved; {} workers may \
             run tasks",
            record.workers.len()
        );
        self.log_line("owner", &text);
    }

    /// commit_release writes the release until the store has it, another daemon owns the cell, or
    /// this daemon ends. It reports whether the store has it. A late write does no harm: this
    /// daemon sends no orders in any case.
    async fn commit_release(&self, transaction: &Transaction) -> bool {
        loop {
            match self.store_commit(transaction).await {
                Committed::Done(_) => return true,
                // The answer to an earlier try may have been lost.
                Committed::Conflict(items) => return self.is_released(&items),
                Committed::Refused | Committed::Unknown if self.is_over() => return false,
                Committed::Refused | Committed::Unknown => pause(RELEASE_RETRY_MS).await,
            }
        }
    }

    /// is_released reports whether the ownership among some items is this daemon's, and released.
    fn is_released(&self, items: &[Item]) -> bool {
        let item = items.iter().find(|item| item.key == OWNER);
        let ownership = item
            .and_then(|item| self.decode_or_log::<Ownership>(None, "the ownership", &item.value));
        ownership.is_some_and(|ownership| ownership.released && ownership.boot == self.boot)
    }

    /// is_over reports whether this daemon has to end now.
    fn is_over(&self) -> bool {
        self.ends_at.get().is_some_and(|end| self.mono() >= end)
    }
}

impl<P: Platform> link::Service for Node<P> {
    async fn answer(&self, request: Request) -> Response {
        match request {
            Request::Heartbeat(heartbeat) => Response::Alive(self.alive(&heartbeat)),
            Request::Store => Response::Flag(self.store_answers()),
            Request::HasRecentContact(fence) => Response::Flag(self.has_owner_contact(fence)),
            Request::CanTakeOver => Response::Flag(self.can_take_over()),
            Request::Config => match self.config_item.borrow().as_ref() {
                Some(item) => Response::Config(item.value.clone(), item.revision),
                None => Response::NotOwner,
            },
            Request::Write(transaction) => {
                Response::Written(self.commit_for_peer(&transaction).await)
            }
            Request::Calls(batch) => {
                self.send_batch(batch);
                Response::Flag(true)
            }
            Request::Answers(answers) => {
                self.relays.deliver_answers(answers);
                Response::Flag(true)
            }
            Request::Metrics => Response::Metrics(self.settings.metrics.to_string()),
            Request::Unsaved(fence) => Response::Unsaved(self.unsaved_for(fence)),
            request => self.answer_as_owner(request),
        }
    }
}

impl<P: Platform> Node<P> {
    fn answer_as_owner(&self, request: Request) -> Response {
        let fence = self.owner.borrow().as_ref().map(|owner| owner.fence);
        let Some(fence) = fence else {
            return Response::NotOwner;
        };
        match request {
            Request::Accepted(job, record) | Request::Announced(job, record) => {
                self.add_job(fence, Source::Message, job, record, None);
                Response::Flag(true)
            }
            Request::Cancelled(job) => self.take_cancelled(fence, &[job]),
            Request::CancelledJobs(jobs) => self.take_cancelled(fence, &jobs),
            Request::HandOver(unsaved) => {
                self.feed(fence, Event::HandedOver(unsaved));
                Response::Flag(true)
            }
            Request::HandOverRuns(record) => {
                self.feed(fence, Event::RunsHandedOver(record));
                Response::Flag(true)
            }
            Request::State(job) => Response::State(self.job_state(job)),
            Request::Outlook => {
                let owner = self.owner.borrow();
                let outlook = owner.as_ref().and_then(|owner| owner.cell.outlook());
                Response::Outlook(outlook.cloned())
            }
            Request::Waiting(queue) => {
                let owner = self.owner.borrow();
                let waiting = owner.as_ref().map(|owner| owner.cell.waiting(&queue));
                waiting.map_or(Response::NotOwner, Response::Count)
            }
            Request::Heartbeat(_)
            | Request::HasRecentContact(_)
            | Request::Store
            | Request::CanTakeOver
            | Request::Config
            | Request::Metrics
            | Request::Unsaved(_)
            | Request::Calls(_)
            | Request::Answers(_)
            | Request::Write(_) => Response::NotOwner,
        }
    }
}

/// Readiness answers the load balancer's checks: 200 if this daemon can accept jobs, else
/// 503.
struct Readiness<P>(Node<P>);

impl<P> Clone for Readiness<P> {
    fn clone(&self) -> Readiness<P> {
        Readiness(self.0.clone())
    }
}

impl<P: Platform> Handler for Readiness<P> {
    async fn handle(&self, _: Query<Incoming>) -> Answer<Full<Bytes>> {
        answer(if self.0.is_ready() { 200 } else { 503 }, Vec::new(), None)
    }
}

/// Metrics serves the daemon's metrics and the explanations of where a job's tasks are.
struct Metrics<P>(Node<P>);

impl<P> Clone for Metrics<P> {
    fn clone(&self) -> Metrics<P> {
        Metrics(self.0.clone())
    }
}

impl<P: Platform> Handler for Metrics<P> {
    async fn handle(&self, query: Query<Incoming>) -> Answer<Full<Bytes>> {
        if let Some(id) = query.uri().path().strip_prefix(explain::PATH) {
            return self.0.answer_explain(query.method(), id).await;
        }
        match self.0.metrics.text() {
            Ok(text) => answer(200, text, None),
            Err(error) => {
                self.0
                    .log_line("daemon", &format!("cannot encode the metrics: {error}"));
                answer(500, Vec::new(), None)
            }
        }
    }
}
