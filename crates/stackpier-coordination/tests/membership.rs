// SPDX-License-Identifier: Apache-2.0
//! Tests of which daemons get racks, shards and the holder map, by whether they
//! reach the store.

use rstest::rstest;
use stackpier_coordination::{
    effect::{Effect, Event, Writer},
    membership::{Options, Table},
    owner::{self, Owner},
    reach::{Change, Reach},
};
use stackpier_core::{Millis, Name, Size, key::Boot};
use stackpier_protocol::{
    peer::{Heartbeat, Hint},
    platform::{Role, Roster, Standing, Vm},
};
use stackpier_state::{
    Page, Revision,
    holders::Member,
    page::{Fetched, Key},
    rack::{Condition, Rack, Worker},
};

/// SILENCE_MS is the time after which a daemon counts as unreachable.
const SILENCE_MS: u64 = 800;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap_or_else(|error| panic!("'{text}': {error}"))
}

fn daemon(number: u64) -> Member {
    Member {
        vm: name(&format!("entry-{number}")),
        boot: Boot(number + 1),
    }
}

/// beat records heartbeats of daemons 1 and 2 at daemon 0.
fn beat(table: &mut Table, now: Millis) {
    for number in 1..3 {
        let beat = Heartbeat {
            from: daemon(number),
            data_centre: name("dc-a"),
            leaving: false,
            sum: 0,
            holders: 0,
            departing: Vec::new(),
            racks: Vec::new(),
            renounced: Vec::new(),
        };
        table.record_heartbeat(now, &beat);
    }
}

/// table returns the view of daemon 0, which has just heard of the two others.
fn table() -> Table {
    let options = Options {
        silence_ms: SILENCE_MS,
    };
    let mut table = Table::new(daemon(0), name("dc-a"), options);
    beat(&mut table, Millis(0));
    table
}

fn items() -> impl Iterator<Item = String> {
    (0..64).map(|number| format!("rack-{number}"))
}

/// Guards against daemons that keep racks and shards while they alone do not
/// reach the store.
#[test]
fn daemon_without_the_store_is_chosen_for_nothing_while_another_has_it() {
    let mut table = table();
    table.record_storeless(Millis(0), daemon(1));
    let now = Millis(1);
    assert_eq!(table.left_out(now), [daemon(1)]);
    assert!(!table.alive(now, daemon(1)));
    assert!(table.alive(now, daemon(2)));
    assert!(items().all(|item| table.chosen(now, &item) != Some(daemon(1))));
    table.set_store_lost(true);
    assert!(items().all(|item| table.chosen(now, &item) == Some(daemon(2))));
    assert_eq!(table.live(now, name("dc-a")).len(), 3);
}

/// Guards against a data centre that gives its work up while the store is out
/// for all of its daemons.
#[test]
fn choice_is_unchanged_while_no_daemon_has_the_store() {
    let mut table = table();
    let now = Millis(1);
    let before: Vec<_> = items().map(|item| table.chosen(now, &item)).collect();
    table.set_store_lost(true);
    table.record_storeless(Millis(0), daemon(1));
    table.record_storeless(Millis(0), daemon(2));
    let after: Vec<_> = items().map(|item| table.chosen(now, &item)).collect();
    assert_eq!(before, after);
    assert!(table.left_out(now).is_empty());
    assert!((0..3).all(|number| table.alive(now, daemon(number))));
}

/// Guards against leaving a daemon out for one that is no longer reachable.
#[test]
fn unreachable_daemon_does_not_count_as_having_the_store() {
    let mut table = table();
    let now = Millis(SILENCE_MS);
    table.set_store_lost(true);
    assert!(table.alive(now, daemon(0)));
    assert!(table.preferred(now, "rack-0"));
}

