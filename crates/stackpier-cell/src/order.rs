// SPDX-License-Identifier: Apache-2.0
//! Orders to start and stop runs, and how the answers to them are handled.

use stackpier_core::Millis;

use crate::{
    Cell, Effect, Order, Start, Started, Stop, Stopped,
    arena::{RunKey, TaskKey, WorkerKey},
    downtime::Cause,
    rotation::MIN_RUN_MS,
    run::{Phase, Run},
    worker::Presence,
};

/// INVALID_PAUSE_MS is how long a task waits for another attempt on a different worker after a
/// worker called its start invalid.
const INVALID_PAUSE_MS: u64 = 1_000;
/// UNSENT_PAUSE_MS is how long a task waits for another attempt if its start could not be sent.
const UNSENT_PAUSE_MS: u64 = 200;
/// FULL_PAUSE_MS is the pause in starts on a worker that refused one for lack of capacity.
/// Within about this time a report shows what runs there.
const FULL_PAUSE_MS: u64 = 250;

impl Cell {
    /// start creates a run of a task on a worker and sends the start. If the start must be
    /// saved first, it is deferred until then.
    pub(crate) fn start(&mut self, task: TaskKey, worker: WorkerKey) {
        let now = self.now.mono;
        let lease = self.options.lease_ms;
        let Some(deadline_ms) = self.worker_mut(worker).lease(now, lease) else {
            return;
        };
        let mut run = self.new_run(task, worker);
        run.witnessed = run.long_running;
        let number = run.number;
        self.placement.started += u32::from(run.best_effort);
        let key = self.insert_run(run);
        self.consume_reservation(worker, task);
        self.begin_isolation(key, task, worker);
        self.record_start(key, task);
        self.assign(key);
        self.idle_pass.record_start();
        let entry = self.task_mut(task);
        entry.runs.push(key);
        entry.next_run = number + 1;
        self.flow
            .record_sent(now, key, self.job_of(task).payload.len());
        if self.is_sent(key) {
            self.send_start(key, deadline_ms);
        } else {
            self.saver.deferred.push(key);
        }
        if self.worker(worker).long_running_milli > 0 {
            self.update_predictions(worker);
        }
        self.renew_with_wait(worker);
    }

    /// send_start sends the order to start a run. The run's lease may end before `deadline_ms`, so
    /// that a late start is refused; renewals extend it.
    pub(crate) fn send_start(&mut self, key: RunKey, deadline_ms: u64) {
        let run = self.runs.get(key).expect("the run exists");
        let (task, worker) = (run.task, run.worker);
        let limit_ms = self.start_limit_ms();
        let latest_ms = limit_ms.and_then(|ms| self.worker(worker).clock_in(self.now.mono, ms));
        let deadline_ms = latest_ms.map_or(deadline_ms, |latest_ms| latest_ms.min(deadline_ms));
        let start = Start {
            order: self.order_for(key),
            data_centre: self.worker(worker).info.data_centre.clone(),
            payload: self.job_of(task).payload.clone(),
            deadline_ms,
            checkpoint: self.task(task).checkpoint.clone(),
            ticket: self.ticket(self.task(task).step, worker),
        };
        self.effects.push(Effect::Start(start));
    }

    fn insert_run(&mut self, run: Run) -> RunKey {
        let worker = run.worker;
        self.step_mut(run.step).runs += 1;
        let key = self.runs.insert(run);
        let run = self.runs.get(key).expect("the run was just inserted");
        self.workers[worker.0 as usize].add(key, run);
        key
    }

    fn new_run(&self, task: TaskKey, worker: WorkerKey) -> Run {
        let step = self.task(task).step;
        let spec = self.step_spec(step);
        Run {
            task,
            name: self.name(task),
            superseded: false,
            step,
            worker,
            number: self.task(task).next_run,
            phase: Phase::Starting,
            size: spec.size,
            best_effort: spec.best_effort,
            long_running: spec.long_running,
            target_ms: spec.target_ms,
            serving: spec.long_running && spec.target_ms > 0,
            may_be_copied: spec.speculative && !spec.long_running && !spec.gang,
            image: self.step_of(step).image,
            since: self.now.mono,
            min_run_ms: MIN_RUN_MS,
            confirmed: None,
            shown_at: None,
            reported: false,
            witnessed: false,
            cleared: false,
            recorded: false,
            after_save: None,
            unassigned: false,
            held_since: None,
            stop_accepted_at: None,
            stop_sent: false,
            stop_retry_at: Millis(0),
            saved: String::new(),
            percent: 0,
            progressed_at: self.now.mono,
            used_milli: None,
            load: None,
            measured_since: None,
            deviation: 0.0,
            over_since: None,
            recovered_since: None,
            pace: 100,
            pace_unknown: false,
            pace_unconfirmed: false,
            paced_at: Millis(0),
            slowed_since: None,
        }
    }

