// SPDX-License-Identifier: Apache-2.0
//! The life of the daemon: its servers, its followers, and its planned stop.

use std::{cell::Cell, rc::Rc};

use anyhow::Result;
use bytes::Bytes;
use http::{Request as Query, Response as Answer};
use http_body_util::Full;
use hyper::body::Incoming;
use stackpier_cell::{Event, maintenance::Plan};
use stackpier_protocol::{codec::encode, explain};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{
    Platform,
    catalog::Config,
    http::{Handler, answer, listen, serve},
    jobs::Source,
    keys::OWNER,
    link::{self, Request, Response},
    member,
    node::{Node, pause},
    store::{Committed, Item, Transaction},
    watch::{Feed, Follower, follow},
};

/// DRAIN_MS is how long a daemon that was told to stop goes on taking
/// connections: the balancer misses two checks, one a second, before it sends
/// no more.
const DRAIN_MS: u64 = 2_300;
/// LAST_MS is how long before it would be killed a stopping daemon ends,
/// whatever is still open.
const LAST_MS: u64 = 1_000;
/// STOP_POLL_MS is the time between two looks at what is still open.
const STOP_POLL_MS: u64 = 50;
/// FETCH_LIMIT bounds asking a peer for its configuration.
const FETCH_LIMIT: std::time::Duration = std::time::Duration::from_millis(800);

/// run serves until the process is told to stop. `callers` answers client
/// accounts.
pub async fn run<P: Platform, H: Handler>(node: Node<P>, callers: H) -> Result<()> {
    let settings = node.settings.clone();
    let (close, closing) = watch::channel(false);
    let open = Rc::new(Cell::new(0));
    let callers_port = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let peers = listen(settings.peers).await?;
    let aside = Rc::new(Cell::new(0));
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
        Rc::clone(&aside),
    ));
    tokio::task::spawn_local(serve(
        metrics,
        Metrics(node.clone()),
        closing,
        Rc::clone(&aside),
    ));
    tokio::task::spawn_local(link::serve(peers, node.clone(), aside));
    tokio::task::spawn_local(follow(node.clone(), Configs { node: node.clone() }, None));
    tokio::task::spawn_local(member::run(node.clone()));
    node.say("daemon", &format!("started: {settings:?}"));
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
            // No setting changes while the process runs: what operators
            // change comes through the store.
            _ = hangup.recv() => node.say("daemon", "settings file changed: nothing in it is reloaded"),
        }
    }
}

async fn stop<P: Platform>(node: &Node<P>, close: &watch::Sender<bool>, open: &Cell<usize>) {
    let start = node.mono();
    let last = node.settings.grace_ms.saturating_sub(LAST_MS);
    node.stopping.set(true);
    node.ends_at.set(Some(start.plus(last)));
    node.say("daemon", "stopping");
    node.release().await;
    let drain = DRAIN_MS.min(last);
    while node.mono().since(start) < drain {
        pause(STOP_POLL_MS).await;
    }
    close.send_replace(true);
    let waits = || open.get() > 0 || node.busy.get() > 0 || !node.unsaved.borrow().is_empty();
    while waits() && node.mono().since(start) < last {
        pause(STOP_POLL_MS).await;
    }
    let text = format!("stopped with {} connections open", open.get());
    node.say("daemon", &text);
}

impl<P: Platform> Node<P> {
    /// release gives the cell to another daemon before a planned stop.
    async fn release(&self) {
        // From here on this daemon orders nothing.
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
        let value = encode(&ownership).expect("an ownership is encoded");
        let transaction = Transaction::swap(OWNER, revision, value);
        let committed = self.store_commit(&transaction).await;
        let done = matches!(committed, Committed::Done(_));
        self.say(
            "owner",
            &format!("cell released, known to the store: {done}; {jobs} jobs are not saved"),
        );
    }