/// Guards against a daemon that stays left out after its reports have ended, and
/// against one that is left out for an earlier boot's report.
#[test]
fn report_is_forgotten_after_the_silence() {
    let mut table = table();
    let later = Millis(SILENCE_MS);
    table.record_storeless(Millis(0), daemon(1));
    beat(&mut table, later);
    assert!(table.alive(later, daemon(1)));
    let earlier = Member {
        boot: Boot(1),
        ..daemon(1)
    };
    table.record_storeless(later, earlier);
    assert!(table.alive(later, daemon(1)));
}

/// Guards against a loss that is noticed late, at once, or reported twice.
#[test]
fn store_is_lost_after_the_silence_and_regained_with_an_answer() {
    let mut reach = Reach::new(Millis(0), SILENCE_MS);
    let mut changes = Vec::new();
    for now in (0..3_000).step_by(100).map(Millis) {
        let answered = match now.0 {
            0..1_000 => now,
            1_000..2_500 => Millis(900),
            _ => now,
        };
        changes.extend(reach.observe(now, answered).map(|change| (now.0, change)));
    }
    let expected = [(1_700, Change::Lost(800)), (2_500, Change::Regained(1_600))];
    assert_eq!(changes, expected);
    assert!(!reach.lost());
}

/// Guards against a daemon that gives its racks up because it was suspended
/// itself and so asked the store nothing.
#[rstest]
#[case::shorter_than_the_silence(SILENCE_MS - 100)]
#[case::longer_than_the_silence(10 * SILENCE_MS)]
fn suspended_daemon_asks_the_store_before_it_counts_as_cut_off(#[case] pause_ms: u64) {
    let mut reach = Reach::new(Millis(0), SILENCE_MS);
    let resumed = Millis(pause_ms);
    assert_eq!(reach.observe(resumed, Millis(0)), None);
    let answered = resumed.plus(50);
    assert_eq!(reach.observe(answered, answered), None);
    assert!(!reach.lost());
}

fn roster(rack: Name) -> Roster {
    let worker = Vm {
        name: name("worker-0"),
        role: Role::Worker,
        data_centre: name("dc-a"),
        rack: Some(rack),
        address: "127.0.0.1:1".to_owned(),
        capacity: Size::default(),
        standing: Standing::Live,
    };
    Roster { vms: vec![worker] }
}

/// Guards against an owner without the store that goes on renewing leases,
/// without a promise, after it has lost its rack.
#[test]
fn owner_that_hears_of_a_newer_term_stops_renewing_though_it_cannot_read_the_page() {
    let rack = name("rack-0");
    let mut table = table();
    table.update_roster(roster(rack));
    let mut writer = Writer::new(daemon(0).boot);
    let mut owner = Owner::new(rack, daemon(0), owner::Options::default());
    owner.step(Millis(0), Event::Tick, &table, &mut writer);
    let mut page = Rack::empty();
    page.take_over(daemon(0).vm, daemon(0).boot);
    page.workers.push(Worker {
        name: name("worker-0"),
        boot: Boot(9),
        capacity: Size::default(),
        condition: Condition::Up,
    });
    let read = Event::Read(
        Key::Rack(rack),
        Fetched::Found(Revision(1), Page::Rack(page)),
    );
    let called = |effects: &[Effect]| {
        let call = |effect: &Effect| matches!(effect, Effect::Sync(..));
        effects.iter().any(call)
    };
    assert!(called(&owner.step(Millis(1), read, &table, &mut writer)));
    let failed = Event::Synced(name("worker-0"), None);
    owner.step(Millis(2), failed.clone(), &table, &mut writer);
    let hint = Event::Hint(Hint::TakenOver {
        rack,
        renewer: daemon(1),
        term: 2,
    });
    owner.step(Millis(3), hint, &table, &mut writer);
    assert_eq!(owner.renounced().map(|promise| promise.below), Some(2));
    let mut now = Millis(4);
    for _ in 0..20 {
        now = now.plus(1_000);
        let failed = Event::Read(Key::Rack(rack), Fetched::Failed);
        let effects = owner.step(now, failed, &table, &mut writer);
        assert!(!called(&effects), "a worker is called at {now:?}");
    }
}
