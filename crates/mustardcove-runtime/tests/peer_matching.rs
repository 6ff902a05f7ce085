//! Matching of answers to requests, message order and connection sharing.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::sync::Arc;

use bytes::Bytes;
use mustardcove_core::{
    agreement::Agreement,
    id::{RequestId, Revision},
    message::{PeerMessage, ShardResponse},
    verdict::Verdict,
};
use mustardcove_runtime::peer::PeerErrorKind;
use setup::{
    SHARD, TEST_TIMEOUT, answer, cancel, cancelled, config, pair, process, revision, start,
};
use tokio::{task::JoinSet, time::timeout};

/// Guards against matching answers by order instead of by request id. The peer
/// answers in reverse order, and answers each request a second time with
/// another body.
#[tokio::test]
async fn answers_in_reverse_order() {
    let (a, mut b) = pair().await;
    let mut requests = JoinSet::new();
    for job in 0..200u128 {
        let (peers, deadline) = (a.peers.clone(), a.in_ms(5_000));
        requests.spawn(async move {
            let answer = peers.request(&process("b"), SHARD, cancel(job), deadline).await;
            (job, answer)
        });
    }
    let mut received = Vec::new();
    while received.len() < 200 {
        received.push(cancelled(&b.message().await.1));
    }
    for (request, job) in received.into_iter().rev() {
        b.peers.send(&process("a"), &answer(request, job)).unwrap();
        b.peers.send(&process("a"), &answer(request, job + 1)).unwrap();
    }
    while let Some(done) = timeout(TEST_TIMEOUT, requests.join_next()).await.unwrap() {
        let (job, answer) = done.unwrap();
        let hint = Some(process(&format!("job-{job}")));
        assert_eq!(answer, Ok(ShardResponse::NotOwner { hint }));
    }
    assert_eq!(a.peers.status()[0].pending, 0);
}

/// Guards against a late answer that is delivered to a later request.
#[tokio::test]
async fn late_answer() {
    let (a, mut b) = pair().await;
    let late = a.peers.request(&process("b"), SHARD, cancel(1), a.in_ms(200)).await;
    let error = late.unwrap_err();
    assert_eq!((error.kind(), error.verdict()), (PeerErrorKind::NoAnswer, Verdict::MayHaveRun));
    let (request, _) = cancelled(&b.message().await.1);
    let second = tokio::spawn({
        let (peers, deadline) = (a.peers.clone(), a.in_ms(5_000));
        async move { peers.request(&process("b"), SHARD, cancel(2), deadline).await }
    });
    let (second_request, _) = cancelled(&b.message().await.1);
    b.peers.send(&process("a"), &answer(request, 1)).unwrap();
    b.peers.send(&process("a"), &answer(second_request, 2)).unwrap();
    let hint = Some(process("job-2"));
    assert_eq!(second.await.unwrap(), Ok(ShardResponse::NotOwner { hint }));
    assert_eq!(a.peers.status()[0].late_answers, 1);
}

/// Guards against accepting an answer from another peer than the one that was
/// asked.
#[tokio::test]
async fn answer_from_other_peer() {
    let (a, mut b) = pair().await;
    let c = start(config("c")).await;
    c.peers.add_peer(process("a"), a.peers.address(), "moldova".parse().unwrap());
    let request = tokio::spawn({
        let (peers, deadline) = (a.peers.clone(), a.in_ms(5_000));
        async move { peers.request_revision(&process("b"), deadline).await }
    });
    let (_, message) = b.message().await;
    let PeerMessage::RevisionRequest { request: RequestId(id) } = message else {
        panic!("unexpected {message:?}");
    };
    c.peers.send(&process("a"), &revision(id, 66)).unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    b.peers.send(&process("a"), &revision(id, 7)).unwrap();
    assert_eq!(request.await.unwrap(), Ok(Revision(7)));
}

