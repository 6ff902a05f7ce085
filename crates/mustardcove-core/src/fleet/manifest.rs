//! The operators' manifest: queues, services and limits.

use serde::{Deserialize, Serialize};

use super::id::ManifestVersion;

/// A complete manifest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Its version.
    pub version: ManifestVersion,
    /// The queues that callers submit to.
    pub queues: Vec<Queue>,
    /// The pools of workers.
    pub services: Vec<Service>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

/// A queue of submissions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers address.
    pub host: String,
    /// Prefix of the paths of its requests.
    pub prefix: String,
    /// The pool whose workers run its tasks.
    pub service: String,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Number of failed runs of one task after which its submission fails.
    pub attempts: u32,
    /// Factor on the critical path that the SLO deadline allows for.
    pub stretch: f64,
    /// Delay budget that the SLO deadline adds to the stretched critical path,
    /// in milliseconds.
    pub delay_budget_ms: u64,
    /// Whether starts need a ticket from the recommendation service.
    pub needs_ticket: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse starts that exceed their capacity.
    pub rejects_overload: bool,
    /// Whether its machines are off until they are moved to another pool.
    pub is_standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest size of a body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { max_body_bytes: 256 << 10 }
    }
}

impl Manifest {
    /// Returns the queue with the longest prefix of `path`.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |it: &&Queue| it.host == host && path.starts_with(&it.prefix);
        self.queues.iter().filter(fits).max_by_key(|it| it.prefix.len())
    }

    /// Returns the queue with exactly this host and prefix.
    pub fn queue_at(&self, host: &str, prefix: &str) -> Option<&Queue> {
        self.queues.iter().find(|it| it.host == host && it.prefix == prefix)
    }
}
