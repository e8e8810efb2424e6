// SPDX-License-Identifier: Apache-2.0
//! HTTP/1.1 with `hyper`: a client that reuses its connections, and a server.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1::SendRequest, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use stackpier_core::{Error, Kind, Result};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::socket;

/// MAX_ANSWER_BYTES bounds the body of an answer. The largest answers, pages of
/// the store's items, have about 1 MB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// MAX_IDLE bounds the idle connections to one address. A worker accepts 64
/// connections from all daemons together.
const MAX_IDLE: usize = 6;
/// RECENT_ANSWER is how recent the last answer on a connection must be for the
/// connection to stay open when another call times out. Each call waits at least
/// 450 ms beyond the time at which its answer is due. So if all connections went
/// silent together, their last answers are older than this at the timeout.
const RECENT_ANSWER: Duration = Duration::from_millis(300);
/// MAX_STALL bounds the pause between two parts of a long answer. It is longer than the half
/// second for which the packets of an open connection wait on a saturated link of 2 Mbit/s.
const MAX_STALL: Duration = Duration::from_millis(800);
/// MAX_PART_AGE is how long after the last part of a long answer the answer still counts as
/// arriving. Other calls wait behind it on the link.
const MAX_PART_AGE: Duration = Duration::from_millis(500);
/// DRAIN_PAUSE is the time between two checks, at a planned stop, of whether a
/// request on a connection is still being answered. If none is, the connection is
/// closed: at most a part of a request has arrived on it.
const DRAIN_PAUSE: Duration = Duration::from_millis(500);
/// HEADER_TIMEOUT is how long a connection may be idle, and how long a client
/// may take to send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// BODY_TIMEOUT is how long a client may take to send a request's body. Client
/// accounts wait three seconds for an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// ACCEPT_PAUSE is the pause after a failed accept, such as for lack of file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Call describes a request to another program.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Additional headers with their values.
    pub headers: Vec<(&'static str, String)>,
    /// The body, empty for none.
    pub body: Vec<u8>,
    /// The time within which the answer must be complete, or must begin if it is
    /// long.
    pub limit: Duration,
}

/// Answer holds the answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// IdleConnection holds an open connection that carries no call.
struct IdleConnection {
    sender: Sender,
    /// When an answer last arrived on it.
    answered: Instant,
}

/// Client sends calls over connections that it reuses, one call at a time on each.
///
/// Connections may go silent for good without a reset, all at once. A call that
/// times out therefore closes all idle connections to its address on which no
/// answer arrived recently, so that the next call opens a new one.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    opened: Rc<Cell<u64>>,
    calls: Rc<Cell<u64>>,
    /// When the last part of a long answer arrived, by address.
    last_parts: Rc<RefCell<HashMap<String, Instant>>>,
}

