//! The registry of peers and the other state that the tasks of the transport
//! share.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use mustardcove_core::{
    id::{ProcessId, RegionId, RequestId},
    message::PeerMessage,
    time::Timestamp,
};
use mustardcove_platform::{Clock, http::gate::Gate};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio_util::{
    sync::CancellationToken,
    task::{AbortOnDropHandle, TaskTracker},
};

use super::{
    PeerEvent,
    config::PeerConfig,
    dial,
    error::{PeerError, PeerErrorKind},
    frame,
    lane::{LaneKind, LinkId, Queued},
    pending::{PendingRequest, PendingTable, answered_request},
    remote::{LinkEnd, OpenedBy, Peer, PeerStatus},
};
use crate::metrics::{Direction, Metrics};

/// A connection that is registered with its peer until this guard is ended or
/// dropped. Dropping also covers a panic of the connection's task: a connection
/// that stayed registered would be given messages that are never written.
#[derive(Debug)]
pub(super) struct LinkGuard {
    shared: Arc<Shared>,
    peer: Arc<Peer>,
    link: LinkId,
    is_attached: bool,
}

impl LinkGuard {
    pub(super) fn peer(&self) -> &Arc<Peer> {
        &self.peer
    }

    /// Unregisters the connection, and emits an event if it was the last one of
    /// the peer.
    pub(super) async fn end(mut self, end: &LinkEnd) {
        self.is_attached = false;
        if let Some(event) = self.shared.detach(&self.peer, self.link, end) {
            self.shared.emit(event).await;
        }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        if !self.is_attached {
            return;
        }
        let end = LinkEnd::Broken("the connection's task ended".to_owned());
        if let Some(event) = self.shared.detach(&self.peer, self.link, &end) {
            // A destructor cannot wait, so the event is dropped if the queue
            // is full.
            let _ = self.shared.events.try_send(event);
        }
    }
}

/// State that all tasks of a transport share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) config: PeerConfig,
    pub(super) address: SocketAddr,
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) events: mpsc::Sender<PeerEvent>,
    pub(super) tasks: TaskTracker,
    /// Cancelled when a graceful shutdown begins.
    pub(super) closing: CancellationToken,
    /// Cancelled to end all tasks at once.
    pub(super) abort: CancellationToken,
    peers: Mutex<HashMap<ProcessId, Arc<Peer>>>,
    /// Pending requests of this process to itself.
    own_requests: Arc<PendingTable>,
    next_request: AtomicU64,
    next_link: AtomicU64,
}

impl Shared {
    pub(super) fn new(
        config: PeerConfig,
        address: SocketAddr,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
        events: mpsc::Sender<PeerEvent>,
    ) -> Shared {
        Shared {
            config,
            address,
            clock,
            metrics,
            log,
            events,
            tasks: TaskTracker::new(),
            closing: CancellationToken::new(),
            abort: CancellationToken::new(),
            peers: Mutex::default(),
            own_requests: Arc::default(),
            next_request: AtomicU64::new(1),
            next_link: AtomicU64::new(1),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ProcessId, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn peer(&self, process: &ProcessId) -> Option<Arc<Peer>> {
        self.lock().get(process).cloned()
    }

    /// Spawns a task that ends at the latest when the transport does.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let abort = self.abort.clone();
        self.tasks.spawn(async move {
            abort.run_until_cancelled(task).await;
        });
    }

    /// Spawns a task that ends at the latest when the transport does, and
    /// restarts it if it panics.
    pub(super) fn spawn_supervised<F, Fut>(self: &Arc<Shared>, name: &'static str, start: F)
    where
        F: Fn() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let shared = self.clone();
        self.spawn(async move {
            while let Err(error) = AbortOnDropHandle::new(tokio::spawn(start())).await {
                shared.metrics.child_death(name);
                warn!(shared.log, "child died and is started again";
                    "child" => name, "error" => %error);
                tokio::time::sleep(shared.config.backoff_max).await;
            }
        });
    }

    /// Returns the peer, adding it without an address if it is not registered.
    pub(super) fn peer_or_new(&self, process: &ProcessId, region: &RegionId) -> Arc<Peer> {
        let new = || {
            let stop = self.abort.child_token();
            Arc::new(Peer::new(process.clone(), region.clone(), stop))
        };
        self.lock().entry(process.clone()).or_insert_with(new).clone()
    }

    pub(super) fn add_peer(
        self: &Arc<Shared>,
        process: ProcessId,
        address: SocketAddr,
        region: RegionId,
    ) {
        if process == self.config.process {
            return;
        }
        let peer = self.peer_or_new(&process, &region);
        if !peer.set_address(address, region) {
            let shared = self.clone();
            self.spawn_supervised("peer dialer", move || dial::run(shared.clone(), peer.clone()));
        }
    }

    pub(super) fn remove_peer(&self, process: &ProcessId) {
        let Some(peer) = self.lock().remove(process) else {
            return;
        };
        peer.stop.cancel();
        peer.fail_queued(&PeerError::new(PeerErrorKind::UnknownPeer, "the peer was removed"));
        peer.pending.fail_written(None);
    }

    pub(super) fn send(
        &self,
        to: &ProcessId,
        message: &PeerMessage,
        request: Option<(RequestId, Gate)>,
    ) -> Result<(), PeerError> {
        let result = self.try_send(to, message, request);
        if let Err(error) = &result {
            self.metrics.peer_refused(error.kind().into());
        }
        result
    }

    pub(super) fn send_to_all<'a>(
        &self,
        to: impl IntoIterator<Item = &'a ProcessId>,
        message: &PeerMessage,
    ) -> Vec<(&'a ProcessId, PeerError)> {
        let mut encoded = None;
        let mut failed = Vec::new();
        for process in to {
            if let Err(error) = self.try_send_encoded(process, message, None, &mut encoded) {
                self.metrics.peer_refused(error.kind().into());
                failed.push((process, error));
            }
        }
        failed
    }

