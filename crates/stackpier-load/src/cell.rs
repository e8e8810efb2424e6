// SPDX-License-Identifier: Apache-2.0
//! A small model of the workers, jobs and faults of a cell, over the same decisions as
//! the daemon's: without network, on a clock of its own, deterministic by its seed.
//!
//! Days are described by a [`site::Site`], its [`fault::Trouble`]s and the owner's
//! options; [`pattern`] names the heavy ones and says where their figures come from.

pub mod days;
pub mod fault;
pub mod job;
pub mod outcome;
pub mod pattern;
pub mod site;
pub mod timing;
pub mod truth;
pub mod world;
