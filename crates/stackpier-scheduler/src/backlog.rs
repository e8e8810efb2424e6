// SPDX-License-Identifier: Apache-2.0
//! Cancellations that no owner of the cell has accepted yet.
//!
//! A message to the owner may be lost, and an owner that still reads the cell, or that was replaced,
//! accepts none. So the cancellations are sent again until an owner accepts them or their time is
//! over. Hundreds may wait at once, so that one message at a time carries several: twice as many
//! after each one that was accepted, and a single one after a failure. Owners of earlier builds only
//! understand messages with a single one.

use std::collections::VecDeque;

use stackpier_core::{Millis, key};

/// MAX_BATCH is the most cancellations in one message. They take 1.2 kB.
pub const MAX_BATCH: usize = 128;
/// MIN_PAUSE_MS is the pause after the first failed message.
const MIN_PAUSE_MS: u64 = 50;
/// MAX_PAUSE_MS is the longest pause. All daemons may wait for an owner that reads the cell over a
/// slow link.
const MAX_PAUSE_MS: u64 = 400;

/// Waiting is a cancellation that has to be sent.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    job: key::Job,
    /// Until when it is sent.
    until: Millis,
}

/// Backlog is the cancellations that have to be sent, the oldest first.
#[derive(Debug)]
pub struct Backlog {
    waiting: VecDeque<Waiting>,
    /// How many cancellations the next message carries at most.
    batch: usize,
    /// The pause after the next failed message, in milliseconds.
    pause_ms: u64,
}

impl Default for Backlog {
    fn default() -> Backlog {
        Backlog {
            waiting: VecDeque::new(),
            batch: 1,
            pause_ms: MIN_PAUSE_MS,
        }
    }
}

impl Backlog {
    /// add adds a cancellation that is sent until a time, unless it waits already.
    pub fn add(&mut self, job: key::Job, until: Millis) {
        if !self.waiting.iter().any(|waiting| waiting.job == job) {
            self.waiting.push_back(Waiting { job, until });
        }
    }

    /// is_empty reports whether nothing has to be sent.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// expire removes the cancellations whose time is over, and returns how many these are.
    pub fn expire(&mut self, now: Millis) -> usize {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.until > now);
        before - self.waiting.len()
    }

    /// batch returns the cancellations of the next message.
    pub fn batch(&self) -> Vec<key::Job> {
        let first = self.waiting.iter().take(self.batch);
        first.map(|waiting| waiting.job).collect()
    }

    /// record_accepted removes the cancellations of a message that an owner has accepted.
    pub fn record_accepted(&mut self, sent: &[key::Job]) {
        self.waiting.retain(|waiting| !sent.contains(&waiting.job));
        self.batch = (self.batch * 2).min(MAX_BATCH);
        self.pause_ms = MIN_PAUSE_MS;
    }

    /// record_failed records that a message was not accepted, and returns the pause before the next
    /// one, in milliseconds.
    pub fn record_failed(&mut self) -> u64 {
        let pause_ms = self.pause_ms;
        self.pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
        self.batch = 1;
        pause_ms
    }
}