    fn try_send(
        &self,
        to: &ProcessId,
        message: &PeerMessage,
        request: Option<(RequestId, Gate)>,
    ) -> Result<(), PeerError> {
        self.try_send_encoded(to, message, request, &mut None)
    }

    /// Sends a message of which `encoded` holds the bytes once it was encoded.
    fn try_send_encoded(
        &self,
        to: &ProcessId,
        message: &PeerMessage,
        request: Option<(RequestId, Gate)>,
        encoded: &mut Option<Bytes>,
    ) -> Result<(), PeerError> {
        if *to == self.config.process {
            return self.deliver_to_self(message, request);
        }
        let peer = self.peer(to).ok_or_else(|| unknown(to))?;
        if let Some(error) = peer.refusal(self.clock.now()) {
            return Err(error);
        }
        let bytes = match encoded {
            Some(bytes) => bytes.clone(),
            None => {
                let bytes = frame::encode(message, self.config.max_message_bytes)?;
                encoded.insert(bytes).clone()
            }
        };
        let lane = peer.lane(LaneKind::for_message(message));
        let queued = Queued { bytes, request };
        lane.push(queued, self.config.max_queued_messages, self.config.max_queued_bytes)
    }

    /// Delivers a message of this process to itself, without encoding it.
    fn deliver_to_self(
        &self,
        message: &PeerMessage,
        request: Option<(RequestId, Gate)>,
    ) -> Result<(), PeerError> {
        if self.closing.is_cancelled() {
            return Err(PeerError::new(PeerErrorKind::ShuttingDown, "no more messages are taken"));
        }
        if let Some(request) = answered_request(message) {
            // A late answer is dropped.
            self.own_requests.answer(request, Ok(message.clone()));
            return Ok(());
        }
        let queue_full =
            |_| PeerError::new(PeerErrorKind::QueueFull, "the queue of events is full");
        let slot = self.events.try_reserve().map_err(queue_full)?;
        if request.is_none_or(|(_, gate)| gate.take()) {
            let message = Box::new(message.clone());
            slot.send(PeerEvent::Message { from: self.config.process.clone(), message });
        }
        Ok(())
    }

    pub(super) fn begin_request(
        &self,
        to: &ProcessId,
        message: impl FnOnce(RequestId) -> PeerMessage,
        deadline: Timestamp,
    ) -> Result<PendingRequest, PeerError> {
        let table = match self.peer(to) {
            Some(peer) => peer.pending.clone(),
            None if *to == self.config.process => self.own_requests.clone(),
            None => return Err(unknown(to)),
        };
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let gate = Gate::new(self.clock, deadline);
        let receiver = table.insert(request, self.config.max_pending_requests)?;
        let pending = PendingRequest { request, gate: gate.clone(), receiver, table };
        self.send(to, &message(request), Some((request, gate)))?;
        Ok(pending)
    }

