//! HTTP servers that stand in for the platform's services.
//!
//! Each serves a [`crate::memory`] implementation on a port chosen by the
//! operating system, and stops when its handle is dropped.

pub mod instances;
pub mod server;
pub mod store;
pub mod upstream;
pub mod worker;

pub use self::{instances::InstancesStandin, store::StoreStandin, worker::FleetStandin};
