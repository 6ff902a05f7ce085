//! States that the leader sends to a process that was cut off for a while.

#[path = "support/local.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod local;
#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::{net::Ipv4Addr, time::Duration};

use local::{free_ip, start_peers};
use mustardcove_core::{
    fleet::{
        id::{BootMillis, SubmissionId},
        message::FleetMessage,
        record::{self, PROCESS_PREFIX, ProcessRecord},
        submission::SubmissionState,
    },
    id::ProcessId,
    message::PeerMessage,
    time::Timestamp,
};
use mustardcove_runtime::peer::{PeerEvent, Peers};
use reqwest::StatusCode;
use rig::{Rig, two_steps};
use tokio::sync::mpsc;

/// Longest time until a leader has found a process and sent it all states.
const SHORT: Duration = Duration::from_secs(6);
/// Time in which a leader notices a lost connection and fails to open another.
const CUT: Duration = Duration::from_millis(1_500);

/// A process that reports to the leader and polls no worker.
struct Follower {
    peers: Peers,
    events: mpsc::Receiver<PeerEvent>,
}

impl Follower {
    async fn start(process: &ProcessId, ip: Ipv4Addr) -> Follower {
        let (peers, events) = start_peers(process, ip).await;
        Follower { peers, events }
    }

    /// Answers heartbeats with reports until the leader sends a state of a
    /// submission. Returns whether it did in time.
    async fn wait_for(&mut self, id: SubmissionId, state: SubmissionState) -> bool {
        let received = async {
            while let Some(event) = self.events.recv().await {
                let PeerEvent::Message { from, message } = event else { continue };
                let PeerMessage::Fleet(message) = *message else { continue };
                match *message {
                    FleetMessage::Heartbeat(heartbeat) => {
                        let report = FleetMessage::Report {
                            term: heartbeat.term,
                            sent_at: Timestamp::default(),
                            sent_boot_ms: BootMillis::default(),
                            heartbeat_at: Some(heartbeat.sent_at),
                            reaches_store: true,
                            evacuations: None,
                            reports: Vec::new(),
                            places: Vec::new(),
                        };
                        self.peers.send(&from, &PeerMessage::Fleet(Box::new(report))).ok();
                    }
                    FleetMessage::States { states, .. } if states.contains(&(id, state)) => {
                        return true;
                    }
                    _ => {}
                }
            }
            false
        };
        tokio::time::timeout(SHORT, received).await.unwrap_or(false)
    }
}

/// Guards against a process that keeps telling callers an old state of a
/// submission, because the leader sent it all states while it was still cut
/// off.
#[tokio::test]
async fn states_after_cut() {
    let rig = Rig::start("resync", 1, 1).await;
    rig.wait_ready().await;
    let (process, ip) = ("follower.1".parse::<ProcessId>().unwrap(), free_ip());
    let record = ProcessRecord {
        process: process.clone(),
        name: "follower".to_owned(),
        address: format!("{ip}:7720"),
        region: "home".parse().unwrap(),
        domain: "south".parse().unwrap(),
        cpu_share: 0.0,
    };
    rig.store.put(&format!("{PROCESS_PREFIX}follower"), &record::encode(&record));
    let mut follower = Follower::start(&process, ip).await;
    let id = SubmissionId(0xd1);
    assert_eq!(rig.submit(0, id, &two_steps(1, 60_000)).await, Some(StatusCode::OK));
    assert!(follower.wait_for(id, SubmissionState::Running).await, "no state before the cut");
    drop(follower);
    tokio::time::sleep(CUT).await;
    assert_eq!(rig.cancel(0, id).await, Some(StatusCode::OK));
    tokio::time::sleep(CUT).await;
    let mut follower = Follower::start(&process, ip).await;
    assert!(follower.wait_for(id, SubmissionState::Cancelled).await, "the state is not sent again");
}
