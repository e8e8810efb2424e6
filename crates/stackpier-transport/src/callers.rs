// SPDX-License-Identifier: Apache-2.0
//! The HTTP port for callers, on `hyper`. `tiny_http` has no time-out for
//! callers that send slowly or stay idle, and a time-out set on its listening
//! socket ends its accept loop (see `docs/DESIGN.md`).

use std::{convert::Infallible, net::TcpListener, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    Request as Incoming, Response, body::Incoming as IncomingBody, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use stackpier_core::{Error, Kind, error::Ran};
use stackpier_protocol::{
    caller::{ATTEMPT_HEADER, FIRST_ATTEMPT, KEY_HEADER},
    codec::to_json,
    operator::Failure,
};
use stackpier_state::ledger::{Header, Reply};
use tokio::sync::{Semaphore, watch};

/// DRAIN_IDLE is the time without a new connection after which a stopped port
/// closes its listener.
const DRAIN_IDLE: Duration = Duration::from_millis(100);
/// MAX_DRAIN bounds the time for which a stopped port still accepts
/// connections.
const MAX_DRAIN: Duration = Duration::from_secs(10);

/// Options holds the limits on callers.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests being served at once.
    pub requests: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request's head, in bytes; at least 8,192.
    pub head_bytes: usize,
    /// Time-out for a request's head, in milliseconds. It also ends idle
    /// connections.
    pub head_ms: u64,
    /// Time-out for a request's body, in milliseconds.
    pub body_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            connections: 4_096,
            requests: 512,
            body_bytes: 1024 * 1024,
            head_bytes: 16 * 1024,
            head_ms: 5_000,
            body_ms: 10_000,
        }
    }
}

/// Request is a caller's request, read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, with names in lower case.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// header returns the first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name == name);
        found.map(|header| header.value.as_str())
    }
}

/// Service answers callers' requests. It may block: it runs on threads apart
/// from the connections'.
pub trait Service: Send + Sync + 'static {
    /// serve returns the answer to a request, or why there is none.
    fn serve(&self, request: Request) -> Result<Reply, Error>;

    /// closing reports whether answers ask callers to close their connections.
    fn closing(&self) -> bool;
}

/// Gate stops the port. A stopped port accepts no new connections, and no
/// further requests on open ones.
#[derive(Clone, Debug)]
pub struct Gate {
    stop: watch::Sender<bool>,
}

impl Default for Gate {
    fn default() -> Self {
        Gate {
            stop: watch::channel(false).0,
        }
    }
}

impl Gate {
    /// close stops the port.
    pub fn close(&self) {
        self.stop.send_replace(true);
    }
}

/// Context is the state that all connections of a port share.
struct Context<S> {
    service: Arc<S>,
    options: Options,
    requests: Arc<Semaphore>,
}

impl<S> Clone for Context<S> {
    fn clone(&self) -> Self {
        Context {
            service: Arc::clone(&self.service),
            options: self.options,
            requests: Arc::clone(&self.requests),
        }
    }
}

/// run serves callers until the gate is closed and all requests that have
/// begun are answered.
pub fn run<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    options: Options,
    gate: &Gate,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(options.requests)
        .build()?;
    listener.set_nonblocking(true)?;
    let stop = gate.stop.subscribe();
    let shared = Context {
        service,
        options,
        requests: Arc::new(Semaphore::new(options.requests)),
    };
    runtime.block_on(accept(listener, shared, stop))
}

async fn accept<S: Service>(
    listener: TcpListener,
    shared: Context<S>,
    mut stop: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let max = shared.options.connections;
    let connections = Arc::new(Semaphore::new(max));
    let connection_stop = stop.clone();
    loop {
        let permit = Arc::clone(&connections).acquire_owned().await;
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let connection = handle_connection(stream, shared.clone(), connection_stop.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
        }
    }
    drain(&listener, &shared, &connections).await;
    drop(listener);
    let _ = connections.acquire_many(max as u32).await;
    Ok(())
}

