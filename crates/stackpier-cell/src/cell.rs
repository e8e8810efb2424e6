// SPDX-License-Identifier: Apache-2.0
//! The cell: its state, the dispatch of events, and lookups.

use std::collections::{HashMap, HashSet};

use stackpier_core::{Millis, arena::Arena, key};
use stackpier_state::job::State;

use crate::{
    Effect, Event, LogEntry, Mechanism, Now, Options, Queue, TaskName,
    arena::{JobKey, RoundKey, RunKey, StepKey, TaskKey, WorkerKey},
    assignment,
    cordon::Cordons,
    cycle::Cycle,
    downtime::{Cause, Downtime, Downtimes},
    duration::Durations,
    evacuation::Evacuations,
    flow::Flow,
    footprint::Footprints,
    forgotten::Forgotten,
    interference::{Images, Model},
    interner::Interner,
    job::{Job, Step, Task},
    lag::Lag,
    maintenance::{Record, Rollout},
    outlook::Forecaster,
    place::{BestEffortPass, Budget, GuaranteedPass, IdlePass, PlacementStats},
    round::{Round, Schedule},
    run::Run,
    save::Saver,
    share::Shares,
    short_task_memory::ShortTaskMemory,
    staleness::Staleness,
    suspension::Suspensions,
    takeover::Ownership,
    worker::Worker,
};

/// SWEEP_MS is the interval between checks of all runs for those that stall, lag, or are on
/// draining workers.
const SWEEP_MS: u64 = 150;
/// GUARANTEED_RATING_DIVISOR sets the share of the rating budget, one in this many, for
/// guaranteed tasks: most of them are found not to fit before any worker is rated.
pub(crate) const GUARANTEED_RATING_DIVISOR: u32 = 4;
/// MAX_FAILED_ON bounds how many of the workers that a task failed on are remembered.
const MAX_FAILED_ON: usize = 3;

/// Cell holds the owner's view of a set of workers and decides what runs on them.
pub struct Cell {
    pub(crate) options: Options,
    pub(crate) fence: u64,
    pub(crate) now: Now,
    pub(crate) queues: HashMap<String, Queue>,
    pub(crate) services: Interner,
    pub(crate) racks: Interner,
    pub(crate) images: Images,
    pub(crate) jobs: Arena<Job>,
    pub(crate) job_keys: HashMap<key::Job, JobKey>,
    pub(crate) forgotten: Forgotten,
    /// Jobs that were cancelled before this owner knew them.
    pub(crate) cancelled: HashSet<key::Job>,
    /// The rounds that are due or have runs.
    pub(crate) rounds: Arena<Round>,
    pub(crate) schedule: Schedule,
    /// Rounds that are done, or whose job is over.
    pub(crate) ended_rounds: Vec<RoundKey>,
    pub(crate) runs: Arena<Run>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_keys: HashMap<String, WorkerKey>,
    /// Steps with guaranteed tasks to place.
    pub(crate) guaranteed_queue: Vec<StepKey>,
    /// Steps with best-effort tasks to place.
    pub(crate) best_effort_queue: Vec<StepKey>,
    /// Whether a change may allow tasks to be placed.
    pub(crate) placement_due: bool,
    /// The placement passes over steps with guaranteed tasks.
    pub(crate) guaranteed_pass: GuaranteedPass,
    /// The placement passes over steps with best-effort tasks.
    pub(crate) best_effort_pass: BestEffortPass,
    /// The passes over steps that have had nothing running for long.
    pub(crate) idle_pass: IdlePass,
    /// What placement did since the last summary.
    pub(crate) placement: PlacementStats,
    pub(crate) summary_logged_at: Millis,
    /// When all runs were last checked.
    pub(crate) swept_at: Millis,
    pub(crate) model: Model,
    pub(crate) cycle: Cycle,
    /// When the learned model was last saved.
    pub(crate) model_saved_at: Millis,
    /// Operators' plans to take hosts down.
    pub(crate) maintenance: Vec<Rollout>,
    /// The progress of these plans under a predecessor.
    pub(crate) inherited_maintenance: Vec<Record>,
    /// The earliest time at which this owner takes hosts down. After another owner it first
    /// waits, because two owners do not coordinate.
    pub(crate) take_downs_from: Millis,
    /// The memory that short tasks ask for.
    pub(crate) short_task_memory: ShortTaskMemory,
    pub(crate) evacuations: Evacuations,
    pub(crate) cordons: Cordons,
    /// Tasks that may crash the workers that start them.
    pub(crate) suspects: Vec<TaskKey>,
    /// When workers were last polled for the next starts of suspects.
    pub(crate) polled_for_suspects: Millis,
    pub(crate) saver: Saver,
    pub(crate) ownership: Ownership,
    pub(crate) suspensions: Suspensions,
    pub(crate) downtimes: Downtimes,
    pub(crate) assignments: assignment::Writer,
    pub(crate) staleness: Staleness,
    /// What the outlook is made of.
    pub(crate) forecaster: Forecaster,
    /// How often jobs of each size are done in time.
    pub(crate) shares: Shares,
    /// How run times differ from their estimates.
    pub(crate) durations: Durations,
    /// How late this owner handles its ticks.
    pub(crate) lag: Lag,
    /// The starts that are not answered yet.
    pub(crate) flow: Flow,
    /// The memory that all entries take.
    pub(crate) footprints: Footprints,
    pub(crate) effects: Vec<Effect>,
}

