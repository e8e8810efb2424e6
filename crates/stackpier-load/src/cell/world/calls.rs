// SPDX-License-Identifier: Apache-2.0
//! The owner's calls to workers and to the store, and their answers.

use rand::RngExt;
use stackpier_cell::{
    Effect, EndCause, Event, Renewal, Renewed, Start, Started, Stopped, TaskName,
};
use stackpier_core::Millis;
use stackpier_standin::fleet::{Run, Worker};

use super::{
    super::{fault::Fault, site::Role},
    Happening, World,
};

/// FLIGHT_MS is the time of a call to a worker, one way.
const FLIGHT_MS: u64 = 1;
/// STORE_MS is the time of a call to the store, there and back.
const STORE_MS: u64 = 6;
/// GIVE_UP_MS is when a call without an answer is given up.
const GIVE_UP_MS: u64 = 700;
/// LATEST_MS is how late an order without an answer may be carried out.
const LATEST_MS: u64 = 3_000;

impl World {
    pub(super) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Log(_) | Effect::RequestAdvice(_) | Effect::TakeDown(_) | Effect::Deposed => {}
            Effect::Save(_) => {
                let saved = !self.store_is_away();
                let after = if saved { STORE_MS } else { GIVE_UP_MS };
                self.send(after, Happening::Event(Box::new(Event::Saved(saved))));
            }
            Effect::Confirm if self.store_is_away() => {
                self.send(GIVE_UP_MS, Happening::ConfirmFailed);
            }
            Effect::Confirm => {
                let sent = Millis(self.now_ms);
                self.send(STORE_MS, Happening::Event(Box::new(Event::Confirmed(sent))));
            }
            call => self.send(FLIGHT_MS, Happening::Deliver(Box::new(call))),
        }
    }

    /// deliver takes a call to its worker.
    pub(super) fn deliver(&mut self, effect: Effect) {
        match effect {
            Effect::Start(start) => self.deliver_start(start),
            Effect::Stop(stop) => {
                let place = place(&stop.order.address);
                let outcome = match self.is_cut(place) {
                    true => Stopped::Silent,
                    false => self.workers[place].stop(self.now_ms, &stop),
                };
                self.outcome.stops += 1;
                let run = stop.order.key;
                self.answer(outcome == Stopped::Silent, Event::Stopped { run, outcome });
            }
            Effect::Pace(pace) => {
                let place = place(&pace.order.address);
                let taken = !self.is_cut(place) && self.workers[place].pace(self.now_ms, &pace);
                let event = Event::Paced {
                    run: pace.order.key,
                    percent: pace.percent,
                    accepted: taken,
                };
                self.answer(!taken, event);
            }
            Effect::Renew(hold) => self.deliver_hold(hold),
            _ => {}
        }
    }

    /// answer sends an answer back, or lets the call be given up.
    fn answer(&mut self, silent: bool, event: Event) {
        let after = if silent { GIVE_UP_MS } else { FLIGHT_MS };
        self.send(after, Happening::Event(Box::new(event)));
    }

    fn deliver_start(&mut self, start: Start) {
        let place = place(&start.order.address);
        let run = start.order.key;
        let late = self.faults().find_map(|fault| match fault {
            Fault::LateOrders(share) => Some(share),
            _ => None,
        });
        let is_late = late.is_some_and(|share| self.random.random_bool(share));
        let silent = Event::Started {
            run,
            outcome: Started::Silent,
        };
        if self.is_cut(place) {
            self.answer(true, silent);
        } else if is_late {
            self.answer(true, silent);
            let after = self.random.random_range(GIVE_UP_MS..LATEST_MS);
            self.send(
                after,
                Happening::DeliverLate(Box::new(Effect::Start(start))),
            );
        } else {
            let outcome = self.take_start(&start, place);
            self.answer(false, Event::Started { run, outcome });
        }
    }

    /// deliver_late carries out an order that was given up.
    pub(super) fn deliver_late(&mut self, effect: Effect) {
        if let Effect::Start(start) = effect {
            let place = place(&start.order.address);
            self.take_start(&start, place);
        }
    }

    fn take_start(&mut self, start: &Start, place: usize) -> Started {
        let task = start.order.task;
        let job = &self.jobs[&task.job.0];
        let mut behaviour = job.behaviour(task.step);
        if self.random.random_bool(job.kind.fails) {
            behaviour.fail_after(self.random.random_range(0.0..=1.0));
        }
        let best_effort = job.kind.role == Role::Filling;
        let apart = !self.workers[place].runs.iter().any(serves);
        let outcome = self.workers[place].start(self.now_ms, start, behaviour);
        if outcome == Started::Yes {
            self.outcome.repeats += u64::from(self.is_done(task));
            self.outcome.starts += 1;
            self.outcome.filled += u64::from(best_effort);
            self.outcome.filled_apart += u64::from(best_effort && apart);
            self.note_begin(task);
        }
        outcome
    }

    /// is_done tells whether a run of a task has ended as done.
    fn is_done(&self, task: TaskName) -> bool {
        let ends = |worker: &Worker| {
            let mut all = worker.ends.iter().chain(&worker.acked);
            all.any(|end| end.task == task && end.cause == EndCause::Done)
        };
        self.workers.iter().any(ends)
    }

    /// deliver_hold answers a hold at once, or when an end is due, or when its wait is
    /// over.
    fn deliver_hold(&mut self, hold: Renewal) {
        let place = place(&hold.address);
        let sent_ms = self.now_ms - FLIGHT_MS;
        if self.is_cut(place) {
            let silent = Event::Renewed {
                worker: hold.worker,
                sent: Millis(sent_ms),
                outcome: Renewed::Silent,
            };
            self.answer(true, silent);
            return;
        }
        let worker = &mut self.workers[place];
        worker.advance(self.now_ms);
        let unnoted = worker.ends.iter().any(|end| end.number > hold.acked);
        let ends = worker.runs.iter().filter_map(Run::remaining_ms).min();
        let wait_ms = match unnoted {
            true => 0,
            false => hold
                .wait_ms
                .min(ends.map_or(u64::MAX, |left_ms| left_ms + 1)),
        };
        self.send(wait_ms, Happening::Answer(Box::new(hold), sent_ms));
    }

    pub(super) fn answer_hold(&mut self, hold: &Renewal, sent_ms: u64) {
        let place = place(&hold.address);
        self.set_tails(place);
        let outcome = match self.is_cut(place) {
            true => Renewed::Silent,
            false => self.workers[place].renew(self.now_ms, hold),
        };
        let event = Event::Renewed {
            worker: hold.worker,
            sent: Millis(sent_ms),
            outcome,
        };
        self.answer(false, event);
    }
}

/// serves tells whether a run serves.
pub(super) fn serves(run: &Run) -> bool {
    run.behaviour().tail_ms.is_some()
}

/// place reads a worker's place from its address.
fn place(address: &str) -> usize {
    address.parse().expect("addresses are the workers' places")
}
