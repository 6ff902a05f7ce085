//! Transport between our own processes.
//!
//! Two processes share one h2 connection with two bidirectional streams
//! ("lanes"): one for messages whose order matters and one for large messages
//! that supersede each other, so that a configuration never delays a start.
//! Either side may open the connection; if both do, both sides keep the one
//! opened by the lower process id and close the other without losing messages.
//!
//! Queues are bounded and refuse rather than grow. A request that was never
//! written is answered `NotRun`, one that was written and whose connection
//! broke `MayHaveRun`; see `docs/peer-protocol.md`.

mod accept;
pub mod config;
mod dial;
pub mod error;
pub mod frame;
mod hello;
mod lane;
mod link;
mod pending;
mod registry;
mod remote;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use mustardcove_core::{
    id::{ProcessId, RegionId, RequestId, Revision, ShardId},
    message::{PeerMessage, ShardRequest, ShardResponse},
    time::Timestamp,
};
use mustardcove_platform::Clock;
use slog::Logger;
use tokio::{net::TcpListener, sync::mpsc};
use tokio_util::sync::DropGuard;

use self::registry::Shared;
pub use self::{
    config::PeerConfig,
    error::{PeerError, PeerErrorKind},
    remote::PeerStatus,
};
use crate::metrics::Metrics;

/// Something that the transport reports.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A message arrived that is no answer to a request of ours.
    Message {
        /// The process that sent it.
        from: ProcessId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The first connection to a process was made.
    Up {
        /// The process.
        process: ProcessId,
    },
    /// The last connection to a process ended.
    Down {
        /// The process.
        process: ProcessId,
        /// Whether the process closed it as part of a graceful shutdown.
        graceful: bool,
    },
}

/// The connections of a process to its peers; clones share them.
///
/// Messages may be lost when a connection breaks, and are never repeated by
/// the transport: the state machines repeat what matters.
#[derive(Clone, Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    /// Ends all tasks when the last handle is dropped.
    _abort: Arc<DropGuard>,
}

impl Peers {
    /// Listens at the configured address and returns the handle together with
    /// the events.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        config: PeerConfig,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> std::io::Result<(Peers, mpsc::Receiver<PeerEvent>)> {
        let listener = Arc::new(TcpListener::bind(config.listen).await?);
        let address = listener.local_addr()?;
        let (events, receiver) = mpsc::channel(config.event_queue);
        let shared = Arc::new(Shared::new(config, address, clock, metrics, log, events));
        let accepting = shared.clone();
        shared
            .spawn_kept("peer listener", move || accept::run(accepting.clone(), listener.clone()));
        let abort = Arc::new(shared.abort.clone().drop_guard());
        Ok((Peers { shared, _abort: abort }, receiver))
    }

    /// Returns the address that peers connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Makes a process known, so that messages to it open a connection.
    pub fn add_peer(&self, process: ProcessId, address: SocketAddr, region: RegionId) {
        self.shared.add_peer(process, address, region);
    }

    /// Forgets a process: its connections end and its requests fail.
    pub fn remove_peer(&self, process: &ProcessId) {
        self.shared.remove_peer(process);
    }

    /// Queues a one-way message. One to this process itself becomes an event.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict `NotRun` if the message was not
    /// queued. A queued message is lost if the connection breaks.
    pub fn send(&self, to: &ProcessId, message: &PeerMessage) -> Result<(), PeerError> {
        self.shared.send(to, message, None)
    }

    /// Makes a request to the owner of a shard and waits for its answer.
    ///
    /// The task that takes the events must not wait here: the answer may be
    /// behind events that it does not take meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error whose verdict says whether the request may have been
    /// handled, at the latest at `deadline`.
    pub async fn request(
        &self,
        to: &ProcessId,
        shard: ShardId,
        body: ShardRequest,
        deadline: Timestamp,
    ) -> Result<ShardResponse, PeerError> {
        let message = |request| PeerMessage::Request { shard, request, body };
        match self.exchange(to, message, deadline).await? {
            PeerMessage::Response { body, .. } => Ok(body),
            other => Err(unexpected(&other)),
        }
    }

    /// Asks a process for the revision of the agreement that it has in force.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived by `deadline`.
    pub async fn ask_revision(
        &self,
        to: &ProcessId,
        deadline: Timestamp,
    ) -> Result<Revision, PeerError> {
        let message = |request| PeerMessage::AskRevision { request };
        match self.exchange(to, message, deadline).await? {
            PeerMessage::RevisionInForce { revision, .. } => Ok(revision),
            other => Err(unexpected(&other)),
        }
    }

    async fn exchange(
        &self,
        to: &ProcessId,
        message: impl FnOnce(RequestId) -> PeerMessage,
        deadline: Timestamp,
    ) -> Result<PeerMessage, PeerError> {
        let waiting = self.shared.begin_request(to, message, deadline)?;
        waiting.answer(&self.shared.clock, deadline).await
    }

    /// Returns the state of every known peer, for the dump.
    pub fn status(&self) -> Vec<PeerStatus> {
        self.shared.status()
    }

    /// Refuses new messages, writes those that are queued, sends GOAWAY
    /// and waits until all connections are closed or `bound` has passed.
    pub async fn shutdown(&self, bound: Duration) {
        self.shared.shutdown(bound).await;
    }
}

fn unexpected(message: &PeerMessage) -> PeerError {
    PeerError::new(PeerErrorKind::Protocol, format!("unexpected answer {message:?}"))
}
