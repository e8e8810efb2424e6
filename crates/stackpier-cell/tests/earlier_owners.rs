// SPDX-License-Identifier: Apache-2.0
//! Tasks that start again because this owner received the end of their run, beside an earlier owner
//! that still acts and a worker that answers only that one.

mod common;

use common::{Owner, QUEUE, UNIX, info, name, queue, sized, spec, step};
use stackpier_cell::{Cell, Effect, Event, Info, Options, Renewed, Report, RosterEntry, WorkerKey};
use stackpier_core::{Millis, key};
use stackpier_standin::fleet::{Behaviour, Run, Worker};
use stackpier_state::job::{Record, Spec, State, Step};

/// JOB is the only job.
const JOB: u64 = 1;
/// ATTEMPTS is how many failed runs of a task fail its job.
const ATTEMPTS: usize = 3;

fn options() -> Options {
    Options {
        max_lease_ms: 6_000,
        ..Options::default()
    }
}

/// Pair is an owner that was held up or cut off, and its successor, with the same workers.
struct Pair {
    earlier: Owner,
    later: Owner,
    workers: Vec<Worker>,
    /// The workers that do not answer the earlier owner, and those that do not answer the later.
    cut: [Vec<usize>; 2],
    /// The most runs of the first task at once.
    most: usize,
}

/// first_owner returns an owner that runs a step on its workers.
fn first_owner(workers: usize, behaviour: Behaviour, shape: &Step) -> Owner {
    let mut owner = Owner::with(workers, 1, false);
    owner.give_up_ms = Some(600);
    for place in 0..workers {
        owner.feed(Event::Listed(info(place)));
    }
    owner.advance(100);
    owner.behaviours.insert((JOB, 0), behaviour);
    owner.submit(JOB, spec(vec![shape.clone()]));
    owner.advance(100);
    owner
}

/// successor returns the owner after another one, to which some workers do not answer.
fn successor(earlier: &Owner, shape: &Step, cut: &[usize]) -> Owner {
    let mut next = Owner::with(0, 2, false);
    next.now_ms = earlier.now_ms;
    let options = options();
    next.cell = Cell::new(options, 2, next.now(), options.authority_ms);
    next.workers.clone_from(&earlier.workers);
    next.behaviours.clone_from(&earlier.behaviours);
    next.give_up_ms = Some(600);
    next.cut = (0..next.workers.len())
        .map(|place| cut.contains(&place))
        .collect();
    next.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    for place in 0..next.workers.len() {
        let Info { id, address, .. } = info(place);
        next.cell.add_roster(&RosterEntry { id, address });
        next.feed(Event::Listed(info(place)));
    }
    accept(&mut next, spec(vec![shape.clone()]));
    next
}

fn accept(owner: &mut Owner, spec: Spec) {
    owner.set_spec(JOB, spec.clone());
    let record = Record {
        queue: queue(QUEUE, 0),
        spec,
        fence: 1,
        accepted_ms: UNIX,
    };
    owner.feed(Event::Accepted {
        job: key::Job(JOB),
        record: Box::new(record),
        progress: None,
        cancelled: false,
    });
}

/// places returns the workers that run the first task.
fn places(workers: &[Worker]) -> Vec<usize> {
    let is_its = |run: &Run| run.task == name(JOB, 0, 0);
    let runs = |place: &usize| workers[*place].runs.iter().any(is_its);
    (0..workers.len()).filter(runs).collect()
}

impl Pair {
    fn new(mut earlier: Owner, shape: &Step, cut: [Vec<usize>; 2]) -> Pair {
        earlier.store = false;
        let later = successor(&earlier, shape, &cut[1]);
        Pair {
            workers: later.workers.clone(),
            earlier,
            later,
            cut,
            most: 0,
        }
    }

    /// advance moves both owners forward by single milliseconds.
    fn advance(&mut self, ms: u64) {
        let end_ms = self.later.now_ms + ms;
        while self.later.now_ms < end_ms {
            for (owner, cut) in [
                (&mut self.later, &self.cut[1]),
                (&mut self.earlier, &self.cut[0]),
            ] {
                owner.workers.clone_from(&self.workers);
                owner.cut = (0..self.workers.len())
                    .map(|place| cut.contains(&place))
                    .collect();
                owner.advance(1);
                self.workers.clone_from(&owner.workers);
            }
            let now_ms = self.later.now_ms;
            for worker in &mut self.workers {
                worker.advance(now_ms);
            }
            self.most = self.most.max(places(&self.workers).len());
        }
    }