    /// config_version returns the version of the configuration in force.
    pub(crate) fn config_version(&self) -> u64 {
        self.config
            .borrow()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// config returns the configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// take_config puts a configuration in force, unless a newer one is.
    fn take_config(&self, item: &Item, from: &str) {
        let config = match self.platform.config(item) {
            Ok(config) => config,
            Err(error) => {
                self.say(
                    "config",
                    &format!("the configuration is not readable: {error}"),
                );
                return;
            }
        };
        if config.version <= self.config_version() {
            return;
        }
        let text = format!(
            "version {} in force, {} routes, from {from}",
            config.version,
            config.routes.len()
        );
        self.say("config", &text);
        self.config.replace(Some(Rc::new(config)));
        self.config_item.replace(Some(item.clone()));
        self.feed_queues();
    }

    /// take_plan takes in a plan of maintenance.
    fn take_plan(&self, item: &Item) {
        let plan = match self.platform.plan(item) {
            Ok(Some(plan)) => plan,
            Ok(None) => return,
            Err(error) => {
                let text = format!("the plan {} is not readable: {error}", item.key);
                self.say("config", &text);
                return;
            }
        };
        if self.settings.hosts.is_none() {
            let text = format!("plan {} is left: no address takes hosts down", plan.number);
            self.say("config", &text);
            return;
        }
        let known = |other: &Plan| other.number == plan.number;
        if self.plans.borrow().iter().any(known) {
            return;
        }
        self.plans.borrow_mut().push(plan);
        self.feed_plans();
    }

    /// fetch_config takes over a newer configuration from a peer.
    pub(crate) async fn fetch_config(&self, address: &str) {
        if let Ok(Response::Config(value, revision)) = self
            .links
            .call(address, &Request::Config, FETCH_LIMIT)
            .await
        {
            let key = self.platform.config_key().to_owned();
            let item = Item {
                key,
                value,
                revision,
            };
            self.take_config(&item, "a peer");
        }
    }
}

/// Configs follows what operators write.
struct Configs<P> {
    node: Node<P>,
}

impl<P: Platform> Configs<P> {
    fn take_item(&self, item: &Item) {
        if item.key == self.node.platform.config_key() {
            self.node.take_config(item, "the store");
        } else {
            self.node.take_plan(item);
        }
    }
}

impl<P: Platform> Follower for Configs<P> {
    fn prefix(&self) -> &str {
        self.node.platform.config_prefix()
    }

    fn is_wanted(&self) -> bool {
        true
    }

    /// skips is true: each configuration replaces the one before. Changes that come twelve
    /// times a second are more than a link of 2 Mbit/s carries one by one, and the last of
    /// them was in force seconds late.
    fn skips(&self) -> bool {
        true
    }

    fn take(&mut self, feed: Feed) {
        for item in feed.into_items() {
            self.take_item(&item);
        }
    }
}

impl<P: Platform> link::Service for Node<P> {
    async fn answer(&self, request: Request) -> Response {
        match request {
            Request::Heartbeat(heartbeat) => Response::Alive(self.alive(&heartbeat)),
            Request::Store => Response::Flag(self.store_answers()),
            Request::Heard(fence) => Response::Flag(self.heard_owner(fence)),
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
            Request::Accepted(job, record) => {
                self.add_job(fence, Source::Message, job, record, None);
                Response::Flag(true)
            }
            Request::Cancelled(job) => {
                self.feed(fence, Event::Cancelled(job));
                Response::Flag(true)
            }
            Request::HandOver(unsaved) => {
                self.feed(fence, Event::HandedOver(unsaved));
                Response::Flag(true)
            }
            Request::State(job) => Response::State(self.job_state(job)),
            Request::Waiting(queue) => {
                let owner = self.owner.borrow();
                let waiting = owner.as_ref().map(|owner| owner.cell.waiting(&queue));
                waiting.map_or(Response::NotOwner, Response::Count)
            }
            Request::Heartbeat(_)
            | Request::Heard(_)
            | Request::Store
            | Request::Config
            | Request::Metrics
            | Request::Unsaved(_)
            | Request::Calls(_)
            | Request::Answers(_)
            | Request::Write(_) => Response::NotOwner,
        }
    }
}

/// Readiness tells the balancer whether this daemon takes requests.
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

/// Metrics shows the daemon's metrics, and explains where a job's tasks are.
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
                    .say("daemon", &format!("metrics not written: {error}"));
                answer(500, Vec::new(), None)
            }
        }
    }
}
