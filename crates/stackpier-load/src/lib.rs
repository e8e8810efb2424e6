// SPDX-License-Identifier: Apache-2.0
//! Seeded experiments with the decisions: routing policies, days of a cell with its
//! workers, and the slopes behind the capacity page.

pub mod capacity;
pub mod cell;
mod label;
pub mod routing;
pub mod table;
