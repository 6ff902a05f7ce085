//! In-memory implementations of the platform's services.
//!
//! These types implement the full semantics of the stand-ins, including the
//! faults that tests inject; [`crate::standin`] only adds HTTP. They use
//! tokio's clock, so tests can run them with time paused.

pub mod fleet;
pub mod instances;
pub mod interference;
pub mod run_history;
pub mod store;
pub mod store_state;
pub mod work;
pub mod worker_state;

pub use self::{
    fleet::{FleetConfig, MemoryFleet, WorkerFault},
    instances::MemoryInstances,
    interference::Interference,
    run_history::{RunHistory, RunSummary},
    store::{MemoryStore, StoreFaults},
    store_state::{StoreCounters, StoreState},
    work::WorkSpec,
};