    fn story(&self) -> String {
        format!(
            "earlier: {:#?}\nlater: {:#?}",
            self.earlier.log_lines, self.later.log_lines
        )
    }
}

/// Guards against two runs of a long-running task: its run ends under the successor, its worker
/// ends then, and an earlier owner that finds the worker ended starts the task without the store.
#[test]
fn a_long_running_task_does_not_run_twice_after_its_worker_has_ended() {
    let shape = Step {
        long_running: true,
        ..step(1)
    };
    let behaviour = Behaviour {
        work_ms: 1_000,
        fails: true,
        size: shape.size,
        ..Behaviour::default()
    };
    let first = first_owner(4, behaviour, &shape);
    let place = places(&first.workers)[0];
    // One other worker answers the successor, the rest answer only the earlier owner.
    let other = (place + 1) % 4;
    let unseen: Vec<usize> = (0..4).filter(|at| *at != place && *at != other).collect();
    let mut pair = Pair::new(first, &shape, [vec![place, other], unseen]);
    // Later runs work on.
    let works = Behaviour {
        size: shape.size,
        long_running: true,
        ..Behaviour::default()
    };
    pair.later.behaviours.insert((JOB, 0), works);
    pair.earlier.behaviours.insert((JOB, 0), works);
    pair.advance(1_500);
    // The worker of the first run is replaced by another one at its address.
    let mut new = info(place);
    new.id = format!("{}-again", new.id);
    pair.workers[place] = Worker::new(new, 9_000, pair.later.now_ms);
    pair.cut[0] = vec![other];
    pair.advance(4_000);
    assert!(
        pair.most <= 1,
        "{} runs at once: {}",
        pair.most,
        pair.story()
    );
}

/// Guards against two runs of a task: its worker answers a renewal of the earlier owner that waited
/// for an end there since before the successor's first call.
#[test]
fn a_renewal_that_waited_since_before_the_takeover_does_not_start_a_second_run() {
    let shape = step(1);
    let behaviour = Behaviour {
        work_ms: 1_000,
        fails: true,
        size: shape.size,
        ..Behaviour::default()
    };
    let mut first = first_owner(4, behaviour, &shape);
    first.advance(500);
    let sent = Millis(first.now_ms);
    assert_eq!(places(&first.workers), [0]);
    let mut pair = Pair::new(first, &shape, [vec![0, 3], vec![1, 2]]);
    while places(&pair.workers) == [0] {
        pair.advance(1);
    }
    assert!(pair.later.now_ms < sent.0 + Options::default().renewal_wait_ms);
    // The first worker, with the default key, answers the renewal that has waited.
    let worker = &pair.workers[0];
    let report = Report {
        started_at: worker.info.started_at,
        clock_ms: worker.clock(pair.later.now_ms),
        running: Vec::new(),
        ended: worker.ends.clone(),
        whole: true,
    };
    pair.earlier.feed(Event::Renewed {
        worker: WorkerKey::default(),
        sent,
        outcome: Renewed::Report(report),
    });
    pair.workers.clone_from(&pair.earlier.workers);
    pair.advance(900);
    assert!(
        pair.most <= 1,
        "{} runs at once: {}",
        pair.most,
        pair.story()
    );
}

/// Guards against more starts than a task has attempts: a failed run that no store holds is listed
/// only by a worker that does not answer the successor.
#[test]
fn a_failure_that_only_a_silent_worker_lists_counts_before_the_next_start() {
    let shape = step(1);
    let behaviour = Behaviour {
        work_ms: 1_000,
        fails: true,
        size: shape.size,
        ..Behaviour::default()
    };
    let mut first = first_owner(5, behaviour, &shape);
    let silent = places(&first.workers)[0];
    first.store = false;
    while places(&first.workers) == [silent] || places(&first.workers).is_empty() {
        first.advance(1);
    }
    first.advance(100);
    assert_eq!(first.starts_of(name(JOB, 0, 0)), 2);
    let mut owner = successor(&first, &shape, &[silent]);
    // The other workers finish work, so they are trusted with the last attempt.
    owner.submit_to(JOB + 1, QUEUE, spec(vec![sized(5_000, 4)]), 2, None);
    owner.advance(4_000);
    let seen = owner.starts_of(name(JOB, 0, 0));
    owner.cut[silent] = false;
    owner.advance(1_500);
    let silent = &owner.workers[silent];
    assert_eq!(silent.last_end_at_expiry, 0, "its lease has not expired");
    assert_eq!(silent.acked.len(), 1, "its end is acknowledged");
    assert!(
        2 + seen <= ATTEMPTS,
        "{seen} starts after two by the predecessor: {:#?}",
        owner.log_lines
    );
}

