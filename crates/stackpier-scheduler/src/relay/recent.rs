// SPDX-License-Identifier: Apache-2.0
//! A set that keeps the latest of its members.

use std::{
    collections::{HashSet, VecDeque},
    hash::Hash,
};

/// Recent is the latest members of a set, up to a number.
#[derive(Debug)]
pub struct Recent<T> {
    most: usize,
    members: HashSet<T>,
    order: VecDeque<T>,
}

impl<T: Copy + Eq + Hash> Recent<T> {
    /// new is empty and keeps `most` members.
    pub fn new(most: usize) -> Recent<T> {
        Recent {
            most,
            members: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    /// insert adds a member and tells whether it is new. The oldest makes room for it.
    pub fn insert(&mut self, member: T) -> bool {
        if !self.members.insert(member) {
            return false;
        }
        self.order.push_back(member);
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.members.remove(&oldest);
        }
        true
    }

    /// remove takes a member away.
    pub fn remove(&mut self, member: T) {
        self.members.remove(&member);
        self.order.retain(|other| *other != member);
    }
}
