//! Limits of the peer transport.

use std::{net::SocketAddr, time::Duration};

use mustardcove_core::id::{ProcessId, RegionId};

/// Version of the protocol; processes of different versions refuse each other.
pub const PROTOCOL_VERSION: u32 = 1;

/// How a process talks to its peers.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// This process.
    pub process: ProcessId,
    /// The region of this process.
    pub region: RegionId,
    /// The address to listen at; connections to peers come from its IP number.
    pub listen: SocketAddr,
    /// Longest time to open a connection, handshake included.
    pub connect_timeout: Duration,
    /// Shortest wait before a connection is tried again.
    pub backoff_min: Duration,
    /// Longest wait before a connection is tried again.
    pub backoff_max: Duration,
    /// Time between pings on a connection.
    pub ping_interval: Duration,
    /// A connection whose ping is not answered within this time is broken.
    pub ping_timeout: Duration,
    /// Largest message, in bytes.
    pub max_message_bytes: usize,
    /// Most messages queued for one peer and lane.
    pub max_queued_messages: usize,
    /// Most bytes queued for one peer and lane.
    pub max_queued_bytes: usize,
    /// Most requests to one peer that wait for an answer.
    pub max_pending_requests: usize,
    /// Events that are held until the process takes them; beyond this, peers
    /// are slowed down by flow control.
    pub event_queue: usize,
    /// Most connections accepted at once.
    pub max_connections: usize,
    /// Version to offer; tests offer others.
    pub protocol_version: u32,
    /// Seed of the jitter.
    pub seed: u64,
}

impl PeerConfig {
    /// Returns the default limits for a process.
    pub fn new(process: ProcessId, region: RegionId, listen: SocketAddr) -> PeerConfig {
        PeerConfig {
            process,
            region,
            listen,
            connect_timeout: Duration::from_millis(1_000),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_millis(2_000),
            ping_interval: Duration::from_millis(2_000),
            ping_timeout: Duration::from_millis(2_000),
            max_message_bytes: 16 << 20,
            max_queued_messages: 8_192,
            max_queued_bytes: 32 << 20,
            max_pending_requests: 16_384,
            event_queue: 4_096,
            max_connections: 512,
            protocol_version: PROTOCOL_VERSION,
            seed: 0,
        }
    }
}
