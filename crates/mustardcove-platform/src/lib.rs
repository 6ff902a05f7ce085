//! Clients of the platform's services: store, instance list and workers.
//!
//! Each service is one small trait ([`Store`], [`InstanceList`], [`Workers`]),
//! used through generics, with two implementations: [`http`] speaks HTTP/JSON
//! to the platform, and [`memory`] implements the full semantics in one
//! process. [`standin`] serves the memory implementation over HTTP, so that
//! sockets, lost answers and timeouts are tested against the same semantics.
//! See `docs/stand-ins.md`.

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
