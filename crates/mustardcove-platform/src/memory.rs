//! The platform without sockets.
//!
//! These types hold the whole semantics of the stand-ins, including their
//! faults; [`crate::standin`] only adds HTTP. They use tokio's clock, so tests
//! can run them under a paused one.

pub mod fleet;
pub mod instances;
pub mod interference;
pub mod ledger;
pub mod store;
pub mod store_state;
pub mod work;
pub mod worker_state;

pub use self::{
    fleet::{FleetConfig, MemoryFleet, WorkerFault},
    instances::MemoryInstances,
    interference::Interference,
    ledger::{RunLedger, RunSummary},
    store::{MemoryStore, StoreFaults},
    store_state::{StoreCounters, StoreState},
    work::WorkSpec,
};
