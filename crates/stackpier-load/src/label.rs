// SPDX-License-Identifier: Apache-2.0
//! Names that the experiments build.

use stackpier_core::Name;

/// name builds a name that is known to be valid.
pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}
