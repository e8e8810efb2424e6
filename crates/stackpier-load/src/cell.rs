// SPDX-License-Identifier: Apache-2.0
//! A simulation of the workers, jobs and faults of a cell. It runs the decision code of the daemon
//! without a network, on a simulated clock, and is deterministic for a seed.
//!
//! A [`simulation::Scenario`] consists of a [`deployment::Deployment`], its
//! [`fault::TimedFault`]s and the owner's options; [`pattern`] names the heavy scenarios and says
//! where their figures come from.

pub mod deployment;
pub mod fault;
pub mod ground_truth;
pub mod job;
pub mod outcome;
pub mod pattern;
pub mod scenarios;
pub mod simulation;
pub mod timing;
