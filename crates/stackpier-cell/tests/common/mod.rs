// SPDX-License-Identifier: Apache-2.0
//! One owner with stand-in workers, on a clock that the test moves. Calls are
//! answered after a millisecond, unless the test has them lost.

#![allow(dead_code)]

mod crash;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use stackpier_cell::{
    Advised, Ask, Cell, Effect, Event, Held, Hold, Info, Now, Options, Pace, Queue, Save, Start,
    Started, Stop, Stopped, TaskName,
    maintenance::{TakeDown, TakenDown},
};
use stackpier_core::{Millis, Size, Unix, key};
use stackpier_standin::fleet::{Behaviour, Worker};
use stackpier_state::job::{Progress, Record, Spec, State, Step};

use crash::Revival;
use waiting::Waiting;

/// UNIX is the wall clock when a test begins.
pub const UNIX: u64 = 1_000_000;
/// QUEUE names the queue of most tests.
pub const QUEUE: &str = "queue";

/// Owner is a cell with its workers.
pub struct Owner {
    pub cell: Cell,
    pub now_ms: u64,
    pub workers: Vec<Worker>,
    /// Workers that get no calls.
    pub cut: Vec<bool>,
    /// What tasks do, by job and step; others work for their estimate.
    pub behaviours: BTreeMap<(u64, u16), Behaviour>,
    specs: BTreeMap<u64, Spec>,
    /// Tasks that crash each worker that starts them.
    pub crashing: BTreeSet<TaskName>,
    /// Whether the worker is gone before it has answered such a start.
    pub crashes_unanswered: bool,
    /// How long after a crash a worker is back under the id that it had, in milliseconds. If
    /// there is no such time, it is back later and with another id.
    pub restart_ms: Option<u64>,
    revivals: Vec<Revival>,
    /// Every start that a worker took, with the worker's place.
    pub starts: Vec<(Start, usize)>,
    /// How many calls asked for a report.
    pub holds: usize,
    /// After how long a hold without an answer is given up, in milliseconds.
    pub give_up_ms: u64,
    /// Whether holds wait at the worker for an end, as long as they say.
    pub holds_wait: bool,
    waiting: Vec<Waiting>,
    /// Every save, in order.
    pub saves: Vec<Save>,
    /// Whether saves are acknowledged.
    pub store: bool,
    /// How long the answer to a save takes.
    pub save_ms: u64,
    pub deposed: bool,
    /// How many workers each question to the adviser named.
    pub asked: Vec<usize>,
    /// How many of the next answers to starts are lost.
    pub lose_starts: usize,
    /// How long answers to starts take.
    pub start_ms: u64,
    /// How many starts are not answered.
    under_way: usize,
    /// The most starts that were not answered at a time.
    pub most_under_way: usize,
    /// How many of the next orders on pace are lost.
    pub lose_paces: usize,
    /// Every order to take a host down, with its time and its answer.
    pub downs: Vec<(u64, TakeDown, TakenDown)>,
    /// The answers to the next of these orders; later ones are carried out.
    pub down_answers: Vec<TakenDown>,
    /// Every log line, in order.
    pub notes: Vec<String>,
    pending: Vec<(u64, Event)>,
}

/// queue returns a queue with three attempts.
pub fn queue(name: &str, priority: u8) -> Queue {
    Queue {
        name: name.to_owned(),
        service: "service".to_owned(),
        priority,
        attempts: 3,
        stretch: 2.0,
        target_ms: 500,
        guarded: true,
        advised: false,
    }
}

/// info describes a worker of 8 cores.
pub fn info(place: usize) -> Info {
    Info {
        id: format!("w{place}"),
        started_at: None,
        service: "service".to_owned(),
        address: format!("address-{place}"),
        data_centre: "dc".to_owned(),
        capacity: Size {
            milli_cores: 8_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        labels: vec!["plain".to_owned(), format!("r{}", place / 2)],
        rack: format!("r{}", place / 2),
        host: format!("h{place}"),
        draining: false,
        remaining_ms: None,
    }
}

/// step returns tasks of one core that run for a second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        size: Size {
            milli_cores: 1_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate_ms: 1_000,
        image: "image".to_owned(),
        ..Step::default()
    }
}

/// spec returns a job of some steps that is due at once.
pub fn spec(steps: Vec<Step>) -> Spec {
    Spec {
        payload: "payload".to_owned(),
        steps,
        schedule: None,
    }
}

/// name returns the name of a task of the first round.
pub fn name(job: u64, step: u16, index: u32) -> TaskName {
    TaskName {
        job: key::Job(job),
        round: 0,
        step,
        index,
    }
}

impl Owner {
    /// new starts the first owner of some workers, which have all answered.
    pub fn new(workers: usize) -> Owner {
        let mut owner = Owner::with(workers, 1, false);
        for place in 0..workers {
            owner.feed(Event::Listed(info(place)));
        }
        owner.advance(100);
        owner
    }

