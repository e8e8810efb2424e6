// SPDX-License-Identifier: Apache-2.0
//! The cell: its arenas, the dispatch of events, and the life of a job.

use std::{collections::HashMap, rc::Rc};

use stackpier_core::{Millis, arena::Arena, key};
use stackpier_state::job::{Progress, Record, Spec, State};

use crate::{
    Effect, Event, Note, Now, Options, Queue, TaskName,
    arena::{JobKey, RunKey, StepKey, TaskKey, WorkerKey},
    forecast::Forecast,
    interference::{Images, Model},
    job::{Job, Run, Step, Task},
    names::Names,
    save::Saver,
    worker::{Life, Worker},
};

/// SWEEP_MS is the time between two looks at all runs, for those that stand
/// still, lag, or are on leaving workers.
const SWEEP_MS: u64 = 150;
/// FAILED_ON is how many workers a task remembers to have failed on.
const FAILED_ON: usize = 3;

/// Cell is what the owner of a set of workers believes and decides.
pub struct Cell {
    pub(crate) options: Options,
    pub(crate) fence: u64,
    pub(crate) now: Now,
    pub(crate) queues: HashMap<String, Queue>,
    pub(crate) services: Names,
    pub(crate) racks: Names,
    pub(crate) images: Images,
    pub(crate) jobs: Vec<Job>,
    pub(crate) job_keys: HashMap<key::Job, JobKey>,
    pub(crate) steps: Vec<Step>,
    pub(crate) tasks: Vec<Task>,
    pub(crate) runs: Arena<Run>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_keys: HashMap<String, WorkerKey>,
    /// Steps with tasks to place that count in a worker's room.
    pub(crate) waiting: Vec<StepKey>,
    /// Steps with tasks to place that fill.
    pub(crate) filling: Vec<StepKey>,
    /// Steps of rounds that are not due yet.
    pub(crate) undue: Vec<StepKey>,
    pub(crate) place_wanted: bool,
    pub(crate) filled_at: Millis,
    pub(crate) summarised: Millis,
    /// When all runs were last looked at.
    pub(crate) swept: Millis,
    pub(crate) model: Model,
    pub(crate) forecast: Forecast,
    /// When what was learnt was last saved.
    pub(crate) remembered: Millis,
    pub(crate) saver: Saver,
    /// When the store last confirmed that this daemon owns the cell.
    pub(crate) confirmed: Millis,
    pub(crate) confirming: bool,
    pub(crate) deposed: bool,
    /// Until when runs of an earlier owner may exist on workers that have not
    /// answered yet.
    pub(crate) inherited_until: Millis,
    pub(crate) effects: Vec<Effect>,
}

impl Cell {
    /// new starts the ownership of a cell under `fence`, without jobs or
    /// workers. `predecessor` tells whether an earlier owner may still act.
    pub fn new(options: Options, fence: u64, now: Now, predecessor: bool) -> Cell {
        let acting = if predecessor { options.authority_ms } else { 0 };
        Cell {
            options,
            fence,
            now,
            queues: HashMap::new(),
            services: Names::default(),
            racks: Names::default(),
            images: Images::default(),
            jobs: Vec::new(),
            job_keys: HashMap::new(),
            steps: Vec::new(),
            tasks: Vec::new(),
            runs: Arena::default(),
            workers: Vec::new(),
            worker_keys: HashMap::new(),
            waiting: Vec::new(),
            filling: Vec::new(),
            undue: Vec::new(),
            place_wanted: false,
            filled_at: Millis(0),
            summarised: now.mono,
            swept: now.mono,
            model: Model::default(),
            forecast: Forecast::default(),
            remembered: now.mono,
            saver: Saver::default(),
            confirmed: now.mono,
            confirming: false,
            deposed: false,
            inherited_until: Cell::inherited_until(&options, now.mono, acting),
            effects: Vec::new(),
        }
    }

