// SPDX-License-Identifier: Apache-2.0
//! Helpers of all simulations: choosing an element, and building names.

use stackpier_core::Name;

/// pick removes and returns the element that `n` selects, or `None` if `all` is
/// empty.
pub(crate) fn pick<T>(all: &mut Vec<T>, n: u8) -> Option<T> {
    if all.is_empty() {
        return None;
    }
    let index = usize::from(n) % all.len();
    Some(all.remove(index))
}

/// name parses a valid name, and panics on any other text.
pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}
