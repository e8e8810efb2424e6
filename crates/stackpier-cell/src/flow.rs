// SPDX-License-Identifier: Apache-2.0
//! Flow control of starts: no more are on their way than the owner's VM sends in a short
//! while, so that heartbeats, leases and stops never queue behind them.
//!
//! A start carries its job's payload, a kilobyte or more, and a wide step is hundreds of
//! starts. On a link of 2 Mbit/s an owner that sent them all at once was silent for two
//! seconds, lost the cell, and so did each successor: ten take-overs in fifteen seconds,
//! and 0.14 of what was owed was served. Answers open the window again, so it also
//! follows a processor or a network that is slower than the settings say.

use std::collections::HashMap;

use crate::{Options, arena::RunKey};

/// HEAD_BYTES is what a start takes on the wire besides its payload: its head, its other
/// fields and the headers of its packets, counted on the wire of a user's platform.
const HEAD_BYTES: u64 = 450;

/// Flow counts the starts that are on their way.
#[derive(Debug)]
pub(crate) struct Flow {
    /// How many bytes may be on their way.
    most_bytes: u64,
    /// How many starts may be on their way.
    most: usize,
    unanswered: HashMap<RunKey, u64>,
    bytes: u64,
    full: bool,
}

impl Flow {
    /// new has nothing on its way.
    pub(crate) fn new(options: &Options) -> Flow {
        Flow {
            most_bytes: options.max_start_bytes,
            most: options.max_starts,
            unanswered: HashMap::new(),
            bytes: 0,
            full: false,
        }
    }

    /// record_sent counts a start with a payload of some bytes.
    pub(crate) fn record_sent(&mut self, run: RunKey, payload: usize) {
        let bytes = payload as u64 + HEAD_BYTES;
        self.bytes += bytes;
        self.unanswered.insert(run, bytes);
        self.full |= self.bytes >= self.most_bytes || self.unanswered.len() >= self.most;
    }

    /// record_answered notes that a start was answered or given up. Starts go on once half of
    /// them are: placing looks at all workers for a step, and does so for many tasks then.
    pub(crate) fn record_answered(&mut self, run: RunKey) {
        if let Some(bytes) = self.unanswered.remove(&run) {
            self.bytes -= bytes;
        }
        self.full &= self.bytes > self.most_bytes / 2 || self.unanswered.len() > self.most / 2;
    }

    /// is_full tells whether further starts have to wait.
    pub(crate) fn is_full(&self) -> bool {
        self.full
    }
}
