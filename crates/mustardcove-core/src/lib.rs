//! Decision core of mustardcove.
//!
//! Every module here defines values or state machines without I/O: they use no
//! clock, no socket, no task and no global source of randomness. A machine
//! takes the current time and an event and pushes actions; a driver executes
//! the actions. The scheduler process, the replay tool and the property tests
//! drive the same code, so a fault found by one of them is a fault of all.
//!
//! The mechanisms and the owner of each piece of state are described in
//! `docs/design.md`.

pub mod agreement;
pub mod class;
pub mod configuration;
pub mod estimate;
pub mod eviction;
pub mod fleet;
pub mod group;
pub mod health;
pub mod id;
pub mod interference;
pub mod job;
pub mod ledger;
pub mod limit;
pub mod membership;
pub mod message;
pub mod naive;
pub mod node;
pub mod ownership;
pub mod placement;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod shard;
pub mod size;
pub mod store;
pub mod time;
pub mod verdict;
pub mod worker;
