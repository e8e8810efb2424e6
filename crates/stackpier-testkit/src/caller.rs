// SPDX-License-Identifier: Apache-2.0
//! Sends requests as callers do.

use std::net::SocketAddr;

use anyhow::Result;
use minreq::Response;
use stackpier_core::{Kind, error::Ran};
use stackpier_protocol::operator::Failure;
use uuid::Uuid;

/// TIMEOUT_S is the time after which a request is given up, in seconds.
const TIMEOUT_S: u64 = 30;

/// Call is a request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The callers' port of the daemon that it is sent to.
    pub to: SocketAddr,
    /// The service that it is for.
    pub service: String,
    /// The body, which the stand-in worker echoes.
    pub body: String,
    /// The idempotency key, for a request that must run at most once.
    pub key: Option<Uuid>,
    /// Whether it is marked as the first attempt.
    pub is_first_attempt: bool,
    /// The deadline that it gives the daemon, in milliseconds from now.
    pub deadline_ms: u64,
}

/// Answer is the outcome of a call for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The complete answer of an upstream.
    Done(String),
    /// An error, and whether the request ran.
    Failed(Kind, Ran),
    /// No connection: the request was not even sent.
    NotConnected,
    /// No readable answer, for example because the daemon was killed.
    NoAnswer,
}

impl Call {
    /// repeatable returns a request that may run more than once.
    pub fn repeatable(to: SocketAddr, service: &str, body: &str) -> Call {
        Call {
            to,
            service: service.to_owned(),
            body: body.to_owned(),
            key: None,
            is_first_attempt: false,
            deadline_ms: 10_000,
        }
    }

    /// keyed returns the first attempt of a request that must run at most once.
    pub fn keyed(to: SocketAddr, service: &str, body: &str) -> Call {
        Call {
            key: Some(Uuid::now_v7()),
            is_first_attempt: true,
            ..Call::repeatable(to, service, body)
        }
    }

    /// repeat returns a repeat of the same request through another daemon.
    pub fn repeat(&self, to: SocketAddr) -> Call {
        Call {
            to,
            is_first_attempt: false,
            ..self.clone()
        }
    }

    /// send sends the request and waits for the answer.
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
        if self.is_first_attempt {
            request = request.with_header("stackpier-attempt", "1");
        }
        match request.send() {
            Ok(response) => parse_answer(&response).unwrap_or(Answer::NoAnswer),
            Err(minreq::Error::IoError(error)) if is_refused(&error) => Answer::NotConnected,
            Err(_) => Answer::NoAnswer,
        }
    }
}

fn is_refused(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::ConnectionRefused
}

fn parse_answer(response: &Response) -> Result<Answer> {
    if response.status_code == 200 {
        return Ok(Answer::Done(response.as_str()?.to_owned()));
    }
    let failure: Failure = serde_json::from_slice(response.as_bytes())?;
    Ok(Answer::Failed(failure.error.kind, failure.ran))
}
