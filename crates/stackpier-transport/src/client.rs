// SPDX-License-Identifier: Apache-2.0
//! The HTTP client for the platform and the workers, with JSON bodies, on
//! `minreq`.

use minreq::{Error as HttpError, Method, Response};
use serde::{Serialize, de::DeserializeOwned};
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::{from_json, to_json},
    platform::{Roster as List, Swap, Swapped as SwapAnswer, Value},
    sync::{Call, Reply},
};
use stackpier_state::{
    Page, Revision,
    ledger::{Header, Reply as Answer},
    page::{Fetched, Key, Swapped},
};

use crate::platform::{Request, Roster, Sent, Store, Upstream, Worker};

/// RAN_HEADER is the answer header with which a worker reports, by the value
/// `no`, that it did not run a request.
pub const RAN_HEADER: &str = "stackpier-ran";
/// TASK_HEADER names the run that a request is for, as `job.index.attempt`.
pub const TASK_HEADER: &str = "stackpier-task";
/// REFUSED_HEADER is the answer header with which a worker reports why it did
/// not run a request.
pub const REFUSED_HEADER: &str = "stackpier-refused";
/// BUSY is the value of [`REFUSED_HEADER`] when all slots were in use.
pub const BUSY: &str = "busy";

/// STORE_TIMEOUT_S is the time-out of a call to the platform, in seconds.
const STORE_TIMEOUT_S: u64 = 2;
/// SYNC_TIMEOUT_S is the time-out of a worker's `sync` call, in seconds.
const SYNC_TIMEOUT_S: u64 = 2;
/// WATCH_MARGIN_S is how much longer than its wait a watch may take before it
/// times out, in seconds.
const WATCH_MARGIN_S: u64 = 2;
/// MAX_ANSWER_HEADERS is the maximum size of an answer's headers, in bytes.
const MAX_ANSWER_HEADERS: usize = 64 * 1024;

/// NOT_FORWARDED lists headers that are not forwarded: they apply to one
/// connection only, or are set again for the next one.
const NOT_FORWARDED: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Client calls one platform, and any worker by its address.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
}

impl Client {
    /// new returns a client of the platform at `IP:port`.
    pub fn new(platform: &str) -> Client {
        Client {
            base: format!("http://{platform}"),
        }
    }
}

/// is_forwarded reports whether a header is end-to-end. Headers that begin with
/// `stackpier-` are not.
pub fn is_forwarded(name: &str) -> bool {
    !NOT_FORWARDED.contains(&name) && !name.starts_with("stackpier-")
}

fn get<T: DeserializeOwned>(url: String, timeout_s: u64) -> Result<T> {
    let response = minreq::get(url).with_timeout(timeout_s).send();
    parse(response)
}

fn post<B: Serialize, T: DeserializeOwned>(url: String, body: &B, timeout_s: u64) -> Result<T> {
    let request = minreq::post(url)
        .with_timeout(timeout_s)
        .with_body(to_json(body)?);
    parse(request.send())
}

fn parse<T: DeserializeOwned>(response: std::result::Result<Response, HttpError>) -> Result<T> {
    let unreachable = |error| Error::new(Kind::StoreUnavailable, format!("no answer: {error}"));
    let response = response.map_err(unreachable)?;
    match response.status_code {
        200 => from_json(response.as_bytes()),
        404 => Err(Error::new(Kind::NotFound, "no such value")),
        429 => Err(Error::new(Kind::Overloaded, "the platform limits calls")),
        code => Err(Error::new(Kind::StoreUnavailable, format!("status {code}"))),
    }
}

impl Store for Client {
    fn read(&self, key: Key) -> Fetched {
        let url = format!("{}/kv/{key}", self.base);
        match get::<Value>(url, STORE_TIMEOUT_S) {
            Ok(value) => Fetched::Found(value.revision, value.page),
            Err(error) if error.kind == Kind::NotFound => Fetched::Absent,
            Err(_) => Fetched::Failed,
        }
    }

