// SPDX-License-Identifier: Apache-2.0
//! The receiving side: the port for other daemons, and the threads that serve
//! their messages.

use std::{
    net::TcpListener,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use bytes::Bytes;
use flume::{Receiver, Sender};
use h2::{RecvStream, server};
use stackpier_core::Kind;
use stackpier_protocol::{
    codec::{decode, encode},
    peer::{Request, Response},
};
use tokio::{net::TcpStream, sync::oneshot};

use super::{Counters, Service, WINDOW};
use crate::stream::collect;

/// MAX_STREAMS is the maximum number of messages being served on a connection.
const MAX_STREAMS: u32 = 1_024;
/// QUICK_THREADS is the number of threads for messages that are answered
/// without calls to other daemons.
const QUICK_THREADS: usize = 4;
/// SLOW_THREADS is the number of threads for messages that need calls to other
/// daemons.
const SLOW_THREADS: usize = 16;
/// ACCEPT_PAUSE is the wait before a failed accept is tried again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Inbound is a received message and the channel for its answer.
pub(super) struct Inbound {
    request: Request,
    reply: oneshot::Sender<Response>,
}

/// Port holds received messages until [`Port::serve`] starts to answer them.
pub struct Port {
    pub(super) quick: Receiver<Inbound>,
    pub(super) slow: Receiver<Inbound>,
}

impl Port {
    /// serve answers messages on threads of its own, which run as long as the
    /// process.
    pub fn serve<S: Service>(self, service: &Arc<S>) -> std::io::Result<()> {
        spawn_threads("peer-quick", QUICK_THREADS, &self.quick, service)?;
        spawn_threads("peer-slow", SLOW_THREADS, &self.slow, service)
    }
}

fn spawn_threads<S: Service>(
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

/// Inbox hands messages over to the threads that serve them.
#[derive(Clone)]
pub(super) struct Inbox {
    pub(super) quick: Sender<Inbound>,
    pub(super) slow: Sender<Inbound>,
    pub(super) counters: Arc<Counters>,
}

/// accept accepts and serves connections as long as the process runs.
pub(super) async fn accept(listener: TcpListener, inbox: Inbox) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::spawn(handle_connection(stream, inbox.clone()));
    }
}

async fn handle_connection(stream: TcpStream, inbox: Inbox) {
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
