// SPDX-License-Identifier: Apache-2.0
//! Messages between daemons: `bincode` on `h2`, one stream for each.

use std::{cell::RefCell, collections::HashMap, future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use h2::{RecvStream, SendStream, client, server};
use serde::{Deserialize, Serialize};
use stackpier_core::{
    Error, Kind, Result,
    key::{self, Boot},
};
use stackpier_protocol::codec::{decode, encode};
use stackpier_state::job::{Record, State};
use stackpier_transport::stream::{broken, collect};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::store::{Committed, Transaction};

/// URI is the target of every message; only the body matters.
const URI: &str = "http://stackpier/message";
/// ACCEPT_PAUSE is the pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Request is a message to another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Request {
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
    /// A write by a daemon that can't reach the store. It is safe to be done
    /// twice.
    Write(Transaction),
    /// Where the receiver shows its metrics.
    Metrics,
}

/// Heartbeat tells the owner how a follower fares.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub vm: String,
    pub fence: u64,
    pub config: u64,
}

/// Response is the answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Response {
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
    /// The receiver does not own the cell.
    NotOwner,
    /// The address of the metrics.
    Metrics(String),
}

/// Alive is the owner's answer to a heartbeat.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Alive {
    pub boot: Boot,
    /// The fence that it knows, its own if it is the owner.
    pub fence: u64,
    pub owner: bool,
    /// Whether the store answers it.
    pub store: bool,
    /// The version of its configuration.
    pub config: u64,
}

/// Service answers messages.
pub(crate) trait Service: Clone + 'static {
    fn answer(&self, request: Request) -> impl Future<Output = Response>;
}

type Line = client::SendRequest<Bytes>;

/// Links sends messages over kept connections.
#[derive(Clone, Default)]
pub(crate) struct Links {
    lines: Rc<RefCell<HashMap<String, Line>>>,
}

impl Links {
    /// call sends a message and waits for the answer. After an error its
    /// connection is not used again.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: &Request,
        limit: Duration,
    ) -> Result<Response> {
        let answered = timeout(limit, self.exchange(address, request)).await;
        let late = || Error::new(Kind::Unreachable, format!("{address}: no answer in time"));
        let answer = answered.unwrap_or_else(|_| Err(late()));
        if answer.is_err() {
            self.lines.borrow_mut().remove(address);
        }
        answer
    }

    async fn exchange(&self, address: &str, request: &Request) -> Result<Response> {
        let body = Bytes::from(encode(request)?);
        let line = self.line(address).await?;
        let mut line = line.ready().await.map_err(broken)?;
        let head = http::Request::post(URI).body(());
        let head = head.map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
        let (response, mut stream) = line.send_request(head, false).map_err(broken)?;
        stream.send_data(body, true).map_err(broken)?;
        let mut body = response.await.map_err(broken)?.into_body();
        decode(&collect(&mut body).await?)
    }

    async fn line(&self, address: &str) -> Result<Line> {
        if let Some(line) = self.lines.borrow().get(address) {
            return Ok(line.clone());
        }
        let refused = |error| Error::new(Kind::Unreachable, format!("{address}: {error}"));
        let stream = TcpStream::connect(address).await.map_err(refused)?;
        stream.set_nodelay(true).map_err(refused)?;
        let (line, connection) = client::handshake(stream).await.map_err(broken)?;
        // Its errors come to light at the message that uses the connection.
        tokio::task::spawn_local(async move { drop(connection.await) });
        let mut lines = self.lines.borrow_mut();
        lines.insert(address.to_owned(), line.clone());
        Ok(line)
    }
}

/// serve answers the messages that come to a listener.
pub(crate) async fn serve<S: Service>(listener: TcpListener, service: S) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_ok() {
            tokio::task::spawn_local(connection(stream, service.clone()));
        }
    }
}

async fn connection<S: Service>(stream: TcpStream, service: S) {
    let Ok(mut connection) = server::handshake(stream).await else {
        return;
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
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
