// SPDX-License-Identifier: Apache-2.0
//! Executes the owner's effects on the stand-in workers, the adviser and the store.

use super::*;

impl Owner {
    /// answer schedules an event for the owner.
    pub(super) fn answer(&mut self, after_ms: u64, event: Event) {
        self.pending.push((self.now_ms + after_ms, event));
    }

    /// place returns the index of the worker at an address.
    pub(super) fn place(&self, address: &str) -> usize {
        let has_address = |place: &usize| {
            let worker = self.workers.get(*place);
            worker.is_some_and(|worker| worker.info.address == address)
        };
        let (_, number) = address.rsplit_once('-').expect("a numbered address");
        if let Some(place) = number.parse().ok().filter(has_address) {
            return place;
        }
        let found = self
            .workers
            .iter()
            .position(|worker| worker.info.address == address);
        found.expect("orders go to known addresses")
    }

    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Log(entry) => self.log_lines.push(entry.text),
            Effect::Resumed(resumed) => self.resumed.push(resumed),
            Effect::RequestAdvice(request) => self.advise(&request),
            Effect::Confirm if self.store => {
                let sent = Millis(self.now_ms);
                self.answer(2, Event::Confirmed(sent));
            }
            Effect::Confirm => self.cell.confirm_failed(),
            Effect::Deposed => self.deposed = true,
            Effect::Start(start) => self.execute_start(start),
            Effect::Stop(stop) => self.execute_stop(&stop),
            Effect::Pace(pace) => self.execute_pace(&pace),
            Effect::Renew(renewal) => self.execute_renewal(&renewal),
            Effect::TakeDown(order) => self.execute_take_down(order),
            Effect::Assign(write) => {
                let written = self.store;
                if written {
                    self.written.push(write);
                }
                self.answer(self.assign_ms, Event::Assigned(written));
            }
            Effect::Save(save) => {
                self.saves.push(save);
                let saved = self.store;
                self.answer(self.save_ms, Event::Saved(saved));
            }
        }
    }

    fn execute_stop(&mut self, stop: &Stop) {
        let place = self.place(&stop.order.address);
        let outcome = if self.cut[place] {
            Stopped::Silent
        } else {
            self.workers[place].stop(self.now_ms, stop)
        };
        let run = stop.order.key;
        self.answer(1, Event::Stopped { run, outcome });
    }

    fn execute_pace(&mut self, pace: &Pace) {
        let place = self.place(&pace.order.address);
        let lost = self.cut[place] || self.lose_paces > 0;
        self.lose_paces = self.lose_paces.saturating_sub(1);
        let taken = !lost && self.workers[place].pace(self.now_ms, pace);
        let (run, percent) = (pace.order.key, pace.percent);
        self.answer(
            1,
            Event::Paced {
                run,
                percent,
                accepted: taken,
            },
        );
    }

    /// execute_take_down takes a host down: its worker is gone at once, and a new one
    /// is listed two seconds later.
    fn execute_take_down(&mut self, order: TakeDown) {
        let outcome = match self.take_down_answers.is_empty() {
            true => TakenDown::Yes,
            false => self.take_down_answers.remove(0),
        };
        if outcome == TakenDown::Yes {
            let is_its = |worker: &Worker| worker.info.host == order.host;
            let place = self.workers.iter().position(is_its).expect("a host");
            let old = self.workers[place].info.clone();
            let new = match self.restart_ms {
                Some(_) => Info {
                    started_at: Some(Unix(UNIX + self.now_ms)),
                    ..old.clone()
                },
                None => Info {
                    id: format!("{}-again", old.id),
                    ..old.clone()
                },
            };
            self.workers[place] = Worker::new(new.clone(), 9_000, self.now_ms);
            if new.id != old.id {
                self.answer(1, Event::Unlisted(old.id));
            }
            self.answer(2_000, Event::Listed(new));
        }
        self.take_downs.push((self.now_ms, order.clone(), outcome));
        self.answer(1, Event::TakenDown(order, outcome));
    }

    fn execute_renewal(&mut self, renewal: &Renewal) {
        self.renewals += 1;
        if self.renewals_wait {
            self.delay_renewal(renewal);
            return;
        }
        let outcome = self.outcome_of(renewal);
        let after = match (&outcome, self.give_up_ms) {
            (Renewed::Silent, Some(give_up_ms)) => give_up_ms,
            _ if renewal.wait_ms > 0 => 20,
            _ => 1,
        };
        let sent = Millis(self.now_ms);
        let worker = renewal.worker;
        let event = Event::Renewed {
            worker,
            sent,
            outcome,
        };
        self.answer(after, event);
    }

    /// outcome_of returns the outcome of a lease renewal that is sent now.
    fn outcome_of(&mut self, renewal: &Renewal) -> Renewed {
        let place = self.place(&renewal.address);
        let left = self.lose_renewals.entry(place).or_default();
        let lost = *left > 0;
        *left = left.saturating_sub(1);
        if self.cut[place] || lost {
            return Renewed::Silent;
        }
        self.workers[place].renew(self.now_ms, renewal)
    }

    /// ticket returns the adviser's ticket for the present incarnation of a worker.
    pub fn ticket(&self, id: &str) -> String {
        let is_its = |worker: &&Worker| worker.info.id == id;
        let worker = self.workers.iter().find(is_its).expect("its id is known");
        match worker.info.started_at {
            Some(at) => format!("ticket-{id}-{}", at.0),
            None => format!("ticket-{id}"),
        }
    }

    /// advise answers for the adviser, which finds workers with an even number good.
    fn advise(&mut self, request: &AdviceRequest) {
        let good = request
            .workers
            .iter()
            .filter(|id| id.ends_with(['0', '2', '4', '6', '8']));
        let good = good.map(|id| (id.clone(), self.ticket(id))).collect();
        self.advice_sizes.push(request.workers.len());
        let answer = Advised {
            good,
            valid_ms: 2_000,
        };
        self.answer(5, Event::Advised(request.step, Some(answer)));
    }

    fn execute_start(&mut self, start: Start) {
        let place = self.place(&start.order.address);
        let task = start.order.task;
        let shape = &self.specs[&task.job.0].steps[usize::from(task.step)];
        let mut size = shape.size;
        let mut best_effort_milli = 0;
        if shape.best_effort {
            best_effort_milli = std::mem::take(&mut size.milli_cores);
        }
        let usual = Behaviour {
            work_ms: u64::from(shape.estimate_ms),
            size,
            best_effort_milli,
            saves: shape.checkpointing,
            long_running: shape.long_running,
            ..Behaviour::default()
        };
        let given = self.behaviours.get(&(task.job.0, task.step));
        let behaviour = given.copied().unwrap_or(usual);
        let run = start.order.key;
        self.unanswered_starts += 1;
        self.max_unanswered_starts = self.max_unanswered_starts.max(self.unanswered_starts);
        if self.cut[place] {
            self.answer(
                self.start_ms,
                Event::Started {
                    run,
                    outcome: Started::Silent,
                },
            );
            return;
        }
        let outcome = self.workers[place].start(self.now_ms, &start, behaviour);
        if outcome == Started::Yes {
            self.starts.push((start, place));
            if self.crashing.contains(&task) {
                self.crash(place);
            }
        }
        let unanswered = self.crashes_unanswered && self.crashing.contains(&task);
        let outcome = if self.lose_starts > 0 || unanswered {
            self.lose_starts = self.lose_starts.saturating_sub(1);
            Started::Silent
        } else {
            outcome
        };
        self.answer(self.start_ms, Event::Started { run, outcome });
    }
}
