//! The program that runs on every instance of a fleet.
//!
//! Each process accepts callers' requests, polls the workers assigned to it
//! and sends them orders, and can become the leader. The scheduling decisions
//! are in `mustardcove_core::fleet`, the platform's formats in
//! `mustardcove_adapter`; this crate connects the two with timers, connections
//! and tokio tasks. See `docs/platform.md`.

pub mod callers;
pub mod dispatch;
pub mod dump;
pub mod durable;
pub mod explain;
pub mod leader;
pub mod membership;
pub mod metrics;
pub mod operator_watch;
pub mod outbox;
pub mod poller;
pub mod process;
pub mod readiness;
pub mod requests;
pub mod shared;
