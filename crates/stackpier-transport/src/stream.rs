// SPDX-License-Identifier: Apache-2.0
//! Messages on `h2` streams.

use h2::RecvStream;
use stackpier_core::{Error, Kind, Result};
use stackpier_protocol::codec::MAX_MESSAGE;

/// collect reads a message to its end. It fails if the message is larger than
/// [`MAX_MESSAGE`].
pub async fn collect(body: &mut RecvStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(broken)?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_MESSAGE {
            return Err(Error::new(Kind::TooLarge, "message over its bound"));
        }
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(broken)?;
    }
    Ok(bytes)
}

/// broken converts an `h2` error to the error of a failed connection.
pub fn broken(error: h2::Error) -> Error {
    Error::new(Kind::Unreachable, format!("peer connection broke: {error}"))
}
