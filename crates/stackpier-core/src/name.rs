// SPDX-License-Identifier: Apache-2.0
//! Short names, stored inline so that a name is a small `Copy` key.

use std::fmt;

use serde::{Deserialize, Serialize};

/// MAX_LEN is the maximum length of a name in bytes.
pub const MAX_LEN: usize = 31;

/// Name is the validated name of a service, job, team, VM, rack or data centre.
///
/// It consists of 1 to [`MAX_LEN`] bytes from `a-z`, `0-9` and `-`, and starts
/// with a letter or a digit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    len: u8,
    bytes: [u8; MAX_LEN],
}

/// Invalid is the reason why a text is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    TooLong,
    /// The text contains a byte that is not allowed at its position.
    BadByte,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Empty => write!(f, "a name must not be empty"),
            Invalid::TooLong => write!(f, "a name has at most {MAX_LEN} bytes"),
            Invalid::BadByte => write!(
                f,
                "a name holds a-z, 0-9 and '-', and starts with a letter or digit"
            ),
        }
    }
}

impl std::error::Error for Invalid {}

impl Name {
    /// as_str returns the name as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.len)]).unwrap_or_default()
    }
}

impl TryFrom<&str> for Name {
    type Error = Invalid;

    fn try_from(text: &str) -> Result<Self, Invalid> {
        let raw = text.as_bytes();
        let first = *raw.first().ok_or(Invalid::Empty)?;
        if raw.len() > MAX_LEN {
            return Err(Invalid::TooLong);
        }
        let allowed = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-';
        if first == b'-' || !raw.iter().all(allowed) {
            return Err(Invalid::BadByte);
        }
        let mut bytes = [0; MAX_LEN];
        bytes[..raw.len()].copy_from_slice(raw);
        Ok(Name {
            len: raw.len() as u8,
            bytes,
        })
    }
}

impl TryFrom<String> for Name {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Invalid> {
        Name::try_from(text.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.as_str().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_str())
    }
}