    /// adopt adds a run that a predecessor started.
    pub(crate) fn adopt(&mut self, task: TaskKey, worker: WorkerKey, number: u32) -> RunKey {
        let mut run = self.new_run(task, worker);
        run.number = number;
        run.min_run_ms = self.inherited_slice_ms(task, number);
        run.phase = Phase::Running;
        run.confirmed = Some(self.now.mono);
        run.pace_unknown = run.best_effort;
        let key = self.insert_run(run);
        let entry = self.task_mut(task);
        entry.runs.push(key);
        entry.next_run = entry.next_run.max(number + 1);
        entry.downtime = None;
        if !self.is_assigned(task, worker) {
            self.change_assignments(task);
        }
        self.mark_running(task);
        key
    }

    /// order_for returns what identifies a run in a call to its worker.
    pub(crate) fn order_for(&self, key: RunKey) -> Order {
        let run = self.runs.get(key).expect("the run exists");
        let worker = self.worker(run.worker);
        Order {
            key,
            address: worker.info.address.clone(),
            worker_id: worker.info.id.clone(),
            task: self.name(run.task),
            run: run.number,
            fence: self.fence,
        }
    }

    /// stop marks a run as stopping. It sends the order, unless one is on its way, has been
    /// accepted or waits for its retry, the worker is gone, or this owner lacks the authority.
    /// It is called again until the run has ended.
    pub(crate) fn stop(&mut self, key: RunKey) {
        let now = self.now.mono;
        let authority = self.has_authority();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.phase = Phase::Stopping;
        let is_gone = self.workers[run.worker.0 as usize].presence == Presence::Gone;
        let is_pending = run.stop_sent || run.stop_accepted_at.is_some() || now < run.stop_retry_at;
        if is_gone || is_pending || !authority {
            return;
        }
        run.stop_sent = true;
        let order = self.order_for(key);
        self.effects.push(Effect::Stop(Stop { order }));
    }

    /// handle_start_answer applies a worker's answer to a start, or the lack of one.
    pub(crate) fn handle_start_answer(&mut self, key: RunKey, outcome: Started) {
        self.flow.record_answered(key);
        let now = self.now.mono;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let (worker, task) = (run.worker, run.task);
        match outcome {
            Started::Yes => {
                let is_first = run.confirmed.is_none();
                if is_first {
                    run.confirmed = Some(now);
                    run.progressed_at = now;
                }
                if matches!(run.phase, Phase::Starting | Phase::Unsure(_)) {
                    run.phase = Phase::Running;
                }
                self.mark_running(task);
                if is_first {
                    self.record_resumed(key);
                }
            }
            Started::Silent => {
                if run.phase == Phase::Starting {
                    run.phase = Phase::Unsure(now);
                }
                self.record_unanswered(key);
                self.renew_now(worker);
            }
            Started::Fenced => self.depose(),
            Started::OtherLife => {
                // The incarnation that the start was sent to never received it.
                self.drop_run(key, Cause::Missing);
                self.make_ready(task);
                self.end_incarnation(worker, "its address answers for another incarnation");
            }
            Started::Unsent => {
                self.task_mut(task).not_before = now.plus(UNSENT_PAUSE_MS);
                self.requeue_unstarted(key);
            }
            refused => self.handle_refusal(key, refused),
        }
    }

    /// handle_refusal requeues a task whose start the worker refused: the run does not exist,
    /// and a duplicate of the order that arrives later would be refused too.
    fn handle_refusal(&mut self, key: RunKey, outcome: Started) {
        let now = self.now.mono;
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (worker, task) = (run.worker, run.task);
        let text = format!(
            "worker {} refused a start: {outcome:?}",
            self.worker(worker).info.id
        );
        self.log("order", Some(self.name(task)), text);
        match outcome {
            Started::NoRoom => self.worker_mut(worker).full_until = now.plus(FULL_PAUSE_MS),
            Started::Unhealthy => self.worker_mut(worker).health.record_refusal(now),
            Started::Invalid => {
                self.task_mut(task).not_before = now.plus(INVALID_PAUSE_MS);
                self.record_failure_on(task, worker);
            }
            _ => {}
        }
        self.renew_now(worker);
        self.requeue_unstarted(key);
    }

    /// handle_stop_answer applies a worker's answer to a stop, or the lack of one.
    pub(crate) fn handle_stop_answer(&mut self, key: RunKey, outcome: Stopped) {
        let now = self.now.mono;
        let retry = self.options.stop_retry_ms;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.stop_sent = false;
        let worker = run.worker;
        match outcome {
            Stopped::Yes => {
                run.stop_accepted_at = Some(now);
                self.renew_now(worker);
            }
            Stopped::Silent => run.stop_retry_at = now.plus(retry),
            Stopped::Fenced => self.depose(),
            Stopped::OtherLife => {
                self.end_incarnation(worker, "its address answers for another incarnation")
            }
        }
    }
}
