//! The platform's list of instances.
//!
//! The list lags: an instance that is gone may still be listed, and one that
//! is leaving may not be marked yet. It is combined with what connections
//! show; see `docs/design.md`, section 3.11.

use std::{fmt, future::Future, net::IpAddr, sync::Arc};

use mustardcove_core::{
    id::{FailureDomainId, RegionId},
    worker::WorkerInfo,
};
use serde::{Deserialize, Serialize};

/// An instance on which the system's own processes run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnInstance {
    /// The platform's name of the instance.
    pub name: String,
    /// Its address.
    pub address: IpAddr,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The list as of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceSnapshot {
    /// Rises with every change of the list.
    pub version: u64,
    /// The workers.
    pub workers: Arc<[WorkerInfo]>,
    /// The instances of our own.
    pub own: Arc<[OwnInstance]>,
}

/// Error returned when the list could not be fetched; the last one stays in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    detail: String,
}

impl ListError {
    /// Returns an error with details for a person.
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

/// A connection to the platform's instance list.
pub trait InstanceList: Send + Sync + 'static {
    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if no whole answer arrived in time.
    fn fetch(&self) -> impl Future<Output = Result<InstanceSnapshot, ListError>> + Send;
}

impl<L: InstanceList> InstanceList for Arc<L> {
    fn fetch(&self) -> impl Future<Output = Result<InstanceSnapshot, ListError>> + Send {
        L::fetch(self)
    }
}
