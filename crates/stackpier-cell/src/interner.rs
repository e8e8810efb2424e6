// SPDX-License-Identifier: Apache-2.0
//! Names turned into small numbers, so that comparisons are cheap.

use std::collections::HashMap;

/// Interner numbers the texts it has seen, from zero.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    numbers: HashMap<String, u16>,
}

impl Interner {
    /// list returns the texts in the order of their numbers.
    pub(crate) fn list(&self) -> Vec<String> {
        let mut texts: Vec<(u16, &String)> = self
            .numbers
            .iter()
            .map(|(text, number)| (*number, text))
            .collect();
        texts.sort_unstable();
        texts.into_iter().map(|(_, text)| text.clone()).collect()
    }

    /// number returns the number of a text, a new one if it was not seen yet.
    /// Past 65,535 texts all further ones share the last number.
    pub(crate) fn number(&mut self, text: &str) -> u16 {
        if let Some(number) = self.numbers.get(text) {
            return *number;
        }
        let number = u16::try_from(self.numbers.len()).unwrap_or(u16::MAX);
        self.numbers.insert(text.to_owned(), number);
        number
    }
}
