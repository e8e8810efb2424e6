// SPDX-License-Identifier: Apache-2.0
//! Runs the cell while this daemon owns it: feeds it events, carries out its effects, and
//! gives it up when another daemon owns it.

use std::{cell::RefCell, rc::Rc};

use opentelemetry::KeyValue;
use stackpier_cell::{
    Cell, Effect, Event, Forwarded, LogEntry, downtime::Resumed, footprint::Footprint,
};
use stackpier_core::{Millis, key};
use stackpier_state::job::State;

use crate::{
    Platform,
    expiry::Expiry,
    keys::OWNER,
    metrics::kind,
    node::{Node, pause},
    saving::Revisions,
};

/// TICK_MS is the time between two ticks of the cell.
const TICK_MS: u64 = 50;

/// Owner holds the cell and what is needed to save it to the store.
pub(crate) struct Owner {
    pub cell: Cell,
    pub fence: u64,
    pub revision: u64,
    pub revisions: Rc<RefCell<Revisions>>,
    /// The tombstones in the store.
    pub tombstones: Expiry,
}

impl<P: Platform> Node<P> {
    /// feed_queues passes the queues of the current configuration to the cell.
    pub(crate) fn feed_queues(&self) {
        let config = self.config.borrow().clone();
        let fence = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let (Some(config), Some(fence)) = (config, fence) {
            let queues = config
                .routes
                .iter()
                .map(|route| route.queue.clone())
                .collect();
            self.feed(fence, Event::Queues(queues));
        }
    }

    /// feed_plans passes the maintenance plans to the cell.
    pub(crate) fn feed_plans(&self) {
        let fence = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let Some(fence) = fence {
            for plan in self.plans.borrow().clone() {
                self.feed(fence, Event::Plan(plan));
            }
        }
    }

    /// feed_cordons passes the cordoned data centres to the cell.
    pub(crate) fn feed_cordons(&self) {
        let fence = self.owner.borrow().as_ref().map(|owner| owner.fence);
        let cordons = self.cordons.borrow().clone();
        if let (Some(cordons), Some(fence)) = (cordons, fence) {
            self.feed(fence, Event::Cordons(cordons.into_iter().collect()));
        }
    }

    /// owns_with reports whether this daemon still owns the cell with `fence`.
    pub(crate) fn owns_with(&self, fence: u64) -> bool {
        self.owner
            .borrow()
            .as_ref()
            .is_some_and(|owner| owner.fence == fence)
    }

    /// feed passes an event to the cell and carries out the resulting effects. An event
    /// from an earlier ownership is dropped. The cell then learns which starts use this daemon's
    /// link less than it assumed, and may return more of them.
    pub(crate) fn feed(&self, fence: u64, event: Event) {
        let mut next = Some(event);
        while let Some(event) = next {
            let effects = {
                let mut slot = self.owner.borrow_mut();
                let Some(owner) = slot.as_mut().filter(|owner| owner.fence == fence) else {
                    return;
                };
                owner.cell.step(self.now(), event)
            };
            let mut forwarded = Vec::new();
            for effect in effects {
                self.execute(fence, effect, &mut forwarded);
            }
            next = (!forwarded.is_empty()).then_some(Event::Forwarded(forwarded));
        }
    }

    /// execute carries out an effect, and adds a start that a helper sends to `forwarded`.
    fn execute(&self, fence: u64, effect: Effect, forwarded: &mut Vec<Forwarded>) {
        match effect {
            Effect::Log(entry) => self.log_entry(&entry),
            Effect::Resumed(resumed) => self.record_downtime(resumed),
            Effect::Deposed => self.depose(fence + 1, "a worker or the store knows a later fence"),
            Effect::Start(start) => {
                let route = self.choose_route(&start);
                if let Some(bytes) = route.link_bytes(start.payload.len()) {
                    let run = start.order.key;
                    forwarded.push(Forwarded { run, bytes });
                }
                self.spawn(move |node| node.send_start(fence, start, route));
            }
            Effect::Stop(stop) => self.spawn(move |node| node.send_stop(fence, stop)),
            Effect::Pace(pace) => self.spawn(move |node| node.send_pace(fence, pace)),
            Effect::Renew(renewal) => self.spawn(move |node| node.send_renewal(fence, renewal)),
            Effect::TakeDown(order) => self.spawn(move |node| node.send_take_down(fence, order)),
            Effect::RequestAdvice(request) => {
                self.spawn(move |node| node.request_advice(fence, request))
            }
            Effect::Assign(write) => self.spawn(move |node| async move {
                let written = node.write_assignments(fence, &write).await;
                node.feed(fence, Event::Assigned(written));
            }),
            Effect::Save(save) => self.spawn(move |node| async move {
                let saved = node.save(fence, save).await;
                node.feed(fence, Event::Saved(saved));
            }),
            Effect::Confirm => self.spawn(move |node| node.confirm(fence)),
        }
    }

