//! The whole system in one process, on loopback, with stand-ins for the
//! platform.
//!
//! This is the first thing that a newcomer runs, and the home of tests on real
//! processes. The deployments are those of `docs/design.md`, section 1.7, at
//! today's sizes.

pub mod cluster;
pub mod deployment;
pub mod load;
pub mod report;
