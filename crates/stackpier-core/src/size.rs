// SPDX-License-Identifier: Apache-2.0
//! Sizes of tasks and capacities of workers.

use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Size is an amount of resources, which a task requests or a worker offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    pub milli_cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

impl Size {
    /// fits reports whether this size is within `capacity` in every dimension.
    pub fn fits(&self, capacity: &Size) -> bool {
        self.milli_cores <= capacity.milli_cores
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// minus returns what is left of this size without `used`, at least zero in
    /// every dimension.
    pub fn minus(&self, used: &Size) -> Size {
        Size {
            milli_cores: self.milli_cores.saturating_sub(used.milli_cores),
            memory_mib: self.memory_mib.saturating_sub(used.memory_mib),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// max_each returns the larger value of both sizes in every dimension.
    pub fn max_each(&self, other: &Size) -> Size {
        Size {
            milli_cores: self.milli_cores.max(other.milli_cores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl Add for Size {
    type Output = Size;

    fn add(self, other: Size) -> Size {
        Size {
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Size) {
        *self = *self + other;
    }
}

impl std::iter::Sum for Size {
    fn sum<I: Iterator<Item = Size>>(sizes: I) -> Size {
        sizes.fold(Size::default(), Add::add)
    }
}
