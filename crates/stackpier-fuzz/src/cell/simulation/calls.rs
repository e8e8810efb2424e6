// SPDX-License-Identifier: Apache-2.0
//! Calls to workers: sending, loss, delay, execution and answers.

use stackpier_cell::{Effect, Event, Renewed, Start, Started, Stopped};
use stackpier_core::Millis;
use stackpier_standin::fleet::Worker;

use super::{CALL_TIMEOUT_MS, Message, Simulation, WORKERS};

/// Reply tells what happens to the answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// It arrives.
    Arrives,
    /// It is lost: the call times out.
    Lost,
    /// The call has already timed out.
    AfterTimeout,
}

impl Simulation {
    /// send_order sends an order, or loses or delays it.
    pub(super) fn send_order(&mut self, index: usize, order: Effect, delay: u64) {
        let sent = self.now().mono;
        let is_renewal = matches!(order, Effect::Renew(_));
        if self.draw_fault(self.faults.lost) {
            self.count("lost call");
            self.send_timeout(index, &order);
        } else if !is_renewal && self.draw_fault(self.faults.late) {
            self.count("late order");
            self.send_timeout(index, &order);
            let late = self.draw_range(2_000, 12_000);
            self.send(
                late,
                Message::Arrive(index, Box::new(order), Reply::AfterTimeout, sent),
            );
        } else {
            let lost = self.draw_fault(self.faults.unanswered);
            let reply = if lost { Reply::Lost } else { Reply::Arrives };
            self.send(delay, Message::Arrive(index, Box::new(order), reply, sent));
        }
    }

    /// send_timeout reports to an owner, after the timeout, that a call got no answer.
    fn send_timeout(&mut self, index: usize, order: &Effect) {
        let event = match order {
            Effect::Start(start) => Event::Started {
                run: start.order.key,
                outcome: Started::Silent,
            },
            Effect::Stop(stop) => Event::Stopped {
                run: stop.order.key,
                outcome: Stopped::Silent,
            },
            Effect::Pace(pace) => Event::Paced {
                run: pace.order.key,
                percent: pace.percent,
                accepted: false,
            },
            Effect::Renew(renewal) => Event::Renewed {
                worker: renewal.worker,
                sent: self.now().mono,
                outcome: Renewed::Silent,
            },
            _ => return,
        };
        self.send(CALL_TIMEOUT_MS, Message::Event(index, Box::new(event)));
    }

    /// arrive delivers an order to its worker and sends the answer back to the owner.
    pub(super) fn arrive(&mut self, index: usize, order: Effect, reply: Reply, sent: Millis) {
        let Some(target) = self.target(&order) else {
            return;
        };
        if self.down[target] || !self.reaches_worker(index, target) {
            if reply != Reply::AfterTimeout {
                self.send_timeout(index, &order);
            }
            return;
        }
        let Some(event) = self.answer(target, &order, sent) else {
            return;
        };
        self.record_contact(index, &order, &event);
        match reply {
            Reply::Arrives => {
                let delay = self.draw_range(0, 4);
                self.send(delay, Message::Event(index, Box::new(event)));
            }
            Reply::Lost => {
                self.count("lost answer");
                self.send_timeout(index, &order);
            }
            Reply::AfterTimeout => {}
        }
    }

    /// answer executes an order on a worker and returns the answer, if the order
    /// has one.
    fn answer(&mut self, target: usize, order: &Effect, sent: Millis) -> Option<Event> {
        let event = match order {
            Effect::Start(start) => Event::Started {
                run: start.order.key,
                outcome: self.start_run(target, start, sent),
            },
            Effect::Stop(stop) => Event::Stopped {
                run: stop.order.key,
                outcome: self.workers[target].stop(self.now_ms, stop),
            },
            Effect::Pace(pace) => Event::Paced {
                run: pace.order.key,
                percent: pace.percent,
                accepted: self.workers[target].pace(self.now_ms, pace),
            },
            Effect::Renew(renewal) => {
                let outcome = self.workers[target].renew(self.now_ms, renewal);
                self.count_unusual_listing(target, &outcome);
                self.oracle
                    .record_acked(self.now_ms, &mut self.workers[target], renewal.fence);
                Event::Renewed {
                    worker: renewal.worker,
                    sent,
                    outcome,
                }
            }
            _ => return None,
        };
        Some(event)
    }

    /// target returns the index of the worker that an order is addressed to.
    fn target(&self, order: &Effect) -> Option<usize> {
        let address = match order {
            Effect::Start(start) => &start.order.address,
            Effect::Stop(stop) => &stop.order.address,
            Effect::Pace(pace) => &pace.order.address,
            Effect::Renew(renewal) => &renewal.address,
            _ => return None,
        };
        self.workers
            .iter()
            .position(|worker| worker.info.address == *address)
    }

    /// start_run starts a run on a worker and has the oracle check it.
    fn start_run(&mut self, target: usize, start: &Start, sent: Millis) -> Started {
        let task = start.order.task;
        let steps = &self.behaviours[&task.job];
        let behaviour = steps[usize::from(task.step)][task.index as usize];
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
        }
        let before = self.workers[target].runs.len();
        let outcome = self.workers[target].start(self.now_ms, start, behaviour);
        if self.workers[target].runs.len() > before {
            self.count("start");
            self.check_cancelled(start, sent);
            self.check_draining(target, start, sent);
            let up: Vec<Worker> = (0..WORKERS)
                .filter(|index| !self.down[*index])
                .map(|index| self.workers[index].clone())
                .collect();
            let index = up
                .iter()
                .position(|worker| worker.info.id == self.workers[target].info.id);
            if let Some(index) = index {
                let sent_ms = sent.0 - 1;
                self.oracle
                    .check_start(self.now_ms, sent_ms, start, index, &up);
            }
            if behaviour.crashes {
                self.crash_after_start(target, start);
            }
        }
        outcome
    }
}
