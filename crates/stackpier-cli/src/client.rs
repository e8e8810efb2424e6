// SPDX-License-Identifier: Apache-2.0
//! Calls to the operators' port of a daemon; the next server is asked when
//! one can't be reached.

use minreq::{Request, Response};
use serde::{Serialize, de::DeserializeOwned};
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::{from_json, to_json},
    operator::Failure,
};

/// TIMEOUT_S bounds one call, in seconds.
const TIMEOUT_S: u64 = 20;

/// get asks for a value.
pub fn get<T: DeserializeOwned>(servers: &[String], path: &str) -> Result<T> {
    ask(servers, |server| {
        minreq::get(format!("http://{server}{path}")).with_timeout(TIMEOUT_S)
    })
}

/// get_within asks one server for a value, with a time-out in seconds.
pub fn get_within<T: DeserializeOwned>(server: &str, path: &str, timeout_s: u64) -> Result<T> {
    ask(&[server.to_owned()], |server| {
        minreq::get(format!("http://{server}{path}")).with_timeout(timeout_s)
    })
}

/// post sends a change. It names its submission, so that it may be sent to
/// another server when the first one's answer is lost.
pub fn post<B: Serialize, T: DeserializeOwned>(
    servers: &[String],
    path: &str,
    body: &B,
) -> Result<T> {
    let body = to_json(body)?;
    ask(servers, |server| {
        minreq::post(format!("http://{server}{path}"))
            .with_timeout(TIMEOUT_S)
            .with_body(body.clone())
    })
}

fn ask<T, F>(servers: &[String], request: F) -> Result<T>
where
    T: DeserializeOwned,
    F: Fn(&str) -> Request,
{
    let mut last = Error::new(Kind::Unreachable, "no server given");
    for server in servers {
        match request(server).send() {
            Ok(response) => match read(&response) {
                Err(error) if tries_next(error.kind) => last = error,
                answer => return answer,
            },
            Err(error) => {
                last = Error::new(Kind::Unreachable, format!("{server}: {error}"));
            }
        }
    }
    Err(last)
}

/// tries_next tells whether another server may have a better answer.
fn tries_next(kind: Kind) -> bool {
    matches!(kind, Kind::Stopping | Kind::StoreUnavailable)
}

fn read<T: DeserializeOwned>(response: &Response) -> Result<T> {
    if response.status_code == 200 {
        return from_json(response.as_bytes());
    }
    let failure: Failure = from_json(response.as_bytes())?;
    Err(failure.error)
}
