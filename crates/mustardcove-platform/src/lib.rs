//! The platform as the system sees it: store, instance list and workers.
//!
//! Each outside system is one small trait ([`Store`], [`InstanceList`],
//! [`Workers`]), used through generics. There are three implementations of
//! each: [`http`] speaks HTTP/JSON to the platform, [`memory`] holds the whole
//! semantics in one process, and [`standin`] serves the memory implementation
//! over HTTP, so that sockets, lost answers and timeouts are tested against
//! the same semantics. See `docs/stand-ins.md`.

pub mod clock;
pub mod http;
pub mod instances;
pub mod memory;
pub mod standin;
pub mod store;
pub mod upstream;
pub mod wire;
pub mod workers;

pub use crate::{
    clock::Clock,
    instances::{InstanceList, InstanceSnapshot, ListError, OwnInstance},
    store::Store,
    workers::Workers,
};
