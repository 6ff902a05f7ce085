//! Dispatch of guarded requests, which the shard owner admits and records.
//!
//! Each attempt is admitted by the shard owner, sent to the upstream, and its
//! outcome is stored at the shard owner. A request whose key is already known
//! waits for the outcome of the earlier one instead of running again.

use std::sync::Arc;

use mustardcove_core::{
    class::Delivery,
    id::{ShardId, TaskId},
    job::{AttemptLocation, BodyDigest, JobSpec, JobState, MAX_RESULT_BYTES, Outcome},
    message::{JobStatus, ShardRequest, ShardResponse},
    routing::RouteChoice,
    time::MAX_CLOCK_ERROR_MS,
    verdict::{Refusal, RefusalReason, Verdict},
};
use slog::warn;

use super::{ServiceCall, next_attempt_at, send};
use crate::{
    dispatch_table::DispatchPermit,
    entry::Entry,
    pool::{ServicePool, UpstreamSlot},
    shards::{OWNER_WAIT_MS, ShardClient},
    stored_answer,
    upstream::{Answer, AttemptError},
};

/// Timeout for asking the shard owner whether it knows a key when no upstream
/// has a free slot, in milliseconds.
const KEY_LOOKUP_TIMEOUT_MS: u64 = 200;

/// Result of an `Admit` request to the shard owner.
enum AdmitResult {
    /// The attempt is bound to this process, which has to send it.
    Dispatch(TaskId),
    /// An earlier request used the same key.
    AlreadyKnown(JobStatus),
}

struct GuardedCall<'a, C> {
    entry: &'a Arc<Entry<C>>,
    call: &'a ServiceCall,
    spec: JobSpec,
    shard: ShardId,
    /// `None` if another task of this process handles the same key.
    permit: Option<DispatchPermit>,
}

/// Handles an exclusive or at-most-once request.
pub(super) async fn call<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    call: &ServiceCall,
) -> Result<Answer, Refusal> {
    let Some(key) = call.key.clone() else {
        let detail = "a request of this class needs an idempotency-key header";
        return Err(Refusal::not_run(RefusalReason::Invalid, detail));
    };
    let spec = JobSpec {
        member: call.member.clone(),
        key,
        class: call.class.id.clone(),
        resources: call.class.resources,
        expected_run_ms: call.class.expected_run_ms,
        deadline: Some(call.deadline),
        digest: BodyDigest::of(&call.class.id, &call.body),
        payload: call.body.clone(),
    };
    let job = spec.id();
    let expires_at = call.deadline.plus_ms(2 * MAX_CLOCK_ERROR_MS);
    let guarded = GuardedCall {
        entry,
        call,
        shard: job.shard(entry.cfg().shards),
        spec,
        permit: entry.dispatch_table().try_acquire(entry.clock().now(), job, expires_at),
    };
    guarded.run(pool).await
}

