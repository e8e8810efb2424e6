// SPDX-License-Identifier: Apache-2.0
//! The check of a caller's request.

use std::sync::Arc;

use stackpier_core::{Error, Kind, Millis, Name, Result, error::Ran, key::Request as Key};
use stackpier_protocol::caller::{
    ATTEMPT_HEADER, DEADLINE_HEADER, FIRST_ATTEMPT, KEY_HEADER, REPEATABLE_HEADER,
};
use stackpier_transport::{callers, platform::Request};

/// MAX_DEADLINE_MS is the longest deadline a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Call is a checked request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The service.
    pub service: Name,
    /// The time at which the caller stops waiting.
    pub deadline: Millis,
    /// The key of a request that must not be repeated.
    pub key: Option<Key>,
    /// Whether the caller declares this as its first attempt with the key.
    pub first_attempt: bool,
    /// The request to send to an upstream.
    pub request: Arc<Request>,
}

/// check checks a request that arrived at this time. `default_ms` is the deadline
/// of a request that names none.
pub(super) fn check(arrived: Millis, raw: callers::Request, default_ms: u64) -> Result<Call> {
    let (service, path) = parse_target(&raw.path)?;
    let wait = match raw.header(DEADLINE_HEADER) {
        None => default_ms,
        Some(text) => parse_deadline(text)?,
    };
    let repeatable = parse_repeatable(&raw)?;
    let key = match (repeatable, raw.header(KEY_HEADER)) {
        (true, _) => None,
        (false, Some(text)) => Some(parse_key(text)?),
        (false, None) => {
            let text =
                format!("a request that must not be repeated needs '{KEY_HEADER}', a UUIDv7");
            return Err(Error::new(Kind::BadKey, text));
        }
    };
    let first_attempt = raw.header(ATTEMPT_HEADER) == Some(FIRST_ATTEMPT);
    Ok(Call {
        service,
        deadline: arrived.plus(wait),
        key,
        first_attempt,
        request: Arc::new(Request {
            method: raw.method,
            path,
            headers: raw.headers,
            body: raw.body,
        }),
    })
}

fn invalid_value(field: &str, value: &str, allowed: &str) -> Error {
    stackpier_core::field::invalid(field, format!("'{value}'"), allowed).into()
}

fn parse_target(path: &str) -> Result<(Name, String)> {
    let trimmed = path.strip_prefix('/').unwrap_or(path);
    let end = trimmed.find(['/', '?']).unwrap_or(trimmed.len());
    let (service, rest) = trimmed.split_at(end);
    let name = Name::try_from(service)
        .map_err(|reason| invalid_value("path", service, &format!("/SERVICE/...: {reason}")))?;
    Ok((name, rest.to_owned()))
}

fn parse_deadline(text: &str) -> Result<u64> {
    let allowed = format!("1 to {MAX_DEADLINE_MS} ms");
    match text.parse() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(ms),
        _ => Err(invalid_value(DEADLINE_HEADER, text, &allowed)),
    }
}

fn parse_repeatable(raw: &callers::Request) -> Result<bool> {
    match raw.header(REPEATABLE_HEADER) {
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(invalid_value(REPEATABLE_HEADER, other, "yes or no")),
        None => Ok(matches!(raw.method.as_str(), "GET" | "HEAD")),
    }
}

fn parse_key(text: &str) -> Result<Key> {
    Key::try_from(text).map_err(|_| {
        let error = invalid_value(KEY_HEADER, text, "a UUID of version 7");
        // No daemon accepts such a key, so no attempt with it can have run.
        Error::new(Kind::BadKey, error.message).with_ran(Ran::No)
    })
}
