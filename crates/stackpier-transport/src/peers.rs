// SPDX-License-Identifier: Apache-2.0
//! The port and the connections between daemons: `bincode` messages, one
//! `h2` stream each.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use flume::{Receiver, Sender};
use h2::{RecvStream, SendStream, client, server};
use http::Request as Head;
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::{decode, encode},
    peer::{Request, Response},
};
use tokio::{net::TcpStream, sync::oneshot, time::timeout};

use crate::stream::{broken, collect};

/// MAX_STREAMS is the most messages in service on one connection.
const MAX_STREAMS: u32 = 1_024;
/// WINDOW is the flow-control window of a stream and of a connection.
const WINDOW: u32 = 4 * 1024 * 1024;
/// QUICK_THREADS is the count of threads for messages that ask nobody else.
const QUICK_THREADS: usize = 4;
/// SLOW_THREADS is the count of threads for messages that ask other daemons.
const SLOW_THREADS: usize = 16;
/// URI is the target of every message; only the body matters.
const URI: &str = "http://stackpier/message";

/// Service answers messages of other daemons. It may block.
pub trait Service: Send + Sync + 'static {
    /// serve returns the answer.
    fn serve(&self, request: Request) -> Response;
}

/// Inbound is a message received, and where its answer goes.
struct Inbound {
    request: Request,
    reply: oneshot::Sender<Response>,
}

/// Outbound is a message to be sent, and where its answer goes.
struct Outbound {
    address: SocketAddr,
    body: Bytes,
    limit: Duration,
    reply: Sender<Result<Response>>,
}

/// Counters count the messages and bytes of this daemon's peer transport.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages sent as requests.
    pub sent: AtomicU64,
    /// Bytes sent in requests and answers.
    pub sent_bytes: AtomicU64,
    /// Messages received as requests.
    pub received: AtomicU64,
    /// Bytes received in requests and answers.
    pub received_bytes: AtomicU64,
}

impl Counters {
    fn count_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Peers sends messages to other daemons.
#[derive(Clone)]
pub struct Peers {
    outbound: Sender<Outbound>,
    counters: Arc<Counters>,
}

impl Peers {
    /// start serves the peers' port and returns the way to other daemons.
    pub fn start(listener: TcpListener) -> std::io::Result<(Peers, Port)> {
        let (outbound, sending) = flume::unbounded();
        let (quick, quick_served) = flume::unbounded();
        let (slow, slow_served) = flume::unbounded();
        let counters = Arc::new(Counters::default());
        listener.set_nonblocking(true)?;
        let inbox = Inbox {
            quick,
            slow,
            counters: Arc::clone(&counters),
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    tokio::spawn(accept(listener, inbox.clone()));
                    send_all(sending, inbox.counters).await;
                });
            })?;
        let port = Port {
            quick: quick_served,
            slow: slow_served,
        };
        Ok((Peers { outbound, counters }, port))
    }

    /// call sends a message and waits for its answer.
    pub fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response> {
        let gone = || Error::new(Kind::Internal, "the peer transport has ended");
        self.send(address, request, limit)?
            .recv()
            .map_err(|_| gone())?
    }

    /// send sends a message and returns where its answer will come.
    pub fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Receiver<Result<Response>>> {
        let gone = || Error::new(Kind::Internal, "the peer transport has ended");
        let body = Bytes::from(encode(request)?);
        self.counters.sent.fetch_add(1, Ordering::Relaxed);
        self.counters.count_sent(body.len());
        let (reply, answered) = flume::bounded(1);
        let outbound = Outbound {
            address,
            body,
            limit,
            reply,
        };
        self.outbound.send(outbound).map_err(|_| gone())?;
        Ok(answered)
    }

    /// counters returns the counts of messages and bytes.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}

/// Port is the receiving side, which waits for its service.
pub struct Port {
    quick: Receiver<Inbound>,
    slow: Receiver<Inbound>,
}

impl Port {
    /// serve answers messages on threads of its own for the life of the
    /// process.
    pub fn serve<S: Service>(self, service: &Arc<S>) -> std::io::Result<()> {
        spawn("peer-quick", QUICK_THREADS, &self.quick, service)?;
        spawn("peer-slow", SLOW_THREADS, &self.slow, service)
    }
}

fn spawn<S: Service>(
    name: &str,
    count: usize,
    inbox: &Receiver<Inbound>,
    service: &Arc<S>,
) -> std::io::Result<()> {
    for number in 0..count {
        let inbox = inbox.clone();
        let service = Arc::clone(service);
        let thread = thread::Builder::new().name(format!("{name}-{number}"));
        thread.spawn(move || {
            for inbound in inbox {
                let _ = inbound.reply.send(service.serve(inbound.request));
            }
        })?;
    }
    Ok(())
}

/// Inbox passes messages to the threads that serve them.
#[derive(Clone)]
struct Inbox {
    quick: Sender<Inbound>,
    slow: Sender<Inbound>,
    counters: Arc<Counters>,
}

