// SPDX-License-Identifier: Apache-2.0
//! The slopes that `docs/CAPACITY.md` quotes: sizes in bytes of pages and messages and processor
//! times of decisions, measured at several sizes, with a straight line fitted to each.

mod build;
mod fit;

use std::time::Instant;

use anyhow::Result;
use serde::Serialize;
use stackpier_coordination::{
    effect::{Event, Writer},
    placer::View,
    queue::Ticket,
};
use stackpier_core::{Millis, key::Boot};
use stackpier_protocol::{
    codec::{encode, to_json},
    peer::{Claims, Hint, Request},
    platform::Swap,
};
use stackpier_state::{Page, Revision};

use self::fit::{Line, fit_line};
use crate::table;

/// ROUNDS is how many calls a decision's time is averaged over.
const ROUNDS: u32 = 200;
/// SIZES are the measured sizes, as multiples of each subject's `base`.
const SIZES: [usize; 4] = [1, 2, 4, 8];

/// Point holds one measurement.
#[derive(Serialize)]
struct Point {
    what: &'static str,
    size: usize,
    of: &'static str,
    value: f64,
    unit: &'static str,
}

/// Slope holds the line fitted to the points of one subject.
#[derive(Serialize)]
struct Slope {
    what: &'static str,
    fixed: f64,
    per_item: f64,
    unit: &'static str,
    of: &'static str,
    worst_error_percent: f64,
}

/// Subject describes a page, message or decision whose cost grows with the number of its items.
struct Subject {
    what: &'static str,
    of: &'static str,
    unit: &'static str,
    /// The number of items at the smallest size.
    base: usize,
    measure: fn(usize) -> Result<f64>,
}

/// SUBJECTS lists everything that is measured.
const SUBJECTS: [Subject; 13] = [
    subject("rack page", "runs", "bytes", 16, |n| {
        page_bytes(Page::Rack(build::rack(n)))
    }),
    subject("homes page", "tasks", "bytes", 50, |n| {
        page_bytes(Page::Homes(build::homes(n)))
    }),
    subject("intents page", "intents", "bytes", 8, |n| {
        page_bytes(Page::Intents(build::intents(n)))
    }),
    subject("holder map", "versions", "bytes", 2, |n| {
        page_bytes(Page::Holders(build::holders(n)))
    }),
    subject(
        "heartbeat in the data centre",
        "service tasks",
        "bytes",
        8,
        |n| Ok(encode(&Request::Heartbeat(build::heartbeat(n)))?.len() as f64),
    ),
    subject("placer's word to a rack", "claims", "bytes", 2, |n| {
        let claims = Claims {
            shard: 3,
            rack: build::rack_name(),
            revision: Revision(123_456),
            claimed: build::homes(n).homes,
            released: Vec::new(),
            sum: u64::MAX,
        };
        Ok(encode(&Request::Hint(Hint::Claims(claims)))?.len() as f64)
    }),
    subject(
        "worker call, nothing to start",
        "ended runs",
        "bytes",
        2,
        |n| json_bytes(&build::call(n, 0)),
    ),
    subject("worker call, with starts", "starts", "bytes", 2, |n| {
        json_bytes(&build::call(0, n))
    }),
    subject("worker reply", "runs", "bytes", 4, |n| {
        json_bytes(&build::reply(n))
    }),
    subject("owner looks at its rack", "runs", "us", 16, time_owner_tick),
    subject(
        "placer looks at its shard",
        "tasks",
        "us",
        50,
        time_placer_tick,
    ),
    subject("who is live", "entry VMs", "us", 9, time_live_list),
    subject(
        "choice of an upstream",
        "upstreams",
        "us",
        17,
        time_upstream_choice,
    ),
];

const fn subject(
    what: &'static str,
    of: &'static str,
    unit: &'static str,
    base: usize,
    measure: fn(usize) -> Result<f64>,
) -> Subject {
    Subject {
        what,
        of,
        unit,
        base,
        measure,
    }
}

/// run measures all subjects and prints the points and the fitted lines.
pub fn run(json: bool) -> Result<()> {
    let mut points = Vec::new();
    let mut slopes = Vec::new();
    for subject in &SUBJECTS {
        let mut measured = Vec::new();
        for size in SIZES {
            let count = subject.base * size;
            measured.push((count as f64, (subject.measure)(count)?));
        }
        points.extend(measured.iter().map(|(size, value)| Point {
            what: subject.what,
            size: *size as usize,
            of: subject.of,
            value: *value,
            unit: subject.unit,
        }));
        let Line {
            fixed,
            per_item,
            worst_error,
        } = fit_line(&measured);
        slopes.push(Slope {
            what: subject.what,
            fixed,
            per_item,
            unit: subject.unit,
            of: subject.of,
            worst_error_percent: worst_error * 100.0,
        });
    }
    table::print("points", &points, json)?;
    table::print("lines: fixed + per_item x count", &slopes, json)
}

/// page_bytes returns the size of the call that writes a page to the store.
fn page_bytes(page: Page) -> Result<f64> {
    json_bytes(&Swap {
        expect: Revision(123_456),
        page,
    })
}

fn json_bytes<T: Serialize>(value: &T) -> Result<f64> {
    Ok(to_json(value)?.len() as f64)
}

/// mean_call_us returns the mean time of a call in microseconds.
fn mean_call_us<F: FnMut()>(mut call: F) -> f64 {
    let started = Instant::now();
    (0..ROUNDS).for_each(|_| call());
    started.elapsed().as_secs_f64() * 1_000_000.0 / f64::from(ROUNDS)
}

fn time_owner_tick(runs: usize) -> Result<f64> {
    let table = build::table(9);
    let mut writer = Writer::new(Boot(1));
    let mut owner = build::owner(runs, &table, &mut writer);
    let mut now = 1_000;
    Ok(mean_call_us(|| {
        now += 50;
        owner.step(Millis(now), Event::Tick, &table, &mut writer);
    }))
}

fn time_placer_tick(tasks: usize) -> Result<f64> {
    let table = build::table(1);
    let catalogue = build::catalogue(tasks);
    let racks = build::reports(25);
    let mut writer = Writer::new(Boot(1));
    let view = View {
        table: &table,
        catalogue: &catalogue,
        racks: &racks,
    };
    let mut placer = build::placer(tasks, view, &mut writer);
    let mut now = 60_000;
    Ok(mean_call_us(|| {
        now += 50;
        placer.step(Millis(now), Event::Tick, view, &mut writer);
    }))
}

fn time_live_list(daemons: usize) -> Result<f64> {
    let table = build::table(daemons);
    Ok(mean_call_us(|| {
        std::hint::black_box(table.live(Millis(1), table.data_centre()));
    }))
}

fn time_upstream_choice(upstreams: usize) -> Result<f64> {
    let (mut service, mut rng) = build::service(upstreams);
    let mut ticket = 0;
    Ok(mean_call_us(|| {
        ticket += 1;
        let choice = service.arrive(Millis(1), Millis(1_000), Ticket(ticket), &[], &mut rng);
        if let stackpier_coordination::route::Choice::Send(key) = choice {
            service.cancel(key);
        }
    }))
}