    /// step takes one event and returns what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Queues(queues) => self.take_queues(queues),
            Event::Listed(info) => self.list(info),
            Event::Unlisted(id) => self.unlist(&id),
            Event::Accepted {
                job,
                record,
                progress,
                cancelled,
            } => self.accept(job, &record, progress.as_deref(), cancelled),
            Event::Cancelled(job) => self.cancel(job),
            Event::Started { run, outcome } => self.started(run, outcome),
            Event::Stopped { run, outcome } => self.stopped(run, outcome),
            Event::Held {
                worker,
                sent,
                outcome,
            } => self.held(worker, sent, outcome),
            Event::Advised(step, answer) => self.advised(step, answer),
            Event::Saved(done) => self.saved(done),
            Event::Confirmed(sent) => self.confirm(sent),
            Event::Tick => self.tick(),
        }
        if self.deposed {
            return vec![Effect::Deposed];
        }
        self.place();
        self.save();
        std::mem::take(&mut self.effects)
    }

    /// state returns the state of a job, or `None` if it is not known.
    pub fn state(&self, job: key::Job) -> Option<State> {
        let job = self.job(*self.job_keys.get(&job)?);
        (!job.forgotten).then_some(job.state)
    }

    /// waiting returns how many jobs of a queue have not begun.
    pub fn waiting(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.state == State::Pending && job.queue == queue;
        self.jobs.iter().filter(waits).count() as u64
    }

    /// fence returns the fence of this ownership.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// is_deposed tells whether another daemon was seen to own the cell.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// running returns how many runs hold room on workers.
    pub fn running(&self) -> usize {
        self.runs.values().count()
    }

    /// ready returns how many tasks wait to be placed.
    pub fn ready(&self) -> usize {
        let steps = self.waiting.iter().chain(&self.filling);
        steps.map(|step| self.step_of(*step).ready.len()).sum()
    }

    pub(crate) fn job(&self, key: JobKey) -> &Job {
        &self.jobs[key.0 as usize]
    }

    pub(crate) fn job_mut(&mut self, key: JobKey) -> &mut Job {
        &mut self.jobs[key.0 as usize]
    }

    pub(crate) fn step_of(&self, key: StepKey) -> &Step {
        &self.steps[key.0 as usize]
    }

    pub(crate) fn step_mut(&mut self, key: StepKey) -> &mut Step {
        &mut self.steps[key.0 as usize]
    }

    pub(crate) fn task(&self, key: TaskKey) -> &Task {
        &self.tasks[key.0 as usize]
    }

    pub(crate) fn task_mut(&mut self, key: TaskKey) -> &mut Task {
        &mut self.tasks[key.0 as usize]
    }

    pub(crate) fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.workers[key.0 as usize]
    }

    /// job_of returns the job of a task.
    pub(crate) fn job_of(&self, task: TaskKey) -> &Job {
        self.job(self.step_of(self.task(task).step).job)
    }

    /// shape returns the description of a step as it was handed in.
    pub(crate) fn shape(&self, step: StepKey) -> &stackpier_state::job::Step {
        let step = self.step_of(step);
        &self.job(step.job).spec.steps[usize::from(step.number)]
    }

    /// name returns the name of a task.
    pub(crate) fn name(&self, key: TaskKey) -> TaskName {
        let task = self.task(key);
        let step = self.step_of(task.step);
        TaskName {
            job: self.job(step.job).id,
            round: step.round,
            step: step.number,
            index: task.index,
        }
    }

    /// find returns the task of a name, if its job is known.
    pub(crate) fn find(&self, name: TaskName) -> Option<TaskKey> {
        let job = self.job(*self.job_keys.get(&name.job)?);
        let steps = job.spec.steps.len() as u32;
        if name.round >= job.spec.rounds() || u32::from(name.step) >= steps {
            return None;
        }
        let step = StepKey(job.first_step.0 + name.round * steps + u32::from(name.step));
        let step = self.step_of(step);
        (name.index < step.count).then_some(TaskKey(step.first_task.0 + name.index))
    }

    pub(crate) fn note(&mut self, part: &'static str, subject: Option<TaskName>, text: String) {
        self.effects.push(Effect::Note(Note {
            part,
            subject,
            text,
        }));
    }

    fn take_queues(&mut self, queues: Vec<Queue>) {
        for queue in queues {
            self.queues.insert(queue.name.clone(), queue);
        }
        self.place_wanted = true;
    }

    fn accept(
        &mut self,
        id: key::Job,
        record: &Record,
        progress: Option<&Progress>,
        cancelled: bool,
    ) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        let key = self.add_job(id, record);
        if let Some(progress) = progress {
            self.restore(key, progress);
        }
        if !self.job(key).state.is_final() {
            self.unblock(key);
        }
        if cancelled {
            self.cancel(id);
        }
        self.place_wanted = true;
    }

    fn add_job(&mut self, id: key::Job, record: &Record) -> JobKey {
        let key = JobKey(self.jobs.len() as u32);
        let spec = Rc::new(record.spec.clone());
        let chains = chains(&spec);
        let chain = chains.iter().copied().max().unwrap_or(0);
        let job = Job {
            id,
            queue: record.queue.clone(),
            payload: Rc::from(spec.payload.as_str()),
            state: State::Pending,
            first_step: StepKey(self.steps.len() as u32),
            first_task: TaskKey(self.tasks.len() as u32),
            tasks: spec.width() * spec.rounds(),
            left: spec.width() * spec.rounds(),
            inherited: record.fence < self.fence,
            objective: self.objective(record, chain),
            dirty: false,
            ended_unix_ms: 0,
            ended_at: None,
            forgotten: false,
            spec: Rc::clone(&spec),
        };
        self.jobs.push(job);
        self.job_keys.insert(id, key);
        for round in 0..spec.rounds() {
            for (number, chain_ms) in chains.iter().enumerate() {
                self.add_step(key, &spec, round, number, *chain_ms);
            }
        }
        key
    }

    /// objective returns by when a job should be done, on the own clock.
    fn objective(&self, record: &Record, chain_ms: u64) -> Millis {
        let queue = self.queues.get(&record.queue);
        let (stretch, target_ms) = queue.map_or((1.0, 0), |queue| (queue.stretch, queue.target_ms));
        let allowed = (chain_ms as f64 * stretch) as u64 + target_ms;
        let age = self.now.unix.0.saturating_sub(record.accepted_ms);
        Millis((self.now.mono.0 + allowed).saturating_sub(age))
    }

    fn add_step(&mut self, job: JobKey, spec: &Spec, round: u32, number: usize, chain_ms: u64) {
        let shape = &spec.steps[number];
        let key = StepKey(self.steps.len() as u32);
        let first_task = TaskKey(self.tasks.len() as u32);
        self.steps.push(Step {
            job,
            round,
            number: number as u16,
            first_task,
            count: shape.count,
            image: self.images.key(&shape.image),
            left: shape.count,
            blocked_by: shape.after.len() as u32,
            ready: Vec::new(),
            queued: false,
            chain_ms,
            due_unix_ms: spec.due_ms(round).unwrap_or(0),
            advice: None,
        });
        let first_run = self.first_run();
        for index in 0..shape.count {
            self.tasks.push(Task {
                step: key,
                index,
                done: false,
                failed_runs: Vec::new(),
                failed_at: Millis(0),
                next_run: first_run,
                runs: Vec::new(),
                checkpoint: None,
                failed_on: Vec::new(),
                not_before: Millis(0),
                ready: false,
            });
        }
    }

    /// restore takes over what an earlier owner saved of a job.
    fn restore(&mut self, key: JobKey, progress: &Progress) {
        let now = self.now.mono;
        let job = self.job_mut(key);
        job.state = progress.state;
        job.ended_unix_ms = progress.ended_ms;
        let (first, count, is_final) = (job.first_task.0, job.tasks, job.state.is_final());
        if is_final {
            job.ended_at = Some(now);
        }
        for place in (0..count).filter(|place| progress.is_done(*place)) {
            self.finish_task(TaskKey(first + place));
        }
        let within = |place: u32| (place < count).then_some(TaskKey(first + place));
        for failures in &progress.failures {
            if let Some(task) = within(failures.task) {
                self.task_mut(task).failed_runs = failures.runs.clone();
            }
        }
        for checkpoint in &progress.checkpoints {
            if let Some(task) = within(checkpoint.task) {
                self.task_mut(task).checkpoint = Some(checkpoint.text.clone());
            }
        }
    }

    /// unblock makes the tasks of all steps ready that wait for no other.
    fn unblock(&mut self, key: JobKey) {
        let job = self.job(key);
        let count = job.spec.steps.len() as u32 * job.spec.rounds();
        let first = job.first_step.0;
        for step in (first..first + count).map(StepKey) {
            if self.step_of(step).blocked_by == 0 && self.step_of(step).left > 0 {
                self.release(step);
            }
        }
    }

    /// release makes the tasks of a step ready, once it is due.
    pub(crate) fn release(&mut self, key: StepKey) {
        let due = self.step_of(key).due_unix_ms;
        if due > self.now.unix.0 + self.options.early_ms {
            self.undue.push(key);
            return;
        }
        let step = self.step_of(key);
        for task in (step.first_task.0..step.first_task.0 + step.count).map(TaskKey) {
            self.make_ready(task);
        }
    }

    /// make_ready puts a task into its step's list of tasks to place, unless
    /// it is done, has a run, or its job is over.
    pub(crate) fn make_ready(&mut self, key: TaskKey) {
        let task = self.task(key);
        let step = task.step;
        if task.done || task.ready || !task.runs.is_empty() || self.job_of(key).state.is_final() {
            return;
        }
        self.task_mut(key).ready = true;
        let fills = self.shape(step).fills;
        let entry = self.step_mut(step);
        entry.ready.push(key);
        if !entry.queued {
            entry.queued = true;
            let queue = if fills {
                &mut self.filling
            } else {
                &mut self.waiting
            };
            queue.push(step);
        }
        self.place_wanted = true;
    }

    /// finish_task notes that a task is done, and releases the steps that
    /// waited for it. It returns whether that is news.
    pub(crate) fn finish_task(&mut self, key: TaskKey) -> bool {
        if self.task(key).done {
            return false;
        }
        let task = self.task_mut(key);
        task.done = true;
        task.checkpoint = None;
        let step = task.step;
        let entry = self.step_mut(step);
        entry.left -= 1;
        let (job, step_done) = (entry.job, entry.left == 0);
        self.job_mut(job).left -= 1;
        if step_done {
            self.release_after(step);
        }
        true
    }

    /// release_after releases the steps for which `done` was the last one
    /// they waited for.
    fn release_after(&mut self, done: StepKey) {
        let step = self.step_of(done);
        let (number, round) = (step.number, step.round);
        let job = self.job(step.job);
        let (spec, state) = (Rc::clone(&job.spec), job.state);
        let first = job.first_step.0 + round * spec.steps.len() as u32;
        for (later, shape) in spec.steps.iter().enumerate() {
            let waits = shape.after.iter().filter(|step| **step == number).count() as u32;
            if waits == 0 {
                continue;
            }
            let key = StepKey(first + later as u32);
            let entry = self.step_mut(key);
            entry.blocked_by -= waits;
            if entry.blocked_by == 0 && entry.left > 0 && !state.is_final() {
                self.release(key);
            }
        }
    }

    /// end_job puts a job into a final state and stops what still runs of it.
    pub(crate) fn end_job(&mut self, key: JobKey, state: State) {
        let (mono, unix) = (self.now.mono, self.now.unix.0);
        let job = self.job_mut(key);
        job.state = state;
        job.ended_at = Some(mono);
        job.ended_unix_ms = unix;
        let (first, count) = (job.first_task.0, job.tasks);
        for task in (first..first + count).map(TaskKey) {
            self.task_mut(task).ready = false;
            for run in self.task(task).runs.clone() {
                self.stop(run);
            }
        }
        self.dirty(key);
    }

    fn cancel(&mut self, id: key::Job) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            return;
        };
        if !self.job(key).state.is_final() {
            self.end_job(key, State::Cancelled);
            let text = "job cancelled by its client account".to_owned();
            self.note("job", Some(first_task(id)), text);
        }
    }

    /// drop_run forgets a run that is over and frees its room.
    pub(crate) fn drop_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        self.worker_mut(run.worker).remove(key, &run);
        self.task_mut(run.task).runs.retain(|other| *other != key);
        self.place_wanted = true;
        Some(run)
    }

    /// requeue drops a run that ended without doing its work and makes its
    /// task ready again.
    pub(crate) fn requeue(&mut self, key: RunKey) {
        if let Some(run) = self.drop_run(key) {
            self.make_ready(run.task);
        }
    }

    /// end_life notes that a worker's process is gone, and everything with it.
    pub(crate) fn end_life(&mut self, key: WorkerKey, why: &str) {
        let worker = self.worker_mut(key);
        if worker.life == Life::Over {
            return;
        }
        worker.life = Life::Over;
        let (runs, id) = (worker.runs.clone(), worker.info.id.clone());
        let text = format!(
            "worker {id} is over: {why}; {} runs ended with it",
            runs.len()
        );
        self.note("worker", None, text);
        for run in runs {
            self.requeue(run);
        }
        self.saver.roster_changed = true;
        self.place_wanted = true;
    }

    /// fail_on remembers that a task failed on a worker.
    pub(crate) fn fail_on(&mut self, task: TaskKey, worker: WorkerKey) {
        let places = &mut self.task_mut(task).failed_on;
        if places.len() == FAILED_ON {
            places.remove(0);
        }
        places.push(worker);
    }

    fn tick(&mut self) {
        self.release_due();
        self.check_workers();
        self.check_confirmed();
        let now = self.now.mono;
        if now.since(self.swept) >= SWEEP_MS {
            self.swept = now;
            self.check_runs();
            self.check_drains();
            self.check_copies();
            self.forget_jobs();
        }
        self.summarise();
        self.place_wanted |= !self.filling.is_empty() || !self.waiting.is_empty();
    }

    fn release_due(&mut self) {
        let limit = self.now.unix.0 + self.options.early_ms;
        let undue = std::mem::take(&mut self.undue);
        for step in undue {
            if self.job(self.step_of(step).job).state.is_final() {
                continue;
            }
            if self.step_of(step).due_unix_ms <= limit {
                self.release(step);
            } else {
                self.undue.push(step);
            }
        }
    }

    /// live returns the workers that are not known to be over.
    pub(crate) fn live(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        let alive = |(_, worker): &(usize, &Worker)| worker.life != Life::Over;
        let workers = self.workers.iter().enumerate().filter(alive);
        workers.map(|(place, _)| WorkerKey(place as u32))
    }

    /// live_now returns the same as a list, for loops that change workers.
    pub(crate) fn live_now(&self) -> Vec<WorkerKey> {
        self.live().collect()
    }

    /// begin notes that a task of a job has begun.
    pub(crate) fn begin(&mut self, task: TaskKey) {
        let job = self.step_of(self.task(task).step).job;
        if self.job(job).state == State::Pending {
            self.job_mut(job).state = State::Running;
        }
    }
}

/// first_task names a job's first task, for log lines about the whole job.
pub(crate) fn first_task(job: key::Job) -> TaskName {
    TaskName {
        job,
        round: 0,
        step: 0,
        index: 0,
    }
}

/// chains returns for each step the longest chain of work that starts with
/// it, in milliseconds.
fn chains(spec: &Spec) -> Vec<u64> {
    let mut chains = vec![0; spec.steps.len()];
    for number in (0..spec.steps.len()).rev() {
        let follows = |later: &usize| spec.steps[*later].after.contains(&(number as u16));
        let longest = (number + 1..spec.steps.len())
            .filter(follows)
            .map(|later| chains[later])
            .max();
        chains[number] = u64::from(spec.steps[number].estimate_ms) + longest.unwrap_or(0);
    }
    chains
}
