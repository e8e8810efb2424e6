// SPDX-License-Identifier: Apache-2.0
//! Flow control of starts: the starts that await answers are no more than the owner's VM sends
//! in a short time, so that heartbeats, leases and stops never queue behind them.
//!
//! A start carries its job's payload, a kilobyte or more, and a wide step has hundreds of
//! starts. An owner on a slow link that sent them all at once would be silent for seconds and lose
//! the cell, and so would each successor. A start that another daemon sends counts with what it puts
//! on the owner's link. Further starts wait for answers, so the rate also follows
//! a processor or a network that is slower than the settings say.

use std::collections::HashMap;

use stackpier_core::Millis;

use crate::{Options, arena::RunKey, lag::Lag};

/// OVERHEAD_BYTES is how many bytes a start takes on the wire besides its payload: its head, its
/// other fields and the headers of its packets.
const OVERHEAD_BYTES: u64 = 450;

/// Sent is a start that awaits its answer.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Millis,
    bytes: u64,
}

/// Flow counts the starts that await answers.
#[derive(Debug)]
pub(crate) struct Flow {
    /// The maximum number of bytes that may await answers.
    max_bytes: u64,
    /// The maximum number of starts that may await answers.
    max_starts: usize,
    /// How late the owner handles its ticks, which reduces both.
    lag: Lag,
    unanswered: HashMap<RunKey, Sent>,
    bytes: u64,
    full: bool,
}

impl Flow {
    /// new returns a flow without any starts.
    pub(crate) fn new(options: &Options) -> Flow {
        Flow {
            max_bytes: options.max_start_bytes,
            max_starts: options.max_starts,
            lag: Lag::default(),
            unanswered: HashMap::new(),
            bytes: 0,
            full: false,
        }
    }

    /// record_sent records that a start with a payload of that many bytes was sent.
    pub(crate) fn record_sent(&mut self, at: Millis, run: RunKey, payload: usize) {
        let bytes = payload as u64 + OVERHEAD_BYTES;
        self.bytes += bytes;
        self.unanswered.insert(run, Sent { at, bytes });
        self.full |= self.bytes >= self.byte_limit() || self.starts() >= self.start_limit();
    }

    /// record_forwarded records that another daemon sends a start, which put only `bytes` on the
    /// owner's link.
    pub(crate) fn record_forwarded(&mut self, run: RunKey, bytes: u64) {
        if let Some(sent) = self.unanswered.get_mut(&run) {
            self.bytes -= sent.bytes;
            self.bytes += bytes;
            sent.bytes = bytes;
            self.release();
        }
    }

    /// record_answered records that a start was answered or given up. Once the limit is
    /// reached, further starts wait until half of it is free again: a placement attempt rates
    /// all workers for a step, so it pays to place many tasks at a time.
    pub(crate) fn record_answered(&mut self, run: RunKey) {
        if let Some(sent) = self.unanswered.remove(&run) {
            self.bytes -= sent.bytes;
        }
        self.release();
    }

    fn release(&mut self) {
        self.full &= self.bytes > self.byte_limit() / 2 || self.starts() > self.start_limit() / 2;
    }

    /// set_lag sets how late the owner handles its ticks.
    pub(crate) fn set_lag(&mut self, lag: Lag) {
        self.lag = lag;
        self.release();
    }

    fn starts(&self) -> u64 {
        self.unanswered.len() as u64
    }

    /// start_limit returns how many starts may await answers.
    pub(crate) fn start_limit(&self) -> u64 {
        self.lag.reduce(self.max_starts as u64)
    }

    fn byte_limit(&self) -> u64 {
        self.lag.reduce(self.max_bytes)
    }

    /// describe returns how many starts await answers, and for how long the oldest has.
    pub(crate) fn describe(&self, now: Millis) -> String {
        let ages = self.unanswered.values().map(|sent| now.since(sent.at));
        format!(
            "{} starts of {} bytes in flight for up to {} ms, {} starts and {} bytes allowed",
            self.unanswered.len(),
            self.bytes,
            ages.max().unwrap_or(0),
            self.start_limit(),
            self.byte_limit()
        )
    }

    /// is_full reports whether further starts have to wait.
    pub(crate) fn is_full(&self) -> bool {
        self.full
    }
}
