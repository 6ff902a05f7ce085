//! Configuration of the peer transport.

use std::{net::SocketAddr, time::Duration};

use mustardcove_core::id::{ProcessId, RegionId};

/// Version of the protocol. Processes of different versions refuse each
/// other's connections.
pub const PROTOCOL_VERSION: u32 = 12;

/// Addresses, timeouts and limits of the transport of one process.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// The id of this process.
    pub process: ProcessId,
    /// The region of this process.
    pub region: RegionId,
    /// The address to listen at. Unless its IP address is unspecified, outgoing
    /// connections of the same address family originate from it too.
    pub listen: SocketAddr,
    /// Longest time to open a connection, including the handshake.
    pub connect_timeout: Duration,
    /// Shortest wait between attempts to connect.
    pub backoff_min: Duration,
    /// Longest wait between attempts to connect.
    pub backoff_max: Duration,
    /// Time between pings on a connection.
    pub ping_interval: Duration,
    /// A connection is considered broken if a ping is not answered within this
    /// time.
    pub ping_timeout: Duration,
    /// Largest message, in bytes.
    pub max_message_bytes: usize,
    /// Most messages queued per peer and lane.
    pub max_queued_messages: usize,
    /// Most bytes queued per peer and lane.
    pub max_queued_bytes: usize,
    /// Most pending requests per peer.
    pub max_pending_requests: usize,
    /// Most events queued for the process. While the queue is full, flow
    /// control slows the peers down.
    pub max_queued_events: usize,
    /// Most accepted connections that are open at once.
    pub max_connections: usize,
    /// Protocol version to offer; tests offer other versions.
    pub protocol_version: u32,
    /// Seed of the jitter of the back-off.
    pub seed: u64,
}

impl PeerConfig {
    /// Returns the configuration of a process with default limits.
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
            max_queued_events: 4_096,
            max_connections: 512,
            protocol_version: PROTOCOL_VERSION,
            seed: 0,
        }
    }
}
