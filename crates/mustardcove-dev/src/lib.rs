//! The whole system in one process, on loopback, with stand-ins for the
//! platform.
//!
//! Newcomers can run the system with this crate, and the tests on real processes
//! are built on it. The deployments are those of `docs/design.md`, section 1.7,
//! at their present sizes.

pub mod cluster;
pub mod deployment;
pub mod load;
pub mod report;
