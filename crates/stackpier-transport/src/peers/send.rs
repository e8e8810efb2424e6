// SPDX-License-Identifier: Apache-2.0
//! The sending side: one connection to each daemon, kept until a message on it
//! fails.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use flume::{Receiver, Sender};
use h2::{SendStream, client};
use http::Request as Head;
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{codec::decode, peer::Response};
use tokio::{net::TcpStream, time::timeout};

use super::{Counters, WINDOW};
use crate::stream::{broken, collect};

/// URI is the target of all messages. Receivers read the body only.
const URI: &str = "http://stackpier/message";

/// Outbound is a message to send and the channel for its answer.
pub(super) struct Outbound {
    pub(super) address: SocketAddr,
    pub(super) body: Bytes,
    pub(super) limit: Duration,
    pub(super) reply: Sender<Result<Response>>,
}

/// Connection is an open connection to another daemon.
#[derive(Clone)]
struct Connection {
    sender: client::SendRequest<Bytes>,
    /// Number of messages that got no answer. Above zero, the connection may be
    /// half open and is not used for further messages.
    failures: Arc<AtomicU64>,
}

/// send_all queues messages for the connections to their daemons. The task that
/// connects to a daemon starts with the first message to it.
pub(super) async fn send_all(requests: Receiver<Outbound>, counters: Arc<Counters>) {
    let mut queues: HashMap<SocketAddr, Sender<Outbound>> = HashMap::new();
    while let Ok(outbound) = requests.recv_async().await {
        let address = outbound.address;
        let queue = queues.entry(address).or_insert_with(|| {
            let (queue, queued) = flume::unbounded();
            tokio::spawn(run_connection(address, queued, Arc::clone(&counters)));
            queue
        });
        let _ = queue.send(outbound);
    }
}

/// run_connection sends the messages to one daemon, and connects again if the
/// connection has failed.
async fn run_connection(address: SocketAddr, queued: Receiver<Outbound>, counters: Arc<Counters>) {
    let mut connection: Option<Connection> = None;
    while let Ok(outbound) = queued.recv_async().await {
        if connection
            .as_ref()
            .is_some_and(|connection| connection.failures.load(Ordering::Relaxed) > 0)
        {
            connection = None;
        }
        if connection.is_none() {
            let connected = timeout(outbound.limit, connect(address)).await;
            connection = connected.ok().and_then(Result::ok);
        }
        let Some(ready) = connection.clone() else {
            let text = format!("no connection to {address}");
            let _ = outbound
                .reply
                .send(Err(Error::new(Kind::Unreachable, text)));
            continue;
        };
        tokio::spawn(deliver(ready, outbound, Arc::clone(&counters)));
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let refused = |error| Error::new(Kind::Unreachable, format!("{address}: {error}"));
    let stream = TcpStream::connect(address).await.map_err(refused)?;
    let _ = stream.set_nodelay(true);
    let mut builder = client::Builder::new();
    builder
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let (sender, driver) = builder.handshake(stream).await.map_err(broken)?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        failures: Arc::default(),
    })
}

async fn deliver(connection: Connection, outbound: Outbound, counters: Arc<Counters>) {
    let exchanged = timeout(outbound.limit, exchange(connection.sender, outbound.body)).await;
    let response = match exchanged {
        Ok(response) => response,
        Err(_) => Err(Error::new(Kind::Unreachable, "no answer in time")),
    };
    match &response {
        Ok(bytes) => counters.count_received(bytes.len()),
        Err(_) => {
            connection.failures.fetch_add(1, Ordering::Relaxed);
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
