// SPDX-License-Identifier: Apache-2.0
//! HTTP calls to daemons. If a server cannot be reached or cannot serve, the
//! next one in the list is called.

use minreq::{Request, Response};
use serde::{Serialize, de::DeserializeOwned};
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::{
    codec::{from_json, to_json},
    operator::Failure,
};

/// TIMEOUT_S is the time-out of a call to one server, in seconds.
const TIMEOUT_S: u64 = 20;

/// get fetches a value.
pub fn get<T: DeserializeOwned>(servers: &[String], path: &str) -> Result<T> {
    call_servers(servers, |server| {
        minreq::get(format!("http://{server}{path}")).with_timeout(TIMEOUT_S)
    })
}

/// get_with_timeout fetches a value from one server, with a time-out in seconds.
pub fn get_with_timeout<T: DeserializeOwned>(
    server: &str,
    path: &str,
    timeout_s: u64,
) -> Result<T> {
    call_servers(&[server.to_owned()], |server| {
        minreq::get(format!("http://{server}{path}")).with_timeout(timeout_s)
    })
}

/// post sends a change. The change carries its submission's id, so it may be
/// sent to another server when the first one's answer is lost.
pub fn post<B: Serialize, T: DeserializeOwned>(
    servers: &[String],
    path: &str,
    body: &B,
) -> Result<T> {
    let body = to_json(body)?;
    call_servers(servers, |server| {
        minreq::post(format!("http://{server}{path}"))
            .with_timeout(TIMEOUT_S)
            .with_body(body.clone())
    })
}

fn call_servers<T, F>(servers: &[String], request: F) -> Result<T>
where
    T: DeserializeOwned,
    F: Fn(&str) -> Request,
{
    let mut last = Error::new(Kind::Unreachable, "no server given");
    for server in servers {
        match request(server).send() {
            Ok(response) => match parse_response(&response) {
                Err(error) if should_try_next(error.kind) => last = error,
                answer => return answer,
            },
            Err(error) => {
                last = Error::new(Kind::Unreachable, format!("{server}: {error}"));
            }
        }
    }
    Err(last)
}

/// should_try_next reports whether another server may succeed after an error of
/// this kind.
fn should_try_next(kind: Kind) -> bool {
    matches!(kind, Kind::Stopping | Kind::StoreUnavailable)
}

fn parse_response<T: DeserializeOwned>(response: &Response) -> Result<T> {
    if response.status_code == 200 {
        return from_json(response.as_bytes());
    }
    let failure: Failure = from_json(response.as_bytes())?;
    Err(failure.error)
}
