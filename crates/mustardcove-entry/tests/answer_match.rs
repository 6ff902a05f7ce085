//! Tests that an answer never reaches the wrong request, is never truncated and
//! never comes from an abandoned attempt.

#[path = "support/all.rs"]
mod support;

use std::time::Duration;

use mustardcove_core::verdict::{RefusalReason, Verdict};
use support::{
    harness::{Harness, answered, refused, worker},
    upstream::TestUpstream,
};
use tokio::task::JoinSet;

/// Guards against an answer that is delivered to another request when answers
/// arrive out of order, and against more connections than an upstream accepts.
#[tokio::test]
async fn each_request_gets_its_own_answer() {
    let upstreams = [TestUpstream::start().await, TestUpstream::start().await];
    let workers = [worker("w-0", upstreams[0].address), worker("w-1", upstreams[1].address)];
    let harness = Harness::start(workers.into()).await;
    let mut calls = JoinSet::new();
    for number in 0..300 {
        // Descending delays make later requests answer before earlier ones.
        let req =
            harness.call("check", &format!("delay={}", 30 - number % 30), &format!("b{number}"));
        calls.spawn(async move { (number, answered(req).await) });
        if number % 20 == 19 {
            while let Some(joined) = calls.join_next().await {
                let (number, answer) = joined.unwrap();
                assert_eq!(answer, format!("answer to b{number}"));
            }
        }
    }
    // Neither upstream accepts more than 16 connections.
    assert!(upstreams.iter().all(|it| it.most_connections() <= 16));
}

/// Guards against passing on an answer with another request's identifier, or
/// one that is or may be truncated.
#[tokio::test]
async fn bad_answers_are_refused() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    for (mode, detail) in [
        ("wrong-id", "the upstream answered another request"),
        ("short", "the upstream's answer ended before its declared length"),
        ("unframed", "the upstream's answer declares no length"),
    ] {
        // A booking is sent at most once, so a bad answer is final.
        let key = format!("key-{mode}");
        let mut sent = 0;
        let refusal = loop {
            let req = harness.call("booking", mode, mode).header("idempotency-key", &key);
            let (status, refusal) = refused(req).await;
            if refusal.reason == RefusalReason::UpstreamFailed {
                assert_eq!(status, 502);
                break refusal;
            }
            // The previous bad answer suspended the only upstream, so requests
            // are refused until a probe resumes it.
            assert_eq!(refusal.verdict, Verdict::NotRun, "{refusal:?}");
            sent += 1;
            assert!(sent < 100, "the upstream was not resumed");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert_eq!(refusal.detail, detail);
        assert_eq!(upstream.runs(mode), 1);
    }
}

/// Guards against the answer to an abandoned attempt that is delivered to a
/// later request on the same connection.
#[tokio::test]
async fn late_answer_is_discarded() {
    let (slow, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let harness = Harness::start(vec![worker("w-0", slow.address)]).await;
    slow.force_mode(Some("delay=1200"));
    let req = harness.call("check", "", "first").header("x-request-timeout-ms", "2000");
    let first = tokio::spawn(answered(req));
    while slow.runs("first") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    harness.list.upsert_worker(worker("w-1", live.address));
    // The first attempt is abandoned after half of the timeout; the second is
    // answered.
    assert_eq!(first.await.unwrap(), "answer to first");
    assert_eq!((slow.runs("first"), live.runs("first")), (1, 1));
    slow.force_mode(None);
    // The late answer is due while these requests are in progress.
    for number in 0..20 {
        let body = format!("b{number}");
        assert_eq!(
            answered(harness.call("check", "delay=20", &body)).await,
            format!("answer to {body}")
        );
    }
}

/// Guards against an answer or a refusal that lacks the identifier by which
/// the caller finds the request in the logs.
#[tokio::test]
async fn request_ids_are_echoed() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let req = harness.call("check", "", "a").header("x-request-id", "caller-7");
    let resp = req.send().await.unwrap();
    assert_eq!(resp.headers()["x-request-id"], "caller-7");
    let (status, refusal) = refused(harness.call("none", "", "a")).await;
    assert_eq!((status, refusal.request_id.starts_with("entry-1-")), (404, true));
}
