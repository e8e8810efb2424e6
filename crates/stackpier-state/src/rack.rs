// SPDX-License-Identifier: Apache-2.0
//! A rack's page: its workers and the runs that are committed to them.
//!
//! The page is written as a whole by compare-and-swap. So what is checked here,
//! such as that a worker's runs fit its capacity, holds for what is stored.

use serde::{Deserialize, Serialize};
use stackpier_core::{
    Name, Size,
    key::{Boot, Write},
};

use crate::{
    page::Revision,
    work::{Checkpoint, Outcome, Run, Work},
};

/// Renewer is a daemon that renews the leases in the rack, or did so under an earlier
/// term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewer {
    /// Name of the daemon's VM.
    pub vm: Name,
    /// The run of the daemon's process.
    pub boot: Boot,
    /// The number of this renewer; each renewer of the rack has a higher one than
    /// its predecessor.
    pub term: u64,
}

/// Condition is the state of a worker as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The worker accepts new tasks.
    Up,
    /// The worker keeps its tasks for a few seconds and accepts no new ones.
    Leaving,
    /// The platform lists the worker as gone. Nothing runs on it.
    Gone,
}

/// Worker is one worker of the rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker.
    pub name: Name,
    /// The boot of the worker that its rows are committed to. Zero until the worker
    /// is reached for the first time.
    pub boot: Boot,
    /// Its total capacity.
    pub capacity: Size,
    /// Its state.
    pub condition: Condition,
}

/// Phase is the state of a committed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The run must be started or has been started.
    Running,
    /// The run must be checkpointed and stopped.
    Stopping,
    /// The run has provably ended. It uses no capacity.
    Ended(Outcome),
}

/// Row is one committed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The run.
    pub run: Run,
    /// What to run.
    pub work: Work,
    /// The worker it is committed to.
    pub worker: Name,
    /// Progress to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Its state.
    pub phase: Phase,
}

/// Refusal is the reason why a run was not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The rack has no such worker, or the worker accepts no tasks.
    NoWorker,
    /// The worker has too little free capacity.
    InsufficientCapacity,
    /// The task has a run in this rack that has not ended.
    AlreadyHere,
}

/// Rack is the page of one rack.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rack {
    /// The write that made this value.
    pub write: Write,
    /// The daemon that renews the workers' leases.
    pub renewer: Option<Renewer>,
    /// Earlier renewers that have not provably stopped renewing yet.
    pub former: Vec<Renewer>,
    /// The rack's workers.
    pub workers: Vec<Worker>,
    /// The runs committed to them.
    pub rows: Vec<Row>,
    /// For each shard of homes, the revision for which rows were last dropped.
    /// Claims as of an earlier revision are out of date.
    pub settled: Vec<Revision>,
}

impl Worker {
    /// takes_tasks reports whether new runs may be committed to the worker. A
    /// worker that was never reached has no known boot to commit a run to.
    pub fn takes_tasks(&self) -> bool {
        self.condition == Condition::Up && self.boot != Boot::default()
    }
}

impl Rack {
    /// empty returns the page of a rack that has not been written yet.
    pub fn empty() -> Rack {
        Rack {
            write: Write::default(),
            renewer: None,
            former: Vec::new(),
            workers: Vec::new(),
            rows: Vec::new(),
            settled: Vec::new(),
        }
    }

    /// worker returns the worker with this name.
    pub fn worker(&self, name: Name) -> Option<&Worker> {
        self.workers.iter().find(|worker| worker.name == name)
    }

    /// worker_mut returns the worker with this name as mutable.
    pub fn worker_mut(&mut self, name: Name) -> Option<&mut Worker> {
        self.workers.iter_mut().find(|worker| worker.name == name)
    }

    /// row returns the row of a run.
    pub fn row(&self, run: Run) -> Option<&Row> {
        self.rows.iter().find(|row| row.run == run)
    }

    /// committed returns the total size of the runs on a worker that have not
    /// ended.
    pub fn committed(&self, worker: Name) -> Size {
        self.live(worker).map(|row| row.work.size).sum()
    }

