//! Connections between a process that runs on and one that has restarted at its
//! address.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardcove_core::{
    id::{ProcessId, RequestId},
    message::PeerMessage,
};
use mustardcove_runtime::peer::PeerEvent;
use setup::{Node, TEST_TIMEOUT, config, process, start};
use tokio::{
    io::copy,
    net::{TcpListener, TcpStream},
};

/// Time between two messages, as between two heartbeats of a leader.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time for which messages are sent to both processes at the address.
const SENDING_TIME: Duration = Duration::from_secs(2);

fn message(number: u64) -> PeerMessage {
    PeerMessage::RevisionRequest { request: RequestId(number) }
}

/// Starts a process whose predecessor `gone` had the same address, which `other`
/// goes on using.
async fn restarted(name: &str, gone: &ProcessId, other: (&ProcessId, &Node)) -> Node {
    let node = start(config(name)).await;
    let region = || "moldova".parse().unwrap();
    let (id, other) = other;
    other.peers.add_peer(gone.clone(), node.peers.address(), region());
    node.peers.add_peer(id.clone(), other.peers.address(), region());
    node
}

/// Sends numbered messages from `from` to `to`, and others to `gone`.
async fn send_to_both(from: &Node, to: &ProcessId, gone: &ProcessId) -> u64 {
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < SENDING_TIME {
        // Refused while its address belongs to another process.
        let _ = from.peers.send(gone, &message(1_000_000));
        if from.peers.send(to, &message(sent)).is_ok() {
            sent += 1;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    sent
}

/// Reads events until message `last` has arrived; returns the number of messages
/// and of lost connections.
async fn receive(node: &mut Node, last: u64) -> (u64, u32) {
    let (mut received, mut lost) = (0, 0);
    let reading = async {
        loop {
            match node.events.recv().await.expect("the transport ended") {
                PeerEvent::Message { message: it, .. } => {
                    received += 1;
                    if *it == message(last) {
                        return;
                    }
                }
                PeerEvent::Down { .. } => lost += 1,
                PeerEvent::Up { .. } => {}
            }
        }
    };
    // Messages that were lost show in the count.
    let _ = tokio::time::timeout(TEST_TIMEOUT, reading).await;
    (received, lost)
}

/// Guards against a connection that was opened to a process which has ended, and
/// takes the place of those of its successor at the same address.
async fn keeps_connection(running_id: &str, restarted_as: &str, gone: &str) {
    let mut running = start(config(running_id)).await;
    let (running_id, id, gone) = (process(running_id), process(restarted_as), process(gone));
    let mut node = restarted(restarted_as, &gone, (&running_id, &running)).await;
    node.peers.send(&running_id, &message(7)).unwrap();
    running.message().await;
    let address: SocketAddr = node.peers.address();
    running.peers.add_peer(id.clone(), address, "moldova".parse().unwrap());
    let sent = send_to_both(&running, &id, &gone).await;
    assert_eq!(receive(&mut node, sent - 1).await, (sent, 0), "messages, lost connections");
}

/// The process that runs on has the lower id, so that its connections win.
#[tokio::test]
async fn lower_runs_on() {
    keeps_connection("a.1", "b.2", "b.1").await;
}

/// The restarted process has the lower id.
#[tokio::test]
async fn higher_runs_on() {
    keeps_connection("c.1", "b.2", "b.1").await;
}

/// Starts a relay over which answers do not arrive.
async fn one_way_relay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut from, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut to = TcpStream::connect(to).await.unwrap();
                let (mut requests, _from) = from.split();
                let (_to, mut forwarded) = to.split();
                let _ = copy(&mut requests, &mut forwarded).await;
            });
        }
    });
    address
}

/// Guards against a connection that is ended for another one which its opener
/// gives up, because the answer to its request comes too late.
#[tokio::test]
async fn opener_gives_up() {
    let mut hasty = config("a.1");
    hasty.connect_timeout = Duration::from_millis(300);
    let mut a = start(hasty).await;
    let mut b = start(config("b.1")).await;
    let (id_a, id_b) = (process("a.1"), process("b.1"));
    let region = || "moldova".parse().unwrap();
    b.peers.add_peer(id_a.clone(), a.peers.address(), region());
    a.peers.add_peer(id_b.clone(), one_way_relay(b.peers.address()).await, region());
    a.peers.send(&id_b, &message(1)).unwrap();
    b.peers.send(&id_a, &message(2)).unwrap();
    a.message().await;
    let began = Instant::now();
    while began.elapsed() < SENDING_TIME {
        b.peers.send(&id_a, &message(3)).unwrap();
        a.message().await;
        tokio::time::sleep(INTERVAL).await;
    }
    let lost = std::iter::from_fn(|| b.events.try_recv().ok())
        .filter(|it| matches!(it, PeerEvent::Down { .. }))
        .count();
    assert_eq!(lost, 0, "connections lost");
}
