//! Helpers shared by the tests of the peer transport.

use std::{net::SocketAddr, time::Duration};

use mustardcove_core::{
    id::{ProcessId, RequestId, Revision, ShardId},
    message::{PeerMessage, ShardRequest, ShardResponse},
    time::Timestamp,
};
use mustardcove_runtime::{
    clock::Clock,
    metrics::Metrics,
    peer::{PeerConfig, PeerEvent, Peers},
};
use slog::{Discard, Logger, o};
use tokio::{sync::mpsc, time::timeout};

/// Longest time that a test waits for an event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

pub struct Node {
    pub peers: Peers,
    pub events: mpsc::Receiver<PeerEvent>,
    pub clock: Clock,
    pub metrics: Metrics,
}

pub fn process(name: &str) -> ProcessId {
    name.parse().unwrap()
}

pub fn config(name: &str) -> PeerConfig {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut config = PeerConfig::new(process(name), "moldova".parse().unwrap(), listen);
    config.connect_timeout = Duration::from_millis(2_000);
    config.ping_interval = Duration::from_millis(100);
    config.ping_timeout = Duration::from_millis(1_000);
    config
}

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

pub async fn start(config: PeerConfig) -> Node {
    let clock = Clock::start();
    let metrics = Metrics::new().unwrap();
    let (peers, events) = Peers::start(config, clock, metrics.clone(), log()).await.unwrap();
    Node { peers, events, clock, metrics }
}

/// Starts two processes, `a` and `b`, and registers `b` as a peer of `a`.
pub async fn pair() -> (Node, Node) {
    let a = start(config("a")).await;
    let b = start(config("b")).await;
    a.peers.add_peer(process("b"), b.peers.address(), "moldova".parse().unwrap());
    (a, b)
}

impl Node {
    pub fn in_ms(&self, ms: u64) -> Timestamp {
        self.clock.now().plus_ms(ms)
    }

    /// Returns the next message, skipping other events.
    pub async fn message(&mut self) -> (ProcessId, PeerMessage) {
        let next = async {
            loop {
                match self.events.recv().await.expect("the transport ended") {
                    PeerEvent::Message { from, message } => return (from, *message),
                    PeerEvent::Up { .. } | PeerEvent::Down { .. } => {}
                }
            }
        };
        timeout(TEST_TIMEOUT, next).await.expect("no message arrived")
    }

    /// Waits until the last connection to a peer has ended, and reports whether
    /// that was graceful.
    pub async fn down(&mut self) -> bool {
        let next = async {
            loop {
                if let PeerEvent::Down { graceful, .. } = self.events.recv().await.unwrap() {
                    return graceful;
                }
            }
        };
        timeout(TEST_TIMEOUT, next).await.expect("the connection did not end")
    }
}

pub fn revision(request: u64, revision: u64) -> PeerMessage {
    let (request, revision) = (RequestId(request), Revision(revision));
    PeerMessage::RevisionResponse { request, revision }
}

pub fn cancel(job: u128) -> ShardRequest {
    ShardRequest::Cancel { job: mustardcove_core::id::JobId(job), member: None }
}

/// Returns the request id and the job of a cancel request.
pub fn cancelled(message: &PeerMessage) -> (RequestId, u128) {
    match message {
        PeerMessage::Request { request, body: ShardRequest::Cancel { job, .. }, .. } => {
            (*request, job.0)
        }
        other => panic!("unexpected {other:?}"),
    }
}

/// Returns an answer whose body identifies the job.
pub fn answer(request: RequestId, job: u128) -> PeerMessage {
    let hint = Some(process(&format!("job-{job}")));
    PeerMessage::Response { request, body: ShardResponse::NotOwner { hint } }
}

pub const SHARD: ShardId = ShardId(3);