impl Cell {
    /// new starts the ownership of a cell under `fence`, without jobs or workers. `acting_ms` is
    /// how long an earlier owner may still act: the predecessor, or one before it.
    pub fn new(options: Options, fence: u64, now: Now, acting_ms: u64) -> Cell {
        let ownership = Ownership::new(&options, now.mono, now.mono.plus(acting_ms));
        let guaranteed_ratings = options.ratings_per_ms / GUARANTEED_RATING_DIVISOR;
        Cell {
            options,
            fence,
            now,
            queues: HashMap::new(),
            services: Interner::default(),
            racks: Interner::default(),
            images: Images::default(),
            jobs: Arena::default(),
            job_keys: HashMap::new(),
            forgotten: Forgotten::default(),
            cancelled: HashSet::new(),
            rounds: Arena::default(),
            schedule: Schedule::default(),
            ended_rounds: Vec::new(),
            runs: Arena::default(),
            workers: Vec::new(),
            worker_keys: HashMap::new(),
            guaranteed_queue: Vec::new(),
            best_effort_queue: Vec::new(),
            placement_due: false,
            guaranteed_pass: GuaranteedPass::new(Budget::new(guaranteed_ratings, now.mono)),
            best_effort_pass: BestEffortPass::new(Budget::new(
                options.ratings_per_ms - guaranteed_ratings,
                now.mono,
            )),
            idle_pass: IdlePass::new(&options, now.mono),
            placement: PlacementStats::default(),
            summary_logged_at: now.mono,
            swept_at: now.mono,
            model: Model::default(),
            cycle: Cycle::default(),
            model_saved_at: now.mono,
            maintenance: Vec::new(),
            inherited_maintenance: Vec::new(),
            take_downs_from: Cell::take_downs_from(&options, now.mono, fence),
            short_task_memory: ShortTaskMemory::default(),
            evacuations: Evacuations::default(),
            cordons: Cordons::default(),
            suspects: Vec::new(),
            polled_for_suspects: Millis(0),
            saver: Saver::default(),
            ownership,
            suspensions: Suspensions::default(),
            downtimes: Downtimes::default(),
            assignments: assignment::Writer::default(),
            staleness: Staleness::default(),
            forecaster: Forecaster::default(),
            shares: Shares::default(),
            durations: Durations::default(),
            lag: Lag::default(),
            flow: Flow::new(&options),
            footprints: Footprints::default(),
            effects: Vec::new(),
        }
    }

