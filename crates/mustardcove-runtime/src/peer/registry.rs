//! The peers of a process, with their queues, requests and connections.

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

use mustardcove_core::{
    id::{ProcessId, RegionId, RequestId},
    message::PeerMessage,
    time::Timestamp,
};
use mustardcove_platform::{Clock, http::gate::Gate};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, mpsc};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    PeerEvent,
    config::PeerConfig,
    dial,
    error::{PeerError, PeerErrorKind},
    frame,
    lane::{Lane, LaneKind, LinkId, Queued},
    pending::{PendingTable, Waiting},
};
use crate::metrics::{Direction, Metrics};

/// The state of one peer, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// The process.
    pub process: ProcessId,
    /// Its region.
    pub region: RegionId,
    /// The address that connections to it are opened to, if known.
    pub address: Option<SocketAddr>,
    /// Open connections.
    pub links: usize,
    /// Messages queued.
    pub queued: usize,
    /// Requests that wait for their answers.
    pub pending: usize,
    /// Bytes sent, framing of h2 not counted.
    pub sent_bytes: u64,
    /// Bytes received, framing of h2 not counted.
    pub received_bytes: u64,
    /// Answers that nobody waited for any more.
    pub late_answers: u64,
    /// Attempts to connect that failed.
    pub failed_connects: u64,
    /// The last error of a connection.
    pub last_error: Option<String>,
}

/// Whose side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenedBy {
    Us,
    Them,
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// Both sides had said all they wanted to say.
    Graceful,
    /// It broke; what was written may be lost.
    Broken(String),
}

#[derive(Debug)]
struct Link {
    id: LinkId,
    opened_by: OpenedBy,
    /// The peer sends no more on it, so neither do we.
    finished: bool,
}

#[derive(Debug)]
struct PeerState {
    address: Option<SocketAddr>,
    region: RegionId,
    links: Vec<Link>,
    refused_until: Timestamp,
    failed_connects: u64,
    last_error: Option<String>,
}

#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    late_answers: AtomicU64,
}

/// One peer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) process: ProcessId,
    state: Mutex<PeerState>,
    lanes: [Lane; 2],
    pub(super) pending: Arc<PendingTable>,
    counters: Counters,
    links_changed: Notify,
    /// Ends the peer's connections and its dialer.
    pub(super) stop: CancellationToken,
}

