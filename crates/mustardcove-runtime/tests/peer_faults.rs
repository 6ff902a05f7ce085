//! Verdicts of requests when connections fail, queue limits and shutdown.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use mustardcove_core::{
    id::RequestId,
    message::{PeerMessage, ShardResponse},
    verdict::Verdict,
};
use mustardcove_runtime::peer::{PeerError, PeerErrorKind, config::PROTOCOL_VERSION};
use setup::{Node, SHARD, TEST_TIMEOUT, answer, cancel, cancelled, config, pair, process, start};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

async fn ask(node: &Node, job: u128, wait_ms: u64) -> Result<ShardResponse, PeerError> {
    let deadline = node.in_ms(wait_ms);
    node.peers.request(&process("b"), SHARD, cancel(job), deadline).await
}

fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts a relay that can stop forwarding bytes without closing connections.
async fn relay(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (frozen, _) = watch::channel(false);
    let control = Arc::new(frozen.clone());
    tokio::spawn(async move {
        while let Ok((mut from, _)) = listener.accept().await {
            let mut control = control.subscribe();
            tokio::spawn(async move {
                let mut to = TcpStream::connect(to).await.unwrap();
                tokio::select! {
                    _ = copy_bidirectional(&mut from, &mut to) => return,
                    _ = control.changed() => {}
                }
                // Both connections stay open, but nothing is forwarded.
                tokio::time::sleep(TEST_TIMEOUT).await;
            });
        }
    });
    (address, frozen)
}

/// Guards against the verdict "may have run" when no connection could be
/// opened, and against reporting that failure only at the deadline.
#[tokio::test]
async fn connection_refused() {
    let a = start(config("a")).await;
    a.peers.add_peer(process("b"), unused_address(), "moldova".parse().unwrap());
    let began = Instant::now();
    let error = ask(&a, 1, 4_000).await.unwrap_err();
    assert_eq!((error.kind(), error.verdict()), (PeerErrorKind::Unreachable, Verdict::NotRun));
    assert!(began.elapsed() < Duration::from_secs(2));
}

/// Guards against the verdict "not run" for a request that the peer received
/// before it ended.
#[tokio::test]
async fn peer_ends_before_answer() {
    let (a, mut b) = pair().await;
    let request = tokio::spawn(async move { (ask(&a, 1, 4_000).await, a) });
    cancelled(&b.message().await.1);
    let began = Instant::now();
    drop(b);
    let (result, mut a) = timeout(TEST_TIMEOUT, request).await.unwrap().unwrap();
    let error = result.unwrap_err();
    assert_eq!((error.kind(), error.verdict()), (PeerErrorKind::Disconnected, Verdict::MayHaveRun));
    assert!(began.elapsed() < Duration::from_secs(2));
    assert!(!a.down().await);
    let error = ask(&a, 2, 2_000).await.unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun);
}

/// Guards against a connection that silently loses all bytes and is not
/// detected as broken by either side.
#[tokio::test]
async fn unresponsive_connection() {
    let mut a = start(config("a")).await;
    let mut b = start(config("b")).await;
    let (address, frozen) = relay(b.peers.address()).await;
    a.peers.add_peer(process("b"), address, "moldova".parse().unwrap());
    a.peers.send(&process("b"), &PeerMessage::RevisionRequest { request: RequestId(1) }).unwrap();
    b.message().await;
    frozen.send_replace(true);
    let began = Instant::now();
    assert!(!a.down().await);
    assert!(!b.down().await);
    assert!(began.elapsed() < Duration::from_secs(4));
}

/// Guards against a transport that does not reconnect after its peer restarted.
#[tokio::test]
async fn reconnects_to_restarted_peer() {
    let (mut a, mut b) = pair().await;
    a.peers.send(&process("b"), &PeerMessage::RevisionRequest { request: RequestId(1) }).unwrap();
    b.message().await;
    let address = b.peers.address();
    drop(b);
    a.down().await;
    let mut again = config("b");
    again.listen = address;
    let mut b = start(again).await;
    let asking = async {
        loop {
            if let Ok(it) = ask(&a, 5, 1_000).await {
                return it;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let answering = async {
        loop {
            let (request, job) = cancelled(&b.message().await.1);
            b.peers.send(&process("a"), &answer(request, job)).unwrap();
        }
    };
    tokio::select! {
        it = timeout(TEST_TIMEOUT, asking) => assert!(it.is_ok(), "no connection to the new process"),
        () = answering => {}
    }
}

/// Guards against delivering messages for one process to its successor at the
/// same address.
#[tokio::test]
async fn address_taken_over() {
    let a = start(config("a")).await;
    let successor = start(config("b2")).await;
    a.peers.add_peer(process("b"), successor.peers.address(), "moldova".parse().unwrap());
    let error = ask(&a, 1, 2_000).await.unwrap_err();
    assert_eq!((error.kind(), error.verdict()), (PeerErrorKind::Unreachable, Verdict::NotRun));
}

/// Guards against processes that exchange messages although their protocol
/// versions differ.
#[tokio::test]
async fn version_differs() {
    let a = start(config("a")).await;
    let mut newer = config("b");
    newer.protocol_version += 1;
    let b = start(newer).await;
    a.peers.add_peer(process("b"), b.peers.address(), "moldova".parse().unwrap());
    let error = ask(&a, 1, 2_000).await.unwrap_err();
    assert_eq!((error.kind(), error.verdict()), (PeerErrorKind::Unreachable, Verdict::NotRun));
    let expected = format!("version {}, not {PROTOCOL_VERSION}", PROTOCOL_VERSION + 1);
    assert!(error.to_string().contains(&expected), "{error}");
}

/// Guards against queues that grow without limit while messages to a peer
/// cannot be written, and against oversized messages.
#[tokio::test]
async fn queue_bounded() {
    let mut small = config("a");
    small.max_queued_messages = 10;
    small.max_message_bytes = 1_000;
    let a = start(small).await;
    a.peers.add_peer(process("b"), unused_address(), "moldova".parse().unwrap());
    let message = PeerMessage::RevisionRequest { request: RequestId(1) };
    let results: Vec<_> = (0..11).map(|_| a.peers.send(&process("b"), &message)).collect();
    assert!(results[..10].iter().all(Result::is_ok));
    assert_eq!(results[10].as_ref().unwrap_err().kind(), PeerErrorKind::QueueFull);
    let table = vec![0; 2_000].into();
    let large = PeerMessage::Interference { group: "iasi-a.0".parse().unwrap(), table };
    let error = a.peers.send(&process("b"), &large).unwrap_err();
    assert_eq!((error.kind(), error.verdict()), (PeerErrorKind::TooLarge, Verdict::NotRun));
    let unknown = a.peers.send(&process("z"), &message).unwrap_err();
    assert_eq!(unknown.kind(), PeerErrorKind::UnknownPeer);
}

/// Guards against a graceful shutdown that loses queued messages, accepts new
/// ones, or looks like a crash to the peer.
#[tokio::test]
async fn graceful_shutdown() {
    let (a, mut b) = pair().await;
    for id in 0..50 {
        let message = PeerMessage::RevisionRequest { request: RequestId(id) };
        a.peers.send(&process("b"), &message).unwrap();
    }
    b.message().await;
    timeout(TEST_TIMEOUT, a.peers.shutdown(Duration::from_secs(2))).await.unwrap();
    for _ in 1..50 {
        b.message().await;
    }
    assert!(b.down().await);
    let message = PeerMessage::RevisionRequest { request: RequestId(51) };
    let error = a.peers.send(&process("b"), &message).unwrap_err();
    assert_eq!(error.verdict(), Verdict::NotRun);
}
