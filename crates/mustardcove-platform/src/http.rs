//! Clients of the platform's HTTP/JSON interfaces.
//!
//! All of them use [`HttpClient`], which bounds connections, time and sizes.
//! Its errors say whether the call may have taken effect, which depends on
//! whether the body was handed to a connection; see [`gate`].

pub mod client;
mod connection;
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
