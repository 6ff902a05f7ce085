//! One peer, with its queues, requests and connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use mustardcove_core::{
    id::{ProcessId, RegionId},
    time::Timestamp,
};
use serde::Serialize;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::{
    error::{PeerError, PeerErrorKind},
    lane::{Lane, LaneKind, LinkId},
    pending::PendingTable,
};
use crate::metrics::Direction;

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
    /// Both sides ended their streams after the last message.
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
    pub(super) fn new(process: ProcessId, region: RegionId, stop: CancellationToken) -> Peer {
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

    pub(super) fn has_link(&self) -> bool {
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

    /// Makes an address known, and reports whether there was one before.
    pub(super) fn set_address(&self, address: SocketAddr, region: RegionId) -> bool {
        let mut state = self.lock();
        state.region = region;
        state.address.replace(address).is_some()
    }

    /// Returns why nothing can be sent now, if there is a reason.
    pub(super) fn refusal(&self, now: Timestamp) -> Option<PeerError> {
        let state = self.lock();
        let can_open = state.address.is_some() && state.refused_until <= now;
        if !state.links.is_empty() || can_open {
            return None;
        }
        let detail = state.last_error.clone().unwrap_or_else(|| "no address".to_owned());
        Some(PeerError::new(PeerErrorKind::Unreachable, detail))
    }

    /// Adds a connection, and reports whether it is the first.
    pub(super) fn add_link(&self, id: LinkId, opened_by: OpenedBy, own: &ProcessId) -> bool {
        let is_first = {
            let mut state = self.lock();
            let is_first = state.links.is_empty();
            state.links.push(Link { id, opened_by, finished: false });
            self.choose_link(&state, own);
            is_first
        };
        self.links_changed.notify_waiters();
        is_first
    }

    /// Removes a connection, and reports whether it was the last.
    pub(super) fn remove_link(&self, id: LinkId, end: &LinkEnd, own: &ProcessId) -> bool {
        let is_last = {
            let mut state = self.lock();
            state.links.retain(|it| it.id != id);
            if let LinkEnd::Broken(error) = end {
                state.last_error = Some(error.clone());
            }
            self.choose_link(&state, own);
            state.links.is_empty()
        };
        self.links_changed.notify_waiters();
        is_last
    }

    /// Takes no more messages and lets connections finish.
    pub(super) fn close_lanes(&self) {
        self.lanes.iter().for_each(Lane::close);
    }

    /// Counts bytes and returns the region that they went to or came from.
    pub(super) fn count_bytes(&self, direction: Direction, bytes: u64) -> RegionId {
        let total = match direction {
            Direction::Sent => &self.counters.sent_bytes,
            Direction::Received => &self.counters.received_bytes,
        };
        total.fetch_add(bytes, Ordering::Relaxed);
        self.lock().region.clone()
    }

    /// Counts an answer that nobody waits for any more.
    pub(super) fn count_late_answer(&self) {
        self.counters.late_answers.fetch_add(1, Ordering::Relaxed);
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

    pub(super) fn status(&self) -> PeerStatus {
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
