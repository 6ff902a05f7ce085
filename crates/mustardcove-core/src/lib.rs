//! Decision core of mustardcove.
//!
//! Every module here is a value or a state machine without I/O: no clock, no
//! socket, no task and no global source of randomness. A machine takes the
//! current time and an event and pushes actions; a driver carries the actions
//! out. The scheduler process, the replay tool and the property tests drive
//! the same code, so a fault found by one of them is a fault of all.
//!
//! The mechanisms and the owner of each piece of state are described in
//! `docs/design.md`.

pub mod agreement;
pub mod class;
pub mod group;
pub mod health;
pub mod id;
pub mod job;
pub mod message;
pub mod placement;
pub mod quota;
pub mod shard;
pub mod size;
pub mod store;
pub mod time;
pub mod verdict;
pub mod worker;
