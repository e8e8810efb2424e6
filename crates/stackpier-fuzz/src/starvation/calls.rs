// SPDX-License-Identifier: Apache-2.0
//! Executes the owner's effects on the stand-in workers and the store.

use stackpier_cell::{Effect, Event, Order, Renewal, Renewed, Start, Started, Stopped};
use stackpier_standin::fleet::Behaviour;

use super::simulation::{Message, Simulation, WaitingRenewal};

/// CALL_MS is the longest time that a call other than a start takes one way.
const CALL_MS: u64 = 3;
/// CALL_TIMEOUT_MS is the time after which a call without an answer has failed.
const CALL_TIMEOUT_MS: u64 = 600;

impl Simulation {
    pub(super) fn execute(&mut self, effect: Effect) {
        let fence = self.fence;
        let delay_ms = self.draw_ms(1, CALL_MS);
        match effect {
            Effect::Log(entry) => self.record_log(entry.part, entry.subject, &entry.text),
            Effect::Resumed(_) => {}
            Effect::Confirm => {
                let sent = self.now().mono;
                self.answer(fence, delay_ms, Event::Confirmed(sent));
            }
            Effect::Assign(write) => {
                let write_ms = self.draw_ms(1, self.workload.save_ms);
                self.send(write_ms, Message::Assign(fence, Box::new(write)));
            }
            Effect::Save(save) => {
                let save_ms = self.draw_ms(1, self.workload.save_ms);
                self.send(save_ms, Message::Save(fence, Box::new(save)));
            }
            Effect::Deposed => unreachable!("an owner is told of no successor"),
            Effect::RequestAdvice(_) | Effect::TakeDown(_) => {
                unreachable!("there are no advisers and no plans")
            }
            Effect::Start(start) => {
                self.unanswered_starts += 1;
                // The order takes up to half of the time; the answer is due by the end of it.
                let transit_ms = self.draw_ms(0, self.workload.answer_ms / 2);
                self.send(
                    transit_ms,
                    Message::Arrive(fence, Box::new(Effect::Start(start))),
                );
            }
            Effect::Renew(renewal) => self.send_renewal(renewal),
            call => self.send(delay_ms, Message::Arrive(fence, Box::new(call))),
        }
    }

    fn answer(&mut self, fence: u64, after_ms: u64, event: Event) {
        self.send(after_ms, Message::Event(fence, Box::new(event)));
    }

    /// carry_out carries out a call that has reached its worker.
    pub(super) fn carry_out(&mut self, fence: u64, call: &Effect) {
        let now_ms = self.now_ms;
        let delay_ms = self.draw_ms(1, CALL_MS);
        match call {
            Effect::Start(start) => self.carry_out_start(fence, start),
            Effect::Stop(stop) => {
                let place = self.place(&stop.order);
                let run = stop.order.key;
                let (after_ms, outcome) = match self.lost[place] {
                    true => (CALL_TIMEOUT_MS, Stopped::Silent),
                    false => (delay_ms, self.workers[place].stop(now_ms, stop)),
                };
                self.answer(fence, after_ms, Event::Stopped { run, outcome });
            }
            Effect::Pace(pace) => {
                let place = self.place(&pace.order);
                let (run, percent) = (pace.order.key, pace.percent);
                let accepted = !self.lost[place] && self.workers[place].pace(now_ms, pace);
                let event = Event::Paced {
                    run,
                    percent,
                    accepted,
                };
                self.answer(fence, delay_ms, event);
            }
            other => unreachable!("not a call to a worker: {other:?}"),
        }
    }

    fn carry_out_start(&mut self, fence: u64, start: &Start) {
        let place = self.place(&start.order);
        let run = start.order.key;
        if self.lost[place] {
            let outcome = Started::Silent;
            self.answer(fence, CALL_TIMEOUT_MS, Event::Started { run, outcome });
            return;
        }
        let behaviour = self.behaviour(start);
        let outcome = self.workers[place].start(self.now_ms, start, behaviour);
        let answer_ms = self.workload.answer_ms;
        let back_ms = self.draw_ms(answer_ms / 4, answer_ms / 2);
        self.answer(fence, back_ms, Event::Started { run, outcome });
    }

    fn behaviour(&self, start: &Start) -> Behaviour {
        let task = start.order.task;
        let spec = &self.workload.submissions[task.job.0 as usize].spec;
        let step = &spec.steps[usize::from(task.step)];
        let mut size = step.size;
        let mut best_effort_milli = 0;
        if step.best_effort {
            best_effort_milli = std::mem::take(&mut size.milli_cores);
        }
        Behaviour {
            work_ms: u64::from(step.estimate_ms),
            size,
            best_effort_milli,
            saves: step.checkpointing,
            long_running: step.long_running,
            tail_ms: (step.target_ms > 0).then_some(self.workload.tail_ms),
            ..Behaviour::default()
        }
    }

    /// place returns the number of the worker that an order goes to.
    fn place(&self, order: &Order) -> usize {
        self.place_at(&order.address)
    }

    fn place_at(&self, address: &str) -> usize {
        let (_, number) = address.rsplit_once('-').expect("a numbered address");
        number.parse().expect("a number")
    }

    fn send_renewal(&mut self, renewal: Renewal) {
        let sent = self.now().mono;
        let place = self.place_at(&renewal.address);
        if self.lost[place] {
            let event = Event::Renewed {
                worker: renewal.worker,
                sent,
                outcome: Renewed::Silent,
            };
            self.answer(self.fence, renewal.wait_ms + CALL_TIMEOUT_MS, event);
            return;
        }
        self.waiting.push(WaitingRenewal {
            fence: self.fence,
            due_ms: self.now_ms + renewal.wait_ms.max(1),
            renewal,
            sent,
        });
    }

    /// answer_waiting_renewals answers the renewals whose wait is over or whose worker has an end to
    /// list.
    pub(super) fn answer_waiting_renewals(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let place = self.place_at(&waiting.renewal.address);
            let worker = &mut self.workers[place];
            let lost = self.lost[place];
            if !lost {
                worker.advance(self.now_ms);
            }
            let acked = waiting.renewal.acked;
            let has_news = !lost && worker.ends.iter().any(|end| end.number > acked);
            if self.now_ms < waiting.due_ms && !has_news {
                self.waiting.push(waiting);
                continue;
            }
            let (after_ms, outcome) = match lost {
                true => (CALL_TIMEOUT_MS, Renewed::Silent),
                false => (CALL_MS, worker.renew(self.now_ms, &waiting.renewal)),
            };
            let event = Event::Renewed {
                worker: waiting.renewal.worker,
                sent: waiting.sent,
                outcome,
            };
            self.answer(waiting.fence, after_ms, event);
        }
    }
}