    /// with starts an owner with a fence that knows of no worker yet.
    pub fn with(workers: usize, fence: u64, predecessor: bool) -> Owner {
        let options = Options {
            max_lease_ms: 6_000,
            ..Options::default()
        };
        Owner::with_options(workers, fence, predecessor, options)
    }

    /// with_options starts an owner with other options.
    pub fn with_options(workers: usize, fence: u64, predecessor: bool, options: Options) -> Owner {
        let now = Now {
            mono: Millis(1),
            unix: Unix(UNIX),
        };
        let mut owner = Owner {
            cell: Cell::new(options, fence, now, predecessor),
            now_ms: 1,
            workers: (0..workers)
                .map(|place| Worker::new(info(place), 5_000 + place as u64, 1))
                .collect(),
            cut: vec![false; workers],
            behaviours: BTreeMap::new(),
            specs: BTreeMap::new(),
            crashing: BTreeSet::new(),
            crashes_unanswered: false,
            restart_ms: None,
            revivals: Vec::new(),
            starts: Vec::new(),
            holds: 0,
            give_up_ms: 1,
            holds_wait: false,
            waiting: Vec::new(),
            saves: Vec::new(),
            store: true,
            save_ms: 2,
            deposed: false,
            asked: Vec::new(),
            lose_starts: 0,
            start_ms: 1,
            under_way: 0,
            most_under_way: 0,
            lose_paces: 0,
            downs: Vec::new(),
            down_answers: Vec::new(),
            notes: Vec::new(),
            pending: Vec::new(),
        };
        owner.feed(Event::Queues(vec![queue(QUEUE, 0)]));
        owner
    }

    /// now returns the time of an event.
    pub fn now(&self) -> Now {
        Now {
            mono: Millis(self.now_ms),
            unix: Unix(UNIX + self.now_ms - 1),
        }
    }

    /// submit hands a job in that was accepted under this owner.
    pub fn submit(&mut self, job: u64, spec: Spec) {
        self.submit_to(job, QUEUE, spec, 1, None);
    }

    /// submit_to hands a job in to a queue, accepted under a fence.
    pub fn submit_to(
        &mut self,
        job: u64,
        name: &str,
        spec: Spec,
        fence: u64,
        progress: Option<Progress>,
    ) {
        self.describe(job, spec.clone());
        let record = Record {
            queue: queue(name, 0),
            spec,
            fence,
            accepted_ms: UNIX + self.now_ms - 1,
        };
        self.feed(Event::Accepted {
            job: key::Job(job),
            record: Box::new(record),
            progress: progress.map(Box::new),
            cancelled: false,
        });
    }

    /// describe tells the workers what the tasks of a job are.
    pub fn describe(&mut self, job: u64, spec: Spec) {
        self.specs.insert(job, spec);
    }

    /// feed gives the cell an event and carries out what it decides.
    pub fn feed(&mut self, event: Event) {
        let now = self.now();
        if matches!(event, Event::Started { .. }) {
            self.under_way -= 1;
        }
        for effect in self.cell.step(now, event) {
            self.carry(effect);
        }
    }

