//! Requests that wait for an answer.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use mustardcove_core::{id::RequestId, message::PeerMessage, time::Timestamp, verdict::Verdict};
use mustardcove_platform::{Clock, http::gate::Gate};
use tokio::sync::oneshot;

use super::{
    error::{PeerError, PeerErrorKind},
    lane::LinkId,
};

type Answer = Result<PeerMessage, PeerError>;

#[derive(Debug)]
struct PendingEntry {
    answer: oneshot::Sender<Answer>,
    /// The connection on which it was written, or `None` while it is queued.
    written_on: Option<LinkId>,
}

/// The pending requests to one peer, by identifier.
#[derive(Debug, Default)]
pub(super) struct PendingTable {
    requests: Mutex<HashMap<RequestId, PendingEntry>>,
}

/// Returns the identifier of the request that a message answers, or `None` if
/// the message is not an answer.
pub(super) fn answered_request(message: &PeerMessage) -> Option<RequestId> {
    match message {
        PeerMessage::Response { request, .. } | PeerMessage::RevisionResponse { request, .. } => {
            Some(*request)
        }
        PeerMessage::Request { .. }
        | PeerMessage::ToGroup { .. }
        | PeerMessage::ToShard { .. }
        | PeerMessage::ShardHandoverRequest { .. }
        | PeerMessage::Fleet(_)
        | PeerMessage::ShardReleased { .. }
        | PeerMessage::Summary(_)
        | PeerMessage::Configuration(_)
        | PeerMessage::Interference { .. }
        | PeerMessage::RevisionRequest { .. } => None,
    }
}

impl PendingTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, PendingEntry>> {
        self.requests.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Adds a request and returns the receiver of its answer.
    pub(super) fn insert(
        &self,
        request: RequestId,
        max_pending: usize,
    ) -> Result<oneshot::Receiver<Answer>, PeerError> {
        let mut requests = self.lock();
        if max_pending <= requests.len() {
            let detail = format!("{} requests wait for answers", requests.len());
            return Err(PeerError::new(PeerErrorKind::QueueFull, detail));
        }
        let (answer, receiver) = oneshot::channel();
        requests.insert(request, PendingEntry { answer, written_on: None });
        Ok(receiver)
    }

    /// Records that a request is about to be written on a connection.
    pub(super) fn mark_written(&self, request: RequestId, link: LinkId) {
        if let Some(pending) = self.lock().get_mut(&request) {
            pending.written_on = Some(link);
        }
    }

    /// Passes an answer to its request. Returns false if nothing waits for it.
    pub(super) fn answer(&self, request: RequestId, answer: Answer) -> bool {
        let pending = self.lock().remove(&request);
        pending.is_some_and(|it| it.answer.send(answer).is_ok())
    }

    pub(super) fn remove(&self, request: RequestId) {
        self.lock().remove(&request);
    }

    /// Fails the pending requests that were written on `link`, or on any
    /// connection if `link` is `None`.
    pub(super) fn fail_written(&self, link: Option<LinkId>) {
        let mut requests = self.lock();
        let is_lost = |it: &PendingEntry| match link {
            Some(link) => it.written_on == Some(link),
            None => it.written_on.is_some(),
        };
        let lost: Vec<RequestId> =
            requests.iter().filter(|(_, it)| is_lost(it)).map(|(&id, _)| id).collect();
        for id in lost {
            let Some(pending) = requests.remove(&id) else {
                continue;
            };
            let detail = "the connection ended before the answer";
            // Sending fails only if nothing waits for the answer any more.
            let _ = pending.answer.send(Err(PeerError::new(PeerErrorKind::Disconnected, detail)));
        }
    }
}

/// A request that was sent and waits for its answer.
pub(super) struct PendingRequest {
    pub(super) request: RequestId,
    pub(super) gate: Gate,
    pub(super) receiver: oneshot::Receiver<Answer>,
    pub(super) table: Arc<PendingTable>,
}

impl PendingRequest {
    /// Waits until `deadline` for the answer.
    pub(super) async fn answer(mut self, clock: &Clock, deadline: Timestamp) -> Answer {
        let answer = tokio::select! {
            answer = &mut self.receiver => answer.ok(),
            () = clock.sleep_until(deadline) => None,
        };
        answer.unwrap_or_else(|| Err(self.withdraw()))
    }

    /// Withdraws the request if it is not written yet. The returned error says
    /// whether it had been written.
    fn withdraw(&self) -> PeerError {
        match self.gate.close() {
            Verdict::NotRun => {
                PeerError::new(PeerErrorKind::NotWritten, "the request was not written in time")
            }
            Verdict::Ran | Verdict::MayHaveRun => {
                PeerError::new(PeerErrorKind::NoAnswer, "no answer came in time")
            }
        }
    }
}

impl Drop for PendingRequest {
    /// Also runs when the caller drops the future. A request that is not
    /// written yet must not be written afterwards, and a late answer must not
    /// find its request.
    fn drop(&mut self) {
        self.gate.close();
        self.table.remove(self.request);
    }
}
