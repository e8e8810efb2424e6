// SPDX-License-Identifier: Apache-2.0
//! The retry budget: retries are limited to a share of the requests that
//! succeed.

/// Options hold the rates of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries earned by one success, in thousandths.
    pub share_milli: u32,
    /// Most retries that can accumulate.
    pub reserve: u32,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            share_milli: 100,
            reserve: 20,
        }
    }
}

/// COST is what one retry takes from the budget, in thousandths.
const COST: u32 = 1_000;

/// Budget is a token bucket of retries that successes fill.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    options: Options,
    milli: u32,
}

impl Budget {
    /// new returns a budget with a full reserve.
    pub fn new(options: Options) -> Budget {
        Budget {
            options,
            milli: options.reserve * COST,
        }
    }

    /// record_success adds a share of a retry.
    pub fn record_success(&mut self) {
        let full = self.options.reserve * COST;
        self.milli = (self.milli + self.options.share_milli).min(full);
    }

    /// spend takes one retry and returns whether one was available.
    pub fn spend(&mut self) -> bool {
        if self.milli < COST {
            return false;
        }
        self.milli -= COST;
        true
    }
}
