// SPDX-License-Identifier: Apache-2.0
//! The retry budget: retries stay a set share of the requests that succeed.

/// Options are the shares a budget goes by.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries earned by one success, in thousandths.
    pub share_milli: u32,
    /// Retries that can be saved up.
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

/// COST is the price of one retry, in thousandths.
const COST: u32 = 1_000;

/// Budget is a bucket of retries that successes fill.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    options: Options,
    milli: u32,
}

impl Budget {
    /// new starts with a full reserve.
    pub fn new(options: Options) -> Budget {
        Budget {
            options,
            milli: options.reserve * COST,
        }
    }

    /// record_success earns a share of a retry.
    pub fn record_success(&mut self) {
        let full = self.options.reserve * COST;
        self.milli = (self.milli + self.options.share_milli).min(full);
    }

    /// spend takes one retry, if one is there.
    pub fn spend(&mut self) -> bool {
        if self.milli < COST {
            return false;
        }
        self.milli -= COST;
        true
    }
}
