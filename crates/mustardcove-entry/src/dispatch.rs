//! Service requests on their way to upstreams.
//!
//! An idempotent request is sent directly and may be sent again. A guarded one
//! (exclusive or at-most-once) is first admitted by the owner of its shard,
//! which binds the attempt to an upstream and this process durably.

mod guarded;

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use mustardcove_core::{
    class::{Class, Delivery},
    id::{IdempotencyKey, MemberId, TaskId},
    retry::{FailedAttempt, GiveUpReason, MAX_ATTEMPTS, RetryDecision},
    routing::RouteChoice,
    time::Timestamp,
    verdict::{Refusal, Verdict},
};
use slog::debug;

use crate::{
    entry::Entry,
    pool::{ServicePool, Ticket},
    request_id::RequestTag,
    shards::ShardClient,
    upstream::{Answer, Attempt, AttemptError},
};

/// Shortest time that an attempt gets when time is kept for another, in
/// milliseconds.
const MIN_ATTEMPT_MS: u64 = 200;

/// Time after which a caller may ask again when an attempt failed, in
/// milliseconds.
const RETRY_MS: u64 = 500;

/// A service request that was admitted to the process.
#[derive(Clone)]
pub struct ServiceCall {
    /// Its identifiers.
    pub tag: RequestTag,
    /// The member on whose behalf it runs.
    pub member: MemberId,
    /// Its class.
    pub class: Class,
    /// Its idempotency key, if the caller gave one.
    pub key: Option<IdempotencyKey>,
    /// When its answer is of no more use.
    pub deadline: Timestamp,
    /// Type of the body.
    pub content_type: Option<HeaderValue>,
    /// The caller's headers that upstreams may read.
    pub forwarded: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ServiceCall {
    fn attempt(&self, number: u32, task: Option<TaskId>, deadline: Timestamp) -> Attempt {
        Attempt {
            id: self.tag.attempt_id(number),
            class: HeaderValue::from_str(self.class.id.as_str())
                .expect("names hold visible characters only"),
            task,
            deadline,
            content_type: self.content_type.clone(),
            forwarded: self.forwarded.clone(),
            body: self.body.clone(),
        }
    }

    /// Returns when an attempt is given up, so that time is left for another.
    fn attempt_deadline(&self, now: Timestamp, number: u32) -> Timestamp {
        let share_ms = now.ms_until(self.deadline) / 2;
        let least_ms = MIN_ATTEMPT_MS.max(2 * self.class.expected_run_ms);
        if MAX_ATTEMPTS <= number || share_ms < least_ms {
            return self.deadline;
        }
        now.plus_ms(share_ms)
    }
}

/// Sends a service request to an upstream and returns its whole answer.
///
/// # Errors
///
/// Returns the final refusal at once when no further attempt is made.
pub async fn call<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    call: ServiceCall,
) -> Result<Answer, Refusal> {
    match call.class.delivery {
        Delivery::Idempotent => idempotent(entry, pool, &call).await,
        Delivery::Exclusive | Delivery::AtMostOnce => {
            // The caller may go away, but an admitted request has to be
            // completed, so it has a task of its own.
            let (entry, pool) = (Arc::clone(entry), Arc::clone(pool));
            let tasks = entry.tasks().clone();
            let task = tasks.spawn(async move { guarded::call(&entry, &pool, &call).await });
            task.await.unwrap_or_else(|error| {
                let detail = format!("the request's task failed: {error}");
                Err(Refusal::may_have_run(
                    mustardcove_core::verdict::RefusalReason::Internal,
                    detail,
                ))
            })
        }
    }
}

async fn idempotent<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    call: &ServiceCall,
) -> Result<Answer, Refusal> {
    let mut avoid: Vec<RouteChoice> = Vec::new();
    let mut verdict = Verdict::NotRun;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let acquired = pool.acquire(call.class.urgent, call.deadline, &avoid).await;
        let ticket = acquired.map_err(|it| worsened(it, verdict))?;
        let choice = ticket.choice();
        let deadline = call.attempt_deadline(entry.clock().now(), attempts);
        let error = match send(ticket, &call.attempt(attempts, None, deadline)).await {
            Ok(answer) => {
                entry.record_success(&call.member);
                return Ok(answer);
            }
            Err(error) => error,
        };
        verdict = worse(verdict, error.refusal.verdict);
        let refusal = Refusal { verdict, ..error.refusal };
        match retry(entry, pool, call, &refusal, error.overloaded, attempts) {
            Ok(at) => entry.clock().sleep_until(at).await,
            Err(refusal) => return Err(refusal),
        }
        avoid.push(choice);
    }
}

/// Sends one attempt and records its end with the pool.
async fn send(ticket: Ticket, attempt: &Attempt) -> Result<Answer, AttemptError> {
    // Boxed, so that requests which wait for an upstream stay small.
    let end = Box::pin(ticket.client().send(attempt)).await;
    ticket.end(&end);
    end.result
}

/// Returns when to try again, or the final refusal.
fn retry<C>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    call: &ServiceCall,
    refusal: &Refusal,
    overloaded: bool,
    attempts: u32,
) -> Result<Timestamp, Refusal> {
    let failed = FailedAttempt {
        delivery: call.class.delivery,
        verdict: refusal.verdict,
        attempts,
        overloaded,
        deadline: call.deadline,
        expected_ms: pool.expected_ms(),
    };
    let decision = entry.decide_retry(&call.member, failed);
    debug!(entry.log(), "attempt failed";
        "request" => call.tag.as_str(), "attempt" => attempts,
        "verdict" => %refusal.verdict, "reason" => %refusal.reason, "next" => ?decision);
    let give_up = match decision {
        RetryDecision::RetryAt(at) => {
            entry.metrics().record_retry(&call.class.id);
            return Ok(at);
        }
        RetryDecision::GiveUp(reason) => reason,
    };
    let mut refusal = refusal.clone();
    // Asking again cannot help where the same request must not run again.
    if give_up != GiveUpReason::NotRepeatable && give_up != GiveUpReason::Ran {
        refusal.retry_at = Some(entry.clock().now().plus_ms(RETRY_MS));
    }
    Err(refusal)
}

/// Returns the verdict on a request of which one more attempt failed.
fn worse(before: Verdict, attempt: Verdict) -> Verdict {
    match (before, attempt) {
        (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
        (Verdict::NotRun, it) => it,
        (Verdict::MayHaveRun, _) => Verdict::MayHaveRun,
    }
}

fn worsened(mut refusal: Refusal, before: Verdict) -> Refusal {
    refusal.verdict = worse(before, refusal.verdict);
    refusal
}
