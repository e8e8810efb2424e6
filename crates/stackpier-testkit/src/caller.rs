// SPDX-License-Identifier: Apache-2.0
//! Callers' requests, as a test sends them.

use std::net::SocketAddr;

use anyhow::Result;
use minreq::Response;
use stackpier_core::{Kind, error::Ran};
use stackpier_protocol::operator::Failure;
use uuid::Uuid;

/// TIMEOUT_S bounds one request, in seconds.
const TIMEOUT_S: u64 = 30;

/// Call is one request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The callers' port of a daemon.
    pub to: SocketAddr,
    /// The service.
    pub service: String,
    /// The body, which the stand-in worker echoes.
    pub body: String,
    /// The key, for a request that must not be repeated.
    pub key: Option<Uuid>,
    /// Whether it is marked as the first attempt.
    pub first: bool,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// Answer is what the caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The whole answer of an upstream.
    Done(String),
    /// An error that says whether the request ran.
    Failed(Kind, Ran),
    /// No connection: the request was not even sent.
    NotConnected,
    /// No answer that says anything, as when the daemon was killed.
    Nothing,
}

impl Call {
    /// get is a request that may be repeated.
    pub fn get(to: SocketAddr, service: &str, body: &str) -> Call {
        Call {
            to,
            service: service.to_owned(),
            body: body.to_owned(),
            key: None,
            first: false,
            deadline_ms: 10_000,
        }
    }

    /// once is a first attempt at a request that must not be repeated.
    pub fn once(to: SocketAddr, service: &str, body: &str) -> Call {
        Call {
            key: Some(Uuid::now_v7()),
            first: true,
            ..Call::get(to, service, body)
        }
    }

    /// again is a repeat of the same request through another daemon.
    pub fn again(&self, to: SocketAddr) -> Call {
        Call {
            to,
            first: false,
            ..self.clone()
        }
    }

    /// send sends the request and waits for its answer.
    pub fn send(&self) -> Answer {
        let url = format!("http://{}/{}/echo", self.to, self.service);
        let mut request = minreq::post(url)
            .with_timeout(TIMEOUT_S)
            .with_header("stackpier-deadline-ms", self.deadline_ms.to_string())
            .with_body(self.body.clone());
        request = match self.key {
            Some(key) => request.with_header("idempotency-key", key.to_string()),
            None => request.with_header("stackpier-repeatable", "yes"),
        };
        if self.first {
            request = request.with_header("stackpier-attempt", "1");
        }
        match request.send() {
            Ok(response) => read(&response).unwrap_or(Answer::Nothing),
            Err(minreq::Error::IoError(error)) if refused(&error) => Answer::NotConnected,
            Err(_) => Answer::Nothing,
        }
    }
}

fn refused(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::ConnectionRefused
}

fn read(response: &Response) -> Result<Answer> {
    if response.status_code == 200 {
        return Ok(Answer::Done(response.as_str()?.to_owned()));
    }
    let failure: Failure = serde_json::from_slice(response.as_bytes())?;
    Ok(Answer::Failed(failure.error.kind, failure.ran))
}
