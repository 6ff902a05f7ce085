//! Small servers that stand in for the platform.
//!
//! Each serves a [`crate::memory`] implementation over HTTP on a port chosen
//! by the system, and is stopped when its handle is dropped.

pub mod instances;
pub mod server;
pub mod store;
pub mod upstream;
pub mod worker;

pub use self::{instances::InstancesStandin, store::StoreStandin, worker::FleetStandin};
