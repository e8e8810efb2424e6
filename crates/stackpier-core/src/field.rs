// SPDX-License-Identifier: Apache-2.0
//! Errors about invalid input, which name the field, its value and the allowed
//! values.

use std::fmt;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// Invalid describes one invalid field of an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invalid {
    /// The path of the field, such as `limits.callers`.
    pub field: String,
    /// The value that was given, as text.
    pub value: String,
    /// The allowed values, with their unit.
    pub allowed: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "field '{}' is {}, allowed is {}",
            self.field, self.value, self.allowed
        )
    }
}

impl std::error::Error for Invalid {}

/// invalid returns the error for one field.
pub fn invalid(field: &str, value: impl fmt::Display, allowed: impl fmt::Display) -> Invalid {
    Invalid {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_string(),
    }
}

/// within returns `value` if it is in `range`, else an error whose message ends
/// with `unit`.
pub fn within<T>(field: &str, value: T, range: RangeInclusive<T>, unit: &str) -> Result<T, Invalid>
where
    T: PartialOrd + fmt::Display + Copy,
{
    if range.contains(&value) {
        return Ok(value);
    }
    let allowed = format!("{} to {} {unit}", range.start(), range.end());
    Err(invalid(field, value, allowed))
}
