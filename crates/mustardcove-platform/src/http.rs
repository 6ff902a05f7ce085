//! Adapters that speak HTTP/JSON to the platform.
//!
//! All of them use one client with bounded connections, timeouts and size
//! limits. Its errors say whether the call may have taken effect, decided by
//! whether any part of the body was handed to a connection; see [`gate`].

pub mod client;
pub mod gate;
pub mod instances;
pub mod store;
pub mod workers;

pub use self::{
    client::{Answer, CallError, HttpClient, HttpLimits},
    instances::HttpInstances,
    store::HttpStore,
    workers::HttpWorkers,
};
