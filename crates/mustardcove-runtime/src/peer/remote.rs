//! State of one peer: its queues, pending requests and connections.

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

/// The state of one peer, for the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// The process.
    pub process: ProcessId,
    /// Its region.
    pub region: RegionId,
    /// The address to connect to, if known.
    pub address: Option<SocketAddr>,
    /// Number of open connections.
    pub links: usize,
    /// Number of queued messages.
    pub queued: usize,
    /// Number of requests that wait for an answer.
    pub pending: usize,
    /// Bytes sent, without HTTP/2 framing.
    pub sent_bytes: u64,
    /// Bytes received, without HTTP/2 framing.
    pub received_bytes: u64,
    /// Answers that arrived when their request no longer waited for them.
    pub late_answers: u64,
    /// Number of failed attempts to connect.
    pub failed_connects: u64,
    /// The last error of a connection or of an attempt to connect.
    pub last_error: Option<String>,
}

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenedBy {
    Local,
    Remote,
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// Both sides ended their streams after the last message.
    Graceful,
    /// The connection broke. Messages that were written to it may be lost.
    Broken(String),
}

#[derive(Debug)]
struct Link {
    id: LinkId,
    opened_by: OpenedBy,
    /// Whether its opener is known to use it. A peer that has not heard that its
    /// request was accepted may still give it up.
    is_confirmed: bool,
    /// The peer has ended a lane of this link, so nothing more is sent on it
    /// either.
    remote_finished: bool,
}

#[derive(Debug)]
struct PeerState {
    address: Option<SocketAddr>,
    region: RegionId,
    links: Vec<Link>,
    /// The connection that takes messages from the queues.
    active: Option<LinkId>,
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

/// A peer and the state of its connections.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) process: ProcessId,
    state: Mutex<PeerState>,
    lanes: [Lane; 2],
    pub(super) pending: Arc<PendingTable>,
    counters: Counters,
    links_changed: Notify,
    /// Cancelled to end the peer's connections and its dialer.
    pub(super) stop: CancellationToken,
}

impl Peer {
    pub(super) fn new(process: ProcessId, region: RegionId, stop: CancellationToken) -> Peer {
        let state = PeerState {
            address: None,
            region,
            links: Vec::new(),
            active: None,
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

    /// Waits until a message is queued and no connection is open.
    pub(super) async fn link_needed(&self) {
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
                () = self.lanes[0].wait_until_nonempty() => return,
                () = self.lanes[1].wait_until_nonempty() => return,
            }
        }
    }

    /// Drops all queued messages and fails the requests among them. None of
    /// them was written.
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

    /// Records a failed attempt to connect. Messages are refused immediately
    /// until `until`.
    pub(super) fn refuse_until(&self, until: Timestamp, error: &PeerError) {
        let mut state = self.lock();
        state.refused_until = until;
        state.failed_connects += 1;
        state.last_error = Some(error.to_string());
    }

    /// Records that the peer has sent something on a connection that it opened.
    pub(super) fn confirm_link(&self, link: LinkId, own: &ProcessId) {
        let mut state = self.lock();
        state.links.iter_mut().filter(|it| it.id == link).for_each(|it| it.is_confirmed = true);
        self.select_link(&mut state, own);
    }

    /// Stops sending on a connection after the peer has ended one of its lanes.
    pub(super) fn finish_link(&self, link: LinkId, own: &ProcessId) {
        let mut state = self.lock();
        state.links.iter_mut().filter(|it| it.id == link).for_each(|it| it.remote_finished = true);
        self.select_link(&mut state, own);
    }

    /// Sets the address and region, and reports whether an address was set
    /// before.
    pub(super) fn set_address(&self, address: SocketAddr, region: RegionId) -> bool {
        let mut state = self.lock();
        state.region = region;
        state.address.replace(address).is_some()
    }

    /// Returns an error if nothing can be sent now: no connection is open, and
    /// none can be opened.
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
            let is_confirmed = opened_by == OpenedBy::Local;
            state.links.push(Link { id, opened_by, is_confirmed, remote_finished: false });
            self.select_link(&mut state, own);
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
            self.select_link(&mut state, own);
            state.links.is_empty()
        };
        self.links_changed.notify_waiters();
        is_last
    }

    /// Refuses new messages, and lets connections finish once the queues are
    /// empty.
    pub(super) fn close_lanes(&self) {
        self.lanes.iter().for_each(Lane::close);
    }

    /// Counts bytes and returns the region of the peer.
    pub(super) fn count_bytes(&self, direction: Direction, bytes: u64) -> RegionId {
        let total = match direction {
            Direction::Sent => &self.counters.sent_bytes,
            Direction::Received => &self.counters.received_bytes,
        };
        total.fetch_add(bytes, Ordering::Relaxed);
        self.lock().region.clone()
    }

    /// Counts an answer whose request no longer waits for it.
    pub(super) fn count_late_answer(&self) {
        self.counters.late_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Makes the preferred connection the one that takes messages from the
    /// queues. Both sides prefer a connection opened by the lower process id,
    /// and then the newest one, so that they choose the same. One that the peer
    /// has opened takes the place of another only once the peer has used it or
    /// ended the other: its opener may give it up, and none would be left. Until
    /// then it stays open, as the peer may have ended the other already.
    fn select_link(&self, state: &mut PeerState, own: &ProcessId) {
        let preferred = if *own < self.process { OpenedBy::Local } else { OpenedBy::Remote };
        let usable = || state.links.iter().filter(|it| !it.remote_finished);
        let best = usable().max_by_key(|it| (it.opened_by == preferred, it.id));
        let active = usable().find(|it| Some(it.id) == state.active);
        let selected = match (best, active) {
            (Some(best), Some(active)) if !best.is_confirmed => Some(active.id),
            (best, _) => best.map(|it| it.id),
        };
        let next = best.map(|it| it.id).filter(|it| Some(*it) != selected);
        state.active = selected;
        for lane in &self.lanes {
            lane.set_links(selected, next);
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
