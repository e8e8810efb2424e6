// SPDX-License-Identifier: Apache-2.0
//! An owner with little processor time: handling an event takes time, and what arrives meanwhile
//! waits.
//!
//! The costs are those of a whole core. They were measured in release builds, on a cell of 540
//! workers with 800 waiting steps; calls and answers are included in that of an event.

use std::collections::VecDeque;

use stackpier_cell::Event;

use super::Owner;

/// EVENT_NS is the processor time of an event and the calls that follow from it.
const EVENT_NS: u64 = 36_000;
/// TRY_NS is the processor time for a step that placement tries, without the rating of workers.
const TRY_NS: u64 = 1_500;
/// RATING_NS is the processor time for the rating of a worker.
const RATING_NS: u64 = 50;
/// MILLI is the number of thousandths in a whole.
const MILLI: u64 = 1_000;
/// NS_PER_MS is the number of nanoseconds in a millisecond.
const NS_PER_MS: u64 = 1_000_000;
/// TICK_MS is the pause of the daemon after each tick.
const TICK_MS: u64 = 50;

/// Processor is the processor of a slow owner.
pub struct Processor {
    milli_cores: u64,
    /// Until when it is busy with the events handled so far.
    busy_until_ns: u64,
    /// Events that wait for it.
    inbox: VecDeque<Event>,
    tick_at_ms: u64,
    ticked_at_ms: u64,
    /// The longest time between two ticks.
    pub longest_gap_ms: u64,
    tries: u64,
    ratings: u64,
}

impl Processor {
    /// new returns an idle processor.
    pub fn new(milli_cores: u64, now_ms: u64) -> Processor {
        Processor {
            milli_cores,
            busy_until_ns: now_ms * NS_PER_MS,
            inbox: VecDeque::new(),
            tick_at_ms: now_ms,
            ticked_at_ms: now_ms,
            longest_gap_ms: 0,
            tries: 0,
            ratings: 0,
        }
    }

    /// receive adds an event that arrives now.
    pub fn receive(&mut self, event: Event) {
        self.inbox.push_back(event);
    }

    fn is_free(&self, now_ms: u64) -> bool {
        self.busy_until_ns < (now_ms + 1) * NS_PER_MS
    }

    /// next returns the event to handle next.
    fn next(&mut self, now_ms: u64) -> Option<Event> {
        if now_ms >= self.tick_at_ms {
            self.tick_at_ms = u64::MAX;
            self.inbox.push_back(Event::Tick);
        }
        self.inbox.pop_front()
    }

    /// charge adds the time that an event took.
    fn charge(&mut self, now_ms: u64, tries: u64, ratings: u64) {
        let work_ns =
            EVENT_NS + (tries - self.tries) * TRY_NS + (ratings - self.ratings) * RATING_NS;
        (self.tries, self.ratings) = (tries, ratings);
        let began_ns = self.busy_until_ns.max(now_ms * NS_PER_MS);
        self.busy_until_ns = began_ns + work_ns * MILLI / self.milli_cores;
    }

    /// record_gap records that the last tick was handled some time ago.
    fn record_gap(&mut self, now_ms: u64) {
        self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.ticked_at_ms);
    }

    fn record_tick(&mut self, now_ms: u64) {
        self.record_gap(now_ms);
        self.ticked_at_ms = now_ms;
        self.tick_at_ms = self.busy_until_ns / NS_PER_MS + TICK_MS;
    }
}

impl Owner {
    /// advance_on moves the clock forward while events are handled on a processor.
    pub fn advance_on(&mut self, processor: &mut Processor, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            let due = self.take_due();
            processor.inbox.extend(due);
            self.restart_crashed();
            self.answer_waiting_renewals();
            while processor.is_free(self.now_ms)
                && let Some(event) = processor.next(self.now_ms)
            {
                let is_tick = matches!(event, Event::Tick);
                self.feed(event);
                processor.charge(self.now_ms, self.cell.tries(), self.cell.ratings());
                if is_tick {
                    processor.record_tick(self.now_ms);
                }
            }
        }
        processor.record_gap(self.now_ms);
    }
}
