// SPDX-License-Identifier: Apache-2.0
//! Codecs: `bincode` between daemons, JSON for everything else.

use bincode::config::{Configuration, Limit, standard};
use serde::{Serialize, de::DeserializeOwned};
use stackpier_core::{Error, Kind, Result};

/// MAX_MESSAGE is the maximum size of a message between daemons, in bytes.
pub const MAX_MESSAGE: usize = 16 * 1024 * 1024;

fn config()
-> Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<MAX_MESSAGE>> {
    standard().with_limit::<MAX_MESSAGE>()
}

/// encode returns the bytes of a message between daemons.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    bincode::serde::encode_to_vec(message, config())
        .map_err(|error| Error::new(Kind::Internal, format!("message not encoded: {error}")))
}

/// decode reads a message between daemons. Bytes after its end are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, config())
        .map_err(|error| Error::new(Kind::BadInput, format!("message not decoded: {error}")))?;
    if used != bytes.len() {
        return Err(Error::new(Kind::BadInput, "message has bytes left over"));
    }
    Ok(message)
}

/// to_json returns a value as JSON text.
pub fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value)
        .map_err(|error| Error::new(Kind::Internal, format!("JSON not written: {error}")))
}

/// from_json reads a value from JSON text. Its error gives the position of what
/// is invalid.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::new(Kind::BadInput, format!("JSON not read: {error}")))
}
