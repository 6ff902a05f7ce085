//! Scheduling of multi-step submissions by one elected planner.
//!
//! One process holds the leader record in the platform's store and plans for
//! the whole fleet. Every process accepts submissions, answers callers, and
//! polls the workers that the leader assigned to it, passing orders on to
//! them. Workers keep the highest fencing token that they have seen, list what
//! runs, and keep each end until it is acknowledged. A new leader therefore
//! needs no record of starts: it fences each worker with its first poll, whose
//! answer lists what runs. Only submissions, cancellations, progress and the
//! list of workers in use are kept in the store.
//!
//! One planner sees all free capacity, so placement needs no negotiation
//! between owners. The price is that nothing starts between the loss of a
//! leader and the first orders of the next. See `docs/platform.md`.

pub mod admission;
pub mod assignment;
pub mod cadence;
pub mod confirmation;
pub mod election;
pub mod evacuation;
pub mod explanation;
pub mod handover;
pub mod id;
pub mod manifest;
pub mod members;
pub mod message;
pub mod overload;
pub mod planner;
pub mod poller;
pub mod pre_vote;
pub mod predecessors;
pub mod record;
pub mod roster;
pub mod standstill;
pub mod state_cache;
pub mod store_health;
pub mod store_write;
pub mod submission;
pub mod succession;
pub mod withdrawals;
pub mod witnesses;
