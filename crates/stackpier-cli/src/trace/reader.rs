// SPDX-License-Identifier: Apache-2.0
//! Lines of a log, each up to a bound.

use std::io::{self, BufRead, Read};

/// MAX_LINE_BYTES bounds the part of a line that is kept; of a longer one the
/// rest is skipped. The longest lines of daemons, at their start, take a few KB.
const MAX_LINE_BYTES: u64 = 256 * 1024;
/// END ends a line.
const END: u8 = b'\n';

/// Reader returns the lines of a source.
pub struct Reader<R> {
    source: R,
    line: Vec<u8>,
}

impl<R: BufRead> Reader<R> {
    /// new reads from a source.
    pub fn new(source: R) -> Reader<R> {
        Reader {
            source,
            line: Vec::new(),
        }
    }

    /// next returns the next line with its end, if there is one.
    pub fn next(&mut self) -> io::Result<Option<&[u8]>> {
        self.line.clear();
        let mut part = self.source.by_ref().take(MAX_LINE_BYTES);
        part.read_until(END, &mut self.line)?;
        if self.line.len() as u64 == MAX_LINE_BYTES && !self.line.ends_with(&[END]) {
            self.source.skip_until(END)?;
        }
        Ok((!self.line.is_empty()).then_some(&self.line))
    }
}
