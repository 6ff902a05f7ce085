//! Tests that no refusal has verdict `NotRun` for work that may have run, and
//! that work which must not run twice is never sent again.

#[path = "support/all.rs"]
mod support;

use std::time::Duration;

use mustardcove_core::verdict::{Refusal, RefusalReason, Verdict};
use support::{
    harness::{Harness, answered, refused, worker},
    upstream::TestUpstream,
};

/// Guards against the verdict `MayHaveRun` when no connection could be opened,
/// because the caller of a guarded request could then not retry.
#[tokio::test]
async fn refused_connection_did_not_run() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    upstream.stop().await;
    for class in ["check", "proof", "booking"] {
        let req = harness.call(class, "", class).header("idempotency-key", class);
        let (status, refusal) = refused(req).await;
        assert_eq!((status, refusal.verdict), (503, Verdict::NotRun), "{class}: {refusal:?}");
        assert_eq!(refusal.reason, RefusalReason::NoUpstream);
        assert!(refusal.retry_at.is_some());
    }
}

/// Guards against refusing a guarded request that another upstream can serve,
/// because the first one refused the connection.
#[tokio::test]
async fn refused_connection_is_retried_at_another_upstream() {
    let (stopped, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let workers = vec![worker("w-0", stopped.address), worker("w-1", live.address)];
    let harness = Harness::start(workers).await;
    stopped.stop().await;
    for number in 0..4 {
        let body = format!("b{number}");
        let req = harness.call("booking", "", &body).header("idempotency-key", &body);
        assert_eq!(answered(req).await, format!("answer to {body}"));
        assert_eq!(live.runs(&body), 1);
    }
}

/// Guards against the verdict `NotRun`, or a second run, after the connection
/// broke before the answer to a guarded request.
#[tokio::test]
async fn lost_answer_may_have_run() {
    let upstreams = [TestUpstream::start().await, TestUpstream::start().await];
    let workers = [worker("w-0", upstreams[0].address), worker("w-1", upstreams[1].address)];
    let harness = Harness::start(workers.into()).await;
    for class in ["booking", "proof"] {
        let call = || harness.call(class, "reset", class).header("idempotency-key", class);
        let (status, refusal) = refused(call()).await;
        assert_eq!((status, refusal.verdict), (502, Verdict::MayHaveRun), "{refusal:?}");
        // A repeated request gets the same verdict, and nothing is sent again.
        let (_, refusal) = refused(call()).await;
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        let runs: u32 = upstreams.iter().map(|it| it.runs(class)).sum();
        assert_eq!(runs, 1, "{class}");
    }
}

/// Guards against an idempotent request that fails because one of two
/// upstreams broke the connection.
#[tokio::test]
async fn idempotent_request_is_retried() {
    let (bad, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let workers = vec![worker("w-0", bad.address), worker("w-1", live.address)];
    let harness = Harness::start(workers).await;
    bad.force_mode(Some("reset"));
    // Two concurrent requests go to different upstreams; one of them is reset.
    let calls = ["a", "b"].map(|body| answered(harness.call("check", "delay=100", body)));
    let [a, b] = calls;
    assert_eq!(tokio::join!(a, b), ("answer to a".to_owned(), "answer to b".to_owned()));
    assert_eq!((bad.total_runs(), live.total_runs()), (1, 2));
}

/// Guards against a caller that cannot distinguish a service that declines
/// (its own status) from one that fails (502) or is too slow (504).
#[tokio::test]
async fn upstream_failures_have_distinct_statuses() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    // A service's own answer is returned to the caller, also when it declines.
    let resp = harness.call("check", "status=409", "taken").send().await.unwrap();
    assert_eq!(resp.status().as_u16(), 409);
    assert_eq!(resp.text().await.unwrap(), "answer to taken");
    let req = harness.call("booking", "status=500", "broken").header("idempotency-key", "broken");
    let (status, refusal) = refused(req).await;
    assert_eq!((status, refusal.verdict), (502, Verdict::MayHaveRun));
    assert_eq!(upstream.runs("broken"), 1);
    let req = harness.call("booking", "no-answer", "late").header("idempotency-key", "late");
    let (status, refusal) = refused(req.header("x-request-timeout-ms", "300")).await;
    assert_eq!((status, refusal.verdict), (504, Verdict::MayHaveRun));
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
}

/// Guards against a guarded request that fails or runs at an upstream which
/// answers that it is leaving.
#[tokio::test]
async fn draining_upstream_gets_no_new_requests() {
    let (leaving, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let workers = vec![worker("w-0", leaving.address), worker("w-1", live.address)];
    let harness = Harness::start(workers).await;
    leaving.set_draining(true);
    for number in 0..20 {
        let body = format!("b{number}");
        let req = harness.call("booking", "", &body).header("idempotency-key", &body);
        assert_eq!(answered(req).await, format!("answer to {body}"));
    }
    assert_eq!((leaving.total_runs(), live.total_runs()), (0, 20));
}

/// Guards against sending a guarded request that the shard owner did not
/// admit, and against an outage of the store that stops idempotent requests.
#[tokio::test]
async fn guarded_request_needs_admission() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, "the store is down");
        let refusal = Refusal { verdict, ..refusal }.with_retry_at(harness.entry.clock().now());
        harness.shards.refuse(Some(refusal));
        let req = harness.call("booking", "", "held").header("idempotency-key", "held");
        let (status, body) = refused(req).await;
        assert_eq!((status, body.verdict), (503, verdict));
    }
    // Without an admission by the shard nothing is sent. Idempotent requests
    // need none.
    assert_eq!(upstream.runs("held"), 0);
    assert_eq!(answered(harness.call("check", "", "free")).await, "answer to free");
}

/// Guards against an admitted request that is aborted when its caller
/// disconnects, so that its outcome is never stored.
#[tokio::test]
async fn admitted_request_outlives_its_caller() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let call = || harness.call("booking", "delay=300", "left").header("idempotency-key", "left");
    let abandoned = call().timeout(Duration::from_millis(100)).send().await;
    assert!(abandoned.is_err());
    // The caller repeats the request and gets the answer of the first run.
    assert_eq!(answered(call()).await, "answer to left");
    assert_eq!(upstream.runs("left"), 1);
}
