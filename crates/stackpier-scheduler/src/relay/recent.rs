// SPDX-License-Identifier: Apache-2.0
//! A set of bounded size that keeps its latest members.

use std::{
    collections::{HashSet, VecDeque},
    hash::Hash,
};

/// Recent holds the latest members that were inserted, up to its capacity.
#[derive(Debug)]
pub struct Recent<T> {
    capacity: usize,
    members: HashSet<T>,
    order: VecDeque<T>,
}

impl<T: Copy + Eq + Hash> Recent<T> {
    /// new returns an empty set that keeps up to `capacity` members.
    pub fn new(capacity: usize) -> Recent<T> {
        Recent {
            capacity,
            members: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    /// insert adds a member and returns whether it is new. The oldest member is removed if the
    /// set exceeds its capacity.
    pub fn insert(&mut self, member: T) -> bool {
        if !self.members.insert(member) {
            return false;
        }
        self.order.push_back(member);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.members.remove(&oldest);
        }
        true
    }

    /// remove removes a member.
    pub fn remove(&mut self, member: T) {
        self.members.remove(&member);
        self.order.retain(|other| *other != member);
    }
}
