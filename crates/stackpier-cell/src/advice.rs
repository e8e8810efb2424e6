// SPDX-License-Identifier: Apache-2.0
//! Queues with an adviser: only some workers may run a step, and only the
//! adviser knows which. It issues a ticket for each of them, valid for a limited
//! time.

use std::collections::BTreeMap;

use stackpier_core::Millis;

use crate::{
    AdviceRequest, Advised, Cell, Effect, TaskName,
    arena::{StepKey, WorkerKey},
    place::Demand,
};

/// MAX_NAMED is how many workers one request names at most: the platform allows
/// 100, and each costs the adviser time.
const MAX_NAMED: usize = 40;
/// MARGIN_MS is how long a ticket must still be valid when a start is sent.
const MARGIN_MS: u64 = 300;
/// RETRY_MS is the pause before the next request if the adviser did not answer, or
/// if advice on all workers has been requested.
const RETRY_MS: u64 = 250;

/// Advice holds the adviser's tickets for a step and the state of the requests.
#[derive(Debug, Default)]
pub(crate) struct Advice {
    tickets: BTreeMap<WorkerKey, Ticket>,
    /// When a request last named each worker.
    named: BTreeMap<WorkerKey, Millis>,
    /// Whether a request awaits its answer.
    awaits_answer: bool,
    /// No request is sent before this time.
    not_before: Millis,
}

/// Ticket lets a step run on one worker until it expires.
#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    expires_at: Millis,
}

impl Advice {
    /// ticket returns the ticket for a worker, if it is valid for long enough.
    pub(crate) fn ticket(&self, worker: WorkerKey, now: Millis) -> Option<&str> {
        let ticket = self.tickets.get(&worker)?;
        (now.plus(MARGIN_MS) < ticket.expires_at).then_some(ticket.text.as_str())
    }
}

impl Cell {
    /// ticket returns the ticket that a start of a step on a worker needs.
    pub(crate) fn ticket(&self, step: StepKey, worker: WorkerKey) -> Option<String> {
        let advice = self.step_of(step).advice.as_ref()?;
        advice.ticket(worker, self.now.mono).map(str::to_owned)
    }

    /// request_advice requests advice on workers that could take a step's waiting tasks and
    /// that no recent request has named.
    pub(crate) fn request_advice(&mut self, demand: &Demand) {
        let now = self.now.mono;
        let advice = self.step_of(demand.step).advice.as_deref();
        if advice.is_some_and(|advice| advice.awaits_answer || now < advice.not_before) {
            return;
        }
        let workers = self.find_workers_to_name(demand);
        if workers.is_empty() {
            // All were named: start over, as tickets and free capacity change.
            if let Some(advice) = self.step_mut(demand.step).advice.as_deref_mut() {
                advice.named.clear();
                advice.not_before = now.plus(RETRY_MS);
            }
            return;
        }
        let ids = workers
            .iter()
            .map(|worker| self.worker(*worker).info.id.clone());
        let request = AdviceRequest {
            step: demand.step,
            name: self.first_name(demand.step),
            workers: ids.collect(),
        };
        let advice = self.step_mut(demand.step).advice.get_or_insert_default();
        advice.awaits_answer = true;
        advice
            .named
            .extend(workers.into_iter().map(|worker| (worker, now)));
        self.effects.push(Effect::RequestAdvice(request));
    }

    /// first_name returns the name of a step's first task.
    fn first_name(&self, step: StepKey) -> TaskName {
        let round = self.round(step.round);
        TaskName {
            job: self.job(round.job).id,
            round: round.number,
            step: step.number,
            index: 0,
        }
    }

    /// find_workers_to_name returns the best workers that could take a step's tasks and
    /// that no recent request has named.
    fn find_workers_to_name(&self, demand: &Demand) -> Vec<WorkerKey> {
        let advice = self.step_of(demand.step).advice.as_deref();
        let was_named =
            |worker: &WorkerKey| advice.is_some_and(|advice| advice.named.contains_key(worker));
        let without_advice = Demand {
            advised: false,
            ..*demand
        };
        let mut candidates = self.candidates(&without_advice).into_sorted_vec();
        candidates.reverse();
        let workers = candidates.into_iter().map(|candidate| candidate.worker);
        workers
            .filter(|worker| !was_named(worker))
            .take(MAX_NAMED)
            .collect()
    }

    /// handle_advice applies the adviser's answer, or that there was none.
    pub(crate) fn handle_advice(&mut self, step: StepKey, answer: Option<Advised>) {
        let now = self.now.mono;
        let keys = &self.worker_keys;
        let round = self.rounds.get_mut(step.round.0);
        let step = round.map(|round| &mut round.steps[usize::from(step.number)]);
        let Some(advice) = step.and_then(|step| step.advice.as_deref_mut()) else {
            return;
        };
        advice.awaits_answer = false;
        let Some(answer) = answer else {
            advice.named.clear();
            advice.not_before = now.plus(RETRY_MS);
            return;
        };
        let expires_at = now.plus(answer.valid_ms);
        for (id, text) in answer.good {
            // An incarnation that began since the request is not the one it named.
            let named = |worker: &&WorkerKey| advice.named.contains_key(worker);
            if let Some(worker) = keys.get(&id).filter(named) {
                advice.tickets.insert(*worker, Ticket { text, expires_at });
            }
        }
        self.placement_due = true;
    }
}
