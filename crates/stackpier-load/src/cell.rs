// SPDX-License-Identifier: Apache-2.0
//! A small model of the workers, jobs and faults of a cell, over the same decisions as
//! the daemon's: without network, on a clock of its own, deterministic by its seed.
//!
//! Days are described by a [`site::Deployment`], its [`fault::TimedFault`]s and the owner's
//! options; [`pattern`] names the heavy ones and says where their figures come from.

pub mod deployment;
pub mod fault;
pub mod ground_truth;
pub mod job;
pub mod outcome;
pub mod pattern;
pub mod scenarios;
pub mod simulation;
pub mod timing;
