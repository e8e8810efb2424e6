// SPDX-License-Identifier: Apache-2.0
//! Messages between daemons: encoded with `bincode`, over HTTP/2 with one
//! stream per message.

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
use stackpier_cell::{Unsaved, outlook::Outlook, release};
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

/// URI is the request target of every message. The receiver only reads the body.
const URI: &str = "http://stackpier/message";
/// ACCEPT_PAUSE is the pause after a failed accept, such as for lack of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// IDLE_TIMEOUT is how long an accepted connection may carry no message before
/// it is closed: twenty heartbeats. Without it, a connection whose other end
/// went silent would stay open for ever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// RESEND_DIVISOR divides a message's time limit: the quotient is the time after
/// which the message is also sent on a new connection.
const RESEND_DIVISOR: u32 = 2;

/// Request is a message to another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A heartbeat from a follower to the owner that it knows.
    Heartbeat(Heartbeat),
    /// Asks whether the receiver had a recent answer from the owner with this
    /// fence.
    #[serde(rename = "Heard")]
    HasRecentContact(u64),
    /// Reports a job that is in the store.
    Accepted(key::Job, Box<Record>),
    /// Reports a job whose cancellation is in the store.
    Cancelled(key::Job),
    /// Asks for the state of a job.
    State(key::Job),
    /// Asks how many jobs of a queue have not begun.
    Waiting(String),
    /// Asks for the newest configuration, as its text in the store.
    Config,
    /// Asks whether the store answers the receiver.
    Store,
    /// Asks for the progress that the receiver could not save before the sender
    /// became the owner with this fence.
    Unsaved(u64),
    /// Reports the progress that the sender, a predecessor, could not save.
    HandOver(Vec<Unsaved>),
    /// Forwards a write of a daemon that can't reach the store. Doing it twice is
    /// safe.
    Write(Transaction),
    /// Asks for the address on which the receiver serves its metrics.
    Metrics,
    /// Orders the receiver to send calls to workers. A batch that arrives twice
    /// is carried out once.
    Calls(Batch),
    /// Reports the answers to calls that the receiver forwarded.
    Answers(Vec<Numbered<Outcome>>),
    /// Reports a job that is in the store, without its payload.
    Announced(key::Job, Box<Record>),
    /// Asks the owner for its outlook.
    Outlook,
    /// Reports jobs whose cancellations are in the store.
    CancelledJobs(Vec<key::Job>),
    /// Asks whether the receiver could take the cell over now.
    CanTakeOver,
    /// Reports what the sender, a predecessor that was replaced while it acted, has left on workers.
    HandOverRuns(release::Record),
}

impl Request {
    /// resend_after returns how long a message waits for its answer on an open
    /// connection before it is also sent on a new one. A write waits for its whole
    /// limit, as the store charges for each one. Its connection is unlikely to be
    /// silent: a write only follows an answered [`Request::Store`] on it.
    fn resend_after(&self, limit: Duration) -> Duration {
        match self {
            Request::Write(_) => limit,
            _ => limit / RESEND_DIVISOR,
        }
    }
}

/// Heartbeat reports the state of a follower to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The follower's VM.
    pub vm: String,
    /// The fence of the owner that the follower knows.
    pub fence: u64,
    /// The version of the follower's configuration.
    pub config: u64,
}

/// Response is the answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// The answer to a heartbeat.
    Alive(Alive),
    /// The answer to a yes-or-no question, or whether a message was accepted.
    Flag(bool),
    /// The state of a job, `None` if the job is not known.
    State(Option<State>),
    /// A count.
    Count(u64),
    /// The configuration's item in the store: its value and its revision.
    Config(Vec<u8>, u64),
    /// The outcome of a write.
    Written(Committed),
    /// The progress that a predecessor could not save.
    Unsaved(Vec<Unsaved>),
    /// The daemon that was asked does not own the cell.
    NotOwner,
    /// The address on which metrics are served.
    Metrics(String),
    /// The owner's outlook, `None` if it does not know the cell yet.
    Outlook(Option<Outlook>),
}

impl Response {
    /// into_result returns an error unless the message was accepted.
    pub(crate) fn into_result(self) -> Result<()> {
        match self {
            Response::Flag(true) => Ok(()),
            other => Err(Error::new(Kind::Unreachable, format!("answered {other:?}"))),
        }
    }
}

/// Alive is the owner's answer to a heartbeat.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Alive {
    /// Identifies this process of the daemon.
    pub boot: Boot,
    /// The fence of the owner that it knows; its own fence if it is the owner.
    pub fence: u64,
    /// Whether it owns the cell, or is loading it to become the owner.
    pub owner: bool,
    /// Whether the store answers its calls.
    pub store: bool,
    /// The version of its configuration.
    pub config: u64,
}

