// SPDX-License-Identifier: Apache-2.0
//! The owner's calls to workers and to the store, and their answers.

use rand::RngExt;
use stackpier_cell::{
    Effect, EndCause, Event, Renewal, Renewed, Start, Started, Stopped, TaskName,
};
use stackpier_core::Millis;
use stackpier_standin::fleet::{Run, Worker};

use super::{
    super::{deployment::Role, fault::Fault},
    ScheduledEvent, Simulation,
};

/// CALL_MS is the network time of a call to a worker, one way.
const CALL_MS: u64 = 1;
/// STORE_MS is the time of a call to the store, including its answer.
const STORE_MS: u64 = 6;
/// GIVE_UP_MS is the timeout of a call without an answer.
const GIVE_UP_MS: u64 = 700;
/// MAX_LATE_MS bounds the delay with which a start order without an answer is executed.
const MAX_LATE_MS: u64 = 3_000;

impl Simulation {
    pub(super) fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Log(_)
            | Effect::Resumed(_)
            | Effect::RequestAdvice(_)
            | Effect::TakeDown(_)
            | Effect::Deposed => {}
            Effect::Assign(_) => {
                let written = !self.is_store_unavailable();
                let after = if written { STORE_MS } else { GIVE_UP_MS };
                let event = Event::Assigned(written);
                self.schedule(after, ScheduledEvent::Event(Box::new(event)));
            }
            Effect::Save(_) => {
                let saved = !self.is_store_unavailable();
                let after = if saved { STORE_MS } else { GIVE_UP_MS };
                self.schedule(after, ScheduledEvent::Event(Box::new(Event::Saved(saved))));
            }
            Effect::Confirm if self.is_store_unavailable() => {
                self.schedule(GIVE_UP_MS, ScheduledEvent::ConfirmFailed);
            }
            Effect::Confirm => {
                let sent = Millis(self.now_ms);
                self.schedule(
                    STORE_MS,
                    ScheduledEvent::Event(Box::new(Event::Confirmed(sent))),
                );
            }
            call => self.schedule(CALL_MS, ScheduledEvent::Deliver(Box::new(call))),
        }
    }

    /// deliver executes a call at its worker and schedules the answer.
    pub(super) fn deliver(&mut self, effect: Effect) {
        match effect {
            Effect::Start(start) => self.deliver_start(start),
            Effect::Stop(stop) => {
                let index = worker_index(&stop.order.address);
                let outcome = match self.is_cut(index) {
                    true => Stopped::Silent,
                    false => self.workers[index].stop(self.now_ms, &stop),
                };
                self.outcome.stops += 1;
                let run = stop.order.key;
                self.answer(outcome == Stopped::Silent, Event::Stopped { run, outcome });
            }
            Effect::Pace(pace) => {
                let index = worker_index(&pace.order.address);
                let accepted = !self.is_cut(index) && self.workers[index].pace(self.now_ms, &pace);
                let event = Event::Paced {
                    run: pace.order.key,
                    percent: pace.percent,
                    accepted,
                };
                self.answer(!accepted, event);
            }
            Effect::Renew(renewal) => self.deliver_renewal(renewal),
            _ => {}
        }
    }

    /// answer schedules an answer for the owner: after the timeout if the worker is silent, else
    /// after the network time.
    fn answer(&mut self, silent: bool, event: Event) {
        let after = if silent { GIVE_UP_MS } else { CALL_MS };
        self.schedule(after, ScheduledEvent::Event(Box::new(event)));
    }

    /// deliver_start executes a start order at its worker and schedules the answer. The order is
    /// lost if the worker is cut off, and a share is executed late while `Fault::LateOrders` is
    /// active.
    fn deliver_start(&mut self, start: Start) {
        let index = worker_index(&start.order.address);
        let run = start.order.key;
        let late = self.active_faults().find_map(|fault| match fault {
            Fault::LateOrders(share) => Some(share),
            _ => None,
        });
        let is_late = late.is_some_and(|share| self.random.random_bool(share));
        let silent = Event::Started {
            run,
            outcome: Started::Silent,
        };
        if self.is_cut(index) {
            self.answer(true, silent);
        } else if is_late {
            self.answer(true, silent);
            let after = self.random.random_range(GIVE_UP_MS..MAX_LATE_MS);
            self.schedule(
                after,
                ScheduledEvent::DeliverLate(Box::new(Effect::Start(start))),
            );
        } else {
            let outcome = self.start_run(&start, index);
            self.answer(false, Event::Started { run, outcome });
        }
    }

    /// deliver_late executes a start order whose call has timed out.
    pub(super) fn deliver_late(&mut self, effect: Effect) {
        if let Effect::Start(start) = effect {
            let index = worker_index(&start.order.address);
            self.start_run(&start, index);
        }
    }

    /// start_run starts a run on a worker, unless the worker refuses it, and counts the start.
    fn start_run(&mut self, start: &Start, index: usize) -> Started {
        let task = start.order.task;
        let job = &self.jobs[&task.job.0];
        let mut behaviour = job.behaviour(task.step);
        if self.random.random_bool(job.kind.failure_share) {
            behaviour.fail_after(self.random.random_range(0.0..=1.0));
        }
        let best_effort = job.kind.role == Role::BestEffort;
        let apart = !self.workers[index].runs.iter().any(is_serving);
        let outcome = self.workers[index].start(self.now_ms, start, behaviour);
        if outcome == Started::Yes {
            self.outcome.repeats += u64::from(self.has_finished(task));
            self.outcome.starts += 1;
            self.outcome.best_effort_starts += u64::from(best_effort);
            self.outcome.best_effort_starts_apart += u64::from(best_effort && apart);
            self.record_first_start(task);
        }
        outcome
    }

    /// has_finished reports whether a run of a task is done.
    fn has_finished(&self, task: TaskName) -> bool {
        let ends = |worker: &Worker| {
            let mut all = worker.ends.iter().chain(&worker.acked);
            all.any(|end| end.task == task && end.cause == EndCause::Done)
        };
        self.workers.iter().any(ends)
    }

    /// deliver_renewal schedules the answer to a lease renewal: at once if an end is not yet
    /// acknowledged, otherwise when the next run is due to end, but at the latest after the wait
    /// that the renewal asks for.
    fn deliver_renewal(&mut self, renewal: Renewal) {
        let index = worker_index(&renewal.address);
        let sent_ms = self.now_ms - CALL_MS;
        if self.is_cut(index) {
            let silent = Event::Renewed {
                worker: renewal.worker,
                sent: Millis(sent_ms),
                outcome: Renewed::Silent,
            };
            self.answer(true, silent);
            return;
        }
        let worker = &mut self.workers[index];
        worker.advance(self.now_ms);
        let has_unacked = worker.ends.iter().any(|end| end.number > renewal.acked);
        let ends = worker.runs.iter().filter_map(Run::remaining_ms).min();
        let wait_ms = match has_unacked {
            true => 0,
            false => renewal
                .wait_ms
                .min(ends.map_or(u64::MAX, |left_ms| left_ms + 1)),
        };
        self.schedule(wait_ms, ScheduledEvent::Answer(Box::new(renewal), sent_ms));
    }

    pub(super) fn answer_renewal(&mut self, renewal: &Renewal, sent_ms: u64) {
        let index = worker_index(&renewal.address);
        self.set_tails(index);
        let outcome = match self.is_cut(index) {
            true => Renewed::Silent,
            false => self.workers[index].renew(self.now_ms, renewal),
        };
        let event = Event::Renewed {
            worker: renewal.worker,
            sent: Millis(sent_ms),
            outcome,
        };
        self.answer(false, event);
    }
}

/// is_serving reports whether a run is of a serving task.
pub(super) fn is_serving(run: &Run) -> bool {
    run.behaviour().tail_ms.is_some()
}

/// worker_index returns a worker's index, which is its address in the simulation.
fn worker_index(address: &str) -> usize {
    address.parse().expect("addresses are worker indices")
}