    fn swap(&self, key: Key, expect: Revision, page: &Page) -> Swapped {
        let url = format!("{}/kv/{key}", self.base);
        let page = page.clone();
        let answered = post::<Swap, SwapAnswer>(url, &Swap { expect, page }, STORE_TIMEOUT_S);
        match answered {
            Ok(answer) if answer.won => Swapped::Won(answer.revision),
            Ok(_) => Swapped::Lost,
            Err(error) if error.kind == Kind::Overloaded => Swapped::Refused,
            Err(_) => Swapped::Unclear,
        }
    }

    fn watch(&self, key: Key, after: Revision, wait_ms: u64) -> Option<Revision> {
        let url = format!(
            "{}/watch/{key}?after={}&wait_ms={wait_ms}",
            self.base, after.0
        );
        get::<Revision>(url, wait_ms / 1_000 + WATCH_MARGIN_S).ok()
    }
}

impl Roster for Client {
    fn list(&self) -> Result<List> {
        get(format!("{}/roster", self.base), STORE_TIMEOUT_S)
    }
}

impl Worker for Client {
    fn sync(&self, address: &str, call: &Call) -> Option<Reply> {
        post(format!("http://{address}/sync"), call, SYNC_TIMEOUT_S).ok()
    }

    fn send(&self, upstream: Upstream<'_>, request: &Request, timeout_ms: u64) -> Sent {
        let head = request.method == "HEAD";
        let run = upstream.run;
        let task = format!("{}.{}.{}", run.task.job.0, run.task.index, run.attempt.0);
        let url = format!(
            "http://{}/run/{}{}",
            upstream.address, upstream.service, request.path
        );
        let headers = request
            .headers
            .iter()
            .filter(|header| is_forwarded(&header.name));
        let sent = minreq::Request::new(parse_method(&request.method), url)
            .with_follow_redirects(false)
            .with_max_headers_size(MAX_ANSWER_HEADERS)
            .with_timeout(timeout_ms.div_ceil(1_000).max(1))
            .with_headers(headers.map(|header| (&header.name, &header.value)))
            .with_header(TASK_HEADER, task)
            .with_body(request.body.clone())
            .send();
        match sent {
            Ok(response) => check_answer(response, head),
            Err(error) if never_connected(&error) => Sent::NotRun,
            Err(_) => Sent::Broken,
        }
    }
}

/// never_connected reports whether an error proves that nothing was sent. Any
/// other error may come after a part of the request was written.
fn never_connected(error: &HttpError) -> bool {
    matches!(error, HttpError::IoError(io) if io.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// check_answer returns the outcome of an answer. An answer with `content-length`
/// is complete if its body has that length, or if it answers a HEAD request.
/// Without one it is complete if it came in chunks, up to the last one, or if its
/// status allows no body.
fn check_answer(response: Response, head: bool) -> Sent {
    if response.header(RAN_HEADER) == Some("no") {
        return match response.header(REFUSED_HEADER) {
            Some(BUSY) => Sent::Busy,
            _ => Sent::NotRun,
        };
    }
    let status = response.status_code;
    let length = response.header("content-length").map(str::parse::<usize>);
    let chunked = response.header("transfer-encoding").is_some();
    let whole = match length {
        Some(Ok(length)) => head || length == response.as_bytes().len(),
        Some(Err(_)) => false,
        None => chunked || matches!(status, 204 | 304),
    };
    if !whole {
        return Sent::Broken;
    }
    let headers = response.headers.iter().map(|(name, value)| Header {
        name: name.trim().to_ascii_lowercase(),
        value: value.trim().to_owned(),
    });
    Sent::Whole(Answer {
        status,
        headers: headers
            .filter(|header| is_forwarded(&header.name))
            .collect(),
        body: response.into_bytes(),
    })
}

fn parse_method(name: &str) -> Method {
    match name {
        "GET" => Method::Get,
        "HEAD" => Method::Head,
        "POST" => Method::Post,
        "PUT" => Method::Put,
        "DELETE" => Method::Delete,
        "OPTIONS" => Method::Options,
        "PATCH" => Method::Patch,
        other => Method::Custom(other.to_owned()),
    }
}
