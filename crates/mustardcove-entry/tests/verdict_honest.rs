//! Guards against a refusal that says "not run" for work that may have run,
//! and against work that is sent again where that may do harm.

#[path = "support/all.rs"]
mod support;

use std::time::Duration;

use mustardcove_core::verdict::{Refusal, RefusalReason, Verdict};
use support::{
    rig::{Rig, answered, refused, worker},
    upstream::TestUpstream,
};

#[tokio::test]
async fn refused_connection_did_not_run() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    upstream.stop().await;
    for class in ["check", "proof", "booking"] {
        let req = rig.call(class, "", class).header("idempotency-key", class);
        let (status, refusal) = refused(req).await;
        assert_eq!((status, refusal.verdict), (503, Verdict::NotRun), "{class}: {refusal:?}");
        assert_eq!(refusal.reason, RefusalReason::NoUpstream);
        assert!(refusal.retry_at.is_some());
    }
}

#[tokio::test]
async fn refused_connection_goes_elsewhere() {
    let (gone, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let workers = vec![worker("w-0", gone.address), worker("w-1", live.address)];
    let rig = Rig::start(workers).await;
    gone.stop().await;
    for number in 0..4 {
        let body = format!("b{number}");
        let req = rig.call("booking", "", &body).header("idempotency-key", &body);
        assert_eq!(answered(req).await, format!("answer to {body}"));
        assert_eq!(live.runs(&body), 1);
    }
}

#[tokio::test]
async fn lost_answer_may_have_run() {
    let upstreams = [TestUpstream::start().await, TestUpstream::start().await];
    let workers = [worker("w-0", upstreams[0].address), worker("w-1", upstreams[1].address)];
    let rig = Rig::start(workers.into()).await;
    for class in ["booking", "proof"] {
        let call = || rig.call(class, "reset", class).header("idempotency-key", class);
        let (status, refusal) = refused(call()).await;
        assert_eq!((status, refusal.verdict), (502, Verdict::MayHaveRun), "{refusal:?}");
        // The same key gets the same verdict, and nothing is sent again.
        let (_, refusal) = refused(call()).await;
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        let runs: u32 = upstreams.iter().map(|it| it.runs(class)).sum();
        assert_eq!(runs, 1, "{class}");
    }
}

#[tokio::test]
async fn idempotent_request_is_repeated() {
    let (bad, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let workers = vec![worker("w-0", bad.address), worker("w-1", live.address)];
    let rig = Rig::start(workers).await;
    bad.force_mode(Some("reset"));
    // Two requests at once go to both upstreams; one of them is reset.
    let calls = ["a", "b"].map(|body| answered(rig.call("check", "delay=100", body)));
    let [a, b] = calls;
    assert_eq!(tokio::join!(a, b), ("answer to a".to_owned(), "answer to b".to_owned()));
    assert_eq!((bad.total_runs(), live.total_runs()), (1, 2));
}

#[tokio::test]
async fn failures_of_upstreams_are_told_apart() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    // What a service answers is the caller's, also when it declines.
    let resp = rig.call("check", "status=409", "taken").send().await.unwrap();
    assert_eq!(resp.status().as_u16(), 409);
    assert_eq!(resp.text().await.unwrap(), "answer to taken");
    let req = rig.call("booking", "status=500", "broken").header("idempotency-key", "broken");
    let (status, refusal) = refused(req).await;
    assert_eq!((status, refusal.verdict), (502, Verdict::MayHaveRun));
    assert_eq!(upstream.runs("broken"), 1);
    let req = rig.call("booking", "silent", "late").header("idempotency-key", "late");
    let (status, refusal) = refused(req.header("x-request-timeout-ms", "300")).await;
    assert_eq!((status, refusal.verdict), (504, Verdict::MayHaveRun));
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
}

#[tokio::test]
async fn draining_upstream_gets_nothing_new() {
    let (leaving, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let workers = vec![worker("w-0", leaving.address), worker("w-1", live.address)];
    let rig = Rig::start(workers).await;
    leaving.set_draining(true);
    for number in 0..20 {
        let body = format!("b{number}");
        let req = rig.call("booking", "", &body).header("idempotency-key", &body);
        assert_eq!(answered(req).await, format!("answer to {body}"));
    }
    assert_eq!((leaving.total_runs(), live.total_runs()), (0, 20));
}

#[tokio::test]
async fn shard_owner_decides_on_guarded_work() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    for verdict in [Verdict::NotRun, Verdict::MayHaveRun] {
        let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, "the store is down");
        let refusal = Refusal { verdict, ..refusal }.with_retry_at(rig.entry.clock().now());
        rig.shards.refuse(Some(refusal));
        let req = rig.call("booking", "", "held").header("idempotency-key", "held");
        let (status, body) = refused(req).await;
        assert_eq!((status, body.verdict), (503, verdict));
    }
    // Without a word of the shard nothing is sent; idempotent work goes on.
    assert_eq!(upstream.runs("held"), 0);
    assert_eq!(answered(rig.call("check", "", "free")).await, "answer to free");
}

#[tokio::test]
async fn admitted_request_survives_its_caller() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    let call = || rig.call("booking", "delay=300", "left").header("idempotency-key", "left");
    let gone = call().timeout(Duration::from_millis(100)).send().await;
    assert!(gone.is_err());
    // The caller asks again and gets the answer of the first run.
    assert_eq!(answered(call()).await, "answer to left");
    assert_eq!(upstream.runs("left"), 1);
}
