// SPDX-License-Identifier: Apache-2.0
//! Seeded experiments with stackpier's decisions: routing policies, simulated scenarios of a cell
//! with its workers, and the growth of costs with size that `docs/CAPACITY.md` quotes.

pub mod capacity;
pub mod cell;
mod label;
pub mod routing;
pub mod table;