impl<C: ShardClient> GuardedCall<'_, C> {
    async fn run(&self, pool: &Arc<ServicePool>) -> Result<Answer, Refusal> {
        let mut avoid: Vec<RouteChoice> = Vec::new();
        let mut attempts = 0;
        loop {
            attempts += 1;
            let slot = match pool.acquire(self.call.class.urgent, self.call.deadline, &avoid).await
            {
                Ok(slot) => slot,
                Err(refusal) => return Err(self.cover_earlier_requests(refusal).await),
            };
            let choice = slot.choice();
            let task = match self.admit(&slot).await? {
                AdmitResult::Dispatch(task) => task,
                AdmitResult::AlreadyKnown(status) => {
                    drop(slot);
                    return self.await_outcome(status).await;
                }
            };
            let attempt = self.call.attempt(attempts, Some(task), self.call.deadline);
            let error = match send(slot, &attempt).await {
                Ok(answer) => {
                    self.entry.record_success(&self.call.member);
                    self.store_outcome(task, success_outcome(&answer)).await;
                    return Ok(answer);
                }
                Err(error) => error,
            };
            self.handle_failure(pool, task, error, attempts).await?;
            avoid.push(choice);
        }
    }

    /// Asks the shard owner to bind the next attempt to the upstream, and returns
    /// the job's status if there is nothing to send.
    async fn admit(&self, slot: &UpstreamSlot) -> Result<AdmitResult, Refusal> {
        let body = ShardRequest::Admit {
            spec: self.spec.clone(),
            upstream: slot.worker().clone(),
            deadline: self.call.deadline,
        };
        let status = match self.request_shard(body).await? {
            ShardResponse::Admitted { task } => {
                return self.claim_dispatch(task).map(AdmitResult::Dispatch);
            }
            ShardResponse::Accepted { status, .. } | ShardResponse::Status { status } => status,
            other => return Err(unexpected_response(&other)),
        };
        // If the shard shows an attempt that is bound to this process and was
        // never sent, the answer to an earlier try of this `Admit` was lost.
        if let JobState::Bound {
            attempt,
            place: AttemptLocation::Upstream { upstream, entry, .. },
            ..
        } = &status.state
            && *entry == self.entry.cfg().process
            && upstream == slot.worker()
            && self.permit.as_ref().is_some_and(|it| it.try_dispatch(*attempt))
        {
            return Ok(AdmitResult::Dispatch(TaskId { job: status.job, attempt: *attempt }));
        }
        Ok(AdmitResult::AlreadyKnown(status))
    }

    /// Reserves the attempt for this task, so that no other task of this process
    /// sends it.
    fn claim_dispatch(&self, task: TaskId) -> Result<TaskId, Refusal> {
        let claimed = match &self.permit {
            Some(permit) => permit.try_dispatch(task.attempt),
            None => false,
        };
        if claimed {
            return Ok(task);
        }
        let detail = "another request with the same key is under way";
        Err(self.with_retry_after_deadline(Refusal::may_have_run(RefusalReason::Conflict, detail)))
    }

    /// Waits for the outcome of an earlier request with the same key.
    async fn await_outcome(&self, status: JobStatus) -> Result<Answer, Refusal> {
        let mut status = status;
        if !matches!(status.state, JobState::Done { .. }) {
            let body = ShardRequest::Query {
                job: status.job,
                wait_until: Some(self.call.deadline.minus_ms(MAX_CLOCK_ERROR_MS / 5)),
                member: Some(self.call.member.clone()),
            };
            status = match self.request_shard(body).await? {
                ShardResponse::Status { status } | ShardResponse::Accepted { status, .. } => status,
                other => return Err(unexpected_response(&other)),
            };
        }
        let JobState::Done { outcome, .. } = status.state else {
            let detail = "an earlier request with the same key is still under way";
            let refusal = Refusal::may_have_run(RefusalReason::DeadlineExceeded, detail);
            return Err(self.with_retry_after_deadline(refusal));
        };
        match outcome {
            Outcome::Succeeded { result } => stored_answer::decode(&result).ok_or_else(|| {
                let detail = "the stored answer cannot be read";
                Refusal {
                    verdict: Verdict::Ran,
                    ..Refusal::not_run(RefusalReason::Internal, detail)
                }
            }),
            Outcome::Failed { refusal } => Err(refusal),
            Outcome::Cancelled => {
                let detail = "the request was cancelled before it was sent";
                Err(Refusal::not_run(RefusalReason::Cancelled, detail))
            }
        }
    }

    /// Returns the refusal of a request that got no upstream, with a verdict
    /// that also covers earlier requests with the same key.
    ///
    /// The answer to an earlier request is not returned here: only `Admit`
    /// compares bodies, and the key may have been used with another body.
    async fn cover_earlier_requests(&self, refusal: Refusal) -> Refusal {
        let body = ShardRequest::Query {
            job: self.spec.id(),
            wait_until: None,
            member: Some(self.call.member.clone()),
        };
        // The request is refused in any case, so the wait for a more precise
        // verdict is short.
        let lookup_deadline =
            self.entry.clock().now().plus_ms(KEY_LOOKUP_TIMEOUT_MS).min(self.call.deadline);
        let never_sent = match self.entry.shards().request(self.shard, body, lookup_deadline).await
        {
            Ok(ShardResponse::Refused(it)) => it.reason == RefusalReason::NotFound,
            Ok(ShardResponse::Status { status }) => {
                matches!(status.state, JobState::Queued { .. })
            }
            _ => false,
        };
        if never_sent {
            return refusal;
        }
        let detail = format!("{}; an earlier request with the key may have run", refusal.detail);
        Refusal { verdict: Verdict::MayHaveRun, detail, ..refusal }
    }

    /// Stores a failed attempt and waits until the next one may start.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no attempt follows.
    async fn handle_failure(
        &self,
        pool: &Arc<ServicePool>,
        task: TaskId,
        error: AttemptError,
        attempts: u32,
    ) -> Result<(), Refusal> {
        let AttemptError { mut refusal, overloaded } = error;
        if refusal.verdict == Verdict::MayHaveRun && self.call.class.delivery == Delivery::Exclusive
        {
            refusal = self.with_retry_after_deadline(refusal);
        }
        let outcome = Outcome::Failed { refusal: refusal.clone() };
        let stored = self.store_outcome(task, outcome).await;
        // For an attempt that may have run, the shard keeps an exclusive request
        // bound until the upstream must have stopped, and an at-most-once
        // request as done.
        match next_attempt_at(self.entry, pool, self.call, &refusal, overloaded, attempts) {
            Ok(at) if stored => {
                self.entry.clock().sleep_until(at).await;
                Ok(())
            }
            Ok(_) => Err(refusal),
            Err(refusal) => Err(refusal),
        }
    }

    /// Stores an outcome at the shard owner, and reports whether it is durable.
    ///
    /// The caller gets an answer even if it could not be stored, because the work
    /// did run. The wait for the shard owner is bounded.
    async fn store_outcome(&self, task: TaskId, outcome: Outcome) -> bool {
        let now = self.entry.clock().now();
        let deadline = now.plus_ms(OWNER_WAIT_MS).min(self.call.deadline.max(now.plus_ms(500)));
        let body = ShardRequest::Complete { task, outcome };
        let response = self.entry.shards().request(self.shard, body, deadline).await;
        match response {
            Ok(ShardResponse::Completed) => true,
            Ok(other) => {
                warn!(self.entry.log(), "outcome was not stored";
                    "request" => self.call.tag.as_str(), "task" => %task, "answer" => response_kind(&other));
                false
            }
            Err(refusal) => {
                warn!(self.entry.log(), "outcome was not stored";
                    "request" => self.call.tag.as_str(), "task" => %task, "error" => %refusal);
                false
            }
        }
    }

    async fn request_shard(&self, body: ShardRequest) -> Result<ShardResponse, Refusal> {
        let deadline = self.call.deadline;
        match self.entry.shards().request(self.shard, body, deadline).await? {
            ShardResponse::Refused(refusal) => Err(refusal),
            resp => Ok(resp),
        }
    }

    /// Sets `retry_at` to when the same key may be used again, which is when the
    /// upstream must have stopped working on the attempt.
    fn with_retry_after_deadline(&self, refusal: Refusal) -> Refusal {
        refusal.with_retry_at(self.call.deadline.plus_ms(MAX_CLOCK_ERROR_MS))
    }
}