/// drain serves the connections that the kernel accepted before the port
/// stopped. Closing the listener would reset them without an answer.
async fn drain<S: Service>(
    listener: &tokio::net::TcpListener,
    shared: &Context<S>,
    connections: &Arc<Semaphore>,
) {
    // These connections must first get an answer to their request, so the stop
    // doesn't shut them down: the answer's `connection: close` header does.
    let (_sender, never_stopped) = watch::channel(false);
    let end = tokio::time::Instant::now() + MAX_DRAIN;
    while tokio::time::Instant::now() < end {
        let Ok(accepted) = tokio::time::timeout(DRAIN_IDLE, listener.accept()).await else {
            return;
        };
        let permit = Arc::clone(connections).try_acquire_owned();
        if let (Ok((stream, _)), Ok(permit)) = (accepted, permit) {
            let connection = handle_connection(stream, shared.clone(), never_stopped.clone());
            tokio::spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }
}

async fn handle_connection<S: Service>(
    stream: tokio::net::TcpStream,
    shared: Context<S>,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let options = shared.options;
    let service = service_fn(move |request| respond(request, shared.clone()));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(options.head_ms))
        .max_buf_size(options.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let served = tokio::select! {
        served = &mut serving => Some(served),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    if served.is_none() {
        serving.as_mut().graceful_shutdown();
        let _ = serving.await;
    }
}

async fn respond<S: Service>(
    request: Incoming<IncomingBody>,
    shared: Context<S>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let repeat = is_repeat(request.headers());
    let answered = match Arc::clone(&shared.requests).try_acquire_owned() {
        Err(_) => Err(Error::new(
            Kind::TooManyCallers,
            "too many requests at once",
        )),
        Ok(permit) => {
            let answered = answer(request, &shared).await;
            drop(permit);
            answered
        }
    };
    let mut reply = answered.unwrap_or_else(|error| failure(account_for_repeats(error, repeat)));
    if shared.service.closing() {
        reply.headers.push(Header {
            name: "connection".to_owned(),
            value: "close".to_owned(),
        });
    }
    Ok(build_response(reply))
}

/// is_repeat reports whether a request with these headers may have been sent
/// before: it has an idempotency key and isn't marked as the first attempt.
fn is_repeat(headers: &hyper::HeaderMap) -> bool {
    let first = headers
        .get(ATTEMPT_HEADER)
        .is_some_and(|value| value == FIRST_ATTEMPT);
    headers.contains_key(KEY_HEADER) && !first
}

/// account_for_repeats marks the error of a repeated request as "not known
/// whether it ran", unless the error states it itself. This attempt did not run,
/// but an earlier one may have.
fn account_for_repeats(error: Error, repeat: bool) -> Error {
    match repeat && error.ran.is_none() {
        true => error.with_ran(Ran::Unknown),
        false => error,
    }
}

async fn answer<S: Service>(
    request: Incoming<IncomingBody>,
    shared: &Context<S>,
) -> Result<Reply, Error> {
    let request = read_request(request, shared.options).await?;
    let service = Arc::clone(&shared.service);
    let served = tokio::task::spawn_blocking(move || service.serve(request)).await;
    served.unwrap_or_else(|_| Err(Error::new(Kind::Internal, "the request's thread ended")))
}

async fn read_request(request: Incoming<IncomingBody>, options: Options) -> Result<Request, Error> {
    let (head, body) = request.into_parts();
    let limited = Limited::new(body, options.body_bytes).collect();
    let limit = Duration::from_millis(options.body_ms);
    let slow = |_| Error::new(Kind::TooSlow, format!("the body took over {limit:?}"));
    let collected = tokio::time::timeout(limit, limited).await.map_err(slow)?;
    let body = collected.map_err(|error| match error.is::<LengthLimitError>() {
        true => {
            let text = format!("a body has at most {} bytes", options.body_bytes);
            Error::new(Kind::TooLarge, text)
        }
        false => Error::new(Kind::BadInput, format!("the body ended early: {error}")),
    })?;
    let headers = head.headers.iter().map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
    });
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(Request {
        method: head.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: headers.collect(),
        body: body.to_bytes().to_vec(),
    })
}

/// failure builds the answer for an error.
pub fn failure(error: Error) -> Reply {
    let answer = error.kind.answer();
    let header = |name: &str, value: String| Header {
        name: name.to_owned(),
        value,
    };
    let mut headers = vec![header("content-type", "application/json".to_owned())];
    let after = error.retry_after_s();
    headers.extend(after.map(|seconds| header("retry-after", seconds.to_string())));
    Reply {
        status: answer.status,
        headers,
        body: to_json(&Failure::from(error)).unwrap_or_default(),
    }
}

fn build_response(reply: Reply) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(reply.status);
    for header in &reply.headers {
        builder = builder.header(&header.name, &header.value);
    }
    let body = Full::new(Bytes::from(reply.body));
    builder.body(body).unwrap_or_else(|_| {
        let mut fallback = Response::new(Full::new(Bytes::new()));
        *fallback.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        fallback
    })
}
