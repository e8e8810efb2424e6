// SPDX-License-Identifier: Apache-2.0
//! Queries: an owner asks earlier ones whether they have stopped acting. An earlier owner that is
//! asked gives up the cell.

use stackpier_cell::Event;

use super::{Message, Simulation};

/// QUERY_MS is the time between two queries of an owner.
const QUERY_MS: u64 = 250;
/// ANSWER_MS bounds the time until the answer to a query has arrived.
const ANSWER_MS: (u64, u64) = (1, 60);

impl Simulation {
    /// query_earlier_owners has an owner ask all earlier ones that may still act.
    pub(super) fn query_earlier_owners(&mut self, index: usize) {
        let may_act = |earlier: &usize| self.acting_ms(index, *earlier) > 0;
        let acting: Vec<usize> = (0..index).filter(may_act).collect();
        if self.owners[index].ended || acting.is_empty() {
            return;
        }
        for earlier in acting {
            if self.reaches_owner(index, earlier) && self.draw_query_arrival() {
                self.record_stopped(index, earlier);
            }
        }
        self.send(QUERY_MS, Message::Query(index));
    }

    /// record_stopped ends an earlier owner and tells the one that asked.
    fn record_stopped(&mut self, index: usize, earlier: usize) {
        self.count("stopped acting");
        self.end_owner(earlier);
        self.owners[index].stopped.insert(earlier);
        let others = (0..index).map(|other| self.acting_ms(index, other));
        let acting_ms = others.max().unwrap_or(0);
        if acting_ms > 0 {
            self.count("stopped acting beside another earlier owner");
        }
        let delay = self.draw_extra_range(ANSWER_MS.0, ANSWER_MS.1);
        let event = Event::PredecessorStopped { acting_ms };
        self.send(delay, Message::Event(index, Box::new(event)));
    }

    /// acting_ms returns how long an earlier owner may still act, as far as an owner knows.
    fn acting_ms(&self, index: usize, earlier: usize) -> u64 {
        if self.owners[index].stopped.contains(&earlier) {
            return 0;
        }
        let replaced_ms = self.owners[earlier + 1].began_ms;
        (replaced_ms + self.options.authority_ms).saturating_sub(self.now_ms)
    }

    /// reaches_owner reports whether two owners reach each other and neither is frozen.
    fn reaches_owner(&self, index: usize, earlier: usize) -> bool {
        [index, earlier].into_iter().all(|owner| {
            let owner = &self.owners[owner];
            self.now_ms >= owner.frozen_until && !self.is_isolated(owner.data_centre)
        })
    }

    fn draw_query_arrival(&mut self) -> bool {
        self.draw_extra_range(0, 999) < u64::from(self.faults.queries)
    }
}
