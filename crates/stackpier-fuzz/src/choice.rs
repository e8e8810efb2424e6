// SPDX-License-Identifier: Apache-2.0
//! What all worlds need: to choose among what is there, and names.

use stackpier_core::Name;

/// pick takes out one of some things, chosen by a number; `None` if there is
/// none.
pub(crate) fn pick<T>(all: &mut Vec<T>, n: u8) -> Option<T> {
    if all.is_empty() {
        return None;
    }
    let place = usize::from(n) % all.len();
    Some(all.remove(place))
}

/// name builds a name that is known to be valid.
pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}
