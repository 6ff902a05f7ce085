//! Submissions and cancellations that this process has stored and that the
//! leader has not acknowledged.
//!
//! The leader also receives them through its watch of the store, but a message
//! is faster. Each entry is sent again until the leader acknowledges it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use mustardcove_core::fleet::{
    id::{SubmissionId, Term},
    message::{FleetMessage, Submitted},
    submission::Submission,
};
use tokio::sync::Notify;

use crate::shared::lock;

#[derive(Debug)]
struct Unacknowledged {
    submission: Arc<Submission>,
    /// The only term whose leader can have learned of it; `None` if others can
    /// have.
    first_term: Option<Term>,
}

#[derive(Debug, Default)]
struct Content {
    submissions: BTreeMap<SubmissionId, Unacknowledged>,
    cancelled: Vec<SubmissionId>,
}

/// Entries that the leader has not acknowledged yet.
#[derive(Debug, Default)]
pub struct Outbox {
    content: Mutex<Content>,
    /// Notified when an entry was added, or when the leader changed.
    pub added: Notify,
}

impl Outbox {
    fn lock(&self) -> MutexGuard<'_, Content> {
        lock(&self.content)
    }

    /// Adds a submission unless it was added before. `written_in` is the term
    /// that this process knew before it wrote the submission; `None` if other
    /// processes can have told a leader of it.
    pub fn add_submission(&self, submission: Arc<Submission>, written_in: Option<Term>) {
        let entry = Unacknowledged { submission, first_term: written_in };
        self.lock().submissions.entry(entry.submission.id).or_insert(entry);
        self.added.notify_one();
    }

    /// Adds a cancellation.
    pub fn add_cancellation(&self, id: SubmissionId) {
        let mut content = self.lock();
        if !content.cancelled.contains(&id) {
            content.cancelled.push(id);
        }
        drop(content);
        self.added.notify_one();
    }

    /// Removes the entries that the leader has acknowledged.
    pub fn acknowledged(&self, submissions: &[SubmissionId], cancelled: &[SubmissionId]) {
        let mut content = self.lock();
        for id in submissions {
            content.submissions.remove(id);
        }
        content.cancelled.retain(|it| !cancelled.contains(it));
    }

    /// Returns whether the leader has acknowledged everything.
    pub fn is_empty(&self) -> bool {
        let content = self.lock();
        content.submissions.is_empty() && content.cancelled.is_empty()
    }

    /// Returns messages with all entries for the leader of a term.
    pub fn messages(&self, term: Term) -> Vec<FleetMessage> {
        let content = self.lock();
        let mut messages = Vec::new();
        if !content.submissions.is_empty() {
            let submitted = content.submissions.values().map(|it| Submitted {
                submission: it.submission.clone(),
                may_have_started: it.first_term != Some(term),
            });
            messages.push(FleetMessage::Submitted(submitted.collect()));
        }
        if !content.cancelled.is_empty() {
            messages.push(FleetMessage::Cancelled(content.cancelled.clone()));
        }
        messages
    }
}
