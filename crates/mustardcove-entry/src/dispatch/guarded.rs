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

use super::{ServiceCall, retry, send};
use crate::{
    entry::Entry,
    flights::Flight,
    pool::{ServicePool, Ticket},
    shards::{OWNER_WAIT_MS, ShardClient},
    stored,
    upstream::{Answer, AttemptError},
};

/// Time that the shard owner gets to say whether a key is known when no
/// upstream has room, in milliseconds.
const KNOWN_TIMEOUT_MS: u64 = 200;

/// What the shard owner says to an `Admit`.
enum Admission {
    /// This process sends the attempt.
    Send(TaskId),
    /// The request was made before.
    Known(JobStatus),
}

struct Guarded<'a, C> {
    entry: &'a Arc<Entry<C>>,
    call: &'a ServiceCall,
    spec: JobSpec,
    shard: ShardId,
    /// Absent while another task of this process handles the same key.
    flight: Option<Flight>,
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
    let guarded = Guarded {
        entry,
        call,
        shard: job.shard(entry.cfg().shards),
        spec,
        flight: entry.flights().begin(entry.clock().now(), job, expires_at),
    };
    guarded.run(pool).await
}

impl<C: ShardClient> Guarded<'_, C> {
    async fn run(&self, pool: &Arc<ServicePool>) -> Result<Answer, Refusal> {
        let mut avoid: Vec<RouteChoice> = Vec::new();
        let mut attempts = 0;
        loop {
            attempts += 1;
            let ticket =
                match pool.acquire(self.call.class.urgent, self.call.deadline, &avoid).await {
                    Ok(ticket) => ticket,
                    Err(refusal) => return Err(self.covering_earlier(refusal).await),
                };
            let choice = ticket.choice();
            let task = match self.admit(&ticket).await? {
                Admission::Send(task) => task,
                Admission::Known(status) => {
                    drop(ticket);
                    return self.follow(status).await;
                }
            };
            let attempt = self.call.attempt(attempts, Some(task), self.call.deadline);
            let error = match send(ticket, &attempt).await {
                Ok(answer) => {
                    self.entry.record_success(&self.call.member);
                    self.complete(task, succeeded(&answer)).await;
                    return Ok(answer);
                }
                Err(error) => error,
            };
            self.finish_failed(pool, task, error, attempts).await?;
            avoid.push(choice);
        }
    }

    /// Binds the next attempt to the upstream, or learns what became of the
    /// request.
    async fn admit(&self, ticket: &Ticket) -> Result<Admission, Refusal> {
        let body = ShardRequest::Admit {
            spec: self.spec.clone(),
            upstream: ticket.worker().clone(),
            deadline: self.call.deadline,
        };
        let status = match self.request(body).await? {
            ShardResponse::Admitted { task } => {
                return self.claim(task).map(Admission::Send);
            }
            ShardResponse::Accepted { status, .. } | ShardResponse::Status { status } => status,
            other => return Err(unexpected(&other)),
        };
        // The answer to an earlier try of this very `Admit` was lost if the
        // shard shows an attempt of this process that was never sent.
        if let JobState::Bound {
            attempt,
            place: AttemptLocation::Upstream { upstream, entry, .. },
            ..
        } = &status.state
            && *entry == self.entry.cfg().process
            && upstream == ticket.worker()
            && self.flight.as_ref().is_some_and(|it| it.try_dispatch(*attempt))
        {
            return Ok(Admission::Send(TaskId { job: status.job, attempt: *attempt }));
        }
        Ok(Admission::Known(status))
    }

    /// Makes sure that no other task of this process sends the attempt.
    fn claim(&self, task: TaskId) -> Result<TaskId, Refusal> {
        let free = match &self.flight {
            Some(flight) => flight.try_dispatch(task.attempt),
            None => false,
        };
        if free {
            return Ok(task);
        }
        let detail = "another request with the same key is under way";
        Err(self.ask_again_later(Refusal::may_have_run(RefusalReason::Conflict, detail)))
    }

    /// Waits for the outcome of a request that was made before.
    async fn follow(&self, status: JobStatus) -> Result<Answer, Refusal> {
        let mut status = status;
        if !matches!(status.state, JobState::Done { .. }) {
            let body = ShardRequest::Query {
                job: status.job,
                wait_until: Some(self.call.deadline.minus_ms(MAX_CLOCK_ERROR_MS / 5)),
                member: Some(self.call.member.clone()),
            };
            status = match self.request(body).await? {
                ShardResponse::Status { status } | ShardResponse::Accepted { status, .. } => status,
                other => return Err(unexpected(&other)),
            };
        }
        let JobState::Done { outcome, .. } = status.state else {
            let detail = "an earlier request with the same key is still under way";
            let refusal = Refusal::may_have_run(RefusalReason::DeadlineExceeded, detail);
            return Err(self.ask_again_later(refusal));
        };
        match outcome {
            Outcome::Succeeded { result } => stored::decode(&result).ok_or_else(|| {
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

    /// Returns the refusal of a request for which no upstream has room, with a
    /// verdict that covers earlier requests with the same key.
    ///
    /// An earlier answer is not returned here: only `Admit` compares bodies,
    /// and the key may have been used for another one.
    async fn covering_earlier(&self, refusal: Refusal) -> Refusal {
        let body = ShardRequest::Query {
            job: self.spec.id(),
            wait_until: None,
            member: Some(self.call.member.clone()),
        };
        // The refusal is final and must not wait long for a better verdict.
        let latest = self.entry.clock().now().plus_ms(KNOWN_TIMEOUT_MS).min(self.call.deadline);
        let never_sent = match self.entry.shards().request(self.shard, body, latest).await {
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

    /// Records a failed attempt and returns if another one may follow.
    async fn finish_failed(
        &self,
        pool: &Arc<ServicePool>,
        task: TaskId,
        error: AttemptError,
        attempts: u32,
    ) -> Result<(), Refusal> {
        let AttemptError { mut refusal, overloaded } = error;
        if refusal.verdict == Verdict::MayHaveRun && self.call.class.delivery == Delivery::Exclusive
        {
            refusal = self.ask_again_later(refusal);
        }
        let outcome = Outcome::Failed { refusal: refusal.clone() };
        let recorded = self.complete(task, outcome).await;
        // The shard keeps an exclusive attempt that may have run as bound until
        // the upstream must have stopped, and an at-most-once one as over.
        match retry(self.entry, pool, self.call, &refusal, overloaded, attempts) {
            Ok(at) if recorded => {
                self.entry.clock().sleep_until(at).await;
                Ok(())
            }
            Ok(_) => Err(refusal),
            Err(refusal) => Err(refusal),
        }
    }

    /// Stores an outcome; reports whether it is durable.
    ///
    /// An answer is returned even if it could not be stored, because it is
    /// true; the wait for the shard is bounded all the same.
    async fn complete(&self, task: TaskId, outcome: Outcome) -> bool {
        let now = self.entry.clock().now();
        let deadline = now.plus_ms(OWNER_WAIT_MS).min(self.call.deadline.max(now.plus_ms(500)));
        let body = ShardRequest::Complete { task, outcome };
        let completed = self.entry.shards().request(self.shard, body, deadline).await;
        match completed {
            Ok(ShardResponse::Completed) => true,
            Ok(other) => {
                warn!(self.entry.log(), "outcome was not stored";
                    "request" => self.call.tag.as_str(), "task" => %task, "answer" => kind_of(&other));
                false
            }
            Err(refusal) => {
                warn!(self.entry.log(), "outcome was not stored";
                    "request" => self.call.tag.as_str(), "task" => %task, "error" => %refusal);
                false
            }
        }
    }

    async fn request(&self, body: ShardRequest) -> Result<ShardResponse, Refusal> {
        let deadline = self.call.deadline;
        match self.entry.shards().request(self.shard, body, deadline).await? {
            ShardResponse::Refused(refusal) => Err(refusal),
            resp => Ok(resp),
        }
    }

    /// Names the time at which the same key may be used again: when the
    /// upstream must have stopped working on the attempt.
    fn ask_again_later(&self, refusal: Refusal) -> Refusal {
        refusal.with_retry_at(self.call.deadline.plus_ms(MAX_CLOCK_ERROR_MS))
    }
}

fn succeeded(answer: &Answer) -> Outcome {
    let result = stored::encode(answer);
    if result.len() <= MAX_RESULT_BYTES {
        return Outcome::Succeeded { result };
    }
    let detail = format!("the answer exceeds {MAX_RESULT_BYTES} bytes and was not stored");
    let refusal = Refusal::not_run(RefusalReason::TooLarge, detail);
    Outcome::Failed { refusal: Refusal { verdict: Verdict::Ran, ..refusal } }
}

fn unexpected(resp: &ShardResponse) -> Refusal {
    let detail = format!("the shard owner gave an answer of another kind ({})", kind_of(resp));
    Refusal::may_have_run(RefusalReason::Internal, detail)
}

/// Names an answer without its content, which belongs to a member.
fn kind_of(resp: &ShardResponse) -> &'static str {
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
