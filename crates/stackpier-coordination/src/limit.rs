// SPDX-License-Identifier: Apache-2.0
//! The limit on requests in flight to one upstream. It starts from a fair
//! share of the upstream's slots and adapts to answers and refusals, as the
//! entry VMs share the slots without coordinating with each other.

/// Options are the bounds and steps of a limit.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Initial limit.
    pub start: f64,
    /// Lowest limit.
    pub min_value: f64,
    /// Highest limit.
    pub max_value: f64,
    /// Factor by which a refusal multiplies the limit.
    pub shrink: f64,
    /// Added to the limit by one round of answers, as many as it allows in
    /// flight.
    pub grow: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            start: 4.0,
            min_value: 1.0,
            max_value: 8.0,
            shrink: 0.7,
            grow: 0.5,
        }
    }
}

/// Limit bounds the requests in flight to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    options: Options,
    value: f64,
}

impl Limit {
    /// new starts at `options.start`.
    pub fn new(options: Options) -> Limit {
        Limit {
            options,
            value: options.start,
        }
    }

    /// allows reports whether one more request may be sent.
    pub fn allows(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.value
    }

    /// value returns the current limit.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// record_answer records an answer that came while `in_flight` other
    /// requests were in flight. The limit grows only while it is fully used.
    pub fn record_answer(&mut self, in_flight: u32) {
        if f64::from(in_flight) + 1.0 >= self.value {
            let step = self.options.grow / self.value;
            self.value = (self.value + step).min(self.options.max_value);
        }
    }

    /// record_refusal lowers the limit after the upstream refused a request
    /// because it had no free slot.
    pub fn record_refusal(&mut self) {
        self.value = (self.value * self.options.shrink).max(self.options.min_value);
    }
}
