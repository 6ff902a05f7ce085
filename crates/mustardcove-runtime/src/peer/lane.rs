//! Bounded queues of messages to a peer, one per lane.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

use bytes::Bytes;
use mustardcove_core::{id::RequestId, message::PeerMessage};
use mustardcove_platform::http::gate::Gate;
use tokio::sync::Notify;

use super::error::{PeerError, PeerErrorKind};

/// Identifies a connection (link) within the process. Later connections have
/// larger ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkId(pub(super) u64);

/// Identifies one of the two lanes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaneKind {
    /// Messages whose order matters.
    Control,
    /// Large messages of which a later one supersedes an earlier one.
    Bulk,
}

impl LaneKind {
    pub(super) const ALL: [LaneKind; 2] = [LaneKind::Control, LaneKind::Bulk];

    pub(super) fn for_message(message: &PeerMessage) -> LaneKind {
        match message {
            PeerMessage::Configuration(_) | PeerMessage::Interference { .. } => LaneKind::Bulk,
            PeerMessage::Request { .. }
            | PeerMessage::Response { .. }
            | PeerMessage::ToGroup { .. }
            | PeerMessage::ToShard { .. }
            | PeerMessage::ShardHandoverRequest { .. }
            | PeerMessage::ShardReleased { .. }
            | PeerMessage::Summary(_)
            | PeerMessage::RevisionRequest { .. }
            | PeerMessage::Fleet(_)
            | PeerMessage::RevisionResponse { .. } => LaneKind::Control,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            LaneKind::Control => "control",
            LaneKind::Bulk => "bulk",
        }
    }

    pub(super) fn from_name(name: &str) -> Option<LaneKind> {
        LaneKind::ALL.into_iter().find(|it| it.name() == name)
    }
}

/// An encoded message that waits to be written.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) bytes: Bytes,
    /// The request that it carries, with the gate that its sender closes to
    /// withdraw it.
    pub(super) request: Option<(RequestId, Gate)>,
}

#[derive(Debug, Default)]
struct State {
    queue: VecDeque<Queued>,
    bytes: usize,
    /// The connection that may take messages from the queue.
    active_link: Option<LinkId>,
    /// The connection that takes its place if the peer uses it.
    next_link: Option<LinkId>,
    closing: bool,
}

/// Result of asking for the next message of a lane.
pub(super) enum Next {
    /// A message to write.
    Message(Queued),
    /// The queue is empty.
    Empty,
    /// Nothing more will be written on this connection.
    Finished,
}

/// A bounded queue from which one connection at a time takes messages.
#[derive(Debug, Default)]
pub(super) struct Lane {
    state: Mutex<State>,
    changed: Notify,
}

impl Lane {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub(super) fn push(
        &self,
        message: Queued,
        max_messages: usize,
        max_bytes: usize,
    ) -> Result<(), PeerError> {
        let mut state = self.lock();
        if state.closing {
            return Err(PeerError::new(PeerErrorKind::ShuttingDown, "no more messages are taken"));
        }
        let bytes = state.bytes + message.bytes.len();
        if max_messages <= state.queue.len() || max_bytes < bytes {
            let detail = format!("{} messages, {} bytes queued", state.queue.len(), state.bytes);
            return Err(PeerError::new(PeerErrorKind::QueueFull, detail));
        }
        state.bytes = bytes;
        state.queue.push_back(message);
        drop(state);
        self.changed.notify_waiters();
        Ok(())
    }

    /// Makes `active` the only connection that takes messages from the queue. `next`
    /// stays open beside it; nothing more is written on any other.
    pub(super) fn set_links(&self, active: Option<LinkId>, next: Option<LinkId>) {
        let mut state = self.lock();
        (state.active_link, state.next_link) = (active, next);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Refuses new messages, and lets the active connection finish once the
    /// queue is empty.
    pub(super) fn close(&self) {
        self.lock().closing = true;
        self.changed.notify_waiters();
    }

    fn next(&self, link: LinkId) -> Next {
        let mut state = self.lock();
        if state.active_link != Some(link) {
            let is_next = state.next_link == Some(link) && !state.closing;
            return if is_next { Next::Empty } else { Next::Finished };
        }
        match state.queue.pop_front() {
            Some(message) => {
                state.bytes -= message.bytes.len();
                Next::Message(message)
            }
            None if state.closing => Next::Finished,
            None => Next::Empty,
        }
    }

    /// Waits for the next message to write on `link`. Returns `None` once
    /// nothing more will be written on it.
    pub(super) async fn pop(&self, link: LinkId) -> Option<Queued> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            match self.next(link) {
                Next::Message(message) => return Some(message),
                Next::Finished => return None,
                Next::Empty => changed.await,
            }
        }
    }

    /// Waits until the queue is not empty, whichever connection is active.
    pub(super) async fn wait_until_nonempty(&self) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.lock().queue.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Removes and returns all queued messages.
    pub(super) fn drain(&self) -> Vec<Queued> {
        let mut state = self.lock();
        state.bytes = 0;
        state.queue.drain(..).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.lock().queue.len()
    }
}
