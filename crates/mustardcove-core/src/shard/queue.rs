//! The owner's volatile state of unfinished jobs, beside the ledger.
//!
//! A new owner rebuilds it after a takeover: it requests a reservation for
//! every waiting job again, and lists every bound job to its group.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    id::{GroupId, JobId},
    time::Timestamp,
};

/// What the owner does next for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing: service requests are driven by entry processes.
    Idle,
    /// Request a reservation from a group.
    Ready,
    /// Wait until `until` for the answer to a reservation request.
    Reserving { group: GroupId, until: Timestamp },
    /// Wait before groups are asked again; a `fixed` delay is not shortened when
    /// a group reports free capacity.
    Delayed { until: Timestamp, fixed: bool },
    /// Wait for the end of an attempt that is bound to a worker, and repeat the
    /// last message about it at `resend_at`; `started_here` says that this owner
    /// sent its start.
    Bound { resend_at: Option<Timestamp>, tries: u32, started_here: bool },
}

/// The volatile state of one unfinished job.
#[derive(Clone, Debug)]
pub(super) struct TrackedJob {
    pub(super) step: Step,
    pub(super) urgent: bool,
    pub(super) queued_since: Timestamp,
    /// Consecutive delays, for the backoff.
    pub(super) delays: u32,
    /// Groups that refused the job, and until when they are not asked again.
    pub(super) refused_by: Vec<(GroupId, Timestamp)>,
    /// Whether the entry process that sent a service request has ended.
    pub(super) entry_ended: bool,
    /// Why the job waits, for callers and operators.
    pub(super) wait_reason: &'static str,
}

/// Sort key of a waiting job: urgent jobs first, then the longest wait.
type Rank = (bool, Timestamp, JobId);

#[derive(Debug)]
pub(super) struct JobQueue {
    jobs: BTreeMap<JobId, TrackedJob>,
    ready: BTreeSet<Rank>,
    delayed: BTreeSet<Rank>,
    reserving: usize,
}

impl JobQueue {
    pub(super) fn new() -> JobQueue {
        JobQueue {
            jobs: BTreeMap::new(),
            ready: BTreeSet::new(),
            delayed: BTreeSet::new(),
            reserving: 0,
        }
    }

    pub(super) fn get(&self, id: JobId) -> Option<&TrackedJob> {
        self.jobs.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: JobId) -> Option<&mut TrackedJob> {
        self.jobs.get_mut(&id)
    }

    pub(super) fn wait_reason(&self, id: JobId) -> &'static str {
        self.jobs.get(&id).map_or("", |it| it.wait_reason)
    }

    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (self.ready.len(), self.delayed.len(), self.reserving)
    }

    pub(super) fn ids(&self) -> Vec<JobId> {
        self.jobs.keys().copied().collect()
    }

    /// Returns the ready jobs and then the delayed ones, each in rank order.
    pub(super) fn waiting(&self) -> impl Iterator<Item = JobId> {
        self.ready.iter().chain(&self.delayed).map(|(_, _, id)| *id)
    }

    /// Returns the job that is placed next. Work that is not urgent waits while
    /// `max_reserving` reservation requests are open.
    pub(super) fn next_ready(&self, max_reserving: usize) -> Option<JobId> {
        let (not_urgent, _, id) = self.ready.first()?;
        (!not_urgent || self.reserving < max_reserving).then_some(*id)
    }

    pub(super) fn insert(&mut self, id: JobId, urgent: bool, queued_since: Timestamp) {
        let tracked = TrackedJob {
            step: Step::Idle,
            urgent,
            queued_since,
            delays: 0,
            refused_by: Vec::new(),
            entry_ended: false,
            wait_reason: "waiting for a place",
        };
        self.jobs.insert(id, tracked);
    }

    /// Removes a job and returns its last step.
    pub(super) fn remove(&mut self, id: JobId) -> Option<Step> {
        self.remove_from_index(id);
        self.jobs.remove(&id).map(|it| it.step)
    }

    /// Changes the step of a tracked job and returns the previous one.
    pub(super) fn set_step(&mut self, id: JobId, step: Step) -> Option<Step> {
        self.remove_from_index(id);
        let tracked = self.jobs.get_mut(&id)?;
        let before = std::mem::replace(&mut tracked.step, step);
        self.add_to_index(id);
        Some(before)
    }

    /// Changes the rank of a job.
    pub(super) fn set_rank(&mut self, id: JobId, urgent: bool, queued_since: Timestamp) {
        self.remove_from_index(id);
        if let Some(tracked) = self.jobs.get_mut(&id) {
            (tracked.urgent, tracked.queued_since) = (urgent, queued_since);
        }
        self.add_to_index(id);
    }

    /// Returns up to `limit` jobs whose delay ends early when a group reports
    /// free capacity.
    pub(super) fn delayed_for_capacity(&self, limit: usize) -> Vec<JobId> {
        let waits_for_capacity = |id: &JobId| {
            let tracked = self.jobs.get(id);
            tracked.is_some_and(|it| matches!(it.step, Step::Delayed { fixed: false, .. }))
        };
        self.delayed.iter().map(|(_, _, id)| *id).filter(waits_for_capacity).take(limit).collect()
    }

    fn remove_from_index(&mut self, id: JobId) {
        let Some(tracked) = self.jobs.get(&id) else { return };
        let rank = (!tracked.urgent, tracked.queued_since, id);
        match tracked.step {
            Step::Ready => _ = self.ready.remove(&rank),
            Step::Delayed { .. } => _ = self.delayed.remove(&rank),
            Step::Reserving { .. } => self.reserving -= 1,
            Step::Idle | Step::Bound { .. } => {}
        }
    }

    fn add_to_index(&mut self, id: JobId) {
        let Some(tracked) = self.jobs.get(&id) else { return };
        let rank = (!tracked.urgent, tracked.queued_since, id);
        match tracked.step {
            Step::Ready => _ = self.ready.insert(rank),
            Step::Delayed { .. } => _ = self.delayed.insert(rank),
            Step::Reserving { .. } => self.reserving += 1,
            Step::Idle | Step::Bound { .. } => {}
        }
    }
}
