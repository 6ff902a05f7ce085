//! Requests of entry processes: submissions of tasks, queries, cancellations
//! and lists.
//!
//! Answers contain only durable state. A member never learns that a job of
//! another member exists: the answer is the same as for an unknown job.

use std::sync::Arc;

use super::{
    Phase, Shard, ShardAction,
    commit::{Effect, Origin},
    jobs::attempts,
    validate::Dispatch,
    waiters::not_found,
};
use crate::{
    id::{JobId, MemberId, ProcessId, RequestId, TaskId},
    job::{AttemptLocation, JobSpec, JobState, Outcome},
    ledger::{Job, Record},
    message::{JobStatus, ShardRequest, ShardResponse, ShardToGroup},
    time::Timestamp,
    verdict::{Refusal, RefusalReason},
    worker::StopMode,
};

/// Most jobs in one answer to a list.
const MAX_LISTED: u32 = 1000;

/// Approximate size of the listed jobs, payloads and results included, after
/// which an answer to a list ends, in bytes.
const MAX_LIST_BYTES: usize = 512 << 10;

/// The sender and the identifier of a request.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) from: ProcessId,
    pub(super) request: RequestId,
}

impl Shard {
    pub(super) fn on_request(
        &mut self,
        from: ProcessId,
        request: RequestId,
        body: ShardRequest,
        out: &mut Vec<ShardAction>,
    ) {
        let caller = Caller { from, request };
        // A shard that is not ready does not know whether a key was used
        // before, so it must not answer that the request did not run.
        if self.phase != Phase::Ready || !self.owns(&body) {
            let hint = self.successor.clone();
            return self.answer(&caller, ShardResponse::NotOwner { hint }, out);
        }
        match body {
            ShardRequest::Submit { spec } => self.submit(caller, spec, out),
            ShardRequest::Admit { spec, upstream, deadline } => {
                self.admit(caller, spec, upstream, deadline, out);
            }
            ShardRequest::Complete { task, outcome } => self.complete(caller, task, outcome, out),
            ShardRequest::Query { job, wait_until, member } => {
                self.query(caller, job, wait_until, member, out);
            }
            ShardRequest::Cancel { job, member } => self.cancel(caller, job, member, out),
            ShardRequest::List { member, start_after, limit, include_done } => {
                let body = self.list(member, start_after, limit.min(MAX_LISTED), include_done);
                self.answer(&caller, body, out);
            }
        }
    }

    fn owns(&self, body: &ShardRequest) -> bool {
        let job = match body {
            ShardRequest::Submit { spec } | ShardRequest::Admit { spec, .. } => spec.id(),
            ShardRequest::Complete { task, .. } => task.job,
            ShardRequest::Query { job, .. } | ShardRequest::Cancel { job, .. } => *job,
            ShardRequest::List { .. } => return true,
        };
        job.shard(self.shards) == self.id
    }

    pub(super) fn answer(&self, to: &Caller, body: ShardResponse, out: &mut Vec<ShardAction>) {
        self.respond(to.from.clone(), to.request, body, out);
    }

    pub(super) fn refuse(&self, to: &Caller, refusal: Refusal, out: &mut Vec<ShardAction>) {
        self.answer(to, ShardResponse::Refused(refusal), out);
    }

    /// Returns the job unless its retention period has ended.
    pub(super) fn retained(&self, id: JobId) -> Option<&Job> {
        self.latest(id).filter(|it| !it.may_be_forgotten(self.now))
    }

    fn submit(&mut self, caller: Caller, mut spec: JobSpec, out: &mut Vec<ShardAction>) {
        let id = spec.id();
        if let Some(job) = self.retained(id) {
            if job.spec.digest != spec.digest {
                return self.refuse(&caller, key_reused(), out);
            }
            return self.repeat_acceptance(caller, id, spec.deadline, out);
        }
        let valid = self.validate(&mut spec, Dispatch::Task).and_then(|()| self.check_capacity());
        if let Err(refusal) = valid {
            return self.refuse(&caller, refusal, out);
        }
        let deadline = self.answer_deadline(spec.deadline);
        let answer = self.open_answer(&caller.from, caller.request, deadline);
        let effect = Effect::Accepted { id: answer, job: id, repeated: false };
        let record = Record::Accepted { spec: Arc::new(spec), at: self.now };
        self.push(record, vec![effect], Origin::Request, out);
    }