/// Guards against starts that are held until the store answers faster, and that keep all other jobs
/// from starting meanwhile: they count as sent, and the number of these is limited.
#[test]
fn starts_that_are_held_for_a_slow_store_do_not_keep_other_jobs_from_starting() {
    let options = Options {
        max_starts: 4,
        ..options()
    };
    let shape = step(8);
    let mut owner = Owner::with_options(4, 2, false, options);
    owner.give_up_ms = Some(600);
    owner.cut[3] = true;
    for place in 0..4 {
        let Info { id, address, .. } = info(place);
        owner.cell.add_roster(&RosterEntry { id, address });
        owner.feed(Event::Listed(info(place)));
    }
    accept(&mut owner, spec(vec![shape]));
    owner.advance(6_000);
    owner.save_ms = 1_000_000;
    while owner.cell.running() == 0 {
        owner.advance(1);
    }
    assert!(owner.starts.is_empty(), "they wait for their save");
    // From now on each answer of the store takes a second.
    owner.submit_to(JOB + 1, QUEUE, spec(vec![step(1)]), 2, None);
    let (mut now, mut started) = (owner.now(), false);
    for tick in 1..200 {
        now.mono = now.mono.plus(50);
        let mut events = vec![Event::Tick];
        if tick % 20 == 0 {
            events.push(Event::Confirmed(Millis(now.mono.0 - 1_000)));
        }
        if tick == 20 {
            events.push(Event::Saved(true));
        }
        for event in events {
            let effects = owner.cell.step(now, event);
            started |= effects.iter().any(|effect| {
                matches!(effect, Effect::Start(start) if start.order.task.job.0 == JOB + 1)
            });
        }
    }
    let why = owner.cell.explain(key::Job(JOB + 1));
    assert!(started, "no start in ten seconds: {why:?}");
}

/// Guards against a start of a task that a successor shows as completed: its first run ended on a
/// worker that never answered this owner, so that each start needs a recent confirmation, also the
/// one after a failed run.
#[test]
fn a_task_started_after_the_leases_needs_a_recent_confirmation_for_each_start() {
    let shape = step(1);
    let works = Behaviour {
        work_ms: 1_000,
        size: shape.size,
        ..Behaviour::default()
    };
    let mut first = first_owner(4, works, &shape);
    assert_eq!(places(&first.workers), [0]);
    // The run ends on its worker, which the first owner does not hear of.
    while !places(&first.workers).is_empty() {
        first.now_ms += 1;
        first.workers[0].advance(first.now_ms);
    }
    let mut owner = successor(&first, &shape, &[0]);
    let fails = Behaviour {
        work_ms: 1_800,
        fails: true,
        ..works
    };
    owner.behaviours.insert((JOB, 0), fails);
    while owner.starts.is_empty() {
        owner.advance(1);
    }
    owner.store = false;
    let mut next = successor(&owner, &shape, &[1, 2, 3]);
    next.cell = Cell::new(options(), 3, next.now(), 5_000);
    next.feed(Event::Queues(vec![queue(QUEUE, 0)]));
    next.feed(Event::Listed(info(0)));
    accept(&mut next, spec(vec![shape.clone()]));
    next.advance(500);
    let saved = next.saved(JOB).map(|saved| saved.state);
    assert_eq!(saved, Some(State::Completed));
    owner.advance(4_500);
    assert_eq!(
        owner.starts_of(name(JOB, 0, 0)),
        1,
        "a successor shows the job as completed: {:#?}",
        owner.log_lines
    );
}
