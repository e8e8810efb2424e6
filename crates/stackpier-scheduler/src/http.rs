// SPDX-License-Identifier: Apache-2.0
//! HTTP/1.1 by `hyper`: a client that keeps its connections, and a server.

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

/// MAX_ANSWER_BYTES bounds the body of an answer: a page of the store's items
/// is about 1 MB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// MAX_IDLE bounds the idle connections kept to one address. Workers take 64
/// connections each from all daemons together.
const MAX_IDLE: usize = 6;
/// TRUST is how recent an answer must be to show, at the time-out of another
/// call, that its connection is not silent as well. It is below what the calls
/// wait beyond the time at which an answer is due, 450 ms at least: an answer
/// from before a silence is older.
const TRUST: Duration = Duration::from_millis(300);
/// STALL is how long a long answer may bring nothing: longer than the packets of an open
/// connection wait on a full link of 2 Mbit/s, half a second.
const STALL: Duration = Duration::from_millis(800);
/// COMING is how long after a part of a long answer its program counts as answering: other
/// calls wait behind it on the link.
const COMING: Duration = Duration::from_millis(500);
/// LINGER is how long a connection is kept at a planned stop after it was told
/// to end, and again, while no request is answered on it: what remains is a
/// request of which only a part has come.
const LINGER: Duration = Duration::from_millis(500);
/// HEADER_TIMEOUT is how long a connection may be idle, and how long a client
/// may take to send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// BODY_TIMEOUT is how long a client may take to send its body: clients wait
/// three seconds for an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// ACCEPT_PAUSE is the pause after a failed accept, such as for want of
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Call is one request to another program.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Further headers with their values.
    pub headers: Vec<(&'static str, String)>,
    /// The body, empty for none.
    pub body: Vec<u8>,
    /// The time until the answer must be there, or must begin if it is long.
    pub limit: Duration,
}

/// Answer is the answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// Kept is an idle connection.
struct Kept {
    sender: Sender,
    /// When it last brought an answer.
    answered: Instant,
}

/// Client sends calls over kept connections, one call at a time on each.
///
/// Connections may go silent for good without a reset, all at once. So a call
/// that is late closes all idle connections to its address that have not just
/// brought an answer: the next call opens a new one.
#[derive(Clone, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<String, Vec<Kept>>>>,
    opened: Rc<Cell<u64>>,
    calls: Rc<Cell<u64>>,
    /// When the last part of a long answer came, by address.
    coming: Rc<RefCell<HashMap<String, Instant>>>,
}

