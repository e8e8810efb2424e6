// SPDX-License-Identifier: Apache-2.0
//! Encodes pages within JSON as base64 text of their `bincode` form, which takes
//! about a quarter of the bytes of plain JSON. For use as
//! `#[serde(with = "packed")]`.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Deserializer, Serializer, de::Error as _, ser::Error as _};
use stackpier_state::Page;

use crate::codec::{decode, encode};

/// serialize writes a page as text.
pub fn serialize<S: Serializer>(page: &Page, serializer: S) -> Result<S::Ok, S::Error> {
    let bytes = encode(page).map_err(S::Error::custom)?;
    serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
}

/// deserialize reads a page from text.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Page, D::Error> {
    let text = String::deserialize(deserializer)?;
    let bytes = STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)?;
    decode(&bytes).map_err(D::Error::custom)
}
