// SPDX-License-Identifier: Apache-2.0
//! Messages between daemons: `bincode` on `h2`, one stream for each.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use h2::{RecvStream, SendStream, client, server};
use serde::{Deserialize, Serialize};
use stackpier_cell::Unsaved;
use stackpier_core::{
    Error, Kind, Result,
    key::{self, Boot},
};
use stackpier_protocol::codec::{decode, encode};
use stackpier_state::job::{Record, State};
use stackpier_transport::stream::{broken, collect};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::{
    relay::{Batch, Numbered, Outcome},
    socket,
    store::{Committed, Transaction},
};

/// URI is the target of every message; only the body matters.
const URI: &str = "http://stackpier/message";
/// ACCEPT_PAUSE is the pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// LINE_TIMEOUT is how long a connection may bring no message before the daemon
/// that accepted it closes it: twenty heartbeats. One that went silent would
/// otherwise be kept for ever.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// SECOND_TRY is the part of a message's time, as a divisor, after which it is
/// sent on a new connection as well.
const SECOND_TRY: u32 = 2;

/// Request is a message to another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A heartbeat from a follower to the owner it knows.
    Heartbeat(Heartbeat),
    /// Did the receiver hear from the owner with this fence lately?
    Heard(u64),
    /// A job is in the store.
    Accepted(key::Job, Box<Record>),
    /// The cancelling of a job is in the store.
    Cancelled(key::Job),
    /// The state of a job.
    State(key::Job),
    /// How many jobs of a queue have not begun.
    Waiting(String),
    /// The newest configuration, as its text in the store.
    Config,
    /// Does the store answer the receiver?
    Store,
    /// What could the receiver not save before the sender came to own the cell with this fence?
    Unsaved(u64),
    /// What the sender, which owned the cell before, could not save.
    HandOver(Vec<Unsaved>),
    /// A write by a daemon that can't reach the store. It is safe to be done
    /// twice.
    Write(Transaction),
    /// Where the receiver shows its metrics.
    Metrics,
    /// Calls to workers that the receiver is to send, once however often they come.
    Calls(Batch),
    /// Answers to calls that the receiver asked for.
    Answers(Vec<Numbered<Outcome>>),
}

impl Request {
    /// patience returns how long a message waits on a kept connection before it
    /// is sent on a new one as well. A write, which the store charges for, only
    /// follows an answered question on the same connection.
    fn patience(&self, limit: Duration) -> Duration {
        match self {
            Request::Write(_) => limit,
            _ => limit / SECOND_TRY,
        }
    }
}

/// Heartbeat tells the owner how a follower fares.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The follower's VM.
    pub vm: String,
    /// The fence of the owner that it knows.
    pub fence: u64,
    /// The version of its configuration.
    pub config: u64,
}

/// Response is the answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The answer to a heartbeat.
    Alive(Alive),
    /// A yes or no.
    Flag(bool),
    /// The state of a job, if it is known.
    State(Option<State>),
    /// A count.
    Count(u64),
    /// The configuration's item: value and revision.
    Config(Vec<u8>, u64),
    /// The outcome of a write.
    Written(Committed),
    /// What an earlier owner could not save.
    Unsaved(Vec<Unsaved>),
    /// The receiver does not own the cell.
    NotOwner,
    /// The address of the metrics.
    Metrics(String),
}

impl Response {
    /// into_taken tells whether a message was taken.
    pub(crate) fn into_taken(self) -> Result<()> {
        match self {
            Response::Flag(true) => Ok(()),
            other => Err(Error::new(Kind::Unreachable, format!("answered {other:?}"))),
        }
    }
}

/// Alive is the owner's answer to a heartbeat.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Alive {
    /// The run of the daemon.
    pub boot: Boot,
    /// The fence that it knows, its own if it is the owner.
    pub fence: u64,
    /// Whether it owns the cell, or is reading it.
    pub owner: bool,
    /// Whether the store answers it.
    pub store: bool,
    /// The version of its configuration.
    pub config: u64,
}

/// Service answers messages.
pub trait Service: Clone + 'static {
    /// answer returns the answer to a message.
    fn answer(&self, request: Request) -> impl Future<Output = Response>;
}

/// Line is a kept connection to another daemon.
#[derive(Clone)]
struct Line {
    sender: client::SendRequest<Bytes>,
    /// Its place in the order of opening.
    number: u64,
    /// When it last brought an answer.
    answered: Rc<Cell<Instant>>,
}

impl Line {
    /// exchange sends a message and waits for its answer.
    async fn exchange(self, body: Bytes) -> Result<Response> {
        let mut sender = self.sender.ready().await.map_err(broken)?;
        let head = http::Request::post(URI).body(());
        let head = head.map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let (response, mut stream) = sender.send_request(head, false).map_err(broken)?;
        stream.send_data(body, true).map_err(broken)?;
        let mut body = response.await.map_err(broken)?.into_body();
        let answer = decode(&collect(&mut body).await?)?;
        self.answered.set(Instant::now());
        Ok(answer)
    }
}

