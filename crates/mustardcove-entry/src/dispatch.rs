//! Dispatch of service requests to upstreams.
//!
//! An idempotent request is sent directly and may be retried. A guarded request
//! (exclusive or at-most-once) is first admitted by the owner of its shard,
//! which durably binds the attempt to an upstream and to this process.

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
    pool::{ServicePool, UpstreamSlot},
    request_id::RequestTag,
    shards::ShardClient,
    upstream::{Answer, Attempt, AttemptError},
};

/// Minimum timeout of an attempt that leaves time for another, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 200;

/// Retry delay for a caller whose last attempt failed, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A service request that the process has admitted.
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
    /// When the caller stops waiting for the answer.
    pub deadline: Timestamp,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The caller's headers that are forwarded to the upstream.
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

    /// Returns the deadline of an attempt.
    ///
    /// It is half of the remaining time if a retry is allowed and half is long
    /// enough for an attempt, and otherwise the deadline of the call.
    fn attempt_deadline(&self, now: Timestamp, number: u32) -> Timestamp {
        let half_ms = now.ms_until(self.deadline) / 2;
        let min_ms = MIN_ATTEMPT_MS.max(2 * self.class.expected_run_ms);
        if MAX_ATTEMPTS <= number || half_ms < min_ms {
            return self.deadline;
        }
        now.plus_ms(half_ms)
    }
}

/// Sends a service request to an upstream and returns its complete answer.
///
/// # Errors
///
/// Returns the refusal of the last attempt as soon as no retry follows.
pub async fn call<C: ShardClient>(
    entry: &Arc<Entry<C>>,
    pool: &Arc<ServicePool>,
    call: ServiceCall,
) -> Result<Answer, Refusal> {
    match call.class.delivery {
        Delivery::Idempotent => call_idempotent(entry, pool, &call).await,
        Delivery::Exclusive | Delivery::AtMostOnce => {
            // An admitted request has to be completed even if its caller
            // disconnects, so it runs in a task of its own.
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

async fn call_idempotent<C: ShardClient>(
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
        let slot = acquired.map_err(|it| with_earlier_verdict(it, verdict))?;
        let choice = slot.choice();
        let deadline = call.attempt_deadline(entry.clock().now(), attempts);
        let error = match send(slot, &call.attempt(attempts, None, deadline)).await {
            Ok(answer) => {
                entry.record_success(&call.member);
                return Ok(answer);
            }
            Err(error) => error,
        };
        verdict = combine_verdicts(verdict, error.refusal.verdict);
        let refusal = Refusal { verdict, ..error.refusal };
        match next_attempt_at(entry, pool, call, &refusal, error.overloaded, attempts) {
            Ok(at) => entry.clock().sleep_until(at).await,
            Err(refusal) => return Err(refusal),
        }
        avoid.push(choice);
    }
}

/// Sends one attempt and records its result in the pool.
async fn send(slot: UpstreamSlot, attempt: &Attempt) -> Result<Answer, AttemptError> {
    // Boxed to keep the futures of requests that wait for an upstream small.
    let end = Box::pin(slot.client().send(attempt)).await;
    slot.end(&end);
    end.result
}

/// Returns the time of the next attempt, or the final refusal.
fn next_attempt_at<C>(
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
    // A retry by the caller cannot help if the same request must not run again.
    if give_up != GiveUpReason::NotRepeatable && give_up != GiveUpReason::Ran {
        refusal.retry_at = Some(entry.clock().now().plus_ms(RETRY_AFTER_MS));
    }
    Err(refusal)
}

/// Returns the verdict on a request after another failed attempt.
fn combine_verdicts(before: Verdict, attempt: Verdict) -> Verdict {
    match (before, attempt) {
        (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
        (Verdict::NotRun, it) => it,
        (Verdict::MayHaveRun, _) => Verdict::MayHaveRun,
    }
}

fn with_earlier_verdict(mut refusal: Refusal, before: Verdict) -> Refusal {
    refusal.verdict = combine_verdicts(before, refusal.verdict);
    refusal
}
