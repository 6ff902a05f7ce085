//! A process that cannot reach the leader, and asks others before it claims.

#[path = "support/local.rs"]
mod local;

use std::{
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    time::Duration,
};

use local::{Local, free_ip, start_peers};
use mustardcove_core::{
    fleet::{
        message::FleetMessage,
        record::{self, LEADER_KEY, LeaderRecord, PROCESS_PREFIX, ProcessRecord},
    },
    id::ProcessId,
    message::PeerMessage,
};
use mustardcove_node::{dispatch, membership};
use mustardcove_runtime::peer::PeerEvent;
use tokio::sync::mpsc;

/// Time within which a process claims that hears of no leader, with some to spare.
const CLAIM_TIME: Duration = Duration::from_secs(4);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What the voters answer, and how often they were asked.
static HEAR: AtomicBool = AtomicBool::new(true);
static ASKED: AtomicU32 = AtomicU32::new(0);

/// Starts a process that answers whether it hears the leader, and registers it.
async fn start_voter(local: &Local, name: &str) {
    let process: ProcessId = format!("{name}.1").parse().expect("a valid name");
    let (peers, mut events) = start_peers(&process, free_ip()).await;
    let record = ProcessRecord {
        process,
        name: name.to_owned(),
        address: peers.address().to_string(),
        region: local.shared.settings.region.clone(),
        domain: local.shared.settings.domain.clone(),
        cpu_share: 0.5,
    };
    local.store.put(&format!("{PROCESS_PREFIX}{name}"), &record::encode(&record));
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            let PeerEvent::Message { from, message } = event else { continue };
            let PeerMessage::Fleet(message) = *message else { continue };
            let FleetMessage::AskHeard { vote, .. } = *message else { continue };
            ASKED.fetch_add(1, Ordering::Relaxed);
            let answer = FleetMessage::Heard { vote, hears: HEAR.load(Ordering::Relaxed) };
            let _ = peers.send(&from, &PeerMessage::Fleet(Box::new(answer)));
        }
    });
}

/// Names a leader in the store at an address where nobody listens, and starts the
/// candidate. Returns it with the record.
async fn start_candidate(mut local: Local) -> (Local, Vec<u8>) {
    let leader = LeaderRecord {
        process: "leader.1".parse().expect("a valid name"),
        address: format!("{}:7720", free_ip()),
        region: local.shared.settings.region.clone(),
        claims: 1,
    };
    let record = record::encode(&leader);
    local.store.put(LEADER_KEY, &record);
    let (leader, inputs) = membership::leader_queue();
    let events = std::mem::replace(&mut local.events, mpsc::channel(1).1);
    let routes = dispatch::Routes { poller: mpsc::channel(1).0, leader };
    tokio::spawn(dispatch::run(local.shared.clone(), events, routes));
    tokio::spawn(membership::run(local.shared.clone(), inputs));
    (local, record)
}

/// Returns whether another record replaces that of the leader in time.
async fn is_claimed(local: &Local, record: &[u8]) -> bool {
    let claimed = async {
        let read = async || local.shared.store.get(LEADER_KEY).await.expect("an answer");
        while read().await.expect("a record").value == record {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    };
    tokio::time::timeout(CLAIM_TIME, claimed).await.is_ok()
}

/// Guards against a process that is cut off from the leader alone and replaces it,
/// and against one that does not notice when the others lose the leader, too.
#[tokio::test]
async fn leader_heard() {
    let local = Local::start().await;
    for name in ["voter-a", "voter-b", "voter-c"] {
        start_voter(&local, name).await;
    }
    let (local, record) = start_candidate(local).await;
    assert!(!is_claimed(&local, &record).await, "others hear it");
    let asked = ASKED.load(Ordering::Relaxed);
    assert!((3..=30).contains(&asked), "asked {asked} times");
    HEAR.store(false, Ordering::Relaxed);
    assert!(is_claimed(&local, &record).await, "nobody hears it");
}

/// Guards against a fleet without a leader after all other processes were lost.
#[tokio::test]
async fn nobody_answers() {
    let (local, record) = start_candidate(Local::start().await).await;
    assert!(is_claimed(&local, &record).await, "it stays without a leader");
}
