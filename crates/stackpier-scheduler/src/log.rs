// SPDX-License-Identifier: Apache-2.0
//! The log: JSON lines on standard output, written by a separate thread so that no decision
//! waits for a write. Each part of the daemon, such as `owner` or `save`, has its own rate
//! limit. Lines beyond the limit are dropped, and a later line gives their number.

use std::{cell::RefCell, collections::HashMap, sync::Mutex};

use slog::{Drain, Logger, o};
use stackpier_core::Millis;

/// CHANNEL_LINES is how many lines may wait to be written. Further lines are dropped, and a
/// later line gives their number.
const CHANNEL_LINES: usize = 4_096;
/// MAX_LINES_PER_S is how many lines a part may write in a second on a large VM.
const MAX_LINES_PER_S: u32 = 400;
/// LINES_PER_S_PER_CORE is how many lines a part may write in a second for each core of the
/// VM. From 0.25 cores on, [`MAX_LINES_PER_S`] applies. At an assumed 10 microseconds a
/// line, a part takes at most 1.6% of the processor.
const LINES_PER_S_PER_CORE: u32 = 1_600;
/// MILLI_PER_CORE is the number of thousandths in a core.
const MILLI_PER_CORE: u32 = 1_000;
/// WINDOW_MS is the time over which the lines of a part are counted.
const WINDOW_MS: u64 = 1_000;

/// logger creates the daemon's log. Dropping the guard writes out the waiting lines.
pub fn logger(vm: &str) -> (Logger, slog_async::AsyncGuard) {
    let drain = Mutex::new(slog_json::Json::default(std::io::stdout())).fuse();
    let (core, guard) = slog_async::AsyncCore::custom(drain)
        .chan_size(CHANNEL_LINES)
        .build_with_guard();
    (Logger::root(core.fuse(), o!("vm" => vm.to_owned())), guard)
}

/// RateLimit bounds the rate of log lines for each part.
pub struct RateLimit {
    lines_per_s: u32,
    parts: RefCell<HashMap<&'static str, Window>>,
}

#[derive(Default)]
struct Window {
    start: Millis,
    lines: u32,
    dropped: u32,
}

/// Admission is the decision whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Write the line. The value is the number of the part's lines dropped before it.
    Write(u32),
    /// Drop the line.
    Drop,
}

impl RateLimit {
    /// new sets the limit by the VM's processor, in thousandths of a core.
    pub fn new(milli_cores: u32) -> RateLimit {
        let lines_per_s =
            u64::from(LINES_PER_S_PER_CORE) * u64::from(milli_cores) / u64::from(MILLI_PER_CORE);
        RateLimit {
            lines_per_s: lines_per_s.clamp(1, u64::from(MAX_LINES_PER_S)) as u32,
            parts: RefCell::default(),
        }
    }

    /// check counts a line of a part and decides whether it is written.
    pub fn check(&self, now: Millis, part: &'static str) -> Admission {
        let mut parts = self.parts.borrow_mut();
        let window = parts.entry(part).or_default();
        let mut dropped = 0;
        if now.since(window.start) >= WINDOW_MS {
            dropped = window.dropped;
            *window = Window {
                start: now,
                ..Window::default()
            };
        }
        window.lines += 1;
        if window.lines > self.lines_per_s {
            window.dropped += 1;
            return Admission::Drop;
        }
        Admission::Write(dropped)
    }
}
