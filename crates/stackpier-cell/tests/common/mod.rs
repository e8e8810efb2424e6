// SPDX-License-Identifier: Apache-2.0
//! One owner with stand-in workers, on a clock that the test moves. Calls are
//! answered after a millisecond, unless the test has them lost.

#![allow(dead_code)]

mod carry;
mod crash;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use stackpier_cell::{
    AdviceRequest, Advised, Cell, Effect, Event, Info, Now, Options, Pace, Queue, Renewal, Renewed,
    Save, Start, Started, Stop, Stopped, TaskName,
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
    /// How many of the next holds get no answer, by the worker's place.
    pub lose_holds: BTreeMap<usize, usize>,
    /// After how long a hold without an answer is given up, in milliseconds: if there is no such
    /// time, as soon as others are answered.
    pub give_up_ms: Option<u64>,
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

/// sized returns tasks that ask for some thousandths of a core and run for a second.
pub fn sized(milli_cores: u32, count: u32) -> Step {
    Step {
        size: Size {
            milli_cores,
            memory_mib: 1_000,
            accelerators: 0,
        },
        ..step(count)
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
            lose_holds: BTreeMap::new(),
            give_up_ms: None,
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

    /// submit_long_running hands a job of one step in whose tasks last.
    pub fn submit_long_running(&mut self, job: u64, shape: Step) {
        let behaviour = Behaviour {
            size: shape.size,
            lasts: true,
            ..Behaviour::default()
        };
        self.behaviours.insert((job, 0), behaviour);
        let shape = Step {
            long_running: true,
            ..shape
        };
        self.submit(job, spec(vec![shape]));
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
}