impl Client {
    /// call sends one call. After an error or a time-out the call may still be
    /// carried out; its connection is not used again.
    pub async fn call(&self, address: &str, call: Call) -> Result<Answer> {
        let end = Instant::now() + call.limit;
        let exchange = async {
            let (sender, response) = self.ask(address, call).await?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| unreachable(address, &*error))?;
            self.give_back(address, sender);
            let body = body.to_bytes();
            Ok(Answer { status, body })
        };
        let answer = timeout_at(end, exchange).await;
        answer.map_err(|_| self.late(address))?
    }

    /// call_long sends one call whose answer may take longer than its limit on a slow link:
    /// the limit bounds the time until the answer begins, and it goes on for as long as parts
    /// of it come. A bound on the whole of it would be one on the link and on the length.
    pub async fn call_long(&self, address: &str, call: Call) -> Result<Answer> {
        let end = Instant::now() + call.limit;
        let asked = timeout_at(end, self.ask(address, call)).await;
        let (sender, response) = asked.map_err(|_| self.late(address))??;
        let status = response.status().as_u16();
        let body = self.parts(address, response.into_body()).await?;
        self.give_back(address, sender);
        Ok(Answer { status, body })
    }

    /// is_coming tells whether a long answer of a program comes just now.
    pub fn is_coming(&self, address: &str) -> bool {
        let coming = self.coming.borrow();
        let last = coming.get(address);
        last.is_some_and(|last| last.elapsed() < COMING)
    }

    /// opened returns how many connections were opened.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// calls returns how many calls were sent.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// distrust closes the idle connections to an address that have not just
    /// brought an answer.
    fn distrust(&self, address: &str) {
        if let Some(kept) = self.idle.borrow_mut().get_mut(address) {
            kept.retain(|kept| kept.answered.elapsed() < TRUST);
        }
    }

    /// late closes connections that may be silent, and returns the error of a call that got
    /// no answer in time.
    fn late(&self, address: &str) -> Error {
        self.distrust(address);
        Error::new(Kind::Unreachable, format!("{address}: no answer in time"))
    }

    /// ask sends a call and waits until its answer begins.
    async fn ask(&self, address: &str, call: Call) -> Result<(Sender, Response<Incoming>)> {
        self.calls.set(self.calls.get() + 1);
        let mut sender = match self.take(address) {
            Some(sender) => sender,
            None => self.connect(address).await?,
        };
        let broken = |error: hyper::Error| unreachable(address, &error);
        sender.ready().await.map_err(broken)?;
        let response = sender.send_request(request(address, call)?).await;
        Ok((sender, response.map_err(broken)?))
    }

    /// parts collects a long answer, of which each part has to come in time.
    async fn parts(&self, address: &str, body: Incoming) -> Result<Bytes> {
        let mut body = Limited::new(body, MAX_ANSWER_BYTES);
        let mut whole = BytesMut::new();
        loop {
            let frame = timeout(STALL, body.frame()).await;
            let Some(frame) = frame.map_err(|_| self.late(address))? else {
                return Ok(whole.freeze());
            };
            let frame = frame.map_err(|error| unreachable(address, &*error))?;
            if let Some(data) = frame.data_ref() {
                whole.extend_from_slice(data);
                let mut coming = self.coming.borrow_mut();
                coming.insert(address.to_owned(), Instant::now());
            }
        }
    }

    fn take(&self, address: &str) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(address)?;
        while let Some(kept) = senders.pop() {
            if !kept.sender.is_closed() {
                return Some(kept.sender);
            }
        }
        None
    }

    fn give_back(&self, address: &str, sender: Sender) {
        let mut idle = self.idle.borrow_mut();
        let senders = match idle.get_mut(address) {
            Some(senders) => senders,
            None => idle.entry(address.to_owned()).or_default(),
        };
        if senders.len() < MAX_IDLE && !sender.is_closed() {
            let answered = Instant::now();
            senders.push(Kept { sender, answered });
        }
    }

    async fn connect(&self, address: &str) -> Result<Sender> {
        let stream = socket::connect(address).await?;
        self.opened.set(self.opened.get() + 1);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake
            .await
            .map_err(|error| unreachable(address, &error))?;
        // Its errors come to light at the call that uses the connection.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }
}

fn request(address: &str, call: Call) -> Result<Request<Full<Bytes>>> {
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
    let wrong = |error: http::Error| Error::new(Kind::Internal, error.to_string());
    request
        .body(Full::new(Bytes::from(call.body)))
        .map_err(wrong)
}

fn unreachable(address: &str, error: &dyn std::error::Error) -> Error {
    Error::new(Kind::Unreachable, format!("{address}: {error}"))
}

/// Handler answers the requests of a server.
pub trait Handler: Clone + 'static {
    /// handle returns the answer to a request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Full<Bytes>>>;
}

/// Closing tells connections to end after the answer they are at.
pub type Closing = watch::Receiver<bool>;

/// serve answers the requests that come to a listener.
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
            // The client is gone already.
            continue;
        }
        let (handler, closing, open) = (handler.clone(), closing.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            open.set(open.get() + 1);
            connection(stream, handler, closing).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: H, mut closing: Closing) {
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
        // An error here is the client's end of the connection; requests that
        // were read in full have been answered or are logged by the handler.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep(LINGER) => {}
        }
        if !answering.get() {
            return;
        }
    }
}

/// listen opens a listener.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    use anyhow::Context;
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listening on {address}"))
}

/// answer builds an answer with a body of JSON text, empty for none.
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

/// body reads the body of a request up to a bound. One that stops coming is an
/// error, so that a client that went silent holds up no planned stop.
pub async fn body(body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let limited = Limited::new(body, max_bytes);
    let Ok(collected) = timeout(BODY_TIMEOUT, limited.collect()).await else {
        return Err(Error::new(Kind::TooSlow, "the body did not come in time"));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let text = format!("the body is over {max_bytes} bytes");
            Err(Error::new(Kind::TooLarge, text))
        }
        Err(error) => Err(Error::new(
            Kind::BadInput,
            format!("the body was cut: {error}"),
        )),
    }
}
