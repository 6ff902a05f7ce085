//! Scheduler process of mustardcove.
//!
//! The process owns shards of the job ledger and groups of workers. All
//! decisions are made by the state machines of `mustardcove_core::node`. This
//! crate runs them: it makes their calls to the store and to workers, exchanges
//! their messages with other processes and tells them the time.
//!
//! See `docs/design.md`, sections 2 and 5.

pub mod calls;
pub mod driver;
pub mod policy;
pub mod process;
pub mod reports;
pub mod settings;
pub mod shape;