    /// step handles one event and returns the effects to carry out.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.detect_stall(now.mono);
        self.now = now;
        self.placement.events += 1;
        match event {
            Event::Queues(queues) => self.apply_queues(queues),
            Event::Cordons(data_centres) => self.apply_cordons(data_centres),
            Event::Listed(info) => self.apply_entry(info),
            Event::Unlisted(id) => self.mark_unlisted(&id),
            Event::Unreadable(id) => self.mark_unreadable(&id),
            Event::Accepted {
                job,
                record,
                progress,
                cancelled,
            } => self.accept(job, &record, progress.as_deref(), cancelled),
            Event::Cancelled(job) => self.cancel(job),
            Event::JobsKnown(at) => self.set_jobs_known(at),
            Event::WorkersKnown(at) => self.set_workers_known(at),
            Event::Outage(is_out) => self.set_outage(is_out),
            Event::Forwarded(starts) => starts
                .iter()
                .for_each(|start| self.flow.record_forwarded(start.run, start.bytes)),
            Event::Started { run, outcome } => self.handle_start_answer(run, outcome),
            Event::Stopped { run, outcome } => self.handle_stop_answer(run, outcome),
            Event::Paced {
                run,
                percent,
                accepted,
            } => self.handle_pace_answer(run, percent, accepted),
            Event::Renewed {
                worker,
                sent,
                outcome,
            } => self.handle_renewal_answer(worker, sent, outcome),
            Event::Advised(step, answer) => self.handle_advice(step, answer),
            Event::Plan(plan) => self.add_plan(plan),
            Event::TakenDown(order, outcome) => self.handle_take_down_answer(&order, outcome),
            Event::Saved(done) => self.handle_save_answer(done),
            Event::Assigned(done) => self.handle_assign_answer(done),
            Event::PredecessorAnswered(unsaved) => self.handle_predecessor_answer(&unsaved),
            Event::PredecessorStopped { acting_ms } => self.shorten_inherited(acting_ms),
            Event::HandedOver(unsaved) => self.apply_handover(&unsaved),
            Event::RunsHandedOver(record) => self.apply_runs(&record),
            Event::Confirmed(sent) => self.apply_confirmation(sent),
            Event::Tick => self.tick(),
        }
        if self.ownership.deposed {
            return vec![Effect::Deposed];
        }
        self.place();
        self.save();
        self.write_assignments();
        std::mem::take(&mut self.effects)
    }

    /// state returns the state that client accounts are shown for a job, or `None` if the job is
    /// not known.
    pub fn state(&self, job: key::Job) -> Option<State> {
        let job = self.job(*self.job_keys.get(&job)?);
        (!job.forgotten).then_some(self.visible_state(job))
    }

    /// waiting returns how many jobs of a queue have not started.
    pub fn waiting(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.state == State::Pending && job.queue == queue;
        self.jobs.values().filter(waits).count() as u64
    }

    /// is_enabled reports whether a mechanism is switched on.
    pub(crate) fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.options.without.contains(mechanism)
    }

    /// fence returns the fencing token of this ownership.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// running returns how many runs hold capacity on workers.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// workers returns how many workers are not known to be gone.
    pub fn workers(&self) -> usize {
        self.live_workers().count()
    }

    /// ready returns how many tasks wait to be placed.
    pub fn ready(&self) -> usize {
        let steps = self.queued();
        steps.map(|step| self.step_of(step).ready.len()).sum()
    }

    /// ratings returns how many times a worker was rated for a task so far, for measurements.
    pub fn ratings(&self) -> u64 {
        self.guaranteed_pass.budget.done() + self.best_effort_pass.budget.done()
    }

    /// tries returns how many steps placement tried so far, for measurements.
    pub fn tries(&self) -> u64 {
        self.placement.tries()
    }

    /// queued returns the steps with tasks to place.
    pub(crate) fn queued(&self) -> impl Iterator<Item = StepKey> + '_ {
        let guaranteed = self
            .guaranteed_queue
            .iter()
            .chain(self.guaranteed_pass.steps());
        let best_effort = self
            .best_effort_queue
            .iter()
            .chain(self.best_effort_pass.steps());
        guaranteed.chain(best_effort).copied()
    }

    pub(crate) fn job(&self, key: JobKey) -> &Job {
        self.jobs.get(key.0).expect("the job is in memory")
    }

    pub(crate) fn job_mut(&mut self, key: JobKey) -> &mut Job {
        self.jobs.get_mut(key.0).expect("the job is in memory")
    }

    pub(crate) fn step_of(&self, key: StepKey) -> &Step {
        &self.round(key.round).steps[usize::from(key.number)]
    }

    pub(crate) fn step_mut(&mut self, key: StepKey) -> &mut Step {
        &mut self.round_mut(key.round).steps[usize::from(key.number)]
    }

    pub(crate) fn task(&self, key: TaskKey) -> &Task {
        &self.round(key.round).tasks[key.position as usize]
    }

    pub(crate) fn task_mut(&mut self, key: TaskKey) -> &mut Task {
        &mut self.round_mut(key.round).tasks[key.position as usize]
    }

    pub(crate) fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.workers[key.0 as usize]
    }

    /// job_of returns the job of a task.
    pub(crate) fn job_of(&self, task: TaskKey) -> &Job {
        self.job(self.round(task.round).job)
    }

    /// step_spec returns the description of a step as it was submitted.
    pub(crate) fn step_spec(&self, step: StepKey) -> &stackpier_state::job::Step {
        let job = self.round(step.round).job;
        &self.job(job).spec.steps[usize::from(step.number)]
    }

    /// name returns the name of a task.
    pub(crate) fn name(&self, key: TaskKey) -> TaskName {
        let (task, round) = (self.task(key), self.round(key.round));
        TaskName {
            job: self.job(round.job).id,
            round: round.number,
            step: task.step.number,
            index: task.index,
        }
    }

    pub(crate) fn log(&mut self, part: &'static str, subject: Option<TaskName>, text: String) {
        self.effects.push(Effect::Log(LogEntry {
            part,
            subject,
            text,
        }));
    }

    /// apply_queues records the queues as they are configured now.
    fn apply_queues(&mut self, queues: Vec<Queue>) {
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue);
        }
        self.placement_due = true;
    }

    /// drop_run removes a run that has ended and frees its capacity. `cause` tells how it ended if it
    /// ever started.
    pub(crate) fn drop_run(&mut self, key: RunKey, cause: Cause) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.worker_mut(run.worker).remove(key, &run);
        let now = self.now.mono;
        let task = self.task_mut(run.task);
        task.runs.retain(|other| *other != key);
        // A run that never started changes neither when the task last ran nor when its step did.
        if run.confirmed.is_some() {
            task.downtime = Some(Downtime::of(&run, cause, now));
        }
        let step = self.step_mut(run.step);
        step.runs -= 1;
        if run.confirmed.is_some() {
            step.idle_since = step.idle_since.max(run.known_at());
        }
        self.placement_due = true;
        if run.long_running {
            self.record_downtime();
            self.change_assignments(run.task);
        }
        if run.is_recorded() {
            self.mark_dirty(self.step_of(run.step).job);
        }
        Some(run)
    }

    /// requeue drops a run that is presumed to have ended without finishing its work, and makes its
    /// task ready again, to resume from the run's last checkpoint.
    pub(crate) fn requeue(&mut self, key: RunKey, cause: Cause) {
        if let Some(run) = self.runs.get(key) {
            let task = run.task;
            self.task_mut(task).end_witnessed = false;
        }
        self.requeue_dropped(key, cause);
    }

    /// requeue_unstarted makes a task ready again whose run never existed, because its start was
    /// refused or not sent. What is known of its earlier runs remains valid.
    pub(crate) fn requeue_unstarted(&mut self, key: RunKey) {
        self.requeue_dropped(key, Cause::Missing);
    }

    fn requeue_dropped(&mut self, key: RunKey, cause: Cause) {
        let Some(run) = self.drop_run(key, cause) else {
            return;
        };
        if !run.saved.is_empty() && !self.task(run.task).done {
            self.keep_checkpoint(run.task, &run.saved);
        }
        self.make_ready(run.task);
    }

    /// keep_checkpoint stores the progress that a task has saved. The checkpoint of one gang
    /// member applies to the whole gang.
    pub(crate) fn keep_checkpoint(&mut self, task: TaskKey, checkpoint: &str) {
        for member in self.members(task) {
            self.task_mut(member).checkpoint = Some(checkpoint.to_owned());
        }
        self.mark_dirty(self.step_of(self.task(task).step).job);
    }

    /// record_failure_on remembers that a task failed on a worker.
    pub(crate) fn record_failure_on(&mut self, task: TaskKey, worker: WorkerKey) {
        let places = &mut self.task_mut(task).failed_on;
        if places.len() == MAX_FAILED_ON {
            places.remove(0);
        }
        places.push(worker);
    }

    fn tick(&mut self) {
        self.placement.ticks += 1;
        self.lag.record_tick(self.now.mono);
        self.flow.set_lag(self.lag);
        self.idle_pass.set_start_limit(self.flow.start_limit());
        self.release_due();
        self.check_workers();
        self.send_deferred();
        self.check_confirmed();
        let now = self.now.mono;
        if now.since(self.swept_at) >= SWEEP_MS {
            self.swept_at = now;
            self.check_suspects();
            self.check_runs();
            self.check_drains();
            self.check_maintenance();
            self.check_copies();
            self.update_evacuations();
            self.update_dedicated_workers();
            self.check_rotation();
            self.update_reservations();
            self.update_shares();
            self.release_overdue();
            self.forget_jobs();
            self.drop_ended_rounds();
            self.drop_forgotten_jobs();
            self.prune_presumed_ended();
            self.prune_named();
            self.check_completeness();
        }
        self.update_outlook();
        self.update_footprint();
        self.log_summary();
        let waits = self.queued().next().is_some();
        self.placement_due |= waits;
    }
}
