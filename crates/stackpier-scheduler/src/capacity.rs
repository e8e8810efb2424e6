// SPDX-License-Identifier: Apache-2.0
//! How fast a VM can own the cell: it reads the cell over its link and decodes it on its processor.

use crate::detector::{CELL_BYTES, WIRE_BITS_PER_BYTE};

/// READING_PROCESSOR_US is the processor time that reading a large cell takes, in microseconds of
/// a whole core: half a core and a fast link need about 0.2 s.
const READING_PROCESSOR_US: u64 = 100_000;
/// MILLI_PER_CORE is the number of thousandths in a core.
const MILLI_PER_CORE: u64 = 1_000;
/// US_PER_MS is the number of microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;
/// CLEAR_FACTOR is how many times as fast a clearly larger VM reads the cell.
const CLEAR_FACTOR: u64 = 2;

/// Capacity is what limits the work of an owner on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The processor capacity, in thousandths of a core.
    pub milli_cores: u32,
    /// The bandwidth of the link, in kbit/s.
    pub link_kbps: u32,
}

impl Capacity {
    /// reading_us returns how long reading a large cell takes, in microseconds.
    pub fn reading_us(self) -> u64 {
        // A kbit/s is a bit per millisecond.
        let link_us =
            CELL_BYTES * WIRE_BITS_PER_BYTE * US_PER_MS / u64::from(self.link_kbps.max(1));
        let cores = u64::from(self.milli_cores.max(1));
        link_us + READING_PROCESSOR_US * MILLI_PER_CORE / cores
    }

    /// is_clearly_larger reports whether this VM reads the cell in at most half the time that the
    /// other one takes.
    pub fn is_clearly_larger(self, other: Capacity) -> bool {
        self.reading_us() * CLEAR_FACTOR <= other.reading_us()
    }
}