    /// Repeats the answer to the first submission, once that is durable.
    pub(super) fn repeat_acceptance(
        &mut self,
        caller: Caller,
        id: JobId,
        deadline: Option<Timestamp>,
        out: &mut Vec<ShardAction>,
    ) {
        let deadline = self.answer_deadline(deadline);
        let answer = self.open_answer(&caller.from, caller.request, deadline);
        self.attach(id, Effect::Accepted { id: answer, job: id, repeated: true }, out);
    }

    /// Returns the job if the member may see it; operators, without a member,
    /// see every job.
    fn visible(&self, id: JobId, member: &Option<MemberId>) -> Option<&Job> {
        let job = self.retained(id)?;
        member.as_ref().is_none_or(|it| *it == job.spec.member).then_some(job)
    }

    fn query(
        &mut self,
        caller: Caller,
        id: JobId,
        wait_until: Option<Timestamp>,
        member: Option<MemberId>,
        out: &mut Vec<ShardAction>,
    ) {
        if self.visible(id, &member).is_none() {
            return self.refuse(&caller, not_found(), out);
        }
        let until = wait_until.filter(|it| self.now < *it);
        let is_done = self.committed.get(id).is_some_and(Job::is_done);
        match until {
            Some(until) if !is_done && self.waiters.len() < self.cfg.max_waiters => {
                self.waiters.add(caller.from, caller.request, id, until);
            }
            _ => self.answer_query(caller.from, caller.request, id, out),
        }
    }

    fn list(
        &self,
        member: Option<MemberId>,
        start_after: Option<JobId>,
        limit: u32,
        include_done: bool,
    ) -> ShardResponse {
        let mut jobs: Vec<JobStatus> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (id, job) in self.committed.jobs_after(start_after) {
            let is_listed = member.as_ref().is_none_or(|it| *it == job.spec.member)
                && (include_done || !job.is_done())
                && !job.may_be_forgotten(self.now);
            if !is_listed {
                continue;
            }
            if limit as usize <= jobs.len() || MAX_LIST_BYTES <= bytes {
                more = true;
                break;
            }
            bytes += job.approximate_bytes();
            jobs.push(self.status(id, job));
        }
        ShardResponse::Jobs { jobs, more }
    }

    fn cancel(
        &mut self,
        caller: Caller,
        id: JobId,
        member: Option<MemberId>,
        out: &mut Vec<ShardAction>,
    ) {
        let Some(job) = self.visible(id, &member) else {
            return self.refuse(&caller, not_found(), out);
        };
        let (attempt, state) = (attempts(job), job.state.clone());
        let is_settled =
            matches!(state, JobState::Done { .. } | JobState::Bound { cancelling: true, .. });
        let deadline = self.answer_deadline(None);
        if is_settled {
            let answer = self.open_answer(&caller.from, caller.request, deadline);
            return self.attach(id, Effect::Status { id: answer, job: id }, out);
        }
        if self.is_store_down() {
            let refusal = self.store_unavailable();
            return self.refuse(&caller, refusal, out);
        }
        let answer = self.open_answer(&caller.from, caller.request, deadline);
        let mut effects = vec![Effect::Status { id: answer, job: id }];
        let task = TaskId { job: id, attempt };
        let is_durable = self.committed.get(id).and_then(Job::bound_attempt) == Some(attempt);
        match state {
            // The binding is not durable yet, so the start was not sent.
            JobState::Bound { place: AttemptLocation::Worker { group, .. }, .. } if !is_durable => {
                let body = Box::new(ShardToGroup::Release { task });
                effects.push(Effect::SendToGroup { group, body });
                self.finish(id, Outcome::Cancelled, effects, Origin::Request, out);
            }
            JobState::Bound { place, .. } => {
                if let AttemptLocation::Worker { group, worker, .. } = place {
                    let mode = StopMode::Kill;
                    let body = Box::new(ShardToGroup::Stop { task, worker, mode });
                    effects.push(Effect::SendToGroup { group, body });
                }
                self.push(Record::Cancelling { job: id }, effects, Origin::Request, out);
                if self.latest(id).is_some_and(|it| it.bound_worker().is_some()) {
                    self.schedule_resend(id, 0, self.was_started_here(id));
                }
            }
            _ => self.finish(id, Outcome::Cancelled, effects, Origin::Request, out),
        }
    }
}

pub(super) fn key_reused() -> Refusal {
    Refusal::not_run(RefusalReason::KeyReused, "the key was used before with another body")
}
