// SPDX-License-Identifier: Apache-2.0
//! A line reader with a limit on the length of a line.

use std::io::{self, BufRead, Read};

/// MAX_LINE_BYTES is the maximum number of bytes kept of a line; the rest of a
/// longer one is skipped. The longest lines that daemons write, when they start,
/// have a few KB.
const MAX_LINE_BYTES: u64 = 256 * 1024;
/// LINE_END is the last byte of a line.
const LINE_END: u8 = b'\n';

/// Reader reads the lines of a source.
pub struct Reader<R> {
    source: R,
    line: Vec<u8>,
}

impl<R: BufRead> Reader<R> {
    /// new returns a reader of a source.
    pub fn new(source: R) -> Reader<R> {
        Reader {
            source,
            line: Vec::new(),
        }
    }

    /// next returns the next line, with its line end if it has one, or `None` at
    /// the end of the source.
    pub fn next(&mut self) -> io::Result<Option<&[u8]>> {
        self.line.clear();
        let mut part = self.source.by_ref().take(MAX_LINE_BYTES);
        part.read_until(LINE_END, &mut self.line)?;
        if self.line.len() as u64 == MAX_LINE_BYTES && !self.line.ends_with(&[LINE_END]) {
            self.source.skip_until(LINE_END)?;
        }
        Ok((!self.line.is_empty()).then_some(&self.line))
    }
}
