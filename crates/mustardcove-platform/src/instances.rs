//! The platform's list of instances.
//!
//! The list lags: an instance that has stopped may still be listed, and one that
//! is leaving may not be marked yet. Processes therefore combine it with the
//! state of their connections; see `docs/design.md`, section 3.11.

use std::{fmt, future::Future, net::IpAddr, sync::Arc};

use mustardcove_core::{
    id::{FailureDomainId, RegionId},
    worker::WorkerInfo,
};
use serde::{Deserialize, Serialize};

/// An instance on which the scheduler's own processes run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnInstance {
    /// The platform's name of the instance.
    pub name: String,
    /// The address of the instance.
    pub address: IpAddr,
    /// The region of the instance.
    pub region: RegionId,
    /// The failure domain of the instance.
    pub domain: FailureDomainId,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

/// The list of instances at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceSnapshot {
    /// The version, which increases with every change of the list.
    pub version: u64,
    /// The workers.
    pub workers: Arc<[WorkerInfo]>,
    /// The instances that run the scheduler's own processes.
    pub own: Arc<[OwnInstance]>,
}

/// Error returned when the list could not be fetched; the list fetched last
/// stays in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    detail: String,
}

impl ListError {
    /// Returns an error with a human-readable detail.
    pub fn new(detail: impl Into<String>) -> ListError {
        ListError { detail: detail.into() }
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "instance list unavailable: {}", self.detail)
    }
}

impl std::error::Error for ListError {}

/// A client of the platform's instance list.
pub trait InstanceList: Send + Sync + 'static {
    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrived in time.
    fn fetch(&self) -> impl Future<Output = Result<InstanceSnapshot, ListError>> + Send;
}

impl<L: InstanceList> InstanceList for Arc<L> {
    fn fetch(&self) -> impl Future<Output = Result<InstanceSnapshot, ListError>> + Send {
        L::fetch(self)
    }
}
