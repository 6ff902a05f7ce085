//! Transport between mustardcove processes.
//!
//! Two processes share one HTTP/2 connection with two bidirectional streams
//! ("lanes"): one for messages whose order matters and one for large messages
//! of which a later one supersedes an earlier one, so that sending a
//! configuration never delays the start of a task. Either side may open the
//! connection; if both do, both sides keep the one opened by the lower process
//! id and close the other without losing messages.
//!
//! Queues are bounded and refuse messages when they are full. A request that
//! was never written fails with the verdict `NotRun`; one that was written, but
//! whose connection broke before the answer, fails with `MayHaveRun`. See
//! `docs/peer-protocol.md`.

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

/// An event of the transport.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A message arrived that is not an answer to a request.
    Message {
        /// The process that sent it.
        from: ProcessId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A connection was established to a process that had none open.
    Up {
        /// The process.
        process: ProcessId,
    },
    /// The last open connection to a process ended.
    Down {
        /// The process.
        process: ProcessId,
        /// Whether the process closed it as part of a graceful shutdown.
        graceful: bool,
    },
}

/// The connections of a process to its peers; clones share them.
///
/// Messages may be lost when a connection breaks. The transport never resends
/// them: the state machines above it retry where delivery matters.
#[derive(Clone, Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    /// Aborts all tasks of the transport when the last handle is dropped.
    _abort: Arc<DropGuard>,
}

impl Peers {
    /// Listens at the configured address and returns a handle and the receiver
    /// of the events.
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
        let (events, receiver) = mpsc::channel(config.max_queued_events);
        let shared = Arc::new(Shared::new(config, address, clock, metrics, log, events));
        let shared_for_listener = shared.clone();
        shared.spawn_supervised("peer listener", move || {
            accept::run(shared_for_listener.clone(), listener.clone())
        });
        let abort = Arc::new(shared.abort.clone().drop_guard());
        Ok((Peers { shared, _abort: abort }, receiver))
    }

    /// Returns the address that peers connect to, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Registers a process, or updates its address and region. Sending to it
    /// opens a connection if there is none.
    pub fn add_peer(&self, process: ProcessId, address: SocketAddr, region: RegionId) {
        self.shared.add_peer(process, address, region);
    }

    /// Unregisters a process: its connections end and pending requests to it
    /// fail.
    pub fn remove_peer(&self, process: &ProcessId) {
        self.shared.remove_peer(process);
    }

    /// Queues a one-way message. A message to this process itself is delivered
    /// as an event.
    ///
    /// # Errors
    ///
    /// Returns an error with the verdict `NotRun` if the message was not
    /// queued. A queued message is lost if the connection breaks.
    pub fn send(&self, to: &ProcessId, message: &PeerMessage) -> Result<(), PeerError> {
        self.shared.send(to, message, None)
    }

    /// Queues a one-way message to several processes, and encodes it once.
    /// Returns the processes for which it was not queued; see [`Peers::send`].
    pub fn send_to_all<'a>(
        &self,
        to: impl IntoIterator<Item = &'a ProcessId>,
        message: &PeerMessage,
    ) -> Vec<(&'a ProcessId, PeerError)> {
        self.shared.send_to_all(to, message)
    }

    /// Sends a request to the owner of a shard and waits for its answer.
    ///
    /// The task that receives the events must not wait here. While it waits,
    /// the event queue may fill up and block the connection that carries the
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns an error, at the latest at `deadline`, whose verdict says
    /// whether the request may have been handled.
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

    /// Asks a process which revision of the agreement it has in force.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer arrived by `deadline`.
    pub async fn request_revision(
        &self,
        to: &ProcessId,
        deadline: Timestamp,
    ) -> Result<Revision, PeerError> {
        let message = |request| PeerMessage::RevisionRequest { request };
        match self.exchange(to, message, deadline).await? {
            PeerMessage::RevisionResponse { revision, .. } => Ok(revision),
            other => Err(unexpected(&other)),
        }
    }

    async fn exchange(
        &self,
        to: &ProcessId,
        message: impl FnOnce(RequestId) -> PeerMessage,
        deadline: Timestamp,
    ) -> Result<PeerMessage, PeerError> {
        let pending = self.shared.begin_request(to, message, deadline)?;
        pending.answer(&self.shared.clock, deadline).await
    }

    /// Returns the state of every known peer, for the state dump.
    pub fn status(&self) -> Vec<PeerStatus> {
        self.shared.status()
    }

    /// Refuses new messages, writes the queued ones, sends GOAWAY and waits
    /// until all connections are closed. Connections that are still open after
    /// `limit` are aborted.
    pub async fn shutdown(&self, limit: Duration) {
        self.shared.shutdown(limit).await;
    }
}

fn unexpected(message: &PeerMessage) -> PeerError {
    PeerError::new(PeerErrorKind::Protocol, format!("unexpected answer {message:?}"))
}