    /// advance lets time pass, with a tick every 50 ms.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 1;
            let due = |(at, _): &(u64, Event)| *at <= self.now_ms;
            let (due, later): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(due);
            self.pending = later;
            for (_, event) in due {
                self.feed(event);
            }
            self.revive();
            self.answer_waiting();
            if self.now_ms.is_multiple_of(50) {
                self.feed(Event::Tick);
            }
        }
    }

    /// starts_of returns how often workers took a start of a task.
    pub fn starts_of(&self, task: TaskName) -> usize {
        let of_task = |(start, _): &&(Start, usize)| start.order.task == task;
        self.starts.iter().filter(of_task).count()
    }

    /// most_reserved_milli returns the processors that runs on a worker take now, the most
    /// of all workers, in thousandths of a core.
    pub fn most_reserved_milli(&self) -> u32 {
        let taken = |worker: &Worker| -> u32 {
            let runs = worker.runs.iter();
            runs.map(|run| run.behaviour().size.milli_cores).sum()
        };
        self.workers.iter().map(taken).max().unwrap_or(0)
    }

    /// saved returns what the store last got of a job.
    pub fn saved(&self, job: u64) -> Option<Progress> {
        let mut jobs = self.saves.iter().flat_map(|save| &save.jobs);
        let of_job = |(id, _): &&(key::Job, Progress)| id.0 == job;
        jobs.rfind(of_job).map(|(_, saved)| saved.clone())
    }

    /// state returns the state that is shown of a job.
    pub fn state(&self, job: u64) -> Option<State> {
        self.cell.state(key::Job(job))
    }

    /// places returns the workers that took a start of a step's tasks.
    pub fn places(&self, job: u64, step: u16) -> Vec<usize> {
        let of_step = |(start, _): &&(Start, usize)| {
            let task = start.order.task;
            (task.job.0, task.step) == (job, step)
        };
        let starts = self.starts.iter().filter(of_step);
        starts.map(|(_, place)| *place).collect()
    }

    fn answer(&mut self, after_ms: u64, event: Event) {
        self.pending.push((self.now_ms + after_ms, event));
    }

    fn place(&self, address: &str) -> usize {
        let found = self
            .workers
            .iter()
            .position(|worker| worker.info.address == address);
        found.expect("orders go to known addresses")
    }

    fn carry(&mut self, effect: Effect) {
        match effect {
            Effect::Note(note) => self.notes.push(note.text),
            Effect::Ask(ask) => self.advise(&ask),
            Effect::Confirm if self.store => {
                let sent = Millis(self.now_ms);
                self.answer(2, Event::Confirmed(sent));
            }
            Effect::Confirm => self.cell.confirm_failed(),
            Effect::Deposed => self.deposed = true,
            Effect::Start(start) => self.carry_start(start),
            Effect::Stop(stop) => self.carry_stop(&stop),
            Effect::Pace(pace) => self.carry_pace(&pace),
            Effect::Hold(hold) => self.carry_hold(&hold),
            Effect::TakeDown(order) => self.carry_down(order),
            Effect::Save(save) => {
                self.saves.push(save);
                let saved = self.store;
                self.answer(self.save_ms, Event::Saved(saved));
            }
        }
    }

    fn carry_stop(&mut self, stop: &Stop) {
        let place = self.place(&stop.order.address);
        let outcome = if self.cut[place] {
            Stopped::Silent
        } else {
            self.workers[place].stop(self.now_ms, stop)
        };
        let run = stop.order.key;
        self.answer(1, Event::Stopped { run, outcome });
    }

    fn carry_pace(&mut self, pace: &Pace) {
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
                taken,
            },
        );
    }

    /// carry_down takes a host down: its worker is gone at once, and a new one
    /// is listed two seconds later.
    fn carry_down(&mut self, order: TakeDown) {
        let outcome = match self.down_answers.is_empty() {
            true => TakenDown::Yes,
            false => self.down_answers.remove(0),
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
        self.downs.push((self.now_ms, order.clone(), outcome));
        self.answer(1, Event::TakenDown(order, outcome));
    }

    fn carry_hold(&mut self, hold: &Hold) {
        self.holds += 1;
        if self.holds_wait {
            self.wait(hold);
            return;
        }
        let place = self.place(&hold.address);
        let outcome = if self.cut[place] {
            Held::Silent
        } else {
            self.workers[place].hold(self.now_ms, hold)
        };
        let after = match outcome {
            Held::Silent => self.give_up_ms,
            _ if hold.wait_ms > 0 => 20,
            _ => 1,
        };
        let sent = Millis(self.now_ms);
        let worker = hold.worker;
        let event = Event::Held {
            worker,
            sent,
            outcome,
        };
        self.answer(after, event);
    }

    /// ticket returns the adviser's ticket for the present life of a worker.
    pub fn ticket(&self, id: &str) -> String {
        let is_its = |worker: &&Worker| worker.info.id == id;
        let worker = self.workers.iter().find(is_its).expect("its id is known");
        match worker.info.started_at {
            Some(at) => format!("ticket-{id}-{}", at.0),
            None => format!("ticket-{id}"),
        }
    }

    /// advise answers for the adviser: workers with an even number are good.
    fn advise(&mut self, ask: &Ask) {
        let good = ask
            .workers
            .iter()
            .filter(|id| id.ends_with(['0', '2', '4', '6', '8']));
        let good = good.map(|id| (id.clone(), self.ticket(id))).collect();
        self.asked.push(ask.workers.len());
        let answer = Advised {
            good,
            valid_ms: 2_000,
        };
        self.answer(5, Event::Advised(ask.step, Some(answer)));
    }

    fn carry_start(&mut self, start: Start) {
        let place = self.place(&start.order.address);
        let task = start.order.task;
        let shape = &self.specs[&task.job.0].steps[usize::from(task.step)];
        let mut size = shape.size;
        let mut fills_milli = 0;
        if shape.fills {
            fills_milli = std::mem::take(&mut size.milli_cores);
        }
        let usual = Behaviour {
            work_ms: u64::from(shape.estimate_ms),
            size,
            fills_milli,
            saves: shape.checkpointing,
            lasts: shape.lasting,
            ..Behaviour::default()
        };
        let given = self.behaviours.get(&(task.job.0, task.step));
        let behaviour = given.copied().unwrap_or(usual);
        let run = start.order.key;
        self.under_way += 1;
        self.most_under_way = self.most_under_way.max(self.under_way);
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
