// SPDX-License-Identifier: Apache-2.0
//! The monotonic clock of a daemon.

use std::{cell::Cell, fs, rc::Rc, thread::sleep, time::Duration};

use stackpier_core::Millis;
use stackpier_transport::clock::{Source, Steady, Uptime};

/// ManualSource is a clock whose time the test sets.
#[derive(Clone, Default)]
struct ManualSource(Rc<Cell<Duration>>);

impl Source for ManualSource {
    fn read(&self) -> Duration {
        self.0.get()
    }
}

#[test]
fn clock_starts_at_one_and_counts_milliseconds() {
    let source = ManualSource::default();
    source.0.set(Duration::from_secs(1_000));
    let clock = Steady::new(source.clone());
    assert_eq!(clock.now(), Millis(1));
    source.0.set(Duration::from_millis(1_000_250));
    assert_eq!(clock.now(), Millis(251));
}

#[test]
fn clock_stays_at_its_start_if_the_source_goes_back() {
    let source = ManualSource::default();
    source.0.set(Duration::from_secs(1_000));
    let clock = Steady::new(source.clone());
    source.0.set(Duration::from_secs(999));
    assert_eq!(clock.now(), Millis(1));
}

/// `Uptime` must agree with `/proc/uptime`, which counts suspensions. `Instant`
/// does not count them.
#[test]
fn uptime_counts_suspensions() {
    let text = fs::read_to_string("/proc/uptime").expect("/proc/uptime is readable");
    let read = Uptime.read();
    let seconds = text.split(' ').next().expect("an uptime");
    let uptime = Duration::from_secs_f64(seconds.parse().expect("a number"));
    assert!(
        read.abs_diff(uptime) < Duration::from_secs(1),
        "{read:?} and {uptime:?}"
    );
    sleep(Duration::from_millis(20));
    assert!(Uptime.read() > read);
}
