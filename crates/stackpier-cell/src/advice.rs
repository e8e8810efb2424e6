// SPDX-License-Identifier: Apache-2.0
//! Queues with an adviser: only some workers may run a step, and only the
//! adviser knows which. It hands out a ticket for each, which holds for a time.

use std::collections::BTreeMap;

use stackpier_core::Millis;

use crate::{
    AdviceRequest, Advised, Cell, Effect,
    arena::{StepKey, WorkerKey},
    place::Demand,
};

/// MAX_ASKED is the most workers that one question names: the platform allows
/// 100, and each costs the adviser time.
const MAX_ASKED: usize = 40;
/// MARGIN_MS is how long a ticket must still hold when a start is sent.
const MARGIN_MS: u64 = 300;
/// RETRY_MS is the pause before an adviser that gave no answer is asked again.
const RETRY_MS: u64 = 250;

/// Advice is what is known of the workers that may run a step.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    tickets: BTreeMap<WorkerKey, Ticket>,
    /// When each worker was last asked for.
    asked: BTreeMap<WorkerKey, Millis>,
    asking: bool,
    not_before: Millis,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    until: Millis,
}

impl Advice {
    /// ticket returns the ticket for a worker, if it holds for long enough.
    pub(crate) fn ticket(&self, worker: WorkerKey, now: Millis) -> Option<&str> {
        let ticket = self.tickets.get(&worker)?;
        (now.plus(MARGIN_MS) < ticket.until).then_some(ticket.text.as_str())
    }
}

impl Cell {
    /// ticket returns the ticket that a start of a step on a worker needs.
    pub(crate) fn ticket(&self, step: StepKey, worker: WorkerKey) -> Option<String> {
        let advice = self.step_of(step).advice.as_ref()?;
        advice.ticket(worker, self.now.mono).map(str::to_owned)
    }

    /// request_advice asks the adviser about the workers with room for a step's waiting
    /// tasks that it was not asked about lately.
    pub(crate) fn request_advice(&mut self, demand: &Demand) {
        let now = self.now.mono;
        let advice = self.step_of(demand.step).advice.as_deref();
        if advice.is_some_and(|advice| advice.asking || now < advice.not_before) {
            return;
        }
        let workers = self.unasked(demand);
        if workers.is_empty() {
            // All were asked: begin again, as tickets and room change.
            if let Some(advice) = self.step_mut(demand.step).advice.as_deref_mut() {
                advice.asked.clear();
                advice.not_before = now.plus(RETRY_MS);
            }
            return;
        }
        let ids = workers
            .iter()
            .map(|worker| self.worker(*worker).info.id.clone());
        let question = AdviceRequest {
            step: demand.step,
            name: self.name(self.step_of(demand.step).first_task),
            workers: ids.collect(),
        };
        let advice = self.step_mut(demand.step).advice.get_or_insert_default();
        advice.asking = true;
        advice
            .asked
            .extend(workers.into_iter().map(|worker| (worker, now)));
        self.effects.push(Effect::RequestAdvice(question));
    }

    /// unasked returns the best workers with room for a step that the adviser
    /// was not asked about lately.
    fn unasked(&self, demand: &Demand) -> Vec<WorkerKey> {
        let advice = self.step_of(demand.step).advice.as_deref();
        let known =
            |worker: &WorkerKey| advice.is_some_and(|advice| advice.asked.contains_key(worker));
        let open = Demand {
            advised: false,
            ..*demand
        };
        let mut candidates = self.candidates(&open).into_sorted_vec();
        candidates.reverse();
        let workers = candidates.into_iter().map(|candidate| candidate.worker);
        workers
            .filter(|worker| !known(worker))
            .take(MAX_ASKED)
            .collect()
    }

    /// handle_advice takes in the adviser's answer, or that there was none.
    pub(crate) fn handle_advice(&mut self, step: StepKey, answer: Option<Advised>) {
        let now = self.now.mono;
        let keys = &self.worker_keys;
        let Some(advice) = self.steps[step.0 as usize].advice.as_deref_mut() else {
            return;
        };
        advice.asking = false;
        let Some(answer) = answer else {
            advice.asked.clear();
            advice.not_before = now.plus(RETRY_MS);
            return;
        };
        let until = now.plus(answer.valid_ms);
        for (id, text) in answer.good {
            // A life that began since is not the one that was asked about.
            let asked = |worker: &&WorkerKey| advice.asked.contains_key(worker);
            if let Some(worker) = keys.get(&id).filter(asked) {
                advice.tickets.insert(*worker, Ticket { text, until });
            }
        }
        self.place_wanted = true;
    }
}
