//! Configuration of an entry process.

use mustardcove_core::id::{FailureDomainId, ProcessId, RegionId};

/// Configuration of an entry process.
///
/// Times are in milliseconds and sizes in bytes.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// This process.
    pub process: ProcessId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Number of shards of the deployment.
    pub shards: u16,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of requests in progress.
    pub max_requests: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Largest answer of an upstream.
    pub max_answer_bytes: usize,
    /// Timeout for receiving the headers, and then the body, of a request.
    pub receive_timeout_ms: u64,
    /// Timeout of a service request without a deadline, from its arrival.
    pub default_timeout_ms: u64,
    /// Longest time that a request or a wait for a result may take.
    pub max_timeout_ms: u64,
    /// Longest time that a request waits for a free slot at an upstream.
    pub queue_wait_ms: u64,
    /// Maximum number of requests per service that wait for a free slot.
    pub max_queued: usize,
    /// Path of requests at an upstream.
    pub service_path: String,
    /// Path of probes at an upstream, which answers 2xx unless it is leaving.
    pub probe_path: String,
    /// Interval between fetches of the instance list.
    pub list_interval_ms: u64,
    /// Longest time until every entry process has learned of a new one.
    pub share_hold_ms: u64,
    /// Longest time for finishing requests at shutdown.
    pub shutdown_ms: u64,
}

impl EntryConfig {
    /// Returns the default configuration of a process in the given region and
    /// failure domain.
    pub fn new(process: ProcessId, region: RegionId, domain: FailureDomainId) -> EntryConfig {
        EntryConfig {
            process,
            region,
            domain,
            shards: 16,
            seed: 0,
            max_requests: 16_384,
            max_connections: 20_000,
            max_body_bytes: 1 << 20,
            max_answer_bytes: 4 << 20,
            receive_timeout_ms: 10_000,
            default_timeout_ms: 10_000,
            max_timeout_ms: 60_000,
            queue_wait_ms: 1_000,
            max_queued: 4_096,
            service_path: "/serve".to_owned(),
            probe_path: "/healthz".to_owned(),
            list_interval_ms: 1_000,
            share_hold_ms: 2_000,
            shutdown_ms: 10_000,
        }
    }
}
