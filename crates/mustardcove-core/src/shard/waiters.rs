//! Requests that are not answered yet.
//!
//! An answer waits until a record is durable; a waiter is a query that waits
//! until a job ends. Both have a deadline at which they are answered with what
//! is known at that time, and both are redirected when ownership of the shard
//! ends.

use std::collections::BTreeMap;

use super::{Shard, timers::Timers};
use crate::{
    id::{JobId, ProcessId, RequestId},
    ledger::Job,
    message::ShardResponse,
    shard::ShardAction,
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
};

/// Identifies a request that is answered once a record is durable.
pub(super) type AnswerId = u64;

/// Requests that are answered once a record is durable.
#[derive(Debug)]
pub(super) struct Answers {
    open: BTreeMap<AnswerId, (ProcessId, RequestId)>,
    deadlines: Timers<AnswerId>,
    next: AnswerId,
}

impl Answers {
    pub(super) fn new() -> Answers {
        Answers { open: BTreeMap::new(), deadlines: Timers::new(), next: 0 }
    }

    pub(super) fn add(
        &mut self,
        to: ProcessId,
        request: RequestId,
        deadline: Timestamp,
    ) -> AnswerId {
        self.next += 1;
        self.open.insert(self.next, (to, request));
        self.deadlines.set(self.next, Some(deadline));
        self.next
    }

    /// Removes the request and returns it, unless it was already answered.
    pub(super) fn take(&mut self, id: AnswerId) -> Option<(ProcessId, RequestId)> {
        self.deadlines.set(id, None);
        self.open.remove(&id)
    }

    pub(super) fn earliest(&self) -> Option<Timestamp> {
        self.deadlines.earliest()
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn drain(&mut self) -> impl Iterator<Item = (ProcessId, RequestId)> + use<> {
        self.deadlines = Timers::new();
        std::mem::take(&mut self.open).into_values()
    }
}

#[derive(Debug)]
struct Waiter {
    to: ProcessId,
    request: RequestId,
    job: JobId,
}

/// Queries that wait until a job ends.
#[derive(Debug)]
pub(super) struct Waiters {
    open: BTreeMap<u64, Waiter>,
    by_job: BTreeMap<JobId, Vec<u64>>,
    deadlines: Timers<u64>,
    next: u64,
}

impl Waiters {
    pub(super) fn new() -> Waiters {
        Waiters {
            open: BTreeMap::new(),
            by_job: BTreeMap::new(),
            deadlines: Timers::new(),
            next: 0,
        }
    }

    pub(super) fn earliest(&self) -> Option<Timestamp> {
        self.deadlines.earliest()
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn add(&mut self, to: ProcessId, request: RequestId, job: JobId, until: Timestamp) {
        self.next += 1;
        self.open.insert(self.next, Waiter { to, request, job });
        self.by_job.entry(job).or_default().push(self.next);
        self.deadlines.set(self.next, Some(until));
    }

    /// Removes and returns the waiters of a job that has ended.
    fn take_job(&mut self, job: JobId) -> Vec<Waiter> {
        let ids = self.by_job.remove(&job).unwrap_or_default();
        ids.iter().filter_map(|id| self.remove(*id)).collect()
    }

    fn pop_due(&mut self, now: Timestamp) -> Option<Waiter> {
        let id = self.deadlines.pop_due(now)?;
        let waiter = self.remove(id)?;
        if let Some(ids) = self.by_job.get_mut(&waiter.job) {
            ids.retain(|it| *it != id);
            if ids.is_empty() {
                self.by_job.remove(&waiter.job);
            }
        }
        Some(waiter)
    }

    fn remove(&mut self, id: u64) -> Option<Waiter> {
        self.deadlines.set(id, None);
        self.open.remove(&id)
    }

    pub(super) fn drain(&mut self) -> impl Iterator<Item = (ProcessId, RequestId)> + use<> {
        let open = std::mem::replace(self, Waiters::new()).open;
        open.into_values().map(|it| (it.to, it.request))
    }
}

impl Shard {
    /// Answers requests whose deadline passed while the outcome of their append
    /// is unknown.
    pub(super) fn expire_answers(&mut self, out: &mut Vec<ShardAction>) {
        while let Some(id) = self.answers.deadlines.pop_due(self.now) {
            let Some((to, request)) = self.answers.take(id) else { continue };
            let detail = "the outcome of the write is not known; ask again with the same key";
            let refusal = Refusal::may_have_run(RefusalReason::StoreUnavailable, detail)
                .with_retry_at(self.retry_at());
            self.respond(to, request, ShardResponse::Refused(refusal), out);
        }
    }

    /// Answers queries whose waiting time has ended with the durable state.
    pub(super) fn expire_waiters(&mut self, out: &mut Vec<ShardAction>) {
        while let Some(waiter) = self.waiters.pop_due(self.now) {
            self.answer_query(waiter.to, waiter.request, waiter.job, out);
        }
    }

    /// Answers the queries that wait for the end of a job.
    pub(super) fn notify_done(&mut self, job: JobId, out: &mut Vec<ShardAction>) {
        for waiter in self.waiters.take_job(job) {
            self.answer_query(waiter.to, waiter.request, job, out);
        }
    }

    pub(super) fn answer_query(
        &mut self,
        to: ProcessId,
        request: RequestId,
        job: JobId,
        out: &mut Vec<ShardAction>,
    ) {
        let status = self.committed.get(job).map(|it: &Job| self.status(job, it));
        let body = match status {
            Some(status) => ShardResponse::Status { status },
            None => ShardResponse::Refused(not_found()),
        };
        self.respond(to, request, body, out);
    }
}

/// Returns the refusal for a job that is unknown or belongs to another member.
///
/// The verdict is not `NotRun`: the job may have been forgotten after its
/// retention period, or accepted by another owner that this one has not
/// detected yet.
pub(super) fn not_found() -> Refusal {
    Refusal::may_have_run(RefusalReason::NotFound, "no such job is known here")
}
