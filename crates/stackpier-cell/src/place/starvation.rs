// SPDX-License-Identifier: Apache-2.0
//! Starving steps: none waits without an end while workers have room.
//!
//! Filling tasks are kept from workers by bounds that protect others: expected harm
//! to serving tasks, memory kept free, processors in use. Each is an estimate or a
//! margin that may never give way, and what a task would do is not learnt as long as
//! it does not run. So a step that has had nothing running for long gets one task
//! started in spite of them, where the least harm is expected. From then on the
//! paces protect the serving tasks, as they do beside any other.

use crate::{Cell, arena::StepKey, worker::Worker};

use super::{Look, Need};

/// STARVED_MS is how long a step may have nothing running, though its turn has come,
/// while half of its service is unused: users call a job lost from three seconds on.
const STARVED_MS: u64 = 2_000;
/// LOADED_STARVED_MS is the same while more is in use. Room comes and goes then, and
/// what starts in spite of the bounds costs others.
const LOADED_STARVED_MS: u64 = 20_000;
/// SETTLE_MS is the least time between two such starts on a worker: reports show what
/// the last half second was like, so that the effect of one is seen before the next.
const SETTLE_MS: u64 = 600;

/// Load sums up the processors of a service, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    capacity: i64,
    reserved: i64,
    unused: i64,
}

impl Cell {
    /// place_starving starts one task of each step that starves and finds a worker,
    /// those first that have had nothing running for longest. It comes after all that
    /// the bounds allow: done first it cost 0.01 to 0.03 of a day's worth, as steps
    /// that waited for long are late in any case.
    pub(super) fn place_starving(&mut self, steps: &[StepKey]) {
        let mut idle: Vec<StepKey> = steps.to_vec();
        idle.retain(|step| self.idle_ms(*step) >= STARVED_MS);
        idle.sort_by_key(|step| self.step_of(*step).idle_since);
        // What found no worker: what asks for as much room finds none either.
        let mut barred: Vec<Need> = Vec::new();
        for step in idle {
            let Some(need) = self.need(step).filter(|need| self.is_starving(need)) else {
                continue;
            };
            let need = need.unbounded();
            if barred.iter().any(|earlier| need.is_as_large(earlier)) {
                continue;
            }
            if self.place_one(&need) == Look::Full && need.is_plain() {
                barred.push(need);
            }
        }
    }

    /// idle_ms returns for how long a step with tasks to place has had nothing
    /// running, zero if something runs.
    fn idle_ms(&self, key: StepKey) -> u64 {
        let step = self.step_of(key);
        if step.runs > 0 || step.ready.is_empty() {
            return 0;
        }
        self.now.mono.since(step.idle_since)
    }

    /// is_starving tells whether a step has had nothing running for so long that the
    /// bounds that protect others give way for one of its tasks.
    pub(crate) fn is_starving(&self, need: &Need) -> bool {
        let idle_ms = self.idle_ms(need.step);
        idle_ms >= LOADED_STARVED_MS || idle_ms >= STARVED_MS && self.is_half_unused(need.service)
    }

    /// is_half_unused tells whether at least half of the processors of a service are
    /// not reserved, or not expected to be in use.
    fn is_half_unused(&self, service: u16) -> bool {
        let live = self.live().map(|key| self.worker(key));
        let mut total = Load::default();
        for worker in live.filter(|worker| worker.service == service) {
            total.capacity += i64::from(worker.info.capacity.milli_cores);
            total.reserved += i64::from(worker.reserved.milli_cores);
            total.unused += worker.spare_milli(self.options.serving_use_milli);
        }
        total.reserved * 2 <= total.capacity || total.unused * 2 >= total.capacity
    }

    /// is_settled tells whether the effect of the last start in spite of the bounds
    /// on a worker has been seen.
    pub(super) fn is_settled(&self, worker: &Worker) -> bool {
        let last = worker.unbounded_at;
        last.is_none_or(|at| self.now.mono.since(at) >= SETTLE_MS)
    }

    /// place_one starts a task of a step, or its gang.
    fn place_one(&mut self, need: &Need) -> Look {
        if need.gang || !self.may_start(self.step_of(need.step).job) {
            return self.place_step(need);
        }
        let now = self.now.mono;
        let mut ready = self.step_of(need.step).ready.iter().copied();
        let Some(task) = ready.find(|task| self.task(*task).not_before <= now) else {
            return Look::Barred;
        };
        let Some(worker) = self.find_room(task, need) else {
            return Look::Full;
        };
        self.unqueue(task);
        self.worker_mut(worker).unbounded_at = Some(now);
        self.start(task, worker);
        Look::Placed
    }
}