/// Links sends messages over kept connections.
///
/// A connection may go silent for good without a reset. So a message that has
/// no answer after half of its time, on a kept connection that has brought no
/// other answer meanwhile, is sent on a new one as well. Each message is safe to
/// be taken in twice.
#[derive(Clone, Default)]
pub struct Links {
    lines: Rc<RefCell<HashMap<String, Line>>>,
    opened: Rc<Cell<u64>>,
}

impl Links {
    /// call sends a message and waits for the answer. After an error its
    /// connection is not used again.
    pub async fn call(
        &self,
        address: &str,
        request: &Request,
        limit: Duration,
    ) -> Result<Response> {
        let body = Bytes::from(encode(request)?);
        let sent = Instant::now();
        let end = sent + limit;
        let Some(kept) = self.kept(address) else {
            return self.ask_anew(address, body, end).await;
        };
        let (number, answered) = (kept.number, Rc::clone(&kept.answered));
        let first = self.ask(address, kept, body.clone(), end);
        let mut first = std::pin::pin!(first);
        tokio::select! {
            answer = first.as_mut() => match answer {
                Err(_) if Instant::now() < end => {
                    return self.ask_anew(address, body, end).await;
                }
                answer => return answer,
            },
            () = sleep(request.patience(limit)) => {}
        }
        if answered.get() >= sent || Instant::now() >= end {
            return first.await;
        }
        self.forget(address, number);
        tokio::select! {
            Ok(answer) = first => Ok(answer),
            Ok(answer) = self.ask_anew(address, body, end) => Ok(answer),
            else => Err(late(address)),
        }
    }

    /// opened returns how many connections were opened.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// ask_anew sends a message on a connection that was opened since an
    /// earlier one failed, or opens one.
    async fn ask_anew(&self, address: &str, body: Bytes, end: Instant) -> Result<Response> {
        let line = match self.kept(address) {
            Some(line) => line,
            None => timeout_at(end, self.open(address))
                .await
                .map_err(|_| late(address))??,
        };
        self.ask(address, line, body, end).await
    }

    /// ask sends a message on a connection, which is kept only if it answers.
    async fn ask(&self, address: &str, line: Line, body: Bytes, end: Instant) -> Result<Response> {
        let number = line.number;
        let answered = timeout_at(end, line.exchange(body)).await;
        let answer = answered.unwrap_or_else(|_| Err(late(address)));
        if answer.is_err() {
            self.forget(address, number);
        }
        answer
    }

    fn kept(&self, address: &str) -> Option<Line> {
        self.lines.borrow().get(address).cloned()
    }

    /// forget keeps a connection no longer. One that was opened since stays.
    fn forget(&self, address: &str, number: u64) {
        let mut lines = self.lines.borrow_mut();
        if lines.get(address).is_some_and(|line| line.number == number) {
            lines.remove(address);
        }
    }

    async fn open(&self, address: &str) -> Result<Line> {
        let stream = socket::connect(address).await?;
        let (sender, connection) = client::handshake(stream).await.map_err(broken)?;
        // Its errors come to light at the message that uses the connection.
        tokio::task::spawn_local(async move { drop(connection.await) });
        self.opened.set(self.opened.get() + 1);
        let line = Line {
            sender,
            number: self.opened.get(),
            answered: Rc::new(Cell::new(Instant::now())),
        };
        let mut lines = self.lines.borrow_mut();
        lines.insert(address.to_owned(), line.clone());
        Ok(line)
    }
}

fn late(address: &str) -> Error {
    Error::new(Kind::Unreachable, format!("{address}: no answer in time"))
}

/// serve answers the messages that come to a listener, and counts the open
/// connections.
pub async fn serve<S: Service>(listener: TcpListener, service: S, open: Rc<Cell<usize>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            // The other daemon is gone already.
            continue;
        }
        let (service, open) = (service.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            open.set(open.get() + 1);
            connection(stream, service).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection<S: Service>(stream: TcpStream, service: S) {
    let Ok(Ok(mut connection)) = timeout(LINE_TIMEOUT, server::handshake(stream)).await else {
        return;
    };
    while let Ok(Some(Ok((request, respond)))) = timeout(LINE_TIMEOUT, connection.accept()).await {
        let service = service.clone();
        let answer = answer(request.into_body(), respond, service);
        // A failed answer is seen by the daemon that asked.
        tokio::task::spawn_local(async move { drop(answer.await) });
    }
}

async fn answer<S: Service>(
    mut body: RecvStream,
    mut respond: server::SendResponse<Bytes>,
    service: S,
) -> Result<()> {
    let request = decode(&collect(&mut body).await?)?;
    let response = encode(&service.answer(request).await)?;
    let head = http::Response::new(());
    let mut stream: SendStream<Bytes> = respond.send_response(head, false).map_err(broken)?;
    stream
        .send_data(Bytes::from(response), true)
        .map_err(broken)
}