impl Peer {
    fn new(process: ProcessId, region: RegionId, stop: CancellationToken) -> Peer {
        let state = PeerState {
            address: None,
            region,
            links: Vec::new(),
            refused_until: Timestamp::default(),
            failed_connects: 0,
            last_error: None,
        };
        Peer {
            process,
            state: Mutex::new(state),
            lanes: Default::default(),
            pending: Arc::default(),
            counters: Counters::default(),
            links_changed: Notify::new(),
            stop,
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub(super) fn lane(&self, kind: LaneKind) -> &Lane {
        &self.lanes[kind as usize]
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.lock().address
    }

    fn has_link(&self) -> bool {
        !self.lock().links.is_empty()
    }

    /// Waits until there is something to send and no connection to send it on.
    pub(super) async fn wants_link(&self) {
        loop {
            let changed = self.links_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.has_link() {
                changed.await;
                continue;
            }
            tokio::select! {
                () = changed => {}
                () = self.lanes[0].wanted() => return,
                () = self.lanes[1].wanted() => return,
            }
        }
    }

    /// Answers queued requests and drops queued messages, none of which was
    /// written.
    pub(super) fn fail_queued(&self, error: &PeerError) {
        for lane in &self.lanes {
            for queued in lane.drain() {
                let Some((request, gate)) = queued.request else {
                    continue;
                };
                gate.close();
                self.pending.answer(request, Err(error.clone()));
            }
        }
    }

    /// Refuses messages at once for a while after an attempt to connect failed.
    pub(super) fn refuse_until(&self, until: Timestamp, error: &PeerError) {
        let mut state = self.lock();
        state.refused_until = until;
        state.failed_connects += 1;
        state.last_error = Some(error.to_string());
    }

    /// Stops sending on a connection on which the peer sends no more.
    pub(super) fn finish(&self, link: LinkId, own: &ProcessId) {
        let mut state = self.lock();
        state.links.iter_mut().filter(|it| it.id == link).for_each(|it| it.finished = true);
        self.choose_link(&state, own);
    }

    /// Lets the preferred connection empty the queues. Both sides prefer one
    /// that was opened by the lower process id, then the newest, and so agree.
    fn choose_link(&self, state: &PeerState, own: &ProcessId) {
        let preferred = if *own < self.process { OpenedBy::Us } else { OpenedBy::Them };
        let usable = state.links.iter().filter(|it| !it.finished);
        let chosen = usable.max_by_key(|it| (it.opened_by == preferred, it.id));
        for lane in &self.lanes {
            lane.set_current(chosen.map(|it| it.id));
        }
    }

    fn status(&self) -> PeerStatus {
        let state = self.lock();
        PeerStatus {
            process: self.process.clone(),
            region: state.region.clone(),
            address: state.address,
            links: state.links.len(),
            queued: self.lanes.iter().map(Lane::len).sum(),
            pending: self.pending.len(),
            sent_bytes: self.counters.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.counters.received_bytes.load(Ordering::Relaxed),
            late_answers: self.counters.late_answers.load(Ordering::Relaxed),
            failed_connects: state.failed_connects,
            last_error: state.last_error.clone(),
        }
    }
}

/// Everything that the tasks of a transport share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) config: PeerConfig,
    pub(super) address: SocketAddr,
    pub(super) clock: Clock,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    pub(super) events: mpsc::Sender<PeerEvent>,
    pub(super) tasks: TaskTracker,
    /// Set when a graceful shutdown begins.
    pub(super) closing: CancellationToken,
    /// Set when everything is to end at once.
    pub(super) abort: CancellationToken,
    peers: Mutex<HashMap<ProcessId, Arc<Peer>>>,
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

    /// Runs a task that ends when the transport does.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let abort = self.abort.clone();
        self.tasks.spawn(async move {
            abort.run_until_cancelled(task).await;
        });
    }

