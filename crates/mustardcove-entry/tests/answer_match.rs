//! Guards against answers that reach the wrong request, are cut short or come
//! from an attempt that was given up.

#[path = "support/all.rs"]
mod support;

use std::time::Duration;

use mustardcove_core::verdict::{RefusalReason, Verdict};
use support::{
    rig::{Rig, answered, refused, worker},
    upstream::TestUpstream,
};
use tokio::task::JoinSet;

#[tokio::test]
async fn each_request_gets_its_answer() {
    let upstreams = [TestUpstream::start().await, TestUpstream::start().await];
    let workers = [worker("w-0", upstreams[0].address), worker("w-1", upstreams[1].address)];
    let rig = Rig::start(workers.into()).await;
    let mut calls = JoinSet::new();
    for number in 0..300 {
        // Delays in descending order make later answers overtake earlier ones.
        let req = rig.call("check", &format!("delay={}", 30 - number % 30), &format!("b{number}"));
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

#[tokio::test]
async fn bad_answers_are_refused() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    for (mode, detail) in [
        ("wrong-id", "the upstream answered another request"),
        ("short", "the upstream's answer ended before its declared length"),
        ("unframed", "the upstream's answer declares no length"),
    ] {
        // A booking is sent once, so the first bad answer is the last word.
        let key = format!("key-{mode}");
        let mut sent = 0;
        let refusal = loop {
            let req = rig.call("booking", mode, mode).header("idempotency-key", &key);
            let (status, refusal) = refused(req).await;
            if refusal.reason == RefusalReason::UpstreamFailed {
                assert_eq!(status, 502);
                break refusal;
            }
            // The previous bad answer suspended the only upstream.
            assert_eq!(refusal.verdict, Verdict::NotRun, "{refusal:?}");
            sent += 1;
            assert!(sent < 100, "the upstream did not come back");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        assert_eq!(refusal.detail, detail);
        assert_eq!(upstream.runs(mode), 1);
    }
}

#[tokio::test]
async fn late_answer_is_dropped() {
    let (slow, live) = (TestUpstream::start().await, TestUpstream::start().await);
    let rig = Rig::start(vec![worker("w-0", slow.address)]).await;
    slow.force_mode(Some("delay=1200"));
    let req = rig.call("check", "", "first").header("x-request-timeout-ms", "2000");
    let first = tokio::spawn(answered(req));
    while slow.runs("first") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    rig.list.upsert_worker(worker("w-1", live.address));
    // The first attempt is given up at half of the time, the second answers.
    assert_eq!(first.await.unwrap(), "answer to first");
    assert_eq!((slow.runs("first"), live.runs("first")), (1, 1));
    slow.force_mode(None);
    // The late answer falls due while these are under way.
    for number in 0..20 {
        let body = format!("b{number}");
        assert_eq!(
            answered(rig.call("check", "delay=20", &body)).await,
            format!("answer to {body}")
        );
    }
}

#[tokio::test]
async fn names_of_requests_are_repeated() {
    let upstream = TestUpstream::start().await;
    let rig = Rig::start(vec![worker("w-0", upstream.address)]).await;
    let req = rig.call("check", "", "a").header("x-request-id", "caller-7");
    let resp = req.send().await.unwrap();
    assert_eq!(resp.headers()["x-request-id"], "caller-7");
    let (status, refusal) = refused(rig.call("none", "", "a")).await;
    assert_eq!((status, refusal.request_id.starts_with("entry-1-")), (404, true));
}
