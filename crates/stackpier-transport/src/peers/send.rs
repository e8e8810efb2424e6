// SPDX-License-Identifier: Apache-2.0
//! The sending side: one connection to each daemon, kept while it answers.

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

/// URI is the target of every message; only the body matters.
const URI: &str = "http://stackpier/message";

/// Outbound is a message to be sent, and where its answer goes.
pub(super) struct Outbound {
    pub(super) address: SocketAddr,
    pub(super) body: Bytes,
    pub(super) limit: Duration,
    pub(super) reply: Sender<Result<Response>>,
}

/// Line is an open connection to another daemon.
#[derive(Clone)]
struct Line {
    sender: client::SendRequest<Bytes>,
    /// Above zero once a message went without an answer: the connection may
    /// be half open and is not used again.
    suspect: Arc<AtomicU64>,
}

/// send_all passes messages to the connections, made on first use.
pub(super) async fn send_all(sending: Receiver<Outbound>, counters: Arc<Counters>) {
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