/// Guards against messages that are reordered within a lane, and against large
/// messages that are truncated.
#[tokio::test]
async fn order_kept() {
    let (a, mut b) = pair().await;
    for id in 0..500 {
        let message = PeerMessage::RevisionRequest { request: RequestId(id) };
        a.peers.send(&process("b"), &message).unwrap();
    }
    let table = Bytes::from((0..3_000_000u32).map(|it| (it % 251) as u8).collect::<Vec<u8>>());
    let large = PeerMessage::Interference { group: "iasi-a.0".parse().unwrap(), table };
    a.peers.send(&process("b"), &large).unwrap();
    let configuration = PeerMessage::Configuration(Arc::new(Agreement::default()));
    a.peers.send(&process("b"), &configuration).unwrap();
    let (mut ids, mut bulk) = (Vec::new(), Vec::new());
    for _ in 0..502 {
        match b.message().await.1 {
            PeerMessage::RevisionRequest { request } => ids.push(request.0),
            other => bulk.push(other),
        }
    }
    assert_eq!(ids, (0..500).collect::<Vec<_>>());
    assert!(bulk == [large, configuration]);
}

/// Guards against two connections between the same processes that both stay
/// open, and against messages that are lost while one of them is closed.
#[tokio::test]
async fn simultaneous_open() {
    let mut a = start(config("a")).await;
    let mut b = start(config("b")).await;
    a.peers.add_peer(process("b"), b.peers.address(), "moldova".parse().unwrap());
    b.peers.add_peer(process("a"), a.peers.address(), "moldova".parse().unwrap());
    for id in 0..100 {
        let message = PeerMessage::RevisionRequest { request: RequestId(id) };
        a.peers.send(&process("b"), &message).unwrap();
        b.peers.send(&process("a"), &message).unwrap();
        if id % 10 == 0 {
            tokio::task::yield_now().await;
        }
    }
    for _ in 0..100 {
        a.message().await;
        b.message().await;
    }
    let both_have_one = async {
        while a.peers.status()[0].links != 1 || b.peers.status()[0].links != 1 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, both_have_one).await.expect("more than one connection stays open");
}

/// Guards against traffic that is not counted, or is attributed to another
/// region.
#[tokio::test]
async fn bytes_counted() {
    let a = start(config("a")).await;
    let mut far = config("b");
    far.region = "banat".parse().unwrap();
    let mut b = start(far).await;
    a.peers.add_peer(process("b"), b.peers.address(), "banat".parse().unwrap());
    a.peers.send(&process("b"), &PeerMessage::RevisionRequest { request: RequestId(1) }).unwrap();
    b.message().await;
    let sent = a.peers.status()[0].sent_bytes;
    assert_eq!(sent, b.peers.status()[0].received_bytes);
    assert!(0 < sent);
    let text = a.metrics.render().unwrap();
    let line = text.lines().find(|it| it.starts_with("mustardcove_region_traffic_bytes"));
    let line = line.unwrap_or_else(|| panic!("no count in {text}"));
    for part in ["crosses=\"yes\"", "direction=\"sent\"", "region=\"banat\""] {
        assert!(line.contains(part), "{line}");
    }
    assert!(line.ends_with(&format!(" {sent}")), "{line} does not show {sent}");
}

/// Guards against requests of a process to itself that are refused, or whose
/// answers are not matched.
#[tokio::test]
async fn request_to_self() {
    let mut a = start(config("a")).await;
    let deadline = a.in_ms(5_000);
    let peers = a.peers.clone();
    let asking =
        tokio::spawn(async move { peers.request(&process("a"), SHARD, cancel(5), deadline).await });
    let (from, message) = a.message().await;
    let (request, job) = cancelled(&message);
    a.peers.send(&from, &answer(request, job)).unwrap();
    let hint = Some(process("job-5"));
    assert_eq!(asking.await.unwrap(), Ok(ShardResponse::NotOwner { hint }));
}