fn success_outcome(answer: &Answer) -> Outcome {
    let result = stored_answer::encode(answer);
    if result.len() <= MAX_RESULT_BYTES {
        return Outcome::Succeeded { result };
    }
    let detail = format!("the answer exceeds {MAX_RESULT_BYTES} bytes and was not stored");
    let refusal = Refusal::not_run(RefusalReason::TooLarge, detail);
    Outcome::Failed { refusal: Refusal { verdict: Verdict::Ran, ..refusal } }
}

fn unexpected_response(resp: &ShardResponse) -> Refusal {
    let detail =
        format!("the shard owner gave an answer of another kind ({})", response_kind(resp));
    Refusal::may_have_run(RefusalReason::Internal, detail)
}

/// Returns the kind of a response for logs and error texts.
///
/// The content belongs to a member and is left out.
fn response_kind(resp: &ShardResponse) -> &'static str {
    match resp {
        ShardResponse::Accepted { .. } => "accepted",
        ShardResponse::Admitted { .. } => "admitted",
        ShardResponse::Completed => "completed",
        ShardResponse::Status { .. } => "status",
        ShardResponse::Jobs { .. } => "jobs",
        ShardResponse::Refused(_) => "refused",
        ShardResponse::NotOwner { .. } => "not_owner",
    }
}
