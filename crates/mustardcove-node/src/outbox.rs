//! Submissions and cancellations that are in the store and that the leader has
//! to hear of.
//!
//! The leader finds them by its watch, too; a message is only faster. Each is
//! repeated until the leader says that it has taken it.

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
struct Waiting {
    submission: Arc<Submission>,
    /// The first term whose leader was told.
    told: Option<Term>,
}

#[derive(Debug, Default)]
struct Content {
    submissions: BTreeMap<SubmissionId, Waiting>,
    cancelled: Vec<SubmissionId>,
}

/// What the leader has not confirmed yet.
#[derive(Debug, Default)]
pub struct Outbox {
    content: Mutex<Content>,
    /// Set when something was added.
    pub added: Notify,
}

impl Outbox {
    fn lock(&self) -> MutexGuard<'_, Content> {
        lock(&self.content)
    }

    /// Adds a submission.
    pub fn submitted(&self, submission: Arc<Submission>) {
        self.lock().submissions.insert(submission.id, Waiting { submission, told: None });
        self.added.notify_one();
    }

    /// Adds a cancellation.
    pub fn cancelled(&self, id: SubmissionId) {
        let mut content = self.lock();
        if !content.cancelled.contains(&id) {
            content.cancelled.push(id);
        }
        drop(content);
        self.added.notify_one();
    }

    /// Removes what the leader has taken.
    pub fn taken(&self, submissions: &[SubmissionId], cancelled: &[SubmissionId]) {
        let mut content = self.lock();
        for id in submissions {
            content.submissions.remove(id);
        }
        content.cancelled.retain(|it| !cancelled.contains(it));
    }

    /// Returns whether everything was taken.
    pub fn is_empty(&self) -> bool {
        let content = self.lock();
        content.submissions.is_empty() && content.cancelled.is_empty()
    }

    /// Returns messages with everything that is waiting, for the leader of a
    /// term.
    pub fn messages(&self, term: Term) -> Vec<FleetMessage> {
        let mut content = self.lock();
        let mut messages = Vec::new();
        if !content.submissions.is_empty() {
            let submitted = content.submissions.values_mut().map(|it| {
                let told = *it.told.get_or_insert(term);
                let submission = it.submission.clone();
                Submitted { submission, may_have_started: told != term }
            });
            messages.push(FleetMessage::Submitted(submitted.collect()));
        }
        if !content.cancelled.is_empty() {
            messages.push(FleetMessage::Cancelled(content.cancelled.clone()));
        }
        messages
    }
}
