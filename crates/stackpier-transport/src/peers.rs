// SPDX-License-Identifier: Apache-2.0
//! The port and the connections between daemons: `bincode` messages, one
//! `h2` stream each.

mod receive;
mod send;

use std::{
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
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::encode,
    peer::{Request, Response},
};

use receive::{Inbox, accept};
use send::{Outbound, send_all};

pub use receive::Port;

/// WINDOW is the flow-control window of a stream and of a connection.
const WINDOW: u32 = 4 * 1024 * 1024;
/// Service answers messages of other daemons. It may block.
pub trait Service: Send + Sync + 'static {
    /// serve returns the answer.
    fn serve(&self, request: Request) -> Response;
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
