// SPDX-License-Identifier: Apache-2.0
//! The heartbeats that wait for an answer. Later rounds do not wait for them.

use std::{net::SocketAddr, thread, time::Instant};

use flume::{Receiver, Selector};
use stackpier_core::Result;
use stackpier_protocol::peer::{HeartbeatReply, RackReport, Response};

/// MAX_PENDING is the number of heartbeats to one daemon that may wait for an
/// answer. Above one, a single lost answer delays no heartbeat.
const MAX_PENDING: usize = 4;

/// Sent is a heartbeat that was sent.
pub struct Sent {
    /// The daemon.
    pub address: SocketAddr,
    /// The reports in the heartbeat.
    pub reports: Vec<RackReport>,
    /// The channel for the answer.
    pub answer: Receiver<Result<Response>>,
}

/// Pending holds the heartbeats without an answer, until their time limit.
#[derive(Default)]
pub struct Pending {
    sent: Vec<Sent>,
}

impl Pending {
    /// has_room reports whether another heartbeat may be sent to a daemon.
    pub fn has_room(&self, address: SocketAddr) -> bool {
        let to = self.sent.iter().filter(|sent| sent.address == address);
        to.count() < MAX_PENDING
    }

    /// push adds a heartbeat.
    pub fn push(&mut self, sent: Sent) {
        self.sent.push(sent);
    }

    /// next_reply waits until `until` for the next reply, and returns it with its
    /// heartbeat. Heartbeats that failed are dropped.
    pub fn next_reply(&mut self, until: Instant) -> Option<(Sent, HeartbeatReply)> {
        loop {
            // A selector without channels panics.
            if self.sent.is_empty() {
                thread::sleep(until.saturating_duration_since(Instant::now()));
                return None;
            }
            let mut selector = Selector::new();
            for (index, sent) in self.sent.iter().enumerate() {
                selector = selector.recv(&sent.answer, move |answer| (index, answer));
            }
            let (index, answer) = selector.wait_deadline(until).ok()?;
            let sent = self.sent.swap_remove(index);
            if let Ok(Ok(Response::Heartbeat(reply))) = answer {
                return Some((sent, reply));
            }
        }
    }
}
