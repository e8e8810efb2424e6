// SPDX-License-Identifier: Apache-2.0
//! Random draws from the streams of a seed.

use rand::RngExt;

use super::Simulation;

impl Simulation {
    /// draw_fault draws whether a fault occurs; none does in the recovery phase.
    pub(super) fn draw_fault(&mut self, thousandths: u32) -> bool {
        self.now_ms < self.faults_until && self.random.random_range(0..1_000) < thousandths
    }

    pub(super) fn draw_range(&mut self, low: u64, high: u64) -> u64 {
        self.random.random_range(low..=high)
    }

    /// draw_extra_fault is [`Self::draw_fault`] on the second random stream.
    pub(super) fn draw_extra_fault(&mut self, thousandths: u32) -> bool {
        self.now_ms < self.faults_until
            && thousandths > 0
            && self.extra_random.random_range(0..1_000) < thousandths
    }

    /// draw_watch_fault is [`Self::draw_fault`] on the third random stream.
    pub(super) fn draw_watch_fault(&mut self, thousandths: u32) -> bool {
        self.now_ms < self.faults_until && self.watch_random.random_range(0..1_000) < thousandths
    }

    /// draw_watch_range is [`Self::draw_range`] on the third random stream.
    pub(super) fn draw_watch_range(&mut self, low: u64, high: u64) -> u64 {
        self.watch_random.random_range(low..=high)
    }

    /// draw_long_running draws on the fourth random stream.
    pub(super) fn draw_long_running(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.long_running_random.random_range(0..1_000) < thousandths
    }

    /// draw_long_running_range is [`Self::draw_range`] on the fourth random stream.
    pub(super) fn draw_long_running_range(&mut self, low: u64, high: u64) -> u64 {
        self.long_running_random.random_range(low..=high)
    }

    /// draw_repeated draws on the fifth random stream.
    pub(super) fn draw_repeated(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.repeated_random.random_range(0..1_000) < thousandths
    }

    /// draw_repeated_range is [`Self::draw_range`] on the fifth random stream.
    pub(super) fn draw_repeated_range(&mut self, low: u64, high: u64) -> u64 {
        self.repeated_random.random_range(low..=high)
    }

    /// draw_extra_range is [`Self::draw_range`] on the second random stream.
    pub(super) fn draw_extra_range(&mut self, low: u64, high: u64) -> u64 {
        self.extra_random.random_range(low..=high)
    }
}
