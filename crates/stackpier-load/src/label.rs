// SPDX-License-Identifier: Apache-2.0
//! Names for the experiments.

use stackpier_core::Name;

/// name builds a name from a text; it panics if the text is not a valid name.
pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}