/// Service answers messages.
pub trait Service: Clone + 'static {
    /// answer returns the answer to a message.
    fn answer(&self, request: Request) -> impl Future<Output = Response>;
}

/// Connection is an open connection to another daemon.
#[derive(Clone)]
struct Connection {
    sender: client::SendRequest<Bytes>,
    /// Its serial number: connections are numbered in the order of opening.
    number: u64,
    /// When an answer last arrived on it.
    answered: Rc<Cell<Instant>>,
}

impl Connection {
    /// exchange sends a message and waits for the answer.
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

/// Links sends messages to other daemons, over one open connection to each.
///
/// A connection may go silent for good without a reset. If half of a message's
/// time limit passes without an answer, and no other answer arrives on the
/// connection meanwhile, the message is also sent on a new connection. Receiving
/// any message twice is safe.
#[derive(Clone, Default)]
pub struct Links {
    connections: Rc<RefCell<HashMap<String, Connection>>>,
    opened: Rc<Cell<u64>>,
}

impl Links {
    /// call sends a message and waits for the answer. After an error the
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
        let Some(connection) = self.find_connection(address) else {
            return self.send_anew(address, body, end).await;
        };
        let (number, answered) = (connection.number, Rc::clone(&connection.answered));
        let first = self.send_on(address, connection, body.clone(), end);
        let mut first = std::pin::pin!(first);
        tokio::select! {
            answer = first.as_mut() => match answer {
                Err(_) if Instant::now() < end => {
                    return self.send_anew(address, body, end).await;
                }
                answer => return answer,
            },
            () = sleep(request.resend_after(limit)) => {}
        }
        if answered.get() >= sent || Instant::now() >= end {
            return first.await;
        }
        self.forget(address, number);
        tokio::select! {
            Ok(answer) = first => Ok(answer),
            Ok(answer) = self.send_anew(address, body, end) => Ok(answer),
            else => Err(timed_out(address)),
        }
    }

    /// opened returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// send_anew sends a message on the connection that another message has
    /// opened meanwhile, or else opens one.
    async fn send_anew(&self, address: &str, body: Bytes, end: Instant) -> Result<Response> {
        let connection = match self.find_connection(address) {
            Some(connection) => connection,
            None => timeout_at(end, self.open(address))
                .await
                .map_err(|_| timed_out(address))??,
        };
        self.send_on(address, connection, body, end).await
    }

    /// send_on sends a message on a connection, and forgets the connection if there
    /// is no answer.
    async fn send_on(
        &self,
        address: &str,
        connection: Connection,
        body: Bytes,
        end: Instant,
    ) -> Result<Response> {
        let number = connection.number;
        let answered = timeout_at(end, connection.exchange(body)).await;
        let answer = answered.unwrap_or_else(|_| Err(timed_out(address)));
        if answer.is_err() {
            self.forget(address, number);
        }
        answer
    }

    fn find_connection(&self, address: &str) -> Option<Connection> {
        self.connections.borrow().get(address).cloned()
    }

    /// forget removes the connection with this number. A connection that replaced
    /// it stays.
    fn forget(&self, address: &str, number: u64) {
        let mut connections = self.connections.borrow_mut();
        if connections
            .get(address)
            .is_some_and(|connection| connection.number == number)
        {
            connections.remove(address);
        }
    }

    async fn open(&self, address: &str) -> Result<Connection> {
        let stream = socket::connect(address).await?;
        let (sender, driver) = client::handshake(stream).await.map_err(broken)?;
        // The message that uses the connection reports its errors.
        tokio::task::spawn_local(async move { drop(driver.await) });
        self.opened.set(self.opened.get() + 1);
        let connection = Connection {
            sender,
            number: self.opened.get(),
            answered: Rc::new(Cell::new(Instant::now())),
        };
        let mut connections = self.connections.borrow_mut();
        connections.insert(address.to_owned(), connection.clone());
        Ok(connection)
    }
}

fn timed_out(address: &str) -> Error {
    Error::new(Kind::Unreachable, format!("{address}: no answer in time"))
}

/// serve answers the messages that arrive at a listener, and keeps `open` at the
/// number of open connections.
pub async fn serve<S: Service>(listener: TcpListener, service: S, open: Rc<Cell<usize>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            // The other daemon has closed the connection already.
            continue;
        }
        let (service, open) = (service.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            open.set(open.get() + 1);
            serve_connection(stream, service).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, service: S) {
    let Ok(Ok(mut connection)) = timeout(IDLE_TIMEOUT, server::handshake(stream)).await else {
        return;
    };
    while let Ok(Some(Ok((request, respond)))) = timeout(IDLE_TIMEOUT, connection.accept()).await {
        let service = service.clone();
        let answer = answer(request.into_body(), respond, service);
        // The daemon that sent the message notices if its answer fails.
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
