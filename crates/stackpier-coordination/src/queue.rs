// SPDX-License-Identifier: Apache-2.0
//! A bounded queue of requests, ordered by earliest deadline.

use std::collections::BTreeMap;

use stackpier_core::Millis;

/// Ticket identifies one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Queue holds tickets in the order of their deadlines.
#[derive(Debug)]
pub struct Queue {
    bound: usize,
    waiting: BTreeMap<(Millis, Ticket), ()>,
}

impl Queue {
    /// new returns an empty queue for at most `bound` tickets.
    pub fn new(bound: usize) -> Queue {
        Queue {
            bound,
            waiting: BTreeMap::new(),
        }
    }

    /// ahead returns how many tickets would be served before a new one with
    /// this deadline.
    pub fn ahead(&self, deadline: Millis) -> usize {
        self.waiting.range(..=(deadline, Ticket(u64::MAX))).count()
    }

    /// push adds a ticket and returns whether the queue had space for it.
    pub fn push(&mut self, deadline: Millis, ticket: Ticket) -> bool {
        if self.waiting.len() >= self.bound {
            return false;
        }
        self.waiting.insert((deadline, ticket), ());
        true
    }

    /// pop removes and returns the ticket with the earliest deadline.
    pub fn pop(&mut self) -> Option<Ticket> {
        self.waiting.pop_first().map(|((_, ticket), ())| ticket)
    }

    /// remove deletes a ticket and returns whether it was queued.
    pub fn remove(&mut self, deadline: Millis, ticket: Ticket) -> bool {
        self.waiting.remove(&(deadline, ticket)).is_some()
    }

    /// len returns the number of tickets.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// is_empty reports whether no ticket is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
