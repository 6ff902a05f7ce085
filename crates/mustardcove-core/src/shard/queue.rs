//! What the owner remembers of unfinished jobs besides the ledger.
//!
//! It is rebuilt after a takeover: every waiting job is asked for again, and
//! every bound one is listed to its group.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{GroupId, JobId},
    time::Timestamp,
};

/// How far the owner has come with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is done by itself: a service request.
    Idle,
    /// A group is to be asked for a place.
    Ready,
    /// A group was asked for a place.
    Asked { group: GroupId, until: Timestamp },
    /// No group has a place; `hold` says that more room does not shorten it.
    Delayed { until: Timestamp, hold: bool },
    /// An attempt is bound to a worker.
    Held { resend_at: Option<Timestamp>, tries: u32, started_here: bool },
}

#[derive(Clone, Debug)]
pub(super) struct Soft {
    pub(super) step: Step,
    pub(super) urgent: bool,
    pub(super) queued_since: Timestamp,
    pub(super) delays: u32,
    pub(super) refused_by: Vec<(GroupId, Timestamp)>,
    /// Whether the entry process that sent a service request has ended.
    pub(super) entry_gone: bool,
    pub(super) note: &'static str,
}

/// Urgent jobs come first, then those that have waited longest.
type Rank = (bool, Timestamp, JobId);

#[derive(Debug)]
pub(super) struct JobQueue {
    soft: BTreeMap<JobId, Soft>,
    ready: BTreeSet<Rank>,
    delayed: BTreeSet<Rank>,
    asked: usize,
}

impl JobQueue {
    pub(super) fn new() -> JobQueue {
        JobQueue {
            soft: BTreeMap::new(),
            ready: BTreeSet::new(),
            delayed: BTreeSet::new(),
            asked: 0,
        }
    }

    pub(super) fn get(&self, id: JobId) -> Option<&Soft> {
        self.soft.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut Soft> {
        self.soft.get_mut(&id)
    }

    pub(super) fn note(&self, id: JobId) -> &'static str {
        self.soft.get(&id).map_or("", |it| it.note)
    }

    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (self.ready.len(), self.delayed.len(), self.asked)
    }

    pub(super) fn ids(&self) -> Vec<JobId> {
        self.soft.keys().copied().collect()
    }

    /// Returns the jobs that wait for a place, in the order in which they are
    /// served.
    pub(super) fn waiting(&self) -> impl Iterator<Item = JobId> {
        self.ready.iter().chain(&self.delayed).map(|(_, _, id)| *id)
    }

    /// Returns the job to be placed next. Work that is not urgent waits while
    /// `window` reservations are under way.
    pub(super) fn next_ready(&self, window: usize) -> Option<JobId> {
        let (not_urgent, _, id) = self.ready.first()?;
        (!not_urgent || self.asked < window).then_some(*id)
    }

    pub(super) fn insert(&mut self, id: JobId, urgent: bool, queued_since: Timestamp) {
        let soft = Soft {
            step: Step::Idle,
            urgent,
            queued_since,
            delays: 0,
            refused_by: Vec::new(),
            entry_gone: false,
            note: "waiting for a place",
        };
        self.soft.insert(id, soft);
    }

    /// Removes a job and returns what it was doing.
    pub(super) fn remove(&mut self, id: JobId) -> Option<Step> {
        self.leave(id);
        self.soft.remove(&id).map(|it| it.step)
    }

    /// Changes the step of a job that is known and returns the one before.
    pub(super) fn set_step(&mut self, id: JobId, step: Step) -> Option<Step> {
        self.leave(id);
        let soft = self.soft.get_mut(&id)?;
        let before = std::mem::replace(&mut soft.step, step);
        self.enter(id);
        Some(before)
    }

    /// Changes what decides on the order in which a job is served.
    pub(super) fn set_rank(&mut self, id: JobId, urgent: bool, queued_since: Timestamp) {
        self.leave(id);
        if let Some(soft) = self.soft.get_mut(&id) {
            (soft.urgent, soft.queued_since) = (urgent, queued_since);
        }
        self.enter(id);
    }

    /// Returns up to `limit` delayed jobs that more room may help.
    pub(super) fn woken_by_room(&self, limit: usize) -> Vec<JobId> {
        let helped = |id: &JobId| {
            let soft = self.soft.get(id);
            soft.is_some_and(|it| matches!(it.step, Step::Delayed { hold: false, .. }))
        };
        self.delayed.iter().map(|(_, _, id)| *id).filter(helped).take(limit).collect()
    }

    fn leave(&mut self, id: JobId) {
        let Some(soft) = self.soft.get(&id) else { return };
        let rank = (!soft.urgent, soft.queued_since, id);
        match soft.step {
            Step::Ready => _ = self.ready.remove(&rank),
            Step::Delayed { .. } => _ = self.delayed.remove(&rank),
            Step::Asked { .. } => self.asked -= 1,
            Step::Idle | Step::Held { .. } => {}
        }
    }

    fn enter(&mut self, id: JobId) {
        let Some(soft) = self.soft.get(&id) else { return };
        let rank = (!soft.urgent, soft.queued_since, id);
        match soft.step {
            Step::Ready => _ = self.ready.insert(rank),
            Step::Delayed { .. } => _ = self.delayed.insert(rank),
            Step::Asked { .. } => self.asked += 1,
            Step::Idle | Step::Held { .. } => {}
        }
    }
}
