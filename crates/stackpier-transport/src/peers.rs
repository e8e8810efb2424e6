// SPDX-License-Identifier: Apache-2.0
//! Messages between daemons: encoded with `bincode`, each on an `h2` stream of
//! its own.

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

/// WINDOW is the flow-control window of a stream and of a connection, in bytes.
const WINDOW: u32 = 4 * 1024 * 1024;

/// Service answers messages from other daemons. It may block.
pub trait Service: Send + Sync + 'static {
    /// serve returns the answer to a message.
    fn serve(&self, request: Request) -> Response;
}

/// Counters counts the messages and bytes that this daemon exchanges with other
/// daemons.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests sent.
    pub sent: AtomicU64,
    /// Bytes sent in requests and answers.
    pub sent_bytes: AtomicU64,
    /// Requests received.
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
    /// start listens for other daemons. It returns the sender of messages and
    /// the port, whose messages wait for [`Port::serve`].
    pub fn start(listener: TcpListener) -> std::io::Result<(Peers, Port)> {
        let (outbound, requests) = flume::unbounded();
        let (quick, quick_receiver) = flume::unbounded();
        let (slow, slow_receiver) = flume::unbounded();
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
                    send_all(requests, inbox.counters).await;
                });
            })?;
        let port = Port {
            quick: quick_receiver,
            slow: slow_receiver,
        };
        Ok((Peers { outbound, counters }, port))
    }

    /// call sends a message and waits for its answer. `limit` applies as in
    /// [`Peers::send`].
    pub fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Response> {
        let ended = || Error::new(Kind::Internal, "the peer transport has ended");
        self.send(address, request, limit)?
            .recv()
            .map_err(|_| ended())?
    }

    /// send sends a message and returns the channel for its answer. `limit` is
    /// the time-out for connecting, if needed, and again for the exchange.
    pub fn send(
        &self,
        address: SocketAddr,
        request: &Request,
        limit: Duration,
    ) -> Result<Receiver<Result<Response>>> {
        let ended = || Error::new(Kind::Internal, "the peer transport has ended");
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
        self.outbound.send(outbound).map_err(|_| ended())?;
        Ok(answered)
    }

    /// counters returns the counters of messages and bytes.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
