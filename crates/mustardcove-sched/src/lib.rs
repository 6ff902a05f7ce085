//! Scheduler process of mustardcove.
//!
//! The process drives the state machines of `mustardcove_core::node`: it owns
//! shards of the job ledger and groups of workers, and everything it decides
//! is decided there. What is here carries calls to the store and to workers,
//! messages to other processes and time.
//!
//! See `docs/design.md`, sections 2 and 5.

pub mod calls;
pub mod driver;
pub mod policy;
pub mod process;
pub mod reports;
pub mod settings;
pub mod shape;
