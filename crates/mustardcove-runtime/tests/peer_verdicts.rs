//! Verdicts of requests while connections break at random moments.

#[path = "support/setup.rs"]
#[allow(dead_code, unreachable_pub, missing_docs)]
mod setup;

use std::{collections::BTreeMap, time::Duration};

use mustardcove_core::{message::ShardResponse, verdict::Verdict};
use mustardcove_runtime::peer::PeerEvent;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use setup::{SHARD, answer, cancel, cancelled, config, process, start};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};

const REQUESTS: u128 = 600;

/// Guards against the verdict "not run" for a request that the peer received at
/// any time, against requests that are received twice, and against answers to
/// another request.
#[tokio::test]
async fn verdicts_match_receipt() {
    let mut outcomes = BTreeMap::new();
    for seed in 1..=3 {
        run(seed, &mut outcomes).await;
    }
    // The test is conclusive only if every outcome occurred.
    assert_eq!(outcomes.len(), 3, "{outcomes:?}");
}

/// Sends requests over a relay that closes its connections at random moments,
/// and compares each verdict with what the peer received.
async fn run(seed: u64, outcomes: &mut BTreeMap<String, u32>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut node = config("a");
    node.backoff_min = Duration::from_millis(1);
    node.backoff_max = Duration::from_millis(4);
    let (a, mut b) = (start(node).await, start(config("b")).await);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (relay, target) = (listener.local_addr().unwrap(), b.peers.address());
    let (kill, _) = watch::channel(());
    let killed = kill.clone();
    tokio::spawn(async move {
        while let Ok((mut from, _)) = listener.accept().await {
            let mut killed = killed.subscribe();
            tokio::spawn(async move {
                let Ok(mut to) = TcpStream::connect(target).await else { return };
                tokio::select! {
                    _ = copy_bidirectional(&mut from, &mut to) => {}
                    _ = killed.changed() => {}
                }
            });
        }
    });
    a.peers.add_peer(process("b"), relay, "moldova".parse().unwrap());
    let receiving = tokio::spawn(async move {
        let mut received = BTreeMap::<u128, u32>::new();
        while let Some(event) = b.events.recv().await {
            let PeerEvent::Message { message, .. } = event else { continue };
            let (request, job) = cancelled(&message);
            if job == REQUESTS {
                return received;
            }
            *received.entry(job).or_default() += 1;
            // Sending fails if the connection has ended in the meantime.
            let _ = b.peers.send(&process("a"), &answer(request, job));
        }
        received
    });
    let mut requests = JoinSet::new();
    for job in 0..REQUESTS {
        let (peers, deadline) = (a.peers.clone(), a.in_ms(rng.random_range(1..60)));
        requests.spawn(async move {
            (job, peers.request(&process("b"), SHARD, cancel(job), deadline).await)
        });
        if rng.random_range(0..4) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        if rng.random_range(0..12) == 0 {
            kill.send_replace(());
        }
    }
    let results = requests.join_all().await;
    // This request arrives after all earlier ones that were written to the same
    // connection.
    let last = async {
        while a.peers.request(&process("b"), SHARD, cancel(REQUESTS), a.in_ms(100)).await.is_err()
            && !receiving.is_finished()
        {}
    };
    tokio::time::timeout(setup::TEST_TIMEOUT, last).await.unwrap();
    let received = receiving.await.unwrap();
    assert!(received.values().all(|it| *it == 1), "seed {seed}: received twice");
    for (job, result) in results {
        match result {
            Ok(it) => {
                let hint = Some(process(&format!("job-{job}")));
                assert_eq!(it, ShardResponse::NotOwner { hint }, "seed {seed}");
                *outcomes.entry("answered".to_owned()).or_default() += 1;
            }
            Err(error) => {
                let is_received = received.contains_key(&job);
                let is_verdict_correct = error.verdict() != Verdict::NotRun || !is_received;
                assert!(is_verdict_correct, "seed {seed}: job {job} was received, {error}");
                *outcomes.entry(error.verdict().to_string()).or_default() += 1;
            }
        }
    }
}
