//! HTTP/2 behaviour of a graceful shutdown, and the traffic of an idle
//! connection.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use mustardcove_core::{id::RequestId, message::PeerMessage};
use mustardcove_runtime::peer::{PeerConfig, config::PROTOCOL_VERSION};
use setup::{TEST_TIMEOUT, config, process, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

fn open_request(lane: &str) -> Request<()> {
    Request::post(format!("http://peer/{lane}"))
        .header("x-peer-version", PROTOCOL_VERSION)
        .header("x-peer-process", "b")
        .header("x-peer-region", "moldova")
        .header("x-peer-to", "a")
        .body(())
        .unwrap()
}

/// Guards against a shutdown that closes connections without GOAWAY, which a
/// peer cannot distinguish from a crash.
#[tokio::test]
async fn goaway_sent() {
    let a = start(config("a")).await;
    let stream = TcpStream::connect(a.peers.address()).await.unwrap();
    let (requests, connection) = h2::client::handshake(stream).await.unwrap();
    let connection = tokio::spawn(connection);
    let mut requests = requests.ready().await.unwrap();
    let (resp, mut send) = requests.send_request(open_request("control"), false).unwrap();
    let mut recv = timeout(TEST_TIMEOUT, resp).await.unwrap().unwrap().into_body();
    let peers = a.peers.clone();
    let shutdown = tokio::spawn(async move { peers.shutdown(Duration::from_secs(3)).await });
    // The open lane ends without an error, and new streams are refused.
    while let Some(chunk) = timeout(TEST_TIMEOUT, recv.data()).await.unwrap() {
        assert!(chunk.unwrap().is_empty());
    }
    send.send_data(Bytes::new(), true).unwrap();
    let refused = async {
        match requests.ready().await {
            Ok(mut it) => match it.send_request(open_request("bulk"), false) {
                Ok((resp, _)) => resp.await.is_err(),
                Err(_) => true,
            },
            Err(_) => true,
        }
    };
    assert!(timeout(TEST_TIMEOUT, refused).await.unwrap());
    timeout(TEST_TIMEOUT, shutdown).await.unwrap().unwrap();
    let end = timeout(TEST_TIMEOUT, connection).await.unwrap().unwrap();
    assert!(end.is_ok(), "{end:?}");
}

/// Copies from one stream to another and counts the bytes.
async fn copy_counted(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    count: Arc<AtomicU64>,
) {
    let mut buf = [0; 16_384];
    while let Ok(read @ 1..) = from.read(&mut buf).await {
        count.fetch_add(read as u64, Ordering::SeqCst);
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

/// Guards against idle connections that exceed the traffic budget of 14 KB/s
/// per node. At the size planned for two years ahead, a node has two processes
/// with up to 32 peers each.
#[tokio::test]
async fn idle_traffic() {
    const BUDGET_BYTES_PER_S: u64 = 14_000;
    const LINKS_PER_NODE: u64 = 64;
    const ROUNDS: u64 = 10;
    // IP and TCP headers of a ping and its answer in each direction.
    const HEADER_BYTES_PER_ROUND: u64 = 4 * 52;
    let a = start(config("a")).await;
    let mut b = start(config("b")).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = listener.local_addr().unwrap();
    let target = b.peers.address();
    let count = Arc::new(AtomicU64::new(0));
    let counted = count.clone();
    tokio::spawn(async move {
        let (from, _) = listener.accept().await.unwrap();
        let to = TcpStream::connect(target).await.unwrap();
        let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), to.into_split());
        tokio::spawn(copy_counted(from_read, to_write, counted.clone()));
        copy_counted(to_read, from_write, counted).await;
    });
    a.peers.add_peer(process("b"), relay, "moldova".parse().unwrap());
    a.peers.send(&process("b"), &PeerMessage::RevisionRequest { request: RequestId(1) }).unwrap();
    b.message().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = count.load(Ordering::SeqCst);
    let interval = config("a").ping_interval;
    tokio::time::sleep(interval * ROUNDS as u32).await;
    let per_round = (count.load(Ordering::SeqCst) - before).div_ceil(ROUNDS);
    assert!(0 < per_round, "no ping was sent");
    let default = PeerConfig::new(process("a"), "moldova".parse().unwrap(), relay);
    let bytes_per_s = (per_round + HEADER_BYTES_PER_ROUND) * LINKS_PER_NODE * 1_000
        / default.ping_interval.as_millis() as u64;
    assert!(bytes_per_s < BUDGET_BYTES_PER_S, "{per_round} bytes per round, {bytes_per_s} B/s");
}