    fn log_entry(&self, entry: &LogEntry) {
        let part = KeyValue::new("part", entry.part);
        self.metrics.decisions.add(1, &[part]);
        let subject = entry.subject.map(|name| name.to_string());
        self.log_about(entry.part, subject, &entry.text);
    }

    fn record_downtime(&self, resumed: Resumed) {
        let Resumed { cause, after_ms } = resumed;
        let cause = KeyValue::new("cause", cause.label());
        let seconds = after_ms as f64 / 1_000.0;
        self.metrics.downtime.record(seconds, &[cause]);
    }

    fn spawn<F, R>(&self, task: F)
    where
        F: FnOnce(Node<P>) -> R,
        R: std::future::Future<Output = ()> + 'static,
    {
        tokio::task::spawn_local(task(self.clone()));
    }

    /// confirm reads the ownership from the store to confirm that this daemon still owns
    /// the cell.
    async fn confirm(self, fence: u64) {
        let sent = self.mono();
        match self.store_get(OWNER).await {
            Ok(Some(item)) => {
                self.apply_ownership(&item);
                self.check_confirmation(fence, item.revision, sent);
            }
            Ok(None) => self.depose(fence + 1, "the store holds no ownership"),
            Err(_) => {
                if let Some(owner) = self.owner.borrow_mut().as_mut() {
                    owner.cell.confirm_failed();
                }
            }
        }
    }

    /// check_confirmation compares the revision of the ownership, requested from the store at
    /// `sent`, with the one that this daemon wrote. Any other revision belongs to another
    /// owner, even if its value can't be decoded.
    fn check_confirmation(&self, fence: u64, revision: u64, sent: Millis) {
        let owner = self.owner.borrow();
        let own = owner
            .as_ref()
            .is_some_and(|owner| owner.revision == revision);
        drop(owner);
        if own {
            self.feed(fence, Event::Confirmed(sent));
        } else {
            self.depose(
                fence + 1,
                "the ownership in the store was not written by this daemon",
            );
        }
    }

    /// depose gives up the cell if this daemon owns it with a fence lower than `fence`.
    pub(crate) fn depose(&self, fence: u64, why: &str) {
        let own = self.owner.borrow().as_ref().map(|owner| owner.fence);
        if let Some(own) = own.filter(|own| *own < fence) {
            let owner = self.owner.replace(None);
            let jobs = owner.map_or(0, |owner| {
                self.hand_over_runs(own, &owner);
                self.keep_unsaved(&owner)
            });
            self.outdated.set(self.outdated.get().max(own));
            let text = format!("gave up the cell: {why}; {jobs} jobs are not saved");
            self.log_line("owner", &text);
        }
    }

    /// job_state returns a job's state if this daemon owns the cell and the cell knows the
    /// job.
    pub(crate) fn job_state(&self, job: key::Job) -> Option<State> {
        self.owner.borrow().as_ref()?.cell.state(job)
    }
}

/// tick feeds the cell a tick every [`TICK_MS`] for as long as this daemon owns it with
/// `fence`.
pub(crate) async fn tick<P: Platform>(node: Node<P>, fence: u64) {
    let mut recorded = Footprint::default();
    while node.owns_with(fence) {
        node.feed(fence, Event::Tick);
        node.update_gate();
        node.record_gauges();
        node.record_footprint(&mut recorded);
        pause(TICK_MS).await;
    }
    node.record_gauges();
    node.record_footprint(&mut recorded);
}

impl<P: Platform> Node<P> {
    /// record_gauges records the cell's load in the metrics, or zeros if another daemon
    /// owns the cell.
    fn record_gauges(&self) {
        let owner = self.owner.borrow();
        let cell = owner.as_ref().map(|owner| &owner.cell);
        let of = |read: fn(&Cell) -> u64| cell.map_or(0, read);
        let metrics = &self.metrics;
        let running = of(|cell| cell.running() as u64);
        let waiting = of(|cell| cell.ready() as u64);
        metrics.running.record(running, &[]);
        metrics.waiting.record(waiting, &[]);
        metrics.longest_wait.record(of(Cell::longest_wait_ms), &[]);
    }

    /// record_footprint records the memory that the cell takes if it differs from what was recorded
    /// before.
    fn record_footprint(&self, recorded: &mut Footprint) {
        let owner = self.owner.borrow();
        let footprint = owner.as_ref().map(|owner| owner.cell.footprint());
        let footprint = footprint.unwrap_or_default();
        if std::mem::replace(recorded, footprint) == footprint {
            return;
        }
        for (name, usage) in footprint.kinds() {
            let label = kind(name);
            let metrics = &self.metrics;
            metrics.cell_entries.record(usage.entries as u64, &label);
            metrics.cell_bytes.record(usage.bytes as u64, &label);
        }
    }
}