async fn accept(listener: TcpListener, inbox: Inbox) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        tokio::spawn(connection(stream, inbox.clone()));
    }
}

async fn connection(stream: TcpStream, inbox: Inbox) {
    let _ = stream.set_nodelay(true);
    let mut builder = server::Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else {
        return;
    };
    while let Some(Ok((head, respond))) = connection.accept().await {
        tokio::spawn(answer(head.into_body(), respond, inbox.clone()));
    }
}

async fn answer(
    mut body: RecvStream,
    mut respond: server::SendResponse<Bytes>,
    inbox: Inbox,
) -> Option<()> {
    let bytes = collect(&mut body).await.ok()?;
    inbox.counters.received.fetch_add(1, Ordering::Relaxed);
    inbox.counters.count_received(bytes.len());
    let response = match decode::<Request>(&bytes) {
        Ok(request) => serve(request, &inbox).await,
        Err(error) => Response::Failed(error.kind),
    };
    let bytes = Bytes::from(encode(&response).ok()?);
    inbox.counters.count_sent(bytes.len());
    let mut stream = respond.send_response(http::Response::new(()), false).ok()?;
    stream.send_data(bytes, true).ok()
}

async fn serve(request: Request, inbox: &Inbox) -> Response {
    let (reply, answered) = oneshot::channel();
    let queue = match request {
        Request::SealThere(_) => &inbox.slow,
        _ => &inbox.quick,
    };
    if queue.send(Inbound { request, reply }).is_err() {
        return Response::Failed(Kind::Internal);
    }
    answered.await.unwrap_or(Response::Failed(Kind::Internal))
}

async fn send_all(sending: Receiver<Outbound>, counters: Arc<Counters>) {
    let mut lines: HashMap<SocketAddr, Sender<Outbound>> = HashMap::new();
    while let Ok(outbound) = sending.recv_async().await {
        let address = outbound.address;
        let line = lines.entry(address).or_insert_with(|| {
            let (line, waiting) = flume::unbounded();
            tokio::spawn(run_line(address, waiting, Arc::clone(&counters)));
            line
        });
        let _ = line.send(outbound);
    }
}

/// run_line keeps the connection to one daemon and sends its messages.
async fn run_line(address: SocketAddr, waiting: Receiver<Outbound>, counters: Arc<Counters>) {
    let mut line: Option<Line> = None;
    while let Ok(outbound) = waiting.recv_async().await {
        if line
            .as_ref()
            .is_some_and(|line| line.suspect.load(Ordering::Relaxed) > 0)
        {
            line = None;
        }
        if line.is_none() {
            let connected = timeout(outbound.limit, connect(address)).await;
            line = connected.ok().and_then(Result::ok);
        }
        let Some(ready) = line.clone() else {
            let text = format!("no connection to {address}");
            let _ = outbound
                .reply
                .send(Err(Error::new(Kind::Unreachable, text)));
            continue;
        };
        tokio::spawn(deliver(ready, outbound, Arc::clone(&counters)));
    }
}

/// Line is an open connection to another daemon.
#[derive(Clone)]
struct Line {
    sender: client::SendRequest<Bytes>,
    /// Above zero once a message went without an answer: the connection may
    /// be half open and is not used again.
    suspect: Arc<AtomicU64>,
}

async fn connect(address: SocketAddr) -> Result<Line> {
    let refused = |error| Error::new(Kind::Unreachable, format!("{address}: {error}"));
    let stream = TcpStream::connect(address).await.map_err(refused)?;
    let _ = stream.set_nodelay(true);
    let mut builder = client::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let (sender, connection) = builder.handshake(stream).await.map_err(broken)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Line {
        sender,
        suspect: Arc::default(),
    })
}

async fn deliver(line: Line, outbound: Outbound, counters: Arc<Counters>) {
    let exchanged = timeout(outbound.limit, exchange(line.sender, outbound.body)).await;
    let response = match exchanged {
        Ok(response) => response,
        Err(_) => Err(Error::new(Kind::Unreachable, "no answer in time")),
    };
    match &response {
        Ok(bytes) => counters.count_received(bytes.len()),
        Err(_) => {
            line.suspect.fetch_add(1, Ordering::Relaxed);
        }
    }
    let decoded = response.and_then(|bytes| decode::<Response>(&bytes));
    let _ = outbound.reply.send(decoded);
}

async fn exchange(sender: client::SendRequest<Bytes>, body: Bytes) -> Result<Vec<u8>> {
    let mut sender = sender.ready().await.map_err(broken)?;
    let head = Head::post(URI)
        .body(())
        .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
    let (response, stream) = sender.send_request(head, false).map_err(broken)?;
    send(stream, body)?;
    let mut response = response.await.map_err(broken)?.into_body();
    collect(&mut response).await
}

fn send(mut stream: SendStream<Bytes>, body: Bytes) -> Result<()> {
    stream.send_data(body, true).map_err(broken)
}
