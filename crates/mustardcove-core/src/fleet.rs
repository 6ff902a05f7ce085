//! Scheduling of multi-step submissions by one elected planner.
//!
//! One process holds the leader record in the platform's store and plans for
//! the whole fleet; every process takes submissions, answers callers and
//! carries orders to the workers that the leader assigned to it. Workers keep
//! the highest fencing token that they have seen, list what runs and keep each
//! end until it is acknowledged. A new leader therefore needs no record of
//! starts: it fences each worker with its first call and reads there what
//! runs. What lasts is in the store: submissions, cancellations and progress.
//!
//! One planner sees all free room, so placement needs no negotiation between
//! owners; the price is that nothing starts between the loss of a leader and
//! the first orders of the next. See `docs/platform.md`.

pub mod assignment;
pub mod election;
pub mod id;
pub mod manifest;
pub mod message;
pub mod planner;
pub mod poller;
pub mod record;
pub mod state_cache;
pub mod submission;
