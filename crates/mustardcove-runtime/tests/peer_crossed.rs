//! Connections that two processes open to each other at the same time.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardcove_core::{id::RequestId, message::PeerMessage};
use mustardcove_runtime::peer::PeerEvent;
use setup::{Node, config, process, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Time between two messages.
const INTERVAL: Duration = Duration::from_millis(20);
const SENDING_TIME: Duration = Duration::from_secs(3);
/// Time after which no message arrives any more.
const SETTLE: Duration = Duration::from_millis(800);

fn message(number: u64) -> PeerMessage {
    PeerMessage::RevisionRequest { request: RequestId(number) }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let (send, mut queue) = tokio::sync::mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    let write = async {
        while let Some((due, bytes)) = queue.recv().await {
            tokio::time::sleep_until(due.into()).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    let read = async move {
        let mut buffer = vec![0; 65_536];
        while let Ok(length) = from.read(&mut buffer).await
            && 0 < length
        {
            let _ = send.send((Instant::now() + delay, buffer[..length].to_vec()));
        }
    };
    tokio::join!(read, write);
}

/// Starts a relay that delays everything, as between two regions.
async fn slow_relay(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            let to = TcpStream::connect(to).await.unwrap();
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            tokio::spawn(forward(from_read, to_write, delay));
            tokio::spawn(forward(to_read, from_write, delay));
        }
    });
    address
}

/// Counts messages, lost connections, and the longest time without a message.
async fn receive(node: &mut Node) -> (u64, u32, Duration) {
    let (mut received, mut lost, mut longest) = (0, 0, Duration::ZERO);
    let mut before = Instant::now();
    let reading = async {
        loop {
            match node.events.recv().await.expect("the transport ended") {
                PeerEvent::Message { .. } => {
                    received += 1;
                    longest = longest.max(before.elapsed());
                    before = Instant::now();
                }
                PeerEvent::Down { .. } => lost += 1,
                PeerEvent::Up { .. } => {}
            }
        }
    };
    let _ = tokio::time::timeout(SETTLE, reading).await;
    (received, lost, longest)
}

/// Guards against two connections opened at the same time of which each side keeps
/// another one, or none. `delay_ms` is that of the connections which `a` and `b` open.
async fn crossed(delay_ms: [u64; 2]) {
    let mut a = start(config("a.1")).await;
    let mut b = start(config("b.1")).await;
    let (id_a, id_b) = (process("a.1"), process("b.1"));
    let region = || "moldova".parse().unwrap();
    let [to_b, to_a] = delay_ms.map(Duration::from_millis);
    let address = slow_relay(b.peers.address(), to_b).await;
    a.peers.add_peer(id_b.clone(), address, region());
    let address = slow_relay(a.peers.address(), to_a).await;
    b.peers.add_peer(id_a.clone(), address, region());
    let sending = async {
        let (began, mut sent) = (Instant::now(), 0);
        while began.elapsed() < SENDING_TIME {
            a.peers.send(&id_b, &message(sent)).unwrap();
            b.peers.send(&id_a, &message(sent)).unwrap();
            sent += 1;
            tokio::time::sleep(INTERVAL).await;
        }
        sent
    };
    let sent = sending.await;
    let at_a = receive(&mut a).await;
    let at_b = receive(&mut b).await;
    assert_eq!((at_a.0, at_a.1), (sent, 0), "messages, lost connections at a");
    assert_eq!((at_b.0, at_b.1), (sent, 0), "messages, lost connections at b");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lower_is_slow() {
    crossed([80, 20]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn higher_is_slow() {
    crossed([20, 80]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_alike() {
    crossed([40, 40]).await;
}
