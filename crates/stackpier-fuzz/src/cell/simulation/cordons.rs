// SPDX-License-Identifier: Apache-2.0
//! Cordons: operators ask for no starts in some data centres. The newest owner learns of each
//! change at once, and what it starts from then on is checked.

use std::collections::BTreeSet;

use stackpier_cell::{Event, Start};

use super::{DATA_CENTRES, Message, Simulation, series::data_centre_of};

/// READ_MS bounds the time until a new owner has read the operators' entries.
const READ_MS: (u64, u64) = (0, 1_500);

impl Simulation {
    /// change_cordons draws whether operators cordon or uncordon a data centre. All cordons end
    /// with the faults.
    pub(super) fn change_cordons(&mut self) {
        if self.now_ms >= self.faults_until {
            if !self.cordons.is_empty() {
                self.cordons.clear();
                self.tell_cordons();
            }
            return;
        }
        if !self.draw_extra_fault(self.faults.cordons) {
            return;
        }
        let data_centre = self.draw_extra_range(0, DATA_CENTRES as u64 - 1) as usize;
        if self.cordons.remove(&data_centre) {
            self.count("uncordon");
        } else {
            self.count("cordon");
            self.cordons.insert(data_centre);
        }
        if self.cordons.len() == DATA_CENTRES {
            self.count("all data centres cordoned");
        }
        self.tell_cordons();
    }

    /// delay_cordons makes a new owner wait until it has read the operators' entries.
    pub(super) fn delay_cordons(&mut self, index: usize) {
        if self.faults.cordons == 0 {
            self.owners[index].cordons = Some(BTreeSet::new());
            return;
        }
        self.owners[index].cell.await_cordons();
        let delay = self.draw_extra_range(READ_MS.0, READ_MS.1);
        self.send(delay, Message::Cordons(index));
    }

    fn tell_cordons(&mut self) {
        let newest = self.owners.len() - 1;
        self.read_cordons(newest);
    }

    /// read_cordons passes the present cordons to an owner. One that is frozen receives them, like
    /// any event, when it continues.
    pub(super) fn read_cordons(&mut self, index: usize) {
        let names = self.cordons.iter().map(|number| format!("dc-{number}"));
        let event = Event::Cordons(names.collect());
        self.deliver(index, event);
    }

    /// record_cordons records which cordons an owner knows from now on.
    pub(super) fn record_cordons(&mut self, index: usize, event: &Event) {
        if let Event::Cordons(names) = event {
            let numbers = names.iter().filter_map(|name| name.strip_prefix("dc-"));
            let numbers = numbers.filter_map(|number| number.parse().ok());
            self.owners[index].cordons = Some(numbers.collect());
        }
    }

    /// check_cordons reports a start that an owner orders although it knows that the worker's data
    /// centre is cordoned, or before it knows the cordons.
    pub(super) fn check_cordons(&mut self, index: usize, start: &Start) {
        let address = &start.order.address;
        let mut workers = self.workers.iter();
        let Some(worker) = workers.position(|worker| worker.info.address == *address) else {
            return;
        };
        let data_centre = data_centre_of(worker);
        let known = self.owners[index].cordons.as_ref();
        if known.is_none_or(|cordons| cordons.contains(&data_centre)) {
            let what = format!(
                "{} is started in data centre {data_centre}, cordons known: {known:?}",
                start.order.task
            );
            self.oracle.report_violation(self.now_ms, what);
        } else if known.is_some_and(|cordons| !cordons.is_empty()) {
            self.count("start beside a cordon");
        }
    }
}
