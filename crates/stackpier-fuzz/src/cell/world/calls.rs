// SPDX-License-Identifier: Apache-2.0
//! Calls to workers: sent, lost or late, carried out, and answered.

use stackpier_cell::{Effect, Event, Renewed, Start, Started, Stopped};
use stackpier_core::Millis;
use stackpier_standin::fleet::Worker;

use super::{LIMIT_MS, Message, WORKERS, World};

/// Reply tells what becomes of the answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reply {
    /// It comes.
    Comes,
    /// It is lost: the owner gives the call up in time.
    Lost,
    /// The owner has given the call up already.
    TooLate,
}

impl World {
    /// order sends an order on its way, or loses or delays it.
    pub(super) fn order(&mut self, place: usize, order: Effect, delay: u64) {
        let sent = self.now().mono;
        let hold = matches!(order, Effect::Renew(_));
        if self.chance(self.faults.lost) {
            self.count("lost call");
            self.silence(place, &order);
        } else if !hold && self.chance(self.faults.late) {
            self.count("late order");
            self.silence(place, &order);
            let late = self.between(2_000, 12_000);
            self.send(
                late,
                Message::Arrive(place, Box::new(order), Reply::TooLate, sent),
            );
        } else {
            let lost = self.chance(self.faults.unanswered);
            let reply = if lost { Reply::Lost } else { Reply::Comes };
            self.send(delay, Message::Arrive(place, Box::new(order), reply, sent));
        }
    }

    /// silence tells an owner, in time, that a call got no answer.
    fn silence(&mut self, place: usize, order: &Effect) {
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
            Effect::Renew(hold) => Event::Renewed {
                worker: hold.worker,
                sent: self.now().mono,
                outcome: Renewed::Silent,
            },
            _ => return,
        };
        self.send(LIMIT_MS, Message::Event(place, Box::new(event)));
    }

    /// arrive hands an order to its worker, and the answer back to the owner.
    pub(super) fn arrive(&mut self, place: usize, order: Effect, reply: Reply, sent: Millis) {
        let Some(target) = self.target(&order) else {
            return;
        };
        if self.down[target] || !self.reaches(place, target) {
            if reply != Reply::TooLate {
                self.silence(place, &order);
            }
            return;
        }
        let Some(event) = self.answer(target, &order, sent) else {
            return;
        };
        self.hear(place, &order, &event);
        match reply {
            Reply::Comes => {
                let delay = self.between(0, 4);
                self.send(delay, Message::Event(place, Box::new(event)));
            }
            Reply::Lost => {
                self.count("lost answer");
                self.silence(place, &order);
            }
            Reply::TooLate => {}
        }
    }

    /// answer lets a worker carry an order out and returns its answer, if the
    /// order has one.
    fn answer(&mut self, target: usize, order: &Effect, sent: Millis) -> Option<Event> {
        let event = match order {
            Effect::Start(start) => Event::Started {
                run: start.order.key,
                outcome: self.begin(target, start),
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
            Effect::Renew(hold) => {
                let outcome = self.workers[target].renew(self.now_ms, hold);
                self.count_listing(target, &outcome);
                self.oracle
                    .note(self.now_ms, &mut self.workers[target], hold.fence);
                Event::Renewed {
                    worker: hold.worker,
                    sent,
                    outcome,
                }
            }
            _ => return None,
        };
        Some(event)
    }

    /// target returns the place of the worker that an order goes to.
    fn target(&self, order: &Effect) -> Option<usize> {
        let address = match order {
            Effect::Start(start) => &start.order.address,
            Effect::Stop(stop) => &stop.order.address,
            Effect::Pace(pace) => &pace.order.address,
            Effect::Renew(hold) => &hold.address,
            _ => return None,
        };
        self.workers
            .iter()
            .position(|worker| worker.info.address == *address)
    }

    /// begin starts a run on a worker and shows it to the oracle.
    fn begin(&mut self, target: usize, start: &Start) -> Started {
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
            let up: Vec<Worker> = (0..WORKERS)
                .filter(|place| !self.down[*place])
                .map(|place| self.workers[place].clone())
                .collect();
            let place = up
                .iter()
                .position(|worker| worker.info.id == self.workers[target].info.id);
            if let Some(place) = place {
                self.oracle.started(self.now_ms, start, place, &up);
            }
            if behaviour.crashes {
                self.bring_down(target, start);
            }
        }
        outcome
    }
}