    /// Returns the peer, which is added if it connected without being known.
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
        let was_known = {
            let mut state = peer.lock();
            state.region = region;
            state.address.replace(address).is_some()
        };
        if !was_known {
            self.spawn(dial::run(self.clone(), peer));
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

    fn try_send(
        &self,
        to: &ProcessId,
        message: &PeerMessage,
        request: Option<(RequestId, Gate)>,
    ) -> Result<(), PeerError> {
        let unknown = || PeerError::new(PeerErrorKind::UnknownPeer, format!("process {to}"));
        let peer = self.peer(to).ok_or_else(unknown)?;
        {
            let state = peer.lock();
            let now = self.clock.now();
            if state.links.is_empty() && (state.address.is_none() || now < state.refused_until) {
                let detail = state.last_error.clone().unwrap_or_else(|| "no address".to_owned());
                return Err(PeerError::new(PeerErrorKind::Unreachable, detail));
            }
        }
        let bytes = frame::encode(message, self.config.max_message_bytes)?;
        let lane = peer.lane(LaneKind::of(message));
        let queued = Queued { bytes, request };
        lane.push(queued, self.config.max_queued_messages, self.config.max_queued_bytes)
    }

    pub(super) fn begin_request(
        &self,
        to: &ProcessId,
        message: impl FnOnce(RequestId) -> PeerMessage,
        deadline: Timestamp,
    ) -> Result<Waiting, PeerError> {
        let unknown = || PeerError::new(PeerErrorKind::UnknownPeer, format!("process {to}"));
        let table = self.peer(to).ok_or_else(unknown)?.pending.clone();
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let gate = Gate::new(self.clock, deadline);
        let receiver = table.insert(request, self.config.max_pending_requests)?;
        let waiting = Waiting { request, gate: gate.clone(), receiver, table };
        self.send(to, &message(request), Some((request, gate)))?;
        Ok(waiting)
    }

    pub(super) fn new_link(&self) -> LinkId {
        LinkId(self.next_link.fetch_add(1, Ordering::Relaxed))
    }

    /// Adds a connection to a peer.
    pub(super) async fn attach(&self, peer: &Peer, link: LinkId, opened_by: OpenedBy) {
        let is_first = {
            let mut state = peer.lock();
            let is_first = state.links.is_empty();
            state.links.push(Link { id: link, opened_by, finished: false });
            peer.choose_link(&state, &self.config.process);
            is_first
        };
        peer.links_changed.notify_waiters();
        self.metrics.peer_links(1);
        if is_first {
            info!(self.log, "peer connected"; "peer" => %peer.process);
            let process = peer.process.clone();
            self.emit(PeerEvent::Up { process }).await;
        }
    }

    /// Removes a connection and fails the requests that it may have lost.
    pub(super) async fn detach(&self, peer: &Arc<Peer>, link: LinkId, end: &LinkEnd) {
        let (is_last, is_known) = {
            let mut state = peer.lock();
            state.links.retain(|it| it.id != link);
            if let LinkEnd::Broken(error) = end {
                state.last_error = Some(error.clone());
            }
            peer.choose_link(&state, &self.config.process);
            (state.links.is_empty(), state.address.is_some())
        };
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
        peer.links_changed.notify_waiters();
        if !is_last {
            return;
        }
        let graceful = match end {
            LinkEnd::Graceful => true,
            LinkEnd::Broken(error) => {
                warn!(self.log, "peer disconnected"; "peer" => %peer.process, "error" => error);
                false
            }
        };
        if !is_known {
            self.forget(peer);
        }
        let process = peer.process.clone();
        self.emit(PeerEvent::Down { process, graceful }).await;
    }

    /// Drops a peer that is known only from a connection that it had opened.
    fn forget(&self, peer: &Arc<Peer>) {
        let mut peers = self.lock();
        let is_same = peers.get(&peer.process).is_some_and(|it| Arc::ptr_eq(it, peer));
        if is_same && peer.address().is_none() && !peer.has_link() {
            peers.remove(&peer.process);
        }
    }

    /// Hands an event to the process, waiting while its queue is full.
    pub(super) async fn emit(&self, event: PeerEvent) {
        // A process that takes no more events is shutting down.
        let _ = self.events.send(event).await;
    }

    pub(super) fn count_bytes(&self, peer: &Peer, direction: Direction, bytes: usize) {
        let bytes = bytes as u64;
        let total = match direction {
            Direction::Sent => &peer.counters.sent_bytes,
            Direction::Received => &peer.counters.received_bytes,
        };
        total.fetch_add(bytes, Ordering::Relaxed);
        let region = peer.lock().region.clone();
        self.metrics.region_bytes(&self.config.region, &region, direction, bytes);
    }

    pub(super) fn count_late_answer(&self, peer: &Peer) {
        peer.counters.late_answers.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn status(&self) -> Vec<PeerStatus> {
        let mut status: Vec<PeerStatus> = self.lock().values().map(|it| it.status()).collect();
        status.sort_by(|lhs, rhs| lhs.process.cmp(&rhs.process));
        status
    }

    pub(super) async fn shutdown(&self, bound: Duration) {
        self.closing.cancel();
        let peers: Vec<Arc<Peer>> = self.lock().values().cloned().collect();
        for peer in &peers {
            peer.lanes.iter().for_each(Lane::close);
            if !peer.has_link() {
                let detail = "this process is shutting down";
                peer.fail_queued(&PeerError::new(PeerErrorKind::ShuttingDown, detail));
            }
        }
        self.tasks.close();
        if tokio::time::timeout(bound, self.tasks.wait()).await.is_err() {
            warn!(self.log, "connections to peers did not close in time"; "ms" => bound.as_millis());
        }
        self.abort.cancel();
        self.tasks.wait().await;
    }
}