impl Client {
    /// call sends a call and returns its answer. After an error or a timeout its
    /// connection is not used again, and the receiver may still carry out the call.
    pub async fn call(&self, address: &str, call: Call) -> Result<Answer> {
        let end = Instant::now() + call.limit;
        let exchange = async {
            let (sender, response) = self.send(address, call).await?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| unreachable(address, &*error))?;
            self.keep_idle(address, sender);
            let body = body.to_bytes();
            Ok(Answer { status, body })
        };
        let answer = timeout_at(end, exchange).await;
        answer.map_err(|_| self.handle_timeout(address))?
    }

    /// call_long sends a call whose answer may take longer than the call's limit on a slow
    /// link. The limit bounds the time until the answer begins; the rest is read for as long
    /// as parts of it arrive. The time for a whole answer depends on its length and on the
    /// link, so it has no limit.
    pub async fn call_long(&self, address: &str, call: Call) -> Result<Answer> {
        let end = Instant::now() + call.limit;
        let sent = timeout_at(end, self.send(address, call)).await;
        let (sender, response) = sent.map_err(|_| self.handle_timeout(address))??;
        let status = response.status().as_u16();
        let body = self.collect_parts(address, response.into_body()).await?;
        self.keep_idle(address, sender);
        Ok(Answer { status, body })
    }

    /// is_receiving reports whether a long answer is arriving from an address.
    pub fn is_receiving(&self, address: &str) -> bool {
        let last_parts = self.last_parts.borrow();
        let last = last_parts.get(address);
        last.is_some_and(|last| last.elapsed() < MAX_PART_AGE)
    }

    /// opened returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// calls returns the number of calls sent so far.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// close_suspect closes the idle connections to an address on which no answer
    /// arrived recently.
    fn close_suspect(&self, address: &str) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(address) {
            connections.retain(|connection| connection.answered.elapsed() < RECENT_ANSWER);
        }
    }

    /// handle_timeout closes the other connections that may have gone silent, and returns the
    /// error for the call that timed out.
    fn handle_timeout(&self, address: &str) -> Error {
        self.close_suspect(address);
        Error::new(Kind::Unreachable, format!("{address}: no answer in time"))
    }

    /// send sends a call and waits for the head of its answer.
    async fn send(&self, address: &str, call: Call) -> Result<(Sender, Response<Incoming>)> {
        self.calls.set(self.calls.get() + 1);
        let mut sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        let broken = |error: hyper::Error| unreachable(address, &error);
        sender.ready().await.map_err(broken)?;
        let response = sender.send_request(build_request(address, call)?).await;
        Ok((sender, response.map_err(broken)?))
    }

    /// collect_parts reads the body of a long answer. It fails if nothing arrives for
    /// `MAX_STALL`.
    async fn collect_parts(&self, address: &str, body: Incoming) -> Result<Bytes> {
        let mut body = Limited::new(body, MAX_ANSWER_BYTES);
        let mut collected = BytesMut::new();
        loop {
            let frame = timeout(MAX_STALL, body.frame()).await;
            let Some(frame) = frame.map_err(|_| self.handle_timeout(address))? else {
                return Ok(collected.freeze());
            };
            let frame = frame.map_err(|error| unreachable(address, &*error))?;
            if let Some(data) = frame.data_ref() {
                collected.extend_from_slice(data);
                let mut last_parts = self.last_parts.borrow_mut();
                last_parts.insert(address.to_owned(), Instant::now());
            }
        }
    }

    fn take_idle(&self, address: &str) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn keep_idle(&self, address: &str, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        let connections = match idle.get_mut(address) {
            Some(connections) => connections,
            None => idle.entry(address.to_owned()).or_default(),
        };
        if connections.len() < MAX_IDLE && !sender.is_closed() {
            let answered = Instant::now();
            connections.push(IdleConnection { sender, answered });
        }
    }

    async fn connect(&self, address: &str) -> Result<Sender> {
        let stream = socket::connect(address).await?;
        self.opened.set(self.opened.get() + 1);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake
            .await
            .map_err(|error| unreachable(address, &error))?;
        // The call that uses the connection reports its errors.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }
}

fn build_request(address: &str, call: Call) -> Result<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address);
    if !call.body.is_empty() {
        request = request.header(http::header::CONTENT_TYPE, "application/json");
    }
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let invalid = |error: http::Error| Error::new(Kind::Internal, error.to_string());
    request
        .body(Full::new(Bytes::from(call.body)))
        .map_err(invalid)
}

fn unreachable(address: &str, error: &dyn std::error::Error) -> Error {
    Error::new(Kind::Unreachable, format!("{address}: {error}"))
}

/// Handler answers the requests of a server.
pub trait Handler: Clone + 'static {
    /// handle returns the answer to a request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Full<Bytes>>>;
}

/// Closing becomes true at a planned stop: connections then end after the answer that they
/// are sending.
pub type Closing = watch::Receiver<bool>;

/// serve answers the requests that arrive at a listener, and keeps `open` at the
/// number of open connections.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: H,
    closing: Closing,
    open: Rc<Cell<usize>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            // The client has closed the connection already.
            continue;
        }
        let (handler, closing, open) = (handler.clone(), closing.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            open.set(open.get() + 1);
            serve_connection(stream, handler, closing).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: H, mut closing: Closing) {
    let answering = Rc::new(Cell::new(false));
    let service = service_fn(|request| {
        let (handler, answering) = (handler.clone(), Rc::clone(&answering));
        async move {
            answering.set(true);
            let response = handler.handle(request).await;
            answering.set(false);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An error here means that the client closed the connection. The handler
        // has answered or logged the requests that were read in full.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(DRAIN_PAUSE) => {}
        }
        if !answering.get() {
            return;
        }
    }
}

/// listen opens a listener on an address.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    use anyhow::Context;
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listening on {address}"))
}

/// answer builds a response whose body is JSON text, or empty.
pub fn answer(status: u16, body: Vec<u8>, retry_after_s: Option<u32>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    if let Some(seconds) = retry_after_s {
        headers.insert(http::header::RETRY_AFTER, http::HeaderValue::from(seconds));
    }
    response
}

/// body reads the body of a request of at most `max_bytes`. It fails if the body
/// is not complete in time, so that a silent client can't delay a planned stop.
pub async fn body(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let limited = Limited::new(body, max_bytes);
    let Ok(collected) = timeout(BODY_TIMEOUT, limited.collect()).await else {
        return Err(Error::new(Kind::TooSlow, "the body did not arrive in time"));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let text = format!("the body is over {max_bytes} bytes");
            Err(Error::new(Kind::TooLarge, text))
        }
        Err(error) => Err(Error::new(
            Kind::BadInput,
            format!("the body was cut off: {error}"),
        )),
    }
}
