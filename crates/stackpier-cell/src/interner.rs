// SPDX-License-Identifier: Apache-2.0
//! Interning of names as small numbers, so that comparisons are cheap.

use std::collections::HashMap;

/// Interner assigns numbers to texts, from zero.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    numbers: HashMap<String, u16>,
}

impl Interner {
    /// list returns the interned texts in the order of their numbers.
    pub(crate) fn list(&self) -> Vec<String> {
        let mut texts: Vec<(u16, &String)> = self
            .numbers
            .iter()
            .map(|(text, number)| (*number, text))
            .collect();
        texts.sort_unstable();
        texts.into_iter().map(|(_, text)| text.clone()).collect()
    }

    /// text returns the text with a number, empty if there is none.
    pub(crate) fn text(&self, number: u16) -> &str {
        let mut numbers = self.numbers.iter();
        let found = numbers.find(|(_, known)| **known == number);
        found.map_or("", |(text, _)| text.as_str())
    }

    /// intern returns the number of a text and assigns a new one if the text is new. All texts
    /// past the first 65,535 share the last number.
    pub(crate) fn intern(&mut self, text: &str) -> u16 {
        if let Some(number) = self.numbers.get(text) {
            return *number;
        }
        let number = u16::try_from(self.numbers.len()).unwrap_or(u16::MAX);
        self.numbers.insert(text.to_owned(), number);
        number
    }
}