    /// live returns the runs on a worker that have not ended.
    pub fn live(&self, worker: Name) -> impl Iterator<Item = &Row> {
        self.rows
            .iter()
            .filter(move |row| row.worker == worker && !matches!(row.phase, Phase::Ended(_)))
    }

    /// free returns the free capacity of a worker, or `None` if it accepts no
    /// tasks.
    pub fn free(&self, worker: Name) -> Option<Size> {
        let found = self.worker(worker)?;
        found
            .takes_tasks()
            .then(|| found.capacity.minus(&self.committed(worker)))
    }

    /// commit adds a row for a run, which should be in phase [`Phase::Running`],
    /// or returns why the run can't be committed.
    pub fn commit(&mut self, row: Row) -> Result<(), Refusal> {
        let here =
            |other: &Row| other.run.task == row.run.task && !matches!(other.phase, Phase::Ended(_));
        if self.rows.iter().any(here) {
            return Err(Refusal::AlreadyHere);
        }
        let found = self.worker(row.worker).ok_or(Refusal::NoWorker)?;
        if !found.takes_tasks() {
            return Err(Refusal::NoWorker);
        }
        let sum = self.committed(row.worker) + row.work.size;
        if !sum.fits(&found.capacity) {
            return Err(Refusal::InsufficientCapacity);
        }
        self.rows.push(row);
        Ok(())
    }

    /// stop sets a running run to [`Phase::Stopping`]. It returns whether the page
    /// changed.
    pub fn stop(&mut self, run: Run) -> bool {
        let running = |row: &&mut Row| row.run == run && row.phase == Phase::Running;
        let found = self.rows.iter_mut().find(running);
        found.map(|row| row.phase = Phase::Stopping).is_some()
    }

    /// end records how a run ended, unless that is recorded already. It returns
    /// whether the page changed.
    pub fn end(&mut self, run: Run, outcome: Outcome) -> bool {
        let open = |row: &&mut Row| row.run == run && !matches!(row.phase, Phase::Ended(_));
        let found = self.rows.iter_mut().find(open);
        found.map(|row| row.phase = Phase::Ended(outcome)).is_some()
    }

    /// end_all records every run on a worker that has not ended as lost. It
    /// returns whether the page changed.
    pub fn end_all(&mut self, worker: Name) -> bool {
        let mut changed = false;
        for row in &mut self.rows {
            if row.worker == worker && !matches!(row.phase, Phase::Ended(_)) {
                row.phase = Phase::Ended(Outcome::Lost);
                changed = true;
            }
        }
        changed
    }

    /// settled_by returns the revision of a shard of homes for which rows were
    /// last dropped.
    pub fn settled_by(&self, shard: u16) -> Revision {
        self.settled
            .get(usize::from(shard))
            .copied()
            .unwrap_or_default()
    }

    /// drop_rows removes the ended rows that `dropped` selects. These belong to
    /// `shard` and are no longer claimed by its homes at `revision`.
    pub fn drop_rows<F: Fn(&Row) -> bool>(&mut self, shard: u16, revision: Revision, dropped: F) {
        let before = self.rows.len();
        let ended = |row: &Row| matches!(row.phase, Phase::Ended(_));
        self.rows.retain(|row| !(ended(row) && dropped(row)));
        if self.rows.len() == before {
            return;
        }
        let place = usize::from(shard);
        if self.settled.len() <= place {
            self.settled.resize(place + 1, Revision::default());
        }
        self.settled[place] = self.settled[place].max(revision);
    }

    /// take_over makes a daemon the renewer. Its predecessor stays listed as former
    /// until it has provably stopped renewing.
    pub fn take_over(&mut self, vm: Name, boot: Boot) {
        let term = self.renewer.map_or(0, |renewer| renewer.term) + 1;
        self.former.extend(self.renewer);
        self.renewer = Some(Renewer { vm, boot, term });
    }
}