    pub(super) fn new_link(&self) -> LinkId {
        LinkId(self.next_link.fetch_add(1, Ordering::Relaxed))
    }

    /// Registers a connection with its peer, and emits an event if it is the
    /// first.
    pub(super) async fn attach(
        self: &Arc<Shared>,
        peer: Arc<Peer>,
        link: LinkId,
        opened_by: OpenedBy,
    ) -> LinkGuard {
        let is_first = peer.add_link(link, opened_by, &self.config.process);
        self.metrics.peer_links(1);
        let process = peer.process.clone();
        let attached = LinkGuard { shared: self.clone(), peer, link, is_attached: true };
        if is_first {
            info!(self.log, "peer connected"; "peer" => %process);
            self.emit(PeerEvent::Up { process }).await;
        }
        attached
    }

    /// Unregisters a connection, fails the requests that it may have lost, and
    /// returns the event to emit if it was the peer's last.
    fn detach(&self, peer: &Arc<Peer>, link: LinkId, end: &LinkEnd) -> Option<PeerEvent> {
        let is_last = peer.remove_link(link, end, &self.config.process);
        let is_known = peer.address().is_some();
        self.metrics.peer_links(-1);
        if is_last {
            peer.pending.fail_written(None);
        } else if matches!(end, LinkEnd::Broken(_)) {
            peer.pending.fail_written(Some(link));
        }
        if is_last && (!is_known || self.closing.is_cancelled()) {
            let detail = "the connection ended and none can be opened";
            peer.fail_queued(&PeerError::new(PeerErrorKind::Unreachable, detail));
        }
        if !is_last {
            return None;
        }
        if !is_known {
            self.remove_unlisted(peer);
        }
        let graceful = match end {
            LinkEnd::Graceful => true,
            LinkEnd::Broken(error) => {
                warn!(self.log, "peer disconnected"; "peer" => %peer.process, "error" => error);
                false
            }
        };
        Some(PeerEvent::Down { process: peer.process.clone(), graceful })
    }

    /// Removes a peer without an address once it has no connection left. Such a
    /// peer was never added by this process; it only connected to it.
    fn remove_unlisted(&self, peer: &Arc<Peer>) {
        let mut peers = self.lock();
        let is_registered = peers.get(&peer.process).is_some_and(|it| Arc::ptr_eq(it, peer));
        if is_registered && peer.address().is_none() && !peer.has_link() {
            peers.remove(&peer.process);
        }
    }

    /// Sends an event to the process, waiting while the event queue is full.
    pub(super) async fn emit(&self, event: PeerEvent) {
        // Sending fails only if the process dropped the receiver, which it does
        // when it shuts down.
        let _ = self.events.send(event).await;
    }

    pub(super) fn count_bytes(&self, peer: &Peer, direction: Direction, bytes: usize) {
        let bytes = bytes as u64;
        let region = peer.count_bytes(direction, bytes);
        self.metrics.region_bytes(&self.config.region, &region, direction, bytes);
    }

    pub(super) fn status(&self) -> Vec<PeerStatus> {
        let mut status: Vec<PeerStatus> = self.lock().values().map(|it| it.status()).collect();
        status.sort_by(|lhs, rhs| lhs.process.cmp(&rhs.process));
        status
    }

    pub(super) async fn shutdown(&self, limit: Duration) {
        self.closing.cancel();
        let peers: Vec<Arc<Peer>> = self.lock().values().cloned().collect();
        for peer in &peers {
            peer.close_lanes();
            if !peer.has_link() {
                let detail = "this process is shutting down";
                peer.fail_queued(&PeerError::new(PeerErrorKind::ShuttingDown, detail));
            }
        }
        self.tasks.close();
        if tokio::time::timeout(limit, self.tasks.wait()).await.is_err() {
            warn!(self.log, "connections to peers did not close in time"; "ms" => limit.as_millis());
        }
        self.abort.cancel();
        self.tasks.wait().await;
    }
}

fn unknown(process: &ProcessId) -> PeerError {
    PeerError::new(PeerErrorKind::UnknownPeer, format!("process {process}"))
}
